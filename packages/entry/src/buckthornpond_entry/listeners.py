"""Listener for callers, with limits for slow and malformed requests."""

import errno
import itertools
import resource
import socket as standard_socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Any, cast

import gevent
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.paced_sockets import pace_reads

EXCHANGE_ENVIRON_KEY = 'buckthornpond.exchange'

_MAX_HEAD_BYTES = 65_536
_LINGER_TIMEOUT_SECONDS = 1
_MAX_LINGER_BYTES = 33_554_432
_LINGER_BLOCK_BYTES = 65_536
_LISTEN_BACKLOG = 1024
# One in so many places is kept free.
_PLACES_PER_FREE_ONE = 16
_REQUEST_TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
_BAD_REQUEST_RESPONSE = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class CallerExchange:
    """One request and its response on a caller's connection.

    :param connection: the caller's socket.
    :param raw_path: path and query as the caller sent them.
    """

    __slots__ = ('_cleanups', 'connection', 'is_served', 'raw_path')

    def __init__(self, connection: Any, raw_path: str) -> None:
        self.connection = connection
        self.raw_path = raw_path
        # Whether the request has been passed on.
        self.is_served = False
        self._cleanups: list[Callable[[], None]] = []

    def add_cleanup(self, cleanup: Callable[[], None]) -> None:
        """Add a function to run once the response is written or abandoned.

        :param cleanup: the function.
        """
        self._cleanups.append(cleanup)

    def run_cleanups(self) -> None:
        """Run the clean-up functions in reverse order of their addition."""
        while self._cleanups:
            self._cleanups.pop()()


class _HeadReader:
    """Reads a request head by line, limits its size and detects its end."""

    __slots__ = ('_received_bytes', '_rfile', 'is_complete')

    def __init__(self, rfile: Any) -> None:
        self._rfile = rfile
        self._received_bytes = 0
        self.is_complete = False

    def readline(self, limit_bytes: int) -> bytes:
        """Return the next line.

        :param limit_bytes: maximum length of the line.
        :raises ValueError: when the head is too long.
        """
        line: bytes = self._rfile.readline(limit_bytes)
        self._received_bytes += len(line)
        if self._received_bytes > _MAX_HEAD_BYTES:
            raise ValueError('request head too long')
        self.is_complete = line in {b'\r\n', b'\n'}
        return line


class _BoundedInput(Input):
    """Body of a request that does not wait for its unread part."""

    __slots__ = ()

    @property
    def is_unread(self) -> bool:
        """Whether part of the body has not been read."""
        is_incomplete = self.position < (self.content_length or 0)
        return is_incomplete or bool(self.chunked_input)

    # Overrides the base class.
    def _discard(self) -> None:
        """Skip reading; the connection closes after the response."""


class _Handler(WSGIHandler):
    """Serves one connection with limits on time and memory."""

    server: 'CallerListener'

    def handle(self) -> None:
        self.socket.setsockopt(
            standard_socket.IPPROTO_TCP,
            standard_socket.TCP_NODELAY,
            1,
        )
        super().handle()

    def handle_one_request(self) -> Any:
        # Requests that were sent ahead are served in turn with those of others.
        gevent.sleep(0)
        # The result of the base class decides whether the connection is kept.
        self._head_timeout = gevent.Timeout(self.server.head_timeout_seconds)
        self.requestline = None
        self.socket.settimeout(None)
        try:
            with self._head_timeout:
                return super().handle_one_request()
        except gevent.Timeout as expired:
            if expired is not self._head_timeout:
                raise
            self._handle_head_timeout()
        except ValueError:
            self._count_closed('head_invalid')
            self._refuse_head(_BAD_REQUEST_RESPONSE)
        finally:
            self.server.active_handlers.discard(self)
        return None

    # Overrides the base class.
    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        reader = _HeadReader(self.rfile)
        headers = super().MessageClass(cast(Any, reader))
        if not reader.is_complete:
            raise ValueError('request head truncated')
        return headers

    # Overrides the base class.
    def get_environ(self) -> dict[str, Any]:  # noqa: WPS615
        self._head_timeout.close()
        self.server.active_handlers.add(self)
        environ: dict[str, Any] = super().get_environ()
        parsed: Any = self.wsgi_input
        self._input = _BoundedInput(
            self.rfile,
            self.content_length,
            socket=parsed.socket,
            chunked_input=parsed.chunked_input,
        )
        self.wsgi_input = self._input
        environ['wsgi.input'] = self._input
        self._exchange = CallerExchange(self.socket, str(self.path))
        environ[EXCHANGE_ENVIRON_KEY] = self._exchange
        self.server.places.begin(self._exchange)
        return environ

    def start_response(
        self,
        status: str,
        headers: list[tuple[str, str]],
        exc_info: Any = None,
    ) -> Any:
        if self.server.is_stopping or self._input.is_unread:
            headers = [*headers, ('Connection', 'close')]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self) -> None:
        try:
            super().handle_one_response()
        finally:
            self._end_exchange()
        if self._input.is_unread:
            self._linger()

    def _end_exchange(self) -> None:
        self._exchange.is_served = False
        self._exchange.run_cleanups()
        self.server.places.renew(self.socket)

    def _handle_head_timeout(self) -> None:
        if self.requestline is None:
            # The connection was idle: no request line was received.
            self._count_closed('idle')
            return
        self._count_closed('head_timeout')
        self._refuse_head(_REQUEST_TIMEOUT_RESPONSE)

    def _handle_client_error(self, ex: Exception) -> None:
        self._count_closed('head_invalid')
        self._refuse_head(_BAD_REQUEST_RESPONSE)

    def _refuse_head(self, response: bytes) -> None:
        self._head_timeout.close()
        self.socket.settimeout(_LINGER_TIMEOUT_SECONDS)
        try:
            self.socket.sendall(response)
        except OSError:
            return
        self._linger()

    def _linger(self) -> None:
        # Closing a socket with unread bytes would reset the connection before
        # the caller has read the response.
        try:
            self.socket.shutdown(standard_socket.SHUT_WR)
            with gevent.Timeout(_LINGER_TIMEOUT_SECONDS):
                self._read_remaining()
        except (OSError, gevent.Timeout):
            self._count_closed('body_unread')

    def _read_remaining(self) -> None:
        remaining_bytes = _MAX_LINGER_BYTES
        while remaining_bytes > 0:
            block = self.socket.recv(_LINGER_BLOCK_BYTES)
            if not block:
                return
            remaining_bytes -= len(block)

    def _sendall(self, data: bytes) -> None:
        send = super()._sendall  # type: ignore[misc]
        if self.socket.gettimeout() is None:
            # A response of the entry itself, for which there is no deadline.
            self.socket.settimeout(self.server.head_timeout_seconds)
        try:
            send(data)
        except TimeoutError as expired:
            self._count_closed('write_timeout')
            self._discard_send_buffer()
            raise BrokenPipeError(errno.EPIPE, 'write timeout') from expired

    def _discard_send_buffer(self) -> None:
        # Otherwise, the kernel keeps the send buffer of a closed connection
        # for as long as the caller acknowledges zero-window probes.
        self.socket.setsockopt(
            standard_socket.SOL_SOCKET,
            standard_socket.SO_LINGER,
            struct.pack('ii', 1, 0),
        )

    def _count_closed(self, reason: str) -> None:
        self.server.metrics.count('closed_connections', reason)


