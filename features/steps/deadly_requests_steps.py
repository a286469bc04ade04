"""Steps on requests that crash each server that begins to run them."""

from collections import deque
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_platform_standins.clients import ClientResponse
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    READ_PATH,
    STREAM_PATH,
    WRITE_PATH,
    find_free_port,
)
from buckthornpond_platform_standins.server_responses import (
    Behaviour,
    ReceivedRequest,
    render_body,
)
from features.steps.deadly_parts_steps import start_pair
from features.steps.direct_steps import list_servers

_ARRIVAL_INTERVAL_SECONDS = 0.15
_RESTART_SECONDS = 0.3
_RESET_INTERVAL_SECONDS = 1.1
# Victims are many among the few requests here, and each may be sent again.
_RETRY_BUDGET_RATIO = 2.0
_NO_BODY = 'nothing'
_TOKEN_COUNT = '430,40'
_SHARED_PARTS = 'first:40,topic:300'


def _encode_body(name: str) -> bytes:
    return b'' if name == _NO_BODY else name.encode()


def _is_same(
    received: ReceivedRequest, method: str, path: str, body: str
) -> bool:
    return (
        received.method == method
        and received.path == path
        and received.body == _encode_body(body)
    )


@given(
    'two entries that exchange hints before {apps:d} app servers and'
    ' {llms:d} llm servers'
)
def start(context: Any, apps: int, llms: int) -> None:
    """Start two entries and the servers of each service."""
    start_pair(context, apps, llms, retry_budget_ratio=_RETRY_BUDGET_RATIO)
    context.deadly = []


@given(
    'requests to {path:S} with the body {body:w} crash servers that begin to'
    ' run them'
)
def set_deadly(context: Any, path: str, body: str) -> None:
    """Let servers crash by the body, or by the path if there is none."""
    for server in context.cluster.servers:
        server.restart_seconds = _RESTART_SECONDS
        if body == _NO_BODY:
            server.deadly_paths = frozenset((path,))
        else:
            server.deadly_bodies = frozenset((_encode_body(body),))


@given('each app server takes {delay:d} ms for a sound request')
def set_delay(context: Any, delay: int) -> None:
    """Let servers of the plain service wait before they answer."""
    for server in list_servers(context, 'app'):
        server.delay_seconds = delay / 1000


@when(
    '{count:d} callers send {method:w} {path:S} with the body {body:w} to both'
    ' entries in turn'
)
def send_in_turn(
    context: Any, count: int, method: str, path: str, body: str
) -> None:
    """Send the same request under new IDs, one after the other."""
    for number in range(count):
        _send_deadly(context, number % 2, method, path, body)


@when(
    '{count:d} callers send {method:w} {path:S} with the body {body:w} to the'
    ' entry that started last'
)
def send_to_last(
    context: Any, count: int, method: str, path: str, body: str
) -> None:
    """Send the same request under new IDs to one entry."""
    for _ in range(count):
        _send_deadly(context, -1, method, path, body)


@when(
    '{count:d} callers stream the body {body:w} to both entries in turn among'
    ' sound ones with the same shared parts'
)
def stream_in_turn(context: Any, count: int, body: str) -> None:
    """Send a sound stream after each deadly one, to the same entry."""
    context.sound = []
    for number in range(count):
        entry_index = number % 2
        context.deadly.append(_stream(context, entry_index, body, 'dead'))
        context.sound.append(
            _stream(context, entry_index, f'sound{number}', f'own{number}')
        )
        gevent.sleep(_ARRIVAL_INTERVAL_SECONDS)


@when('the second entry ends and another one starts')
def replace_entry(context: Any) -> None:
    """Start an entry that knows only the first one, and let it hear of it."""
    cluster = context.cluster
    cluster.entries[1].stop_tasks()
    entry = cluster.start_entry(
        exchange_address=f'127.0.0.1:{find_free_port()}',
        peer_addresses=[cluster.settings[0].exchange_address],
    )
    wait_until(entry.is_ready)
    quarantine = entry.dispatcher.load_exchange.quarantine
    wait_until(lambda: len(quarantine) > 0)


@when(
    '{count:d} callers send POST /write/1 with the body {body:w} while'
    ' {read_count:d} callers get /read/1'
)
def send_among_sound(
    context: Any, count: int, body: str, read_count: int
) -> None:
    """Send each deadly request when reads run, and a sound write after it."""
    context.reads = []
    context.writes = []
    for number in range(count):
        reads = [
            gevent.spawn(_read, context, each % 2) for each in range(read_count)
        ]
        _wait_for_reads(context, len(context.reads) + read_count)
        _send_deadly(context, number % 2, 'POST', WRITE_PATH, body)
        gevent.joinall(reads, raise_error=True)
        client = context.cluster.connect(number % 2)
        context.writes.append(
            client.fetch('POST', WRITE_PATH, body=b'sound %d' % number)
        )


