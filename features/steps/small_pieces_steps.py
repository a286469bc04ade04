"""Steps for peers that send without end in pieces of any size."""

import random
from collections import deque
from collections.abc import Iterator
from contextlib import suppress
from datetime import timedelta
from typing import Any
from unittest import mock

import gevent
from behave import given, then, when
from gevent.server import StreamServer
from gevent.socket import (
    AF_INET,
    SHUT_WR,
    SOCK_STREAM,
    socket,
    socketpair,
    wait_read,
)

from buckthornpond_core._generated.serving import CallerLimits
from buckthornpond_core.exceptions import TargetError
from buckthornpond_core.input_pacing import ReadPacer
from buckthornpond_entry.direct.entry_process import (
    CallerListener as DirectListener,
)
from buckthornpond_entry.direct.frontend import FrontendState
from buckthornpond_entry.listeners import CallerListener
from buckthornpond_platform.headers import PlatformCodec
from buckthornpond_platform_standins.local_clusters import find_free_port
from buckthornpond_runtime.administration import AdministrationTask
from buckthornpond_runtime.clocks import SystemClock
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.embedded_heads import EmbeddedHeadSearch
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.responses import HttpResponse
from buckthornpond_runtime.transports import receive_in_bursts
from features.specs.searched_buffers import SearchedBuffer

_MS = timedelta(milliseconds=1)
_HOST = '127.0.0.1'
_SETTLE_SECONDS = 0.1
_LINGER_SECONDS = 0.4
_UNFINISHED_HEAD = b'GET / HTTP/1.1\r\nX-A: '
_PARTS = {
    'heads of further responses': b'HTTP/1.1 200 OK\r\n%b' % (b'a:\r\n' * 2040),
    'status lines': b'HTTP/1.1 200 OK\r\n',
    'begun status lines': b'HTTP/1.',
    'fields that end like status lines': b'x:HTTP/1.1 200 OK\r\n',
    'blank lines': b'\r\n',
    'text': b'A line of text.\n',
}
_PIECES = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.0 503\r\n',
    b'x:HTTP/1.1 404 No\r\n',
    b'HTTP/1.1 999 No\r\n',
    b'HTTP/1.',
    b'HTTP',
    b'1 200 OK\r\n',
    b'a: b\r\n',
    b'b: %b\r\n' % (b'c' * 3000),
    b'\r\n',
    b'\n',
    b'\r',
    b'text',
)


class ReadCounter:
    """Another task, and how often it ran before each read of a peer's bytes."""

    def __init__(self) -> None:
        self.turn_count = 0
        # Value of the turn count at each read.
        self.turns_at_reads: list[int] = []
        # Sockets of the peer itself, whose reads do not count.
        self.ignored: set[int] = set()
        self._ends = socketpair()
        self._ends[0].send(b'a')
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """End the other task."""
        self._greenlet.kill()
        for end in self._ends:
            end.close()

    def limit_reads(self) -> Any:
        """Return a patch that makes each read return one byte."""
        plain_recv = socket.recv
        plain_recv_into = socket.recv_into

        def recv(connection: Any, size: int, *flags: int) -> bytes:
            received: bytes = plain_recv(connection, 1, *flags)
            self._record(connection)
            return received

        def recv_into(connection: Any, buffer: Any, *options: Any) -> int:
            one = memoryview(buffer)[:1]
            read_bytes: int = plain_recv_into(connection, one)
            self._record(connection)
            return read_bytes

        return mock.patch.multiple(socket, recv=recv, recv_into=recv_into)

    def _record(self, connection: Any) -> None:
        if connection.fileno() not in self.ignored:
            self.turns_at_reads.append(self.turn_count)

    def _run(self) -> None:
        while True:
            wait_read(self._ends[1].fileno())
            self.turn_count += 1


def _make_frontend() -> FrontendState:
    dispatch = mock.Mock(limits=CallerLimits())
    return FrontendState(
        dispatch=dispatch,
        codec=PlatformCodec(),
        clock=SystemClock(),
        metrics=Metrics(),
        memory_bytes=4_000_000,
        descriptor_count=20,
    )


