"""HTTP calls over one connection each, never repeated by the client."""

import socket as standard_socket
from datetime import timedelta

from gevent import sleep, socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from buckthornpond_core.exceptions import TargetError

_LINE_END = '\r\n'
_MAX_HEAD_BYTES = 65_536
_MAX_EVENT_BYTES = 1_048_576
_LOWEST_STATUS = 200
_HIGHEST_STATUS = 599
_BODILESS_STATUSES = frozenset((204, 304))


class _BoundedResponse(HTTPSocketResponse):
    """Response whose head, and what is buffered of its body, is bounded."""

    def __init__(self, connection: socket.socket, method: str) -> None:
        self._head_bytes = 0
        self._unyielded_bytes = 0
        super().__init__(connection, method=method)

    def feed(self, data: str | bytes) -> None:  # noqa: WPS110
        """Parse received bytes.

        :param data: what the socket returned.
        """
        if not self.headers_complete:
            self._head_bytes += len(data)
            if self._head_bytes > _MAX_HEAD_BYTES:
                raise HTTPParseError('response head too long')
        super().feed(data)
        if len(self._body_buffer) > _MAX_EVENT_BYTES:
            raise HTTPParseError('event too long')
        self._yield_turn(len(data))

    def _yield_turn(self, length_bytes: int) -> None:
        # A socket that is always readable would never let others run.
        self._unyielded_bytes += length_bytes
        if self._unyielded_bytes >= _MAX_HEAD_BYTES:
            self._unyielded_bytes = 0
            sleep(0)


class HttpCall:
    """One HTTP request on a connection of its own.

    The client of the library repeats some requests by itself; this one
    sends once and knows whether any byte may have left.

    :param address: IP number and port of the server.
    :param timeout: longest silence of the server.
    """

    __slots__ = ('_address', '_response', '_socket', '_timeout', 'is_sent')

    def __init__(self, address: str, timeout: timedelta) -> None:
        self._address = address
        self._timeout = timeout
        self._socket: socket.socket | None = None
        self._response: HTTPSocketResponse | None = None
        self.is_sent = False

    @property
    def response(self) -> HTTPSocketResponse:
        """Return the response whose head has arrived."""
        if self._response is None:
            raise self._fail('no response yet', 'read response')
        return self._response

    @property
    def content_type(self) -> str:
        """Return the content type of the response."""
        found = self.response.get('content-type', 'application/octet-stream')
        return str(found)

    def send(
        self,
        method: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        """Send the request and wait for the head of the response.

        :param method: HTTP method.
        :param path: path with query.
        :param body: whole body.
        :param headers: header fields besides host and length.
        :raises TargetError: when there is no valid head.
        """
        host, port = self._address.rsplit(':', 1)
        timeout_seconds = self._timeout.total_seconds()
        try:
            self._socket = socket.create_connection(
                (host, int(port)),
                timeout_seconds,
            )
        except OSError as error:
            raise self._fail(str(error), 'connect') from error
        self._socket.setsockopt(
            standard_socket.IPPROTO_TCP,
            standard_socket.TCP_NODELAY,
            1,
        )
        head = self._render_head(method, path, len(body), headers)
        self.is_sent = True
        try:
            self._socket.sendall(head + body)
            self._response = _BoundedResponse(self._socket, method=method)
        except Exception as error:
            raise self._fail(str(error) or repr(error), 'send') from error
        status_code = self._response.status_code
        if not _LOWEST_STATUS <= status_code <= _HIGHEST_STATUS:
            raise self._fail('status out of range', 'send')

    @property
    def has_length(self) -> bool:
        """Tell whether the end of the body can be told from a cut.

        A body that ends with the connection may have been truncated.
        """
        response = self.response
        return (
            response.method == 'HEAD'
            or response.status_code in _BODILESS_STATUSES
            or response.content_length is not None
            or 'transfer-encoding' in response
        )

    def read_event(self) -> bytes:
        """Return the next server-sent event, or nothing at the end."""
        try:
            return bytes(self.response.readline(b'\n\n'))
        except Exception as error:
            raise self._fail(str(error) or repr(error), 'read') from error

    def read_block(self, length_bytes: int) -> bytes:
        """Return the next bytes of the body, or nothing at the end.

        :param length_bytes: the most bytes to return.
        """
        try:
            return bytes(self.response.read(length_bytes))
        except Exception as error:
            raise self._fail(str(error) or repr(error), 'read') from error

    def close(self) -> None:
        """Close the connection, which cancels an unfinished call."""
        if self._socket is not None:
            self._socket.close()

    def _render_head(
        self,
        method: str,
        path: str,
        length_bytes: int,
        headers: dict[str, str],
    ) -> bytes:
        lines = [
            f'{method} {path} HTTP/1.1',
            f'host: {self._address}',
            f'content-length: {length_bytes}',
            'connection: close',
            *(f'{name}: {text}' for name, text in headers.items()),
        ]
        if any('\r' in line or '\n' in line for line in lines):
            raise self._fail('line break in a header field', 'render head')
        text = _LINE_END.join(lines) + _LINE_END * 2
        try:
            return text.encode('latin-1')
        except UnicodeEncodeError as error:
            raise self._fail(str(error), 'render head') from error

    def _fail(self, message: str, step: str) -> TargetError:
        return TargetError(
            message,
            step=step,
            peer=self._address,
            is_sent=self.is_sent,
        )
