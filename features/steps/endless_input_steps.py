"""Steps for peers of an entry process that never stop sending."""

import itertools
import time
from typing import Any

import gevent
import msgspec
from behave import given, then, when
from gevent.socket import AF_INET, SOCK_DGRAM, socket

from buckthornpond_core._generated.hints import LoadHint
from buckthornpond_core.input_limits import InputLimitError
from buckthornpond_core.serving.events import EventAssembler, StreamPosition
from buckthornpond_platform_standins.clients import Client
from buckthornpond_platform_standins.endless import (
    EndlessPace,
    EndlessPart,
    EndlessServer,
)
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    find_free_port,
    make_config,
    make_route,
)
from buckthornpond_platform_standins.processes import EntryProcess, try_fetch
from buckthornpond_platform_standins.store import StoreFault
from features.specs.endless_callers import send_endless_requests
from features.specs.observed_entries import (
    ResourceUsage,
    end_measurement,
    observe,
)
from features.specs.process_worlds import ProcessWorld
from features.specs.searched_buffers import SearchedBuffer

_MEBIBYTE = 1_048_576
_FAULTY_NAME = 'i-endless'
_METHODS = {'read': 'GET', 'write': 'POST', 'stream': 'POST'}
_PEER_HOST = '127.0.0.9'


def _start_faulty_service(context: Any, part: str, pace: EndlessPace) -> None:
    cluster = context.cluster
    server = EndlessServer(EndlessPart(part))
    server.pace = pace
    cluster.peers.append(server)
    context.faulty_server = server
    default = make_config(1)
    faulty_routes = [
        make_route('bad-read', 'idempotent', 'bad'),
        make_route('bad-write', 'non_idempotent', 'bad'),
        make_route('bad-stream', 'streaming', 'bad', streamResume=True),
    ]
    cluster.configure(
        routes=[*default['routes'], *faulty_routes],
        services=[
            *default['services'],
            {'name': 'bad', 'coldStartS': 0, 'coldPerS': 0},
        ],
    )
    entry = {**cluster.servers[0].entry(), 'service': 'bad'}
    cluster.store.put(
        f'servers/{_FAULTY_NAME}', {**entry, 'address': server.address}
    )
    wait_until(
        lambda: any(
            event['event'] == 'target_found'
            and event.get('target') == _FAULTY_NAME
            for event in context.process.read_events()
        ),
    )


@given('a faulty service whose servers send {part} without end')
def start_fast_service(context: Any, part: str) -> None:
    """Start a server that sends as fast as it can."""
    _start_faulty_service(context, part, EndlessPace.fast)


@given('a faulty service whose servers slowly send {part} without end')
def start_slow_service(context: Any, part: str) -> None:
    """Start a server that sends a byte now and then."""
    _start_faulty_service(context, part, EndlessPace.slow)


@given(
    'a faulty service whose servers send {part} without end, in small pieces'
)
def start_small_service(context: Any, part: str) -> None:
    """Start a server that sends many pieces of a few bytes."""
    _start_faulty_service(context, part, EndlessPace.small)


@when(
    '{count:d} callers send a {kind} to the faulty service'
    ' while others are served'
)
def send_to_faulty(context: Any, count: int, kind: str) -> None:
    """Send requests at the same time and wait for their answers."""

    def act() -> None:
        fields = {'X_Token_Count': '100,40'} if kind == 'stream' else {}
        callers = [
            gevent.spawn(
                Client(context.process.address, HOST, API_KEY).fetch,
                _METHODS[kind],
                f'/bad-{kind}/1',
                **fields,
            )
            for _ in range(count)
        ]
        gevent.joinall(callers)
        context.faulty_responses = [caller.value for caller in callers]
        context.answered_at = time.monotonic()
        # Sockets in the pool are looked at regularly.
        gevent.sleep(1)

    observe(context, act)


@when(
    '{count:d} callers {pace} send {part} without end while others are served'
)
def send_as_callers(context: Any, count: int, pace: str, part: str) -> None:
    """Send requests that do not end."""

    def act() -> None:
        context.answered_at = time.monotonic()
        context.caller_records = send_endless_requests(
            context.process.address, count, part, EndlessPace(pace)
        )
        context.ended_at = time.monotonic()

    observe(context, act)


@given('an entry process whose only peer answers without end')
def start_with_peer(context: Any) -> None:
    """Start an entry whose peer sends an endless fleet view."""
    cluster = ProcessWorld()
    context.cluster = cluster
    context.fleet = cluster
    cluster.add_server('app')
    cluster.configure()
    port = find_free_port()
    context.peer = EndlessServer(EndlessPart.unsized_body, _PEER_HOST, port)
    cluster.peers.append(context.peer)
    cluster.process = EntryProcess(
        cluster.store.address,
        seeds=[f'{_PEER_HOST}:1'],
        exchange_port=port,
    )
    context.process = cluster.process
    cluster.process.start()


@when(
    'the store stops answering for {seconds:d} seconds while others are served'
)
def silence_store(context: Any, seconds: int) -> None:
    """Let the store reset each connection."""

    def act() -> None:
        context.cluster.store.trouble = StoreFault.reset
        context.cluster.store.drop_connections()
        gevent.sleep(seconds)

    observe(context, act)


@when(
    '{kind} arrive as fast as they can be sent for {seconds:d} seconds'
    ' while others are served'
)
def send_datagrams(context: Any, kind: str, seconds: int) -> None:
    """Flood the port for hints."""
    port = context.process.settings['internalPorts'][0]
    numbers = itertools.count()

    def flood() -> None:
        deadline = time.monotonic() + seconds
        with socket(AF_INET, SOCK_DGRAM) as sender:
            while time.monotonic() < deadline:
                for _ in range(20):
                    sender.sendto(
                        _make_datagram(kind, next(numbers)), ('127.0.0.1', port)
                    )
                gevent.sleep(0)

    observe(context, flood)