def _start_reader(reader: str, address: str) -> Any:
    """Start a task of the product that reads from its callers."""
    if reader == 'a health check':
        task: Any = AdministrationTask(address, Metrics(), lambda: True)
        return gevent.spawn(task.run)
    if reader == 'a request to an entry with agents':
        listener = CallerListener(
            address,
            lambda environ, start: [],
            head_timeout_seconds=5,
            send_buffer_bytes=65536,
            metrics=Metrics(),
            max_connections=100,
        )
        return gevent.spawn(listener.serve_forever)
    direct = DirectListener(address, _make_frontend())
    return gevent.spawn(direct.run)


def _read_response(counter: ReadCounter, content: bytes) -> None:
    def send(connection: Any, peer: Any) -> None:
        connection.sendall(content)

    server = StreamServer((_HOST, 0), send)
    server.start()
    connection = HttpConnection(f'{_HOST}:{server.server_port}')
    connection.connect(timedelta(seconds=1))
    gevent.sleep(_SETTLE_SECONDS)
    with suppress(TargetError), counter.limit_reads():
        response = HttpResponse('GET')
        while True:
            connection.receive(response, 'read')
    server.stop()


def _receive_rest(caller: socket) -> None:
    while True:
        if not caller.recv(1):
            return


def _read_from_caller(
    counter: ReadCounter, reader: str, content: bytes
) -> None:
    port = find_free_port()
    task = _start_reader(reader, f'{_HOST}:{port}')
    gevent.sleep(_SETTLE_SECONDS)
    with socket(AF_INET, SOCK_STREAM) as caller, counter.limit_reads():
        caller.connect((_HOST, port))
        counter.ignored.add(caller.fileno())
        caller.sendall(content)
        caller.shutdown(SHUT_WR)
        with suppress(OSError):
            _receive_rest(caller)
        # What follows a refused request is read for a while.
        gevent.sleep(_LINGER_SECONDS)
    task.kill()


@given(
    '{reader} whose peer has sent {count:d} bytes, which it reads one by one'
)
def prepare_reader(context: Any, reader: str, count: int) -> None:
    """Choose the reader and the bytes, which end before their message."""
    context.reader = reader
    prefix = _UNFINISHED_HEAD
    if reader == 'a response':
        prefix = b'HTTP/1.1 200 OK\r\nX-A: '
    elif reader == 'the rest of a refused request':
        prefix = b'\0'
    context.content = prefix.ljust(count, b'a')


@when('another task waits for its own socket meanwhile')
def read_beside_task(context: Any) -> None:
    """Let the reader read to the end, and count the turns of another task."""
    context.counter = ReadCounter()
    if context.reader == 'a response':
        _read_response(context.counter, context.content)
    else:
        _read_from_caller(context.counter, context.reader, context.content)
    context.counter.stop()
    reads = context.counter.turns_at_reads
    assert len(reads) >= len(context.content), len(reads)
    context.turn_count = len(set(reads))


@given('an agent socket that always holds a message')
def prepare_source(context: Any) -> None:
    """Replace the socket of an agent."""
    context.source = mock.Mock(recv_multipart=lambda: [b'', b''])


@when(
    '{count:d} messages are received while another task waits for its own'
    ' socket'
)
def receive_messages(context: Any, count: int) -> None:
    """Receive without a pause of the sender."""
    counter = ReadCounter()
    messages: Iterator[list[bytes]] = receive_in_bursts(context.source)
    for _ in range(count):
        next(messages)
    context.turn_count = counter.turn_count
    counter.stop()


@then('the other task ran at least {count:d} times')
def check_turns(context: Any, count: int) -> None:
    """Compare how often the other task ran between two reads."""
    assert context.turn_count >= count, context.turn_count


@when('a peer sends a byte every {interval_ms:g} ms for {seconds:d} seconds')
def send_bytes(context: Any, interval_ms: float, seconds: int) -> None:
    """Read single bytes as the pacer allows, on a clock of the test."""
    _read_paced(context, 1, interval_ms, seconds)


@when(
    'a peer sends {size:d} bytes every {interval_ms:g} ms for {seconds:d}'
    ' seconds'
)
def send_pieces(
    context: Any, size: int, interval_ms: float, seconds: int
) -> None:
    """Read pieces as the pacer allows, on a clock of the test."""
    _read_paced(context, size, interval_ms, seconds)