class ConnectionPlaces:
    """Open connections of callers, in the order of their last response.

    :param most_count: connections that may be open.
    """

    __slots__ = ('_exchanges', '_free_count', 'most_count')

    def __init__(self, most_count: int) -> None:
        self.most_count = most_count
        # Of these, what stays free so that callers who connect are accepted.
        self._free_count = max(most_count // _PLACES_PER_FREE_ONE, 1)
        # Each connection with the exchange that began last on it.
        self._exchanges: dict[Any, CallerExchange | None] = {}

    def add(self, connection: Any) -> None:
        """Add a connection, and close others if hardly any place is left.

        One whose request has been passed on stays open.

        :param connection: the caller's socket.
        """
        self._exchanges[connection] = None
        missing_count = (
            len(self._exchanges) + self._free_count - self.most_count
        )
        if missing_count <= 0:
            return
        standing = (
            each
            for each, exchange in self._exchanges.items()
            if exchange is None or not exchange.is_served
        )
        for each in list(itertools.islice(standing, missing_count)):
            self.remove(each)
            # Its handler, which waits for the caller, ends with an error.
            with suppress(OSError):
                each.shutdown(standard_socket.SHUT_RDWR)

    def begin(self, exchange: CallerExchange) -> None:
        """Remember the exchange of a connection.

        :param exchange: exchange that begins.
        """
        self._exchanges[exchange.connection] = exchange

    def renew(self, connection: Any) -> None:
        """Remember that a response has just ended on a connection.

        :param connection: the caller's socket.
        """
        exchange = self._exchanges.pop(connection, None)
        if exchange is not None:
            self._exchanges[connection] = exchange

    def remove(self, connection: Any) -> None:
        """Forget a connection.

        :param connection: the caller's socket.
        """
        self._exchanges.pop(connection, None)


def _limit_connections(max_connections: int) -> int:
    """Return how many connections the descriptors of the process allow."""
    descriptor_count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return max(min(max_connections, descriptor_count // 2), 2)


class CallerListener(WSGIServer):
    """Listener for callers.

    :param address: IP address and port to listen on.
    :param application: the WSGI application.
    :param head_timeout_seconds: maximum wait for a request head, which is
        also the maximum idle time of a connection.
    :param send_buffer_bytes: size of the kernel's send buffer of each
        connection.
    :param metrics: counters of the process.
    :param max_connections: most connections, of which half of the descriptors
        of the process is the limit too.
    """

    handler_class = _Handler

    def __init__(
        self,
        address: str,
        application: Any,
        *,
        head_timeout_seconds: float,
        send_buffer_bytes: int,
        metrics: Metrics,
        max_connections: int,
    ) -> None:
        host, port = address.rsplit(':', 1)
        self.places = ConnectionPlaces(_limit_connections(max_connections))
        super().__init__(
            (host, int(port)),
            application,
            log=None,
            error_log=None,
            backlog=_LISTEN_BACKLOG,
            spawn=self.places.most_count,
        )
        self.head_timeout_seconds = head_timeout_seconds
        self.metrics = metrics
        self.is_stopping = False
        self.active_handlers: set[WSGIHandler] = set()
        self._send_buffer_bytes = send_buffer_bytes

    @property
    def active_count(self) -> int:
        """Number of requests whose response is not yet written."""
        return len(self.active_handlers)

    # Overrides the base class.
    def handle(self, client_socket: Any, address: Any) -> None:
        """Serve one connection."""
        connection = pace_reads(client_socket)
        connection.setsockopt(
            standard_socket.SOL_SOCKET,
            standard_socket.SO_SNDBUF,
            self._send_buffer_bytes,
        )
        self.places.add(connection)
        try:
            super().handle(connection, address)
        finally:
            self.places.remove(connection)
