"""HTTP calls over one connection each, never repeated by the client."""

import socket as standard_socket
from datetime import timedelta

from gevent import socket
from geventhttpclient.response import HTTPSocketResponse

from buckthornpond_core.exceptions import TargetError

_LINE_END = '\r\n'


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
            self._response = HTTPSocketResponse(self._socket, method=method)
        except Exception as error:
            raise self._fail(str(error) or repr(error), 'send') from error

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
        return text.encode('latin-1')

    def _fail(self, message: str, step: str) -> TargetError:
        return TargetError(
            message,
            step=step,
            peer=self._address,
            is_sent=self.is_sent,
        )
