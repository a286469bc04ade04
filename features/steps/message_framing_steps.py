"""Steps for requests whose end only their framing tells."""

import itertools
import operator
from typing import Any

import gevent
from behave import given as given_step
from behave import then, when
from gevent.socket import create_connection
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from buckthornpond_core._generated.serving import CallerLimits
from buckthornpond_core.exceptions import InvalidRequestError
from buckthornpond_core.serving.events import EventAssembler, StreamPosition
from buckthornpond_entry.direct.request_parsers import RequestParser
from buckthornpond_entry.direct.requests import CallerRequest
from buckthornpond_platform_standins.local_clusters import API_KEY, HOST
from buckthornpond_platform_standins.server_responses import render_event

_BODIES = (b'first body', b'second body')
_FIELDS = f'Host: {HOST}\r\nAuthorization: Token {API_KEY}\r\n'
_EXAMPLE_COUNT = 300
_QUIET_SECONDS = 0.3


def _frame(body: bytes, *, is_chunked: bool, chunk_bytes: int = 4) -> bytes:
    if not is_chunked:
        return b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    chunks = [
        body[start : start + chunk_bytes]
        for start in range(0, len(body), chunk_bytes)
    ]
    framed = b''.join(b'%x\r\n%b\r\n' % (len(each), each) for each in chunks)
    return b'Transfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n' % framed


def _offer(protocol: str) -> bytes:
    return (
        'Connection: keep-alive, Upgrade, HTTP2-Settings\r\n'
        f'Upgrade: {protocol}\r\nHTTP2-Settings: AAMAAABk\r\n'
    ).encode()


@when(
    'a caller offers {protocol} with a body {framing} and sends another'
    ' request behind it'
)
def send_offer(context: Any, protocol: str, framing: str) -> None:
    """Send both requests in one piece."""
    heads = [
        f'POST /write/1 HTTP/1.1\r\nX-Attempt-Id: {number}\r\n{_FIELDS}'.encode()
        for number in (1, 2)
    ]
    is_chunked = framing == 'in chunks'
    content = b''.join(
        (
            heads[0],
            _offer(protocol),
            _frame(_BODIES[0], is_chunked=is_chunked),
            heads[1],
            _frame(_BODIES[1], is_chunked=is_chunked),
        ),
    )
    host, port = context.cluster.addresses[0].rsplit(':', 1)
    with create_connection((host, int(port))) as connection:
        connection.sendall(content)
        context.received = b''
        with gevent.Timeout(3, False):
            while context.received.count(b'HTTP/1.1 ') < 2:
                context.received += connection.recv(65536)
        with gevent.Timeout(_QUIET_SECONDS, False):
            context.received += connection.recv(65536)


@then('the server received both bodies and no offer')
def check_bodies(context: Any) -> None:
    """Compare what the server received with what was sent."""
    received = context.cluster.servers[0].received
    assert [each.body for each in received] == list(_BODIES), received
    offers = {'upgrade', 'connection', 'http2-settings'}
    assert offers.isdisjoint(received[0].fields), received[0].fields


@then('the caller got two answers and nothing else')
def check_answers(context: Any) -> None:
    """Compare the answers with those of the server."""
    assert context.received.count(b'HTTP/1.1 200 ') == 2, context.received
    assert context.received.count(b'HTTP/1.1 ') == 2, context.received
    assert context.received.endswith(b'answer to 2'), context.received


def _ask(context: Any, head: str) -> None:
    host, port = context.cluster.addresses[0].rsplit(':', 1)
    with create_connection((host, int(port))) as connection:
        connection.sendall(f'{head}\r\n'.encode())
        context.received = connection.recv(65536)


@when('a caller asks for {target} with the Host {host}')
def ask_target(context: Any, target: str, host: str) -> None:
    """Send a read with a request line and a Host of the example."""
    _ask(
        context,
        f'GET {target} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: 1\r\n'
        f'Authorization: Token {API_KEY}\r\n',
    )


@when('a caller sends a request whose ID is {fault}')
def ask_with_id(context: Any, fault: str) -> None:
    """Send a read whose ID is not one for the whole way."""
    field = 'X-Attempt-Id: 2'
    if fault == 'named in Connection':
        field = 'Connection: X-Attempt-Id'
    _ask(
        context,
        f'GET /read/1 HTTP/1.1\r\n{_FIELDS}X-Attempt-Id: 1\r\n{field}\r\n',
    )


@then('it is answered {status:d}, and the server received {path}')
def check_received(context: Any, status: int, path: str) -> None:
    """Compare the status and the path at the server."""
    assert context.received.startswith(b'HTTP/1.1 %d ' % status), (
        context.received
    )
    paths = [each.path for each in context.cluster.servers[0].received]
    wanted = [] if path == 'nothing' else [path]
    assert paths == wanted, paths