@when(
    'callers get /read/1 and each app server resets its connection, {rounds:d}'
    ' times a second apart, with writes in between'
)
def reset_reads(context: Any, rounds: int) -> None:
    """Reset the same read everywhere, and answer other requests."""
    context.reads = []
    context.writes = []
    _read(context, 0)
    gevent.sleep(_RESET_INTERVAL_SECONDS)
    for number in range(rounds):
        servers = list_servers(context, 'app')
        for server in servers:
            server.behaviours = deque((Behaviour.reset,))
        context.cluster.connect(number % 2).fetch('GET', READ_PATH)
        gevent.sleep(_RESET_INTERVAL_SECONDS)
        for server in servers:
            server.behaviours.clear()
        for write in range(2 * len(servers)):
            client = context.cluster.connect(write % 2)
            body = b'sound %d %d' % (number, write)
            context.writes.append(client.fetch('POST', WRITE_PATH, body=body))


@when(
    '{rounds:d} times two connections of a get of /read/1 are lost, and'
    ' {count:d} more such gets are answered with 404'
)
def lose_missing_reads(context: Any, rounds: int, count: int) -> None:
    """Let any server reset the first two attempts, and then know no answer."""
    context.reads = []
    for _ in range(rounds):
        queue = deque((Behaviour.reset, Behaviour.reset))
        queue.extend(Behaviour.missing for _ in range(count))
        for server in list_servers(context, 'app'):
            server.behaviours = queue
        context.cluster.connect().fetch('GET', READ_PATH)
        gevent.sleep(_ARRIVAL_INTERVAL_SECONDS)
        for number in range(count):
            _read(context, number % 2)


@then('each get in between was answered with 404')
def check_missing(context: Any) -> None:
    """Check the statuses of the reads behind the lost ones."""
    answers = [(each.status, each.reason) for each in context.reads]
    assert {status for status, _ in answers} == {404}, answers


@then('no app server crashed and each write between was answered')
def check_alive(context: Any) -> None:
    """Check that the targets were there all the time."""
    servers = list_servers(context, 'app')
    assert not sum(server.crash_count for server in servers)
    _check_answered(context.writes)


@then('the next {count:d} gets of /read/1 are answered')
def check_next_reads(context: Any, count: int) -> None:
    """Send the read again to both entries in turn."""
    for number in range(count):
        _read(context, number % 2)
    _check_answered(context.reads)


@then(
    '{low:d} to {high:d} requests {method:w} {path:S} with the body {body:w}'
    ' reached the servers'
)
def check_received(
    context: Any, low: int, high: int, method: str, path: str, body: str
) -> None:
    """Count what the servers received; three crashes tell the request."""
    received = [
        sum(_is_same(each, method, path, body) for each in server.received)
        for server in context.cluster.servers
    ]
    assert low <= sum(received) <= high, received


@then(
    'the last {count:d} callers were refused with {status:d} and reason'
    ' {reason:w}'
)
def check_refused(context: Any, count: int, status: int, reason: str) -> None:
    """Check the answers to the last deadly requests."""
    answers = [
        (answer.status, answer.reason) for answer in context.deadly[-count:]
    ]
    assert len(answers) == count, answers
    assert set(answers) == {(status, reason)}, answers


@then('{count:d} or more crashes took a request to /read/1 along')
def check_victims(context: Any, count: int) -> None:
    """Count the reads that ran at a second server."""
    crash_count = sum(server.crash_count for server in context.cluster.servers)
    attempts = _count_started(context, READ_PATH)
    assert crash_count >= count, crash_count
    assert attempts - len(context.reads) >= count, attempts


@then('each get of /read/1 was answered')
def check_reads(context: Any) -> None:
    """Check the answers to the identical reads."""
    _check_answered(context.reads)


@then('each write to /write/1 with another body was answered')
def check_writes(context: Any) -> None:
    """Check the answers to the sound writes."""
    _check_answered(context.writes)


@then('each sound stream was answered whole')
def check_streams(context: Any) -> None:
    """Check the events of the sound streams."""
    assert context.sound
    for answer in context.sound:
        assert answer.status == 200, (answer.status, answer.reason)
        assert not answer.error, answer.error
        assert answer.is_stream_of(1, 4), answer.body


def _send_deadly(
    context: Any, entry_index: int, method: str, path: str, body: str
) -> None:
    client = context.cluster.connect(entry_index)
    context.deadly.append(client.fetch(method, path, body=_encode_body(body)))
    gevent.sleep(_ARRIVAL_INTERVAL_SECONDS)


def _stream(
    context: Any, entry_index: int, body: str, own_part: str
) -> ClientResponse:
    return context.cluster.connect(entry_index).fetch(
        'POST',
        STREAM_PATH,
        body=body.encode(),
        X_Token_Count=_TOKEN_COUNT,
        X_Prefix_Hash=f'{_SHARED_PARTS},{own_part}:9',
    )


def _read(context: Any, entry_index: int) -> None:
    client = context.cluster.connect(entry_index)
    context.reads.append(client.fetch('GET', READ_PATH))


def _wait_for_reads(context: Any, count: int) -> None:
    wait_until(lambda: _count_started(context, READ_PATH) >= count)


def _count_started(context: Any, path: str) -> int:
    return sum(
        received.path == path
        for server in list_servers(context, 'app')
        for received in server.received
    )


def _check_answered(answers: list[ClientResponse]) -> None:
    assert answers
    for answer in answers:
        assert answer.status == 200, (answer.status, answer.reason)
        assert answer.body == render_body(answer.attempt_id), answer.body
