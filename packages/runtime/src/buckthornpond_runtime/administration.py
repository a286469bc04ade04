"""Health and metrics of a process over HTTP."""

from collections.abc import Callable
from http import HTTPStatus

from gevent import socket
from gevent.server import StreamServer
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from .metrics import Metrics

_REQUEST_TIMEOUT_SECONDS = 5
_MAX_REQUEST_BYTES = 16_384
_READ_BYTES = 4096
_CONNECTION_COUNT = 64


class _Request:
    """Path of one request, filled by the parser."""

    __slots__ = ('is_complete', 'path')

    def __init__(self) -> None:
        self.path = ''
        self.is_complete = False

    def on_url(self, url: bytes) -> None:
        """Keep the path without its query."""
        self.path += url.decode('latin-1').partition('?')[0]

    def on_message_complete(self) -> None:
        """Note the end of the request."""
        self.is_complete = True


class AdministrationTask:
    """Owns the listener for health checks and scrapes.

    It answers one request for each connection.

    :param address: IP number and port to listen on.
    :param metrics: counters of the process.
    :param is_ready: tells whether the process takes new work.
    """

    __slots__ = ('_is_ready', '_metrics', '_server')

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ) -> None:
        self._metrics = metrics
        self._is_ready = is_ready
        host, port = address.rsplit(':', 1)
        self._server = StreamServer(
            (host, int(port)),
            self._serve,
            spawn=_CONNECTION_COUNT,
        )

    def run(self) -> None:
        """Serve until the process ends."""
        self._server.serve_forever()

    def _serve(
        self,
        connection: socket.socket,
        peer: tuple[str, int],
    ) -> None:
        connection.settimeout(_REQUEST_TIMEOUT_SECONDS)
        try:
            status, text = self._answer(connection)
            connection.sendall(_render(status, text))
        except OSError:
            self._metrics.count('administration_errors', 'connection')
        finally:
            connection.close()

    def _answer(self, connection: socket.socket) -> tuple[HTTPStatus, str]:
        try:
            request = _read_request(connection)
        except (HttpParserError, HttpParserUpgrade):
            return HTTPStatus.BAD_REQUEST, 'bad request\n'
        if request.path == '/livez':
            return HTTPStatus.OK, 'live\n'
        if request.path == '/readyz':
            if self._is_ready():
                return HTTPStatus.OK, 'ready\n'
            return HTTPStatus.SERVICE_UNAVAILABLE, 'not ready\n'
        if request.path == '/metrics':
            return HTTPStatus.OK, self._metrics.render()
        return HTTPStatus.NOT_FOUND, 'not found\n'


def _read_request(connection: socket.socket) -> _Request:
    request = _Request()
    parser = HttpRequestParser(request)
    read_bytes = 0
    while not request.is_complete:
        received = connection.recv(_READ_BYTES)
        read_bytes += len(received)
        if not received or read_bytes > _MAX_REQUEST_BYTES:
            raise HttpParserError('no whole request')
        parser.feed_data(received)
    return request


def _render(status: HTTPStatus, text: str) -> bytes:
    content = text.encode()
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        'content-type: text/plain; charset=utf-8\r\n'
        f'content-length: {len(content)}\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + content
