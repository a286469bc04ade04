"""Stand-in of a target that sends malformed responses.

The path of the request names the fault.
"""

from collections.abc import Iterator
from types import MappingProxyType
from typing import Any

import gevent
from gevent.server import StreamServer

_MAX_READ_BYTES = 65_536
_STREAM_FIELD = b'Content-Type: text/event-stream\r\n'
_CHUNKED_FIELD = b'Transfer-Encoding: chunked\r\n'
_STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
_EVENT = b'data: {"choices":[{"text":"w0 "}]}\n\n'
_FILLER = b'x' * 16_384
_DRIP_INTERVAL_SECONDS = 0.05

_RESPONSES = MappingProxyType(
    {
        'whole': b'%bContent-Length: 5\r\n\r\nwhole' % _STATUS_LINE,
        'empty': b'',
        'garbage head': b'\x00\x01\xff nonsense\r\n\r\n',
        'odd status': b'HTTP/1.1 999 Odd\r\nContent-Length: 0\r\n\r\n',
        'cut head': b'%bContent-Le' % _STATUS_LINE,
        'cut body': b'%bContent-Length: 10\r\n\r\nhello' % _STATUS_LINE,
        'cut chunk': b'%b%b\r\n5\r\nhello\r\n5\r\nhe'
        % (_STATUS_LINE, _CHUNKED_FIELD),
        'no length': b'%b\r\nhello' % _STATUS_LINE,
        'two lengths': (
            b'%bContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello'
            % _STATUS_LINE
        ),
        'odd type': (
            b'%bContent-Type: a\xff\x01\r\nContent-Length: 1\r\n\r\nw'
            % _STATUS_LINE
        ),
        'no content': b'HTTP/1.1 204 No Content\r\n\r\n',
        'cut stream': b'%b%b\r\n%b' % (_STATUS_LINE, _STREAM_FIELD, _EVENT),
        'cut event': b'%b%b\r\n%bdata: {"cho'
        % (_STATUS_LINE, _STREAM_FIELD, _EVENT),
        'error event': (
            b'%b%b\r\n%bevent: error\ndata: {}\n\n'
            % (_STATUS_LINE, _STREAM_FIELD, _EVENT)
        ),
    },
)


def _repeat_part(head: bytes, part: bytes) -> Iterator[bytes]:
    yield head
    while True:
        yield part


def _drip_header() -> Iterator[bytes]:
    for part in _repeat_part(_STATUS_LINE, b'X: y\r\n'):
        yield part
        gevent.sleep(_DRIP_INTERVAL_SECONDS)


def find_response(fault: str) -> Iterator[bytes]:
    """Return the parts of a response, which may be endless.

    :param fault: name of the fault.
    :raises KeyError: if the fault is unknown.
    """
    if fault == 'endless head':
        return _repeat_part(_STATUS_LINE, b'X: %b\r\n' % _FILLER)
    if fault == 'endless body':
        return _repeat_part(
            b'%b%b\r\n' % (_STATUS_LINE, _CHUNKED_FIELD),
            b'4000\r\n%b\r\n' % _FILLER,
        )
    if fault == 'endless event':
        return _repeat_part(
            b'%b%b\r\n' % (_STATUS_LINE, _STREAM_FIELD), _FILLER
        )
    if fault == 'dripping head':
        return _drip_header()
    return iter([_RESPONSES[fault]])


class FaultyServer(StreamServer):
    """TCP server that sends the response that the path names.

    :param address: IP address and port to listen on.
    """

    def __init__(self, address: str) -> None:
        host, port = address.rsplit(':', 1)
        super().__init__((host, int(port)), self._serve)

    def _serve(self, connection: Any, address: Any) -> None:
        try:
            self._respond(connection)
        except OSError:
            return
        finally:
            connection.close()

    def _respond(self, connection: Any) -> None:
        head = b''
        while b'\r\n\r\n' not in head:
            block = connection.recv(_MAX_READ_BYTES)
            if not block:
                return
            head += block
        path = head.split(b' ', 2)[1].decode()
        fault = path.strip('/').replace('%20', ' ')
        for part in find_response(fault):
            connection.sendall(part)
