"""HTTP calls without automatic retries."""

from datetime import timedelta

from buckthornpond_core.exceptions import TargetError

from .clocks import SystemClock
from .connections import HttpConnection
from .responses import HttpResponse

_LINE_END = '\r\n'
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'
_LOWEST_STATUS = 200
_HIGHEST_STATUS = 599


class HttpCall:
    """One HTTP request on a connection of its own.

    HTTP libraries retry some requests by themselves. This client sends a
    request once and records whether any byte may have been sent.

    :param address: IP address and port of the server.
    :param timeout: longest silence of the server.
    :param time_limit: longest time until the response is complete; ``None``
        sets no limit.
    """

    __slots__ = (
        '_address',
        '_clock',
        '_connection',
        '_deadline',
        '_response',
        '_timeout',
        'is_sent',
    )

    def __init__(
        self,
        address: str,
        timeout: timedelta,
        time_limit: timedelta | None = None,
    ) -> None:
        self._address = address
        self._clock = SystemClock()
        self._deadline: timedelta | None = None
        if time_limit is not None:
            self._deadline = self._clock.monotonic() + time_limit
        self._timeout = timeout
        self._connection = HttpConnection(address)
        self._response: HttpResponse | None = None
        self.is_sent = False

    @property
    def response(self) -> HttpResponse:
        """Response, available once its head has arrived."""
        if self._response is None:
            raise self._fail('response head has not arrived', 'read response')
        return self._response

    @property
    def content_type(self) -> str:
        """Content type of the response."""
        return self.response.get('content-type', _DEFAULT_CONTENT_TYPE)

    @property
    def is_body_delimited(self) -> bool:
        """Whether the head says how the body ends.

        A body that ends with the connection may have been truncated.
        """
        return self.response.is_body_delimited

    @property
    def buffered_bytes(self) -> int:
        """Number of received body bytes that nobody has taken yet."""
        return 0 if self._response is None else self._response.buffered_bytes

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
        :param headers: header fields other than Host and Content-Length.
        :raises TargetError: when there is no valid head.
        """
        head = self._render_head(method, path, len(body), headers)
        self._connection.connect(self._timeout)
        response = HttpResponse(method)
        self.is_sent = True
        self._connection.send(head + body)
        while not response.is_head_complete:
            self._receive(response, 'send')
        if not _LOWEST_STATUS <= response.status_code <= _HIGHEST_STATUS:
            raise self._fail('status code out of range', 'send')
        self._response = response

    def read_event(self) -> bytes:
        """Return the next server-sent event, or ``b''`` at the end."""
        return self.read_events(0)

    def read_events(self, limit_bytes: int) -> bytes:
        """Return all complete buffered events, waiting for the first.

        :param limit_bytes: most bytes to return, unless one event is longer.
        """
        response = self.response
        while True:
            found = response.take_events(limit_bytes)
            if found or response.is_complete:
                return found
            self._receive(response, 'read')

    def read_block(self, length_bytes: int) -> bytes:
        """Return the next bytes of the body, or ``b''`` at the end.

        :param length_bytes: most bytes to return; fewer mark the end.
        """
        response = self.response
        while not response.has_buffered(length_bytes):
            self._receive(response, 'read')
        return response.take(length_bytes)

    def close(self) -> None:
        """Close the connection and thereby cancel an unfinished call."""
        self._connection.close()

    def _receive(self, response: HttpResponse, step: str) -> None:
        if self._deadline is not None:
            remaining = self._deadline - self._clock.monotonic()
            if remaining <= timedelta():
                raise self._fail('response not complete in time', step)
            self._connection.set_timeout(min(remaining, self._timeout))
        self._connection.receive(response, step)

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
