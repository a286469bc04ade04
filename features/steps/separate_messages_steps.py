"""Steps on messages that follow each other on a connection."""

from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when
from gevent.server import StreamServer
from gevent.socket import create_connection, socket

from buckthornpond_agent.calls import CallTask
from buckthornpond_core._generated.events import CallChunk, CallEnded
from buckthornpond_core._generated.serving import Placement
from buckthornpond_core.input_limits import InputLimitError
from buckthornpond_core.serving.effects import RequestPlacement
from buckthornpond_core.serving.events import EventAssembler, StreamPosition
from buckthornpond_core.serving.exchange import RequestExchange
from buckthornpond_core.serving.health import AttemptOutcome
from buckthornpond_core.serving.messages import AttemptFailed
from buckthornpond_platform_standins.doubled_responses import Doubling, Framing
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    READ_PATH,
    STREAM_PATH,
    WRITE_PATH,
)
from buckthornpond_platform_standins.server_responses import (
    ReceivedRequest,
    render_body,
    render_event,
)
from buckthornpond_runtime.responses import MalformedResponseError
from features.specs.attempts import make_attempt
from features.steps.direct_steps import list_servers
from features.steps.doubled_answers_steps import receive
from features.steps.separate_attempts_steps import make_admission

_READ_BYTES = 65_536
_READ_TIMEOUT_SECONDS = 8
_EVENT_INTERVAL_SECONDS = 0.1
_HEAD_END = b'\r\n\r\n'
_LAST_CHUNK = b'0\r\n\r\n'
_INTERIM_STATUS = b'HTTP/1.1 100'
_MAX_FRAME_BYTES = 65_536
_ATTEMPT_ID = 'a1'
_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_HEAD = b'%bX-Attempt-Id: a1\r\nX-Server-Signature: s\r\n\r\n' % _STATUS_LINE
_STREAM_HEAD = b'%bContent-Type: text/event-stream\r\n\r\n' % _STATUS_LINE
# A stream of this many goes beyond the limit on events without progress.
_MAX_EVENT_COUNT = 1000
_UNNUMBERED_EVENT = b'id: e%%d\ndata: %b\n\n' % (b'a' * 1000)
_STREAM = b'id: 1\ndata: piece 1\n\ndata: [DONE]\n\n'


@when(
    'a second answer behind one without a length stops at each place behind'
    ' its status line'
)
def stop_second_answer(context: Any) -> None:
    """Feed a response and a part of the head of its copy."""
    body = render_body(_ATTEMPT_ID)
    accepted = []
    cuts = range(len(_STATUS_LINE), len(_HEAD))
    for length_bytes in cuts:
        received = bytearray()
        try:
            receive(_HEAD + body + _HEAD[:length_bytes], [], received)
        except MalformedResponseError:
            assert body.startswith(bytes(received)), received
        else:
            accepted.append(bytes(received))
    assert not accepted, (len(accepted), accepted[-1])
    context.is_checked = True


def _render_request(
    method: str, path: str, attempt_id: str, *lines: str
) -> bytes:
    head = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'Authorization: Token {API_KEY}',
        f'X-Attempt-Id: {attempt_id}',
        *lines,
    ]
    return '\r\n'.join([*head, '', '']).encode()


def _connect(context: Any) -> socket:
    host, port = context.cluster.addresses[0].split(':')
    return create_connection((host, int(port)), _READ_TIMEOUT_SECONDS)


def _read_all(connection: socket) -> bytes:
    content = bytearray()
    while received := connection.recv(_READ_BYTES):
        content += received
    return bytes(content)


@when('a caller sends HEAD and then GET on one connection and keeps all bytes')
def ask_for_head(context: Any) -> None:
    """Send both requests at once, and read until the entry closes."""
    connection = _connect(context)
    connection.sendall(
        _render_request('HEAD', READ_PATH, 'b1')
        + _render_request('GET', READ_PATH, 'b2', 'Connection: close')
    )
    context.raw = _read_all(connection)
    connection.close()


@then('these are the head of one answer and the whole of the other')
def check_head_and_answer(context: Any) -> None:
    """Compare what follows the first head."""
    _, _, rest = context.raw.partition(_HEAD_END)
    head, _, body = rest.partition(_HEAD_END)
    assert head.startswith(_STATUS_LINE), rest
    assert b'X-Attempt-Id: b2' in head, rest
    assert body == render_body('b2'), body


class UnchunkedDoubling(Doubling):
    """Doubles responses without a length whose coding is not chunked."""

    __slots__ = ()

    def send(self, connection: socket, received: ReceivedRequest) -> bool:
        """Send a stream and a copy; return that the connection closes.

        :param connection: connection to the peer.
        :param received: request to answer.
        """
        attempt_id = received.fields['x-attempt-id']
        head = _STREAM_HEAD.replace(
            _HEAD_END,
            f'\r\nX-Attempt-Id: {attempt_id}\r\nX-Server-Signature: s\r\n'
            'Transfer-Encoding: identity\r\n\r\n'.encode(),
        )
        connection.sendall((head + render_event(1, attempt_id)) * 2)
        return False


@given('servers that name the coding identity and send each answer twice')
def name_identity(context: Any) -> None:
    """Let every server send streams that end with their connection."""
    for server in context.cluster.servers:
        server.doubling = UnchunkedDoubling(
            Framing.unframed, Framing.unframed, is_late=False
        )