def _read_paced(
    context: Any, size: int, interval_ms: float, seconds: int
) -> None:
    count = int(seconds * timedelta(seconds=1) / (interval_ms * _MS))
    arrivals = deque(number * interval_ms * _MS for number in range(count))
    now = timedelta()
    pacer = ReadPacer(now)
    context.read_count = 0
    context.longest_wait = timedelta()
    while arrivals:
        now = max(now, arrivals[0])
        now += pacer.find_pause(now)
        context.longest_wait = max(context.longest_wait, now - arrivals[0])
        read_bytes = 0
        while arrivals and arrivals[0] <= now:
            arrivals.popleft()
            read_bytes += size
        pacer.record(read_bytes, now)
        context.read_count += 1


@then('it was read at most {count:d} times')
def check_read_count(context: Any, count: int) -> None:
    """Compare the number of reads."""
    assert context.read_count <= count, context.read_count


@then('no byte waited longer than {limit_ms:d} ms')
def check_wait(context: Any, limit_ms: int) -> None:
    """Compare the longest time that a byte waited to be read."""
    assert context.longest_wait <= limit_ms * _MS, context.longest_wait


@when(
    '{count:d} bytes of {part} without a length arrive in pieces of'
    ' {length:d} bytes'
)
def feed_search(context: Any, count: int, part: str, length: int) -> None:
    """Search a body for further responses."""
    search = EmbeddedHeadSearch()
    context.buffer = SearchedBuffer()
    search._held = context.buffer  # noqa: SLF001
    filler = _PARTS[part]
    content = (filler * (count // len(filler) + 1))[:count]
    context.fed_bytes = count
    for start in range(0, count, length):
        search.feed(content[start : start + length])


@then('at most {ratio:d} times as many bytes were searched')
def check_cost(context: Any, ratio: int) -> None:
    """Compare the searched bytes with the bytes of the body."""
    searched_bytes = context.buffer.searched_bytes
    assert searched_bytes <= ratio * context.fed_bytes, searched_bytes


@when(
    '{count:d} bodies that hold parts of responses arrive whole, byte by byte'
    ' and in random pieces'
)
def feed_splits(context: Any, count: int) -> None:
    """Search generated bodies, each split in several ways."""
    chance = random.Random(39)
    context.results = []
    for _ in range(count):
        parts = chance.choices(_PIECES, k=chance.randint(1, 25))
        body = b''.join(parts)
        context.results.append(
            [
                _search([body]),
                _search([body[each : each + 1] for each in range(len(body))]),
                _search(parts),
            ],
        )


def _search(parts: list[bytes]) -> tuple[object, ...]:
    search = EmbeddedHeadSearch()
    released = b''.join(search.feed(part) for part in parts)
    heads = [(each.status_code, each.fields) for each in search.take_heads()]
    return released, heads, search.is_inside_head, search.take_held()


@then('each time the same heads were found and the same bytes held back')
def check_splits(context: Any) -> None:
    """Compare the results, and check that some bodies held a head."""
    for whole, single, pieces in context.results:
        assert whole == single, (whole, single)
        assert whole == pieces, (whole, pieces)
    assert sum(bool(whole[1]) for whole, _, _ in context.results) > 30


@when(
    "an event of {count:d} bytes arrives in an agent's response in pieces of"
    ' 1 byte'
)
def feed_event(context: Any, count: int) -> None:
    """Take events from a response whose only event does not end."""
    response = HttpResponse('GET')
    response.feed(b'HTTP/1.1 200 OK\r\n\r\n')
    context.buffer = SearchedBuffer()
    response._body = context.buffer  # noqa: SLF001
    for _ in range(count):
        response.feed(b'a')
        assert not response.take_events(16384)


@then('each of its bytes was searched at most {count:d} times')
def check_event_cost(context: Any, count: int) -> None:
    """Compare the searched bytes with the length of the event."""
    searched_bytes = context.buffer.searched_bytes
    assert searched_bytes <= count * len(context.buffer), searched_bytes
