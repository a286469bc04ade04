"""Stand-in of a target that breaks the protocol in a way its path names."""

from collections.abc import Iterator
from types import MappingProxyType
from typing import Any

import gevent
from gevent.server import StreamServer

_READ_BYTES = 65_536
_STREAM = b'Content-Type: text/event-stream\r\n'
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_OK = b'HTTP/1.1 200 OK\r\n'
_EVENT = b'data: {"choices":[{"text":"w0 "}]}\n\n'
_BLOCK = b'x' * 16_384
_PAUSE_SECONDS = 0.05

_ANSWERS = MappingProxyType(
    {
        'whole': b'%bContent-Length: 5\r\n\r\nwhole' % _OK,
        'empty': b'',
        'garbage head': b'\x00\x01\xff nonsense\r\n\r\n',
        'odd status': b'HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n',
        'cut head': b'%bContent-Le' % _OK,
        'cut body': b'%bContent-Length: 10\r\n\r\nhello' % _OK,
        'cut chunk': b'%b%b\r\n5\r\nhello\r\n5\r\nhe' % (_OK, _CHUNKED),
        'no length': b'%b\r\nhello' % _OK,
        'two lengths': (
            b'%bContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello' % _OK
        ),
        'odd type': (
            b'%bContent-Type: a\xff\x01\r\nContent-Length: 1\r\n\r\nw' % _OK
        ),
        'no content': b'HTTP/1.1 204 No Content\r\n\r\n',
        'cut stream': b'%b%b\r\n%b' % (_OK, _STREAM, _EVENT),
        'cut event': b'%b%b\r\n%bdata: {"cho' % (_OK, _STREAM, _EVENT),
        'error event': (
            b'%b%b\r\n%bevent: error\ndata: {}\n\n' % (_OK, _STREAM, _EVENT)
        ),
    },
)


def _repeat(head: bytes, part: bytes) -> Iterator[bytes]:
    yield head
    while True:
        yield part


def _drip() -> Iterator[bytes]:
    for part in _repeat(_OK, b'X: y\r\n'):
        yield part
        gevent.sleep(_PAUSE_SECONDS)


def find_answer(name: str) -> Iterator[bytes]:
    """Return the parts of an answer.

    :param name: which fault it has.
    """
    if name == 'endless head':
        return _repeat(_OK, b'X: %b\r\n' % _BLOCK)
    if name == 'endless body':
        return _repeat(
            b'%b%b\r\n' % (_OK, _CHUNKED), b'4000\r\n%b\r\n' % _BLOCK
        )
    if name == 'endless event':
        return _repeat(b'%b%b\r\n' % (_OK, _STREAM), _BLOCK)
    if name == 'dripping head':
        return _drip()
    return iter([_ANSWERS[name]])


class FaultyServer(StreamServer):
    """Listener that answers each request with the fault its path names.

    :param address: IP number and port to listen on.
    """

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(':', 1)
        super().__init__((host, int(port)), self._serve)

    def _serve(self, connection: Any, address: Any) -> None:
        try:
            self._answer(connection)
        except OSError:
            return
        finally:
            connection.close()

    def _answer(self, connection: Any) -> None:
        head = b''
        while b'\r\n\r\n' not in head:
            block = connection.recv(_READ_BYTES)
            if not block:
                return
            head += block
        path = head.split(b' ', 2)[1].decode()
        name = path.strip('/').replace('%20', ' ')
        for part in find_answer(name):
            connection.sendall(part)