def _make_datagram(kind: str, number: int) -> bytes:
    if kind == 'datagrams of noise':
        return b'\xc1' * 1000
    first = number * 50
    members = [
        f'127.{each >> 16 & 255}.{each >> 8 & 255}.{each & 255}:9'
        for each in range(first, first + 50)
    ]
    if kind == 'hints with unusable addresses':
        members = ['x', 'a:b', '1.2.3.4:99999', '999.1.1.1:80', 'host:80']
    return msgspec.msgpack.encode(
        LoadHint(
            sender=members[number % len(members)],
            incarnation=number,
            sequence=number,
            is_full=True,
            targets=[],
            members=members,
        ),
    )


@given('an entry process whose store answers without end')
def start_with_store(context: Any) -> None:
    """Start an entry before an endless store."""
    cluster = ProcessWorld()
    context.cluster = cluster
    context.fleet = cluster
    context.peer = EndlessServer(EndlessPart.unsized_body)
    cluster.peers.append(context.peer)
    cluster.process = EntryProcess(context.peer.address)
    context.process = cluster.process
    cluster.process.launch()
    wait_until(
        lambda: try_fetch(cluster.process.ready_address, '/livez').status == 200
    )


@when('the entry runs for {seconds:d} seconds')
def run_entry(context: Any, seconds: int) -> None:
    """Measure the entry for a while."""
    usage = ResourceUsage(context.process.process.pid)
    gevent.sleep(seconds)
    end_measurement(context, usage)


@then('the answers are {answer}')
def check_answers(context: Any, answer: str) -> None:
    """Compare the status of each answer, or that it is incomplete."""
    for response in context.faulty_responses:
        if answer == 'incomplete':
            assert response.status == 200, response.status
            assert response.error, response.body[-100:]
        else:
            assert response.status == int(answer), (
                response.status,
                response.error,
                response.body[:100],
            )
            assert not response.error, response.error
        if answer == '200':
            assert response.body == b'ok', response.body[:100]


@then('all connections to the faulty service end within {seconds:d} seconds')
def check_ended(context: Any, seconds: int) -> None:
    """Wait until no connection is open."""
    assert context.faulty_server.connections
    wait_until(lambda: not context.faulty_server.open_count, seconds)


@then('none of them took more than {mebibytes:d} MiB')
def check_sent(context: Any, mebibytes: int) -> None:
    """Compare the most bytes that a connection took, with kernel buffers."""
    sent_bytes = context.faulty_server.largest_sent_bytes
    assert sent_bytes <= mebibytes * _MEBIBYTE, sent_bytes


@then('no answer of the {peer} took more than {mebibytes:d} MiB')
def check_peer_sent(context: Any, peer: str, mebibytes: int) -> None:
    """Compare the most bytes that a connection took, with kernel buffers."""
    assert context.peer.connections
    sent_bytes = context.peer.largest_sent_bytes
    assert sent_bytes <= mebibytes * _MEBIBYTE, sent_bytes


@then(
    'the memory of the entry grew by at most {mebibytes:d} MiB and it used'
    ' at most {seconds:d} seconds of processor time'
)
def check_usage(context: Any, mebibytes: int, seconds: int) -> None:
    """Compare the measured usage with its bounds."""
    assert context.grown_mebibytes <= mebibytes, context.grown_mebibytes
    assert context.used_seconds <= seconds, context.used_seconds


@then('the others were served in time')
def check_others(context: Any) -> None:
    """Check that each read was answered within the route's time limit."""
    statuses = {response.status for response in context.other_responses}
    assert statuses == {200}, statuses


@then('the entry counts "{counter}" and logs "{text}"')
def check_reason(context: Any, counter: str, text: str) -> None:
    """Look for the reason in the metrics and in the log."""
    wait_until(lambda: text in context.process.log_path.read_text())
    metrics = context.process.read_metrics()
    assert counter in metrics, metrics


@then('their connections end within {seconds:d} seconds')
def check_callers_ended(context: Any, seconds: int) -> None:
    """Check that the entry closed each connection in time."""
    assert all(each.is_closed for each in context.caller_records)
    assert context.ended_at - context.answered_at <= seconds


@then('none of theirs took more than {mebibytes:d} MiB')
def check_callers_sent(context: Any, mebibytes: int) -> None:
    """Compare the most bytes that a connection took, with kernel buffers."""
    sent_bytes = max(each.sent_bytes for each in context.caller_records)
    assert sent_bytes <= mebibytes * _MEBIBYTE, sent_bytes


@then(
    'the entry answers health checks, and a request is refused with {status:d}'
)
def check_refused(context: Any, status: int) -> None:
    """Check that a process without a configuration still responds."""
    assert try_fetch(context.process.ready_address, '/livez').status == 200
    client = Client(context.process.address, HOST, API_KEY)
    assert client.fetch('GET', '/read/1').status == status


@when('an event of 1 MiB arrives in pieces of {length:d} bytes')
def feed_long_event(context: Any, length: int) -> None:
    """Feed an event without an end until it exceeds its limit."""
    assembler = EventAssembler(StreamPosition())
    context.buffer = SearchedBuffer()
    assembler._partial = context.buffer  # noqa: SLF001
    try:
        while True:
            assembler.feed(b'a' * length)
    except InputLimitError:
        assert len(context.buffer) > _MEBIBYTE


@then('each byte was searched at most {count:d} times')
def check_searched(context: Any, count: int) -> None:
    """Compare the searched bytes with the length of the event."""
    searched_bytes = context.buffer.searched_bytes
    assert searched_bytes <= count * len(context.buffer), searched_bytes
