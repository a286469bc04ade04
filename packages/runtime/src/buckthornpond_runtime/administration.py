"""HTTP endpoints of a process: health, metrics and queries of peers."""

from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import TypeAlias

from gevent import Timeout, socket
from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from .metrics import Metrics
from .paced_sockets import PacedSocket, pace_reads
from .task_servers import TaskServer

_REQUEST_TIMEOUT_SECONDS = 5
_MAX_REQUEST_BYTES = 16_384
_READ_BYTES = 4096
_MAX_CONNECTIONS = 64
# Of these, what stays free so that a health check is always accepted.
_FREE_CONNECTIONS = 8
_TEXT_TYPE = 'text/plain; charset=utf-8'


class EndpointResponse:
    """HTTP response of an endpoint.

    :param status: HTTP status.
    :param content: body.
    :param content_type: media type of the body.
    """

    __slots__ = ('content', 'content_type', 'status')

    def __init__(
        self,
        status: HTTPStatus,
        content: bytes,
        content_type: str = _TEXT_TYPE,
    ) -> None:
        self.status = status
        self.content = content
        self.content_type = content_type


EndpointHandler: TypeAlias = Callable[[str], EndpointResponse]


class _Request:
    """Path and query of one request, filled by the parser."""

    __slots__ = ('is_complete', 'url')

    def __init__(self) -> None:
        self.url = ''
        self.is_complete = False

    def on_url(self, url: bytes) -> None:
        """Append a part of the path and query."""
        self.url += url.decode('latin-1')

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.is_complete = True


class EndpointTask:
    """Owns an HTTP listener and serves one request per connection.

    :param address: IP address and port to listen on.
    :param handlers: handler of each path, called with the query string.
    :param metrics: counters of the process.
    """

    __slots__ = ('_connections', '_handlers', '_metrics', '_server')

    def __init__(
        self,
        address: str,
        handlers: Mapping[str, EndpointHandler],
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._handlers = handlers
        # Open connections, the oldest first.
        self._connections: dict[PacedSocket, None] = {}
        host, port = address.rsplit(':', 1)
        self._server = TaskServer(
            (host, int(port)),
            self._serve,
            spawn=_MAX_CONNECTIONS,
        )

    def run(self) -> None:
        """Serve until the process ends."""
        self._server.serve_forever()

    def _serve(
        self,
        accepted: socket.socket,
        peer: tuple[str, int],
    ) -> None:
        connection = pace_reads(accepted)
        connection.settimeout(_REQUEST_TIMEOUT_SECONDS)
        self._connections[connection] = None
        self._make_room()
        try:
            connection.sendall(_encode_response(self._respond(connection)))
        except OSError:
            self._metrics.count('administration_errors', 'connection')
        finally:
            self._connections.pop(connection, None)
            connection.close()

    def _make_room(self) -> None:
        """Close the oldest connections if hardly any more can be accepted."""
        while len(self._connections) > _MAX_CONNECTIONS - _FREE_CONNECTIONS:
            oldest = next(iter(self._connections))
            self._connections.pop(oldest)
            # Its task, which waits for the peer, ends with an error.
            oldest.close()

    def _respond(self, connection: socket.socket) -> EndpointResponse:
        try:
            with Timeout(_REQUEST_TIMEOUT_SECONDS, TimeoutError()):
                request = _read_request(connection)
        except (HttpParserError, HttpParserUpgrade):
            return EndpointResponse(HTTPStatus.BAD_REQUEST, b'bad request\n')
        path, _, query = request.url.partition('?')
        handler = self._handlers.get(path)
        if handler is None:
            return EndpointResponse(HTTPStatus.NOT_FOUND, b'not found\n')
        return handler(query)


class AdministrationTask(EndpointTask):
    """Owns the listener for health checks and metrics scrapes.

    :param address: IP address and port to listen on.
    :param metrics: counters of the process.
    :param is_ready: returns whether the process accepts new work.
    """

    __slots__ = ('_is_ready',)

    def __init__(
        self,
        address: str,
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ) -> None:
        self._is_ready = is_ready
        handlers: Mapping[str, EndpointHandler] = {
            '/livez': _show_liveness,
            '/readyz': self._show_readiness,
            '/metrics': self._show_metrics,
        }
        super().__init__(address, handlers, metrics)

    def _show_readiness(self, query: str) -> EndpointResponse:
        if self._is_ready():
            return EndpointResponse(HTTPStatus.OK, b'ready\n')
        return EndpointResponse(HTTPStatus.SERVICE_UNAVAILABLE, b'not ready\n')

    def _show_metrics(self, query: str) -> EndpointResponse:
        return EndpointResponse(HTTPStatus.OK, self._metrics.render().encode())


def _show_liveness(query: str) -> EndpointResponse:
    return EndpointResponse(HTTPStatus.OK, b'live\n')


def _read_request(connection: socket.socket) -> _Request:
    request = _Request()
    parser = HttpRequestParser(request)
    read_bytes = 0
    while not request.is_complete:
        received = connection.recv(_READ_BYTES)
        read_bytes += len(received)
        if not received or read_bytes > _MAX_REQUEST_BYTES:
            raise HttpParserError('request incomplete or too large')
        parser.feed_data(received)
    return request


def _encode_response(response: EndpointResponse) -> bytes:
    status = response.status
    head = (
        f'HTTP/1.1 {status.value} {status.phrase}\r\n'
        f'content-type: {response.content_type}\r\n'
        f'content-length: {len(response.content)}\r\n'
        'connection: close\r\n\r\n'
    )
    return head.encode() + response.content
