"""Steps on answers without a length that must not pass as whole."""

import re
import struct
from contextlib import suppress
from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when
from gevent.server import StreamServer
from gevent.socket import SO_LINGER, SOL_SOCKET, create_connection, socket

from buckthornpond_core.exceptions import TargetError
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    LocalCluster,
    make_route,
)
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.responses import HttpResponse
from features.specs.early_servers import ANSWER, EarlyServer

_TIMEOUT = timedelta(seconds=5)
_TIMEOUT_SECONDS = 20
_MAX_BODY_BYTES = 33_554_432
_MEMORY_BYTES = 314_572_800
_READ_BYTES = 65_536
_BYTES_BY_SIZE = {'20 MB': 20_000_000, '10 B': 10}
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_UPLOAD = bytes(4_000_000)
_SETTLE_SECONDS = 0.1
_SIGNATURE = 'X-Server-Signature: s'
_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)\r\n', re.IGNORECASE)


class EarlyWorld(LocalCluster):
    """Store, an entry and one server that answers early."""

    def __init__(self, ending: str) -> None:
        super().__init__()
        self.server = EarlyServer(ending)

    def close(self) -> None:
        """Stop all."""
        super().close()
        self.server.close()


def _start(context: Any, ending: str) -> None:
    cluster = EarlyWorld(ending)
    context.fleet = cluster
    context.cluster = cluster
    record = cluster.add_server('app').entry(address=cluster.server.address)
    cluster.store.put(f'servers/{cluster.servers[0].name}', record)
    cluster.configure(
        routes=[
            make_route('write', 'non_idempotent', 'app', timeoutMs=10_000),
            make_route('read', 'idempotent', 'app', timeoutMs=10_000),
        ],
        limits={'maxBodyBytes': _MAX_BODY_BYTES},
    )
    entry = cluster.start_entry(memory_bytes=_MEMORY_BYTES)
    wait_until(lambda: entry.is_ready())


@given(
    'an entry before a server that answers a long upload at once without a '
    'length, and then {ending}'
)
def start_early(context: Any, ending: str) -> None:
    """Start the server, the store and the entry."""
    _start(context, ending)


@given(
    'an entry before a server that answers without a length, and then {ending}'
)
def start_in_order(context: Any, ending: str) -> None:
    """Start the server, the store and the entry."""
    _start(context, ending)


@when(
    'a client uploads {size} on the route {route:w}, and reads with a reader '
    'of its own'
)
def upload(context: Any, size: str, route: str) -> None:
    """Send a request and read all bytes on plain sockets."""
    length = _BYTES_BY_SIZE[size]
    host, port = context.cluster.addresses[0].split(':')
    connection = create_connection((host, int(port)), _TIMEOUT_SECONDS)
    lines = [
        f'POST /{route}/1 HTTP/1.1',
        f'Host: {HOST}',
        f'Authorization: Token {API_KEY}',
        'X-Attempt-Id: upload1',
        f'Content-Length: {length}',
        'Connection: close',
    ]
    head = '\r\n'.join([*lines, '', '']).encode()
    sender = gevent.spawn(_send, connection, head + bytes(length))
    context.received = _read_to_end(connection)
    sender.kill()
    connection.close()


def _send(connection: socket, content: bytes) -> None:
    with suppress(OSError):
        connection.sendall(content)


def _read_to_end(connection: socket) -> bytes:
    content = bytearray()
    with suppress(ConnectionError):
        while received := connection.recv(_READ_BYTES):
            content += received
    return bytes(content)


def _is_complete_success(received: bytes) -> bool:
    head, end, body = received.partition(b'\r\n\r\n')
    length = _LENGTH.search(head + end)
    is_whole = length is None or len(body) == int(length[1])
    return head.startswith(b'HTTP/1.1 200') and is_whole


@then('the client gets no complete success')
def check_no_success(context: Any) -> None:
    """Look at the bytes that the client got."""
    received = context.received
    assert received
    assert not _is_complete_success(received), received[:300]


@then('the client gets the whole answer')
def check_success(context: Any) -> None:
    """Look at the bytes that the client got."""
    received = context.received
    assert _is_complete_success(received), received[:300]
    assert received.endswith(ANSWER), received[-100:]


@given('a server that resets a connection behind an answer without a length')
def start_resetting(context: Any) -> None:
    """Start a server that resets once it is told to."""
    context.may_reset = gevent.event.Event()
    server = StreamServer(('127.0.0.1', 0), _Resetter(context).serve)
    server.start()
    context.add_cleanup(server.stop)
    context.connection = HttpConnection(f'127.0.0.1:{server.server_port}')
    context.connection.connect(_TIMEOUT)
    context.connection.set_timeout(_TIMEOUT)


class _Resetter:
    def __init__(self, context: Any) -> None:
        self._context = context

    def serve(self, connection: socket, peer: tuple[str, int]) -> None:
        connection.recv(1)
        connection.sendall(f'HTTP/1.1 200 X\r\n{_SIGNATURE}\r\n\r\nok'.encode())
        self._context.may_reset.wait()
        connection.setsockopt(SOL_SOCKET, SO_LINGER, _RESET_ON_CLOSE)
        connection.close()


@when('{call} looks at the connection before the reader does')
def look_first(context: Any, call: str) -> None:
    """Read the answer, let the server reset, and let another call meet it."""
    connection = context.connection
    connection.send(b'a')
    response = HttpResponse('POST')
    while response.buffered_bytes < len('ok'):
        connection.receive(response, 'read')
    sender = None
    if 'greenlet' in call:
        sender = gevent.spawn(_send_upload, connection)
        gevent.sleep(_SETTLE_SECONDS)
    context.may_reset.set()
    gevent.sleep(_SETTLE_SECONDS)
    if call == 'a look for input':
        assert not connection.has_input()
    elif call == 'a poll':
        assert connection.is_closed_by_peer()
    if sender is not None:
        sender.join()
    context.response = response


def _send_upload(connection: HttpConnection) -> None:
    with suppress(TargetError):
        connection.send(_UPLOAD)


@then('the reader gets an error')
def check_error(context: Any) -> None:
    """Read on."""
    try:
        context.connection.receive(context.response, 'read')
    except TargetError as error:
        assert error.is_connection_lost, error
    else:
        raise AssertionError(context.response.is_complete)
