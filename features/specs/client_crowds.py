"""Crowds of clients that send much, read nothing and stay connected."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

import gevent
from gevent.socket import AF_INET, SOCK_STREAM, socket

from buckthornpond_platform_standins.local_clusters import API_KEY, HOST
from buckthornpond_standins.fleets import CREDENTIAL

MAX_HEAD_BYTES = 16_384
MAX_BODY_BYTES = 4_194_304
_AGENT_HEAD_BYTES = 65_000
_SEND_SECONDS = 6.0
_AHEAD_BYTES = 1_048_576
# Long enough to fill the buffers on the way.
_SMALL_CHUNK_COUNT = 700_000
_CHUNK_BYTES = 16_384
_FIELDS = (
    f'Host: {HOST}\r\nX-Attempt-Id: 1\r\nAuthorization: Token {API_KEY}\r\n'
).encode()


def make_odd_lines(line: Callable[[int], bytes], head_bytes: int) -> bytes:
    """Return header lines of a total length.

    :param line: returns a header line by its number.
    :param head_bytes: most bytes of all lines.
    """
    lines = []
    room_bytes = head_bytes
    while True:
        lines.append(line(len(lines)))
        room_bytes -= len(lines[-1])
        if room_bytes < 0:
            return b''.join(lines[:-1])


def _make_head(
    start: bytes, line: Callable[[int], bytes], end: bytes = b''
) -> bytes:
    head = b'%b HTTP/1.1\r\n%b%b' % (start, _FIELDS, end)
    room_bytes = MAX_HEAD_BYTES - len(head) - len('\r\n')
    return head + make_odd_lines(line, room_bytes)


def _make_post(framing: bytes) -> bytes:
    return b'POST /write/1 HTTP/1.1\r\n%b%b\r\n\r\n' % (_FIELDS, framing)


def _number_line(number: int) -> bytes:
    return b'%x:\r\n' % number


def _make_parts(count: int) -> bytes:
    entries = b','.join(b'%x:1' % number for number in range(count))
    return b'X-Prefix-Hash: %b\r\n' % entries


def _fold_line(number: int) -> bytes:
    return b' a\r\n' if number else b'X-A: a\r\n'


def _repeat(request: bytes) -> bytes:
    return request * (_AHEAD_BYTES // len(request))


_LONG_PATH = b'/a' * 7500
_PART_COUNT = 2000
_LENGTH = b'Content-Length: 16000\r\n'
_SHORT_LINES = _make_head(b'POST /write/1', _number_line, _LENGTH)
_SOME_LINES = b''.join(_number_line(number) for number in range(200))
# No more than a reader of 256 fields takes.
_LONGER_LINES = _make_post(
    _LENGTH
    + b'\r\n'.join(b'%x: %b' % (number, b'a' * 56) for number in range(250))
)
_LONG_BODY = _make_post(b'Content-Length: %d' % MAX_BODY_BYTES)
_CHUNKED = _make_post(b'Transfer-Encoding: chunked')
_LONG_CHUNK = b'%x\r\n%b\r\n' % (_CHUNK_BYTES, bytes(_CHUNK_BYTES))
_LONG_CHUNK_COUNT = MAX_BODY_BYTES // _CHUNK_BYTES - 1

_AGENT_FIELDS = f'Host: a\r\nAuthorization: Bearer {CREDENTIAL}\r\n'.encode()
_AGENT_POST = b'POST /v1/services/lots/accept HTTP/1.1\r\n%b' % _AGENT_FIELDS
_AGENT_BODY = b'%bContent-Length: %d\r\n\r\n%b' % (
    _AGENT_POST,
    MAX_BODY_BYTES,
    bytes(MAX_BODY_BYTES - 1),
)

# What each client of a crowd sends, all of it inside the limits.
_SHAPES: Mapping[str, Callable[[], bytes]] = MappingProxyType(
    {
        'leave a long answer unread': lambda: (
            b'GET /long/1 HTTP/1.1\r\n%bX-Deadline-Ms: 20000\r\n\r\n' % _FIELDS
        ),
        'send one byte': lambda: b'G',
        'send heads of short lines that do not end': lambda: _SHORT_LINES,
        'send heads of folded lines that do not end': lambda: _make_head(
            b'GET /read/1', _fold_line
        ),
        'send heads of connection options that do not end': lambda: _make_head(
            b'GET /read/1', lambda _: b'Connection: a,b,c,d,e,f,g,h,i,j,k\r\n'
        ),
        'send short lines and all but the end of a body': lambda: (
            b'%b\r\n%b' % (_SHORT_LINES, bytes(15_999))
        ),
        'send longer lines and all but the end of a body': lambda: (
            _LONGER_LINES + bytes(15_999)
        ),
        'send all but the end of a long body': lambda: (
            _LONG_BODY + bytes(MAX_BODY_BYTES - 1)
        ),
        'send all but the end of a body in chunks': lambda: (
            _CHUNKED + _LONG_CHUNK * _LONG_CHUNK_COUNT
        ),
        'send all but the end of a body in chunks of a byte': lambda: (
            _CHUNKED + b'1\r\na\r\n' * _SMALL_CHUNK_COUNT
        ),
        'send all but the end of a long body to a service': lambda: _AGENT_BODY,
        'send heads of short lines to a service': lambda: (
            _AGENT_POST + make_odd_lines(_number_line, _AGENT_HEAD_BYTES)
        ),
        'send requests ahead': lambda: _repeat(
            b'GET /nowhere HTTP/1.1\r\n%b\r\n' % _FIELDS
        ),
        'send requests without an ID ahead': lambda: _repeat(
            b'GET /nowhere HTTP/1.1\r\n\r\n'
        ),
        'send bare requests ahead': lambda: _repeat(b'GET / HTTP/1.1\r\n\r\n'),
        'send requests of long paths ahead': lambda: _repeat(
            b'GET %b HTTP/1.1\r\n%b\r\n' % (_LONG_PATH, _FIELDS)
        ),
        'send requests of many prompt parts ahead': lambda: _repeat(
            b'GET /nowhere HTTP/1.1\r\n%b%b\r\n'
            % (_FIELDS, _make_parts(_PART_COUNT))
        ),
        'send requests of short lines ahead': lambda: _repeat(
            b'GET /nowhere HTTP/1.1\r\n%b%b\r\n' % (_FIELDS, _SOME_LINES)
        ),
    }
)


def _make_chunks(chunk_bytes: int, count: int) -> bytes:
    chunk = b'%x\r\n%b\r\n' % (chunk_bytes, b'a' * chunk_bytes)
    return b'%b%b0\r\n\r\n' % (_CHUNKED, chunk * count)


def _make_read(lines: bytes) -> bytes:
    return b'GET /read/1 HTTP/1.1\r\n%b%b\r\n' % (_FIELDS, lines)


def make_allowed_request(kind: str, count: int) -> bytes:
    """Return a whole request inside the limits.

    :param kind: what there is much of.
    :param count: how many of it.
    """
    if kind == 'short lines':
        return _make_read(b''.join(_number_line(each) for each in range(count)))
    if kind == 'empty lines':
        return _make_read(b'a:\r\n' * count)
    if kind == 'bytes in a line':
        return _make_read(b'X-A: %b\r\n' % (b'a' * count))
    if kind == 'prompt parts':
        return _make_read(_make_parts(count))
    if kind == 'chunks of a byte':
        return _make_chunks(1, count)
    if kind == 'chunks of 16 KiB':
        return _make_chunks(_CHUNK_BYTES, count)
    head = _make_post(b'Content-Length: %d' % count)
    return head + bytes(count)


class ClientCrowd:
    """Clients that send the same bytes, read nothing and stay connected.

    :param address: IP address and port of the listener.
    :param count: number of clients.
    :param shape: what each of them sends.
    """

    __slots__ = ('_address', '_connections', '_content', '_count')

    def __init__(self, address: str, count: int, shape: str) -> None:
        self._address = address
        self._count = count
        self._content = memoryview(_SHAPES[shape]())
        self._connections: list[socket] = []

    def send(self) -> None:
        """Send until the listener takes no more, or for some seconds."""
        senders = [gevent.spawn(self._send_one) for _ in range(self._count)]
        gevent.joinall(senders, timeout=_SEND_SECONDS)
        gevent.killall(senders)

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.close()

    def _send_one(self) -> None:
        host, port = self._address.rsplit(':', 1)
        connection = socket(AF_INET, SOCK_STREAM)
        self._connections.append(connection)
        try:
            connection.connect((host, int(port)))
            connection.sendall(self._content)
        except OSError:
            # The listener may refuse such a client, or close its connection.
            return