@then('these bytes hold one head')
def check_one_head(context: Any) -> None:
    """Count the status lines."""
    assert context.raw.count(b'HTTP/1.1 ') == 1, bytes(context.raw)


@given('llm servers pause between events')
def pause(context: Any) -> None:
    """Let streams last."""
    for server in list_servers(context, 'llm'):
        server.event_interval_seconds = _EVENT_INTERVAL_SECONDS


@when(
    'a caller sends a head that expects 100 behind the first event of its'
    ' stream'
)
def expect_interim(context: Any) -> None:
    """Send the head of a second request while the first is answered."""
    connection = _connect(context)
    connection.sendall(
        _render_request(
            'POST',
            STREAM_PATH,
            _ATTEMPT_ID,
            'X-Token-Count: 100,40',
            'Content-Length: 0',
        )
    )
    content = bytearray()
    while b'id: 1\n' not in content:
        content += connection.recv(_READ_BYTES)
    connection.sendall(
        _render_request(
            'POST',
            WRITE_PATH,
            'b2',
            'Expect: 100-continue',
            'Content-Length: 2',
        )
    )
    while not (_INTERIM_STATUS in content and _LAST_CHUNK in content):
        received = connection.recv(_READ_BYTES)
        assert received, bytes(content)
        content += received
    connection.close()
    context.raw = bytes(content)


@then('the stream is whole before the interim response')
def check_order(context: Any) -> None:
    """Compare where the stream ends and the interim response begins."""
    end = context.raw.index(_LAST_CHUNK)
    assert end < context.raw.index(_INTERIM_STATUS), context.raw


@when('an agent calls a target that sends a stream without a length twice')
def call_doubling_target(context: Any) -> None:
    """Serve one connection and keep what the call reports."""

    def answer(connection: socket, peer: tuple[str, int]) -> None:
        connection.recv(_READ_BYTES)
        head = _STREAM_HEAD.replace(
            _HEAD_END, f'\r\nX-Attempt-Id: {_ATTEMPT_ID}\r\n\r\n'.encode()
        )
        connection.sendall((head + _STREAM) * 2)
        connection.close()

    server = StreamServer(('127.0.0.1', 0), answer)
    server.start()
    context.reports = []
    call = CallTask(
        make_attempt(_ATTEMPT_ID),
        f'127.0.0.1:{server.server_port}',
        timedelta(seconds=2),
        _MAX_FRAME_BYTES,
        context.reports.append,
    )
    call.start()
    wait_until(
        lambda: any(isinstance(each, CallEnded) for each in context.reports)
    )
    server.stop(timeout=0)
    gevent.sleep(0)


@then('the caller got nothing but bytes of the first stream')
def check_relayed(context: Any) -> None:
    """Compare the relayed bytes with the stream."""
    relayed = b''.join(
        each.payload for each in context.reports if isinstance(each, CallChunk)
    )
    assert _STREAM.startswith(relayed), relayed


@when('a silent attempt fails before the dispatcher has replied')
def fail_while_placing(context: Any) -> None:
    """Let the limit on silence pass, and then the attempt fail."""
    exchange = RequestExchange(make_admission(), timedelta(seconds=1))
    exchange.start()
    placement = Placement(target='t', address='10.0.0.1:80', service='llm')
    exchange.handle_placement(placement, timedelta(seconds=1))
    silent_at = exchange.wake_at
    effects = exchange.tick(silent_at)
    failure = AttemptFailed(
        AttemptOutcome.connection_lost, is_sent=True, error='closed'
    )
    effects += exchange.handle_attempt_message(failure, silent_at)
    context.effects = effects


@then('one placement is outstanding')
def check_placements(context: Any) -> None:
    """Count the requests for a placement."""
    requested = [
        effect
        for effect in context.effects
        if isinstance(effect, RequestPlacement)
    ]
    assert len(requested) == 1, len(requested)


@when('a stream fails for events without progress')
def exceed_empty_events(context: Any) -> None:
    """Feed events whose IDs are no numbers to a numbered stream."""
    position = StreamPosition()
    events = EventAssembler(position)
    passed_on = events.feed(b'id: 1\ndata: a\n\n')
    try:
        for number in range(_MAX_EVENT_COUNT):
            passed_on = events.feed(_UNNUMBERED_EVENT % number)
    except InputLimitError:
        context.passed_on = passed_on
        context.position = position


@then('its position is the last event that was passed on')
def check_position(context: Any) -> None:
    """Compare the position with the last event."""
    line = f'id: {context.position.last_event_id}\n'.encode()
    assert context.passed_on.startswith(line), (line, context.passed_on[:20])


@when('a stream sends events 1, 2, 3 and 1, and another attempt goes on')
def send_earlier_number(context: Any) -> None:
    """Let the number of the last event be lower than before."""
    context.position = StreamPosition()
    first = EventAssembler(context.position)
    for number in (1, 2, 3, 1):
        first.feed(render_event(number, _ATTEMPT_ID))
    second = EventAssembler(context.position, is_resumed=True)
    context.passed_on = b''.join(
        second.feed(render_event(repeated, _ATTEMPT_ID))
        for repeated in (2, 3, 4)
    )


@then('that one starts behind event 3 and repeats none of them')
def check_resumed(context: Any) -> None:
    """Check the position, and what the second attempt passed on."""
    assert context.passed_on == render_event(4, _ATTEMPT_ID)
    assert context.position.last_event_id == '4'
