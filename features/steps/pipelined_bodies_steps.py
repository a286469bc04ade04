"""Steps for the memory that callers' requests hold."""

from types import MappingProxyType
from typing import Any

import gevent
from behave import given, then, when
from gevent.socket import create_connection

from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    READ_PATH,
    STREAM_PATH,
)
from features.steps.direct_steps import start_world

_BODY_MEMORY_PARTS = 4
_TIMEOUT_SECONDS = 5
_READ_BYTES = 65_536
_STATUS_LINE = b'HTTP/1.1 '
_FIELDS = f'Host: {HOST}\r\nAuthorization: Token {API_KEY}\r\n'
_FIRST_FIELDS = f'{_FIELDS}X-Attempt-Id: a1\r\n'
_STREAM_FIELDS = f'{_FIRST_FIELDS}X-Token-Count: 100,40\r\n'
_FIRST_REQUESTS = MappingProxyType(
    {
        'nothing': '',
        'a read': f'GET {READ_PATH} HTTP/1.1\r\n{_FIRST_FIELDS}\r\n',
        'a stream': (
            f'POST {STREAM_PATH} HTTP/1.1\r\n{_STREAM_FIELDS}'
            'Content-Length: 0\r\n\r\n'
        ),
        'a stream of HTTP/1.0': (
            f'POST {STREAM_PATH} HTTP/1.0\r\n{_STREAM_FIELDS}'
            'Connection: keep-alive\r\nContent-Length: 0\r\n\r\n'
        ),
        'a read that asks for the close': (
            f'GET {READ_PATH} HTTP/1.1\r\n{_FIRST_FIELDS}'
            'Connection: close\r\n\r\n'
        ),
    }
)


def _render_write(length: int) -> bytes:
    return (
        f'POST /write/1 HTTP/1.1\r\n{_FIELDS}X-Attempt-Id: a2\r\n'
        f'Content-Length: {length}\r\n\r\n'
    ).encode()


@given('an entry with {size:d} bytes for bodies')
def start_small(context: Any, size: int) -> None:
    """Start an entry with little memory."""
    start_world(context, 1, 1, memory_bytes=size * _BODY_MEMORY_PARTS)
    settings = context.cluster.settings[0]
    host, port = settings.listen_address.rsplit(':', 1)
    context.connection = create_connection((host, int(port)), _TIMEOUT_SECONDS)
    context.add_cleanup(context.connection.close)


@when('a caller sends {first}, and {size:d} bytes behind it')
def send_behind(context: Any, first: str, size: int) -> None:
    """Send two requests at once, the second one with a body."""
    context.connection.sendall(
        _FIRST_REQUESTS[first].encode() + _render_write(size) + bytes(size)
    )


@when(
    'a caller sends {first}, and all but the last {missing:d} of {size:d} '
    'bytes behind it'
)
def send_most(context: Any, first: str, missing: int, size: int) -> None:
    """Send two requests, the second one without the end of its body."""
    content = _FIRST_REQUESTS[first].encode() + _render_write(size)
    context.connection.sendall(content + bytes(size - missing))
    frontend = context.cluster.entries[0]._frontend
    wait_until(lambda: frontend.held_body_bytes == size - missing)


@when('the caller sends the last {size:d} bytes')
def send_rest(context: Any, size: int) -> None:
    """Send the end of the body at once."""
    context.connection.sendall(bytes(size))


@then('the caller gets {count:d} answer, and the connection closes')
@then('the caller gets {count:d} answers, and the connection closes')
def check_answers(context: Any, count: int) -> None:
    """Read to the end of the connection."""
    received = bytearray()
    try:
        while block := context.connection.recv(_READ_BYTES):
            received += block
    except ConnectionResetError:
        # Closed while it held unread bytes.
        gevent.sleep(0)
    assert received.count(_STATUS_LINE) == count, received
    context.received = bytes(received)


@then('the last answer is the refusal {reason:w}')
def check_refusal(context: Any, reason: str) -> None:
    """Check the end of what the caller received."""
    last = context.received.rpartition(_STATUS_LINE)[2]
    assert f'"reason":"{reason}"'.encode() in last, context.received


@then('no server has received the body')
def check_not_served(context: Any) -> None:
    """Check the requests that the servers received."""
    methods = [
        received.method
        for server in context.cluster.servers
        for received in server.received
    ]
    assert 'POST' not in methods, methods


@then('the entry holds no bytes of bodies')
def check_released(context: Any) -> None:
    """Wait until no connection is open, then look at the budget."""
    frontend = context.cluster.entries[0]._frontend
    wait_until(lambda: not frontend.connections)
    assert not frontend.held_body_bytes, frontend.held_body_bytes