@when('generated requests with and without offers arrive in pieces')
def parse_generated(context: Any) -> None:
    """Parse pipelined requests that are cut at generated places."""
    context.parsed_count = 0
    bodies = st.lists(st.binary(max_size=40), min_size=1, max_size=3)

    @settings(max_examples=_EXAMPLE_COUNT, derandomize=True, deadline=None)
    @for_all(bodies, st.booleans(), st.booleans(), st.data())
    def check(
        sent: list[bytes], is_chunked: bool, has_offer: bool, data: Any
    ) -> None:
        offer = _offer('h2c') if has_offer else b''
        content = b''.join(
            b'POST /a HTTP/1.1\r\nHost: a\r\n%b%b'
            % (offer, _frame(body, is_chunked=is_chunked))
            for body in sent
        )
        cuts = data.draw(st.lists(st.integers(0, len(content)), max_size=5))
        assert _parse(content, sorted(cuts)) == sent
        context.parsed_count += 1

    check()


def _parse(content: bytes, cuts: list[int]) -> list[bytes]:
    found: list[CallerRequest] = []
    parser = RequestParser(found.append, 'caller')
    starts = [0, *cuts]
    ends = [*cuts, len(content)]
    for start, end in zip(starts, ends, strict=True):
        if start < end:
            parser.feed(content[start:end], CallerLimits())
    assert not parser.has_started
    return [request.body for request in found]


@then('each was handed on once, with the body that was sent')
def check_parsed(context: Any) -> None:
    """Check that requests were generated; each was compared before."""
    assert context.parsed_count >= _EXAMPLE_COUNT, context.parsed_count


@when('a caller asks for a tunnel')
def ask_tunnel(context: Any) -> None:
    """Feed a CONNECT request."""
    context.found = []
    parser = RequestParser(context.found.append, 'caller')
    try:
        parser.feed(b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', CallerLimits())
    except InvalidRequestError as error:
        context.reason = error.reason


@then('the parser refuses it as {reason:w}')
def check_reason(context: Any, reason: str) -> None:
    """Compare the reason, and check that nothing was handed on."""
    assert context.reason == reason, context.reason
    assert not context.found


def _make_events(ends: str) -> list[bytes]:
    found = ends.replace(' and', ',').split(', ')
    kinds = {'LF': b'\n', 'CR': b'\r', 'CRLF': b'\r\n'}
    events = []
    for number in range(1, 5):
        end = kinds[found[number % len(found)]]
        lines = (b'id: %d' % number, b'data: text %d' % number, b'', b'')
        events.append(end.join(lines))
    return events


@when(
    '4 numbered events whose lines end in {ends} arrive split at every place,'
    ' and byte by byte'
)
def feed_events(context: Any, ends: str) -> None:
    """Feed the stream to an assembler in many ways."""
    context.events = _make_events(ends)
    stream = b''.join(context.events)
    context.whole = stream
    places = range(1, len(stream) - 1)
    splits = [[stream[:place], stream[place:]] for place in places]
    splits.append([bytes((each,)) for each in stream])
    context.runs = [(_assemble(parts), parts) for parts in splits]


def _assemble(parts: list[bytes], position: str = '') -> list[bytes]:
    assembler = EventAssembler(
        StreamPosition(position), is_resumed=bool(position)
    )
    returned = [assembler.feed(part) for part in parts]
    assert not assembler.has_partial_event
    return returned


@then('each event is returned as soon as it is complete, and no byte is lost')
def check_events(context: Any) -> None:
    """Compare what had been returned after each part with what had arrived."""
    ends = _sum_up(context.events)
    for returned, parts in context.runs:
        assert b''.join(returned) == context.whole, returned
        wanted = [_find_complete(ends, count) for count in _sum_up(parts)]
        assert all(map(operator.ge, _sum_up(returned), wanted)), parts


def _sum_up(parts: list[bytes]) -> list[int]:
    return list(itertools.accumulate(map(len, parts)))


def _find_complete(ends: list[int], arrived_bytes: int) -> int:
    """Return the end of the last event of which all bytes and one more came."""
    return max([end for end in ends if end < arrived_bytes], default=0)


@then('a resumed stream gets the events behind the second')
def check_resumed(context: Any) -> None:
    """Feed the whole stream again after the second event."""
    returned = b''.join(_assemble([context.whole], '2'))
    assert returned == b''.join(context.events[2:]), returned


@given_step('its servers end lines of events in CRLF')
def end_lines(context: Any) -> None:
    """Let the text of each event end with the CR of a CRLF."""
    for server in context.cluster.servers:
        server.line_end = b'\r\n'


@then('it gets the bytes of all 4 events, and the end')
def check_stream(context: Any) -> None:
    """Compare the body with what a server sends."""
    response = context.answers[-1]
    assert not response.error, response.error
    wanted = b''.join(
        render_event(number, response.attempt_id).replace(b'\n', b'\r\n')
        for number in range(1, 5)
    )
    assert response.body == wanted, response.body
