"""Steps on prompt parts that crash the engines that answer them."""

import json
from datetime import timedelta
from typing import Any

import gevent
import msgspec
from behave import given, then, when
from gevent.event import Event
from gevent.socket import AF_INET, SOCK_DGRAM, socket

from buckthornpond_core._generated.hints import LoadHint
from buckthornpond_entry.direct.hints import HintReceived, HintTask
from buckthornpond_platform_standins.clients import ClientResponse
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    STREAM_PATH,
    find_free_port,
)
from buckthornpond_runtime.clocks import SystemClock
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox
from features.steps.direct_steps import list_servers, start_world

_LOST_EVENT = 'target_connection_lost'
_TOKEN_COUNT = '430,40'
_ARRIVAL_INTERVAL_SECONDS = 0.15
_RECEIVE_TIMEOUT_SECONDS = 10


def start_pair(
    context: Any, app_count: int, llm_count: int, **changes: Any
) -> None:
    """Start servers, and two entries that have heard of each other.

    :param context: the scenario.
    :param app_count: servers of the plain service.
    :param llm_count: servers of the engine service.
    :param changes: settings of both entries that differ from the defaults.
    """
    ports = [find_free_port() for _ in range(2)]
    addresses = [f'127.0.0.1:{port}' for port in ports]
    cluster = start_world(
        context,
        app_count,
        llm_count,
        exchange_address=addresses[0],
        peer_addresses=[],
        **changes,
    )
    entry = cluster.start_entry(
        exchange_address=addresses[1],
        peer_addresses=addresses[:1],
        **changes,
    )
    wait_until(entry.is_ready)
    wait_until(
        lambda: all(
            each.dispatcher.load_exchange.peers for each in cluster.entries
        )
    )


@when('a caller streams /stream/1 with the prompt parts {parts}')
def stream_parts(context: Any, parts: str) -> None:
    """Send a request that names the parts of its prompt."""
    context.answers.append(
        context.cluster.connect().fetch(
            'POST',
            STREAM_PATH,
            X_Token_Count=_TOKEN_COUNT,
            X_Prefix_Hash=parts,
        )
    )


@given(
    'streams of the llm servers have {count:d} events, {interval:d} ms apart'
)
def set_events(context: Any, count: int, interval: int) -> None:
    """Set the length and the pace of streams."""
    for server in list_servers(context, 'llm'):
        server.event_count = count
        server.event_interval_seconds = interval / 1000


@when('a caller begins to stream /stream/1 with the prompt parts {parts}')
def begin_stream(context: Any, parts: str) -> None:
    """Send a request and do not wait for the end of its response."""
    context.stream = gevent.spawn(stream_parts, context, parts)


@then('the part {part:w} counts as answered before the stream ends')
def check_answered(context: Any, part: str) -> None:
    """Wait until the entry takes the part for answered."""
    entry = context.cluster.entries[0]
    evidence = entry.dispatcher.load_exchange.quarantine.evidence
    wait_until(lambda: part in evidence.sound_parts)
    assert 'attempts_total' not in entry.metrics.render()
    context.stream.join()


@then(
    '{count:d} lost connections are logged with the shared parts'
    ' {first:w} and {second:w}'
)
def check_logged(context: Any, count: int, first: str, second: str) -> None:
    """Compare the logged parts with those of the request."""
    events = map(json.loads, b''.join(context.log_lines).splitlines())
    context.lost = [
        event for event in events if event.get('event') == _LOST_EVENT
    ]
    assert len(context.lost) == count, context.lost
    for event in context.lost:
        assert event['shared_parts'] == [first, second], event
        assert event['in_flight_count'] == 1, event


@then('the first one had no head, the second one had events')
def check_progress(context: Any) -> None:
    """Compare how far the answers had come."""
    first, second = context.lost
    assert not first['has_head'], first
    assert not first['event_count'], first
    assert second['has_head'], second
    assert second['event_count'], second


@then('the metric "{name:w}" counts {count:d} under "{label:w}"')
def check_metric(context: Any, name: str, count: int, label: str) -> None:
    """Read a counter of the entry."""
    text = context.cluster.entries[0].metrics.render()
    lines = [
        line
        for line in text.splitlines()
        if line.startswith(f'buckthornpond_{name}_total') and label in line
    ]
    assert [line.rpartition(' ')[2] for line in lines] == [f'{count}'], lines


@given('two entries before {count:d} llm servers that part {part:w} crashes')
def start_deadly(context: Any, count: int, part: str) -> None:
    """Start two entries that exchange hints, and servers with a fault."""
    start_pair(context, 0, count)
    for server in context.cluster.servers:
        server.deadly_parts = frozenset((part,))


@when(
    '{count:d} callers stream with the part {part:w} among sound ones with'
    ' the same first part'
)
def stream_mixed(context: Any, count: int, part: str) -> None:
    """Send requests with and without the part to both entries in turn."""
    context.deadly = []
    context.sound = []
    for number in range(count):
        entry_index = number % 2
        context.deadly.append(
            _stream(context, entry_index, f'shared:40,{part}:300,own{number}:9')
        )
        context.sound.append(
            _stream(context, entry_index, f'shared:40,sound{number}:300')
        )
        gevent.sleep(_ARRIVAL_INTERVAL_SECONDS)


@when('a hint waits {wait:d} ms in the socket of an entry that is stopped')
def receive_late(context: Any, wait: int) -> None:
    """Send a hint to a task that begins to receive later."""
    clock = SystemClock()
    address = f'127.0.0.1:{find_free_port()}'
    mailbox: Mailbox[HintReceived] = Mailbox()
    task = HintTask(address, mailbox, Metrics(), Event(), clock)
    host, port = address.split(':')
    hint = LoadHint('127.0.0.1:9', 1, 1, is_full=False, targets=[])
    with socket(AF_INET, SOCK_DGRAM) as sender:
        sender.sendto(msgspec.msgpack.encode(hint), (host, int(port)))
    gevent.sleep(wait / 1000)
    context.read_at = clock.monotonic()
    receiver = gevent.spawn(task.receive)
    context.received = mailbox.receive(_RECEIVE_TIMEOUT_SECONDS)
    receiver.kill()


@then('it counts from at least {wait:d} ms before it is read')
def check_arrival(context: Any, wait: int) -> None:
    """Compare the time from which the ages in the hint count."""
    assert context.received is not None
    arrived_at = context.received.arrived_at
    limit = context.read_at - timedelta(milliseconds=wait)
    assert arrived_at <= limit, (arrived_at, limit)


def _stream(context: Any, entry_index: int, parts: str) -> ClientResponse:
    return context.cluster.connect(entry_index).fetch(
        'POST', STREAM_PATH, X_Token_Count=_TOKEN_COUNT, X_Prefix_Hash=parts
    )


@then('at most {count:d} requests with the part {part:w} reached the servers')
def check_received(context: Any, count: int, part: str) -> None:
    """Count what the servers received."""
    received = [
        server.count_received(part) for server in context.cluster.servers
    ]
    assert 0 < sum(received) <= count, received


@then(
    'the last {count:d} of them were refused with {status:d} and reason'
    ' {reason:w}'
)
def check_refused(context: Any, count: int, status: int, reason: str) -> None:
    """Check the answers to the requests that hold the part."""
    answers = [
        (answer.status, answer.reason) for answer in context.deadly[-count:]
    ]
    assert set(answers) == {(status, reason)}, answers


@then('each sound caller got its whole stream')
def check_sound(context: Any) -> None:
    """Check the answers to the requests that do not hold the part."""
    for answer in context.sound:
        assert answer.status == 200, (answer.status, answer.reason)
        assert not answer.error, answer.error
        assert answer.is_stream_of(1, 4), answer.body
