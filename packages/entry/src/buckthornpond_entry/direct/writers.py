"""Writing side of a caller's connection."""

import struct
from collections.abc import Sequence
from contextlib import suppress
from datetime import timedelta
from http import HTTPStatus

import gevent
import msgspec
from gevent.socket import SHUT_WR, SO_LINGER, SOL_SOCKET

from buckthornpond_core.refusals import find_refusal
from buckthornpond_core.serving.effects import HeaderFields, ResponseHead
from buckthornpond_runtime.paced_sockets import PacedSocket

from .frontend import FrontendState
from .requests import BODILESS_STATUS_CODES, CallerRequest

_READ_BYTES = 16_384
_LINGER_SECONDS = 0.3
_MAX_LINGER_BYTES = 1_048_576
_LAST_CHUNK = b'0\r\n\r\n'
_MIN_SEND_TIMEOUT_MS = 50
_MIN_SEND_TIMEOUT = timedelta(milliseconds=_MIN_SEND_TIMEOUT_MS)
_REFUSAL_SEND_TIMEOUT = timedelta(seconds=1)
_LINE_END = '\r\n'
_CONTINUE_RESPONSE = b'HTTP/1.1 100 Continue\r\n\r\n'
_HEAD_METHOD = 'HEAD'
# Values of SO_LINGER: whether it is on, and for how many seconds.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_FINISH_ON_CLOSE = struct.pack('ii', 0, 0)


class ResponseWriter:
    """Owns the writing side of a caller's connection.

    :param connection: the caller's socket.
    :param frontend: state that all caller tasks share.
    """

    __slots__ = (
        '_connection',
        '_frontend',
        '_is_head_only',
        '_is_http10',
        '_keeps_alive',
        'error',
        'is_open',
    )

    def __init__(
        self, connection: PacedSocket, frontend: FrontendState
    ) -> None:
        self._connection = connection
        self._frontend = frontend
        self._is_http10 = False
        self._is_head_only = False
        self._keeps_alive = False
        # Whether the connection can serve another request.
        self.is_open = True
        # Error of a failed write, else empty.
        self.error = ''

    def begin_response(self, request: CallerRequest) -> None:
        """Start the response to a request.

        :param request: the caller's request.
        """
        self._is_http10 = request.is_http10
        self._is_head_only = request.method == _HEAD_METHOD
        self._keeps_alive = request.keeps_alive

    def send_response(
        self,
        status_code: int,
        fields: HeaderFields,
        body: bytes,
        time_limit: timedelta = _REFUSAL_SEND_TIMEOUT,
    ) -> None:
        """Send a response with a complete body.

        :param status_code: HTTP status.
        :param fields: header fields other than Content-Length.
        :param body: the body.
        :param time_limit: longest wait for the caller to read.
        """
        response_fields = list(fields)
        content = body
        if self._is_head_only:
            content = b''
        elif status_code not in BODILESS_STATUS_CODES:
            response_fields.append(('Content-Length', f'{len(body)}'))
        self._send(
            self._render_head(status_code, response_fields) + content,
            time_limit,
        )

    def send_interim(self) -> None:
        """Ask the caller for the body of its next request."""
        self._send(_CONTINUE_RESPONSE, _REFUSAL_SEND_TIMEOUT)

    def start_stream(self, head: ResponseHead, time_limit: timedelta) -> None:
        """Send the head of an event stream.

        :param head: head of the target's response.
        :param time_limit: longest wait for the caller to read.
        """
        response_fields = list(head.fields)
        if self._is_http10:
            self.is_open = False
            # Only a reset tells such a caller that the stream is incomplete.
            self._set_linger(_RESET_ON_CLOSE)
        else:
            response_fields.append(('Transfer-Encoding', 'chunked'))
        self._send(
            self._render_head(head.metadata.status_code, response_fields),
            time_limit,
        )

    def send_events(self, events: bytes, time_limit: timedelta) -> None:
        """Send events of the stream.

        :param events: the encoded events.
        :param time_limit: longest wait for the caller to read.
        """
        framed = events
        if not self._is_http10:
            framed = b'%x\r\n%b\r\n' % (len(events), events)
        self._send(framed, time_limit)

    def end_stream(self, time_limit: timedelta) -> None:
        """Mark the stream as complete.

        :param time_limit: longest wait for the caller to read.
        """
        if self._is_http10:
            self._set_linger(_FINISH_ON_CLOSE)
        else:
            self._send(_LAST_CHUNK, time_limit)

    def refuse(
        self,
        reason: str,
        retry_after_ms: int,
        attempt_id: str,
    ) -> None:
        """Send a refusal made by this entry.

        :param reason: stable code of the refusal.
        :param retry_after_ms: delay before a retry, zero for no retry.
        :param attempt_id: identifies the request.
        """
        self._frontend.metrics.count('refusals', reason)
        kind = find_refusal(reason)
        fields = self._frontend.codec.write_refusal(
            reason,
            retry_after_ms,
            attempt_id,
        )
        self.send_response(
            kind.status_code,
            [*fields, ('Content-Type', 'application/json')],
            msgspec.json.encode({'reason': reason, 'title': kind.title}),
        )

    def linger(self) -> None:
        """Discard input for a while so that the caller can read the response."""
        # Closing with unread bytes would reset the connection, which can
        # discard the response before the caller reads it.
        with (
            suppress(OSError, gevent.Timeout),
            gevent.Timeout(_LINGER_SECONDS),
        ):
            self._connection.shutdown(SHUT_WR)
            self._discard_input()

    def _discard_input(self) -> None:
        remaining_bytes = _MAX_LINGER_BYTES
        while remaining_bytes > 0:
            # Not kept in a variable while the next bytes are awaited.
            received_bytes = len(self._connection.recv(_READ_BYTES))
            if not received_bytes:
                return
            remaining_bytes -= received_bytes

    def _set_linger(self, option: bytes) -> None:
        with suppress(OSError):
            self._connection.setsockopt(SOL_SOCKET, SO_LINGER, option)

    def _send(self, content: bytes, time_limit: timedelta) -> None:
        if self.error:
            return
        seconds = max(time_limit, _MIN_SEND_TIMEOUT).total_seconds()
        try:
            with gevent.Timeout(seconds, TimeoutError('caller too slow')):
                self._connection.sendall(content)
        except OSError as error:
            self.is_open = False
            self.error = f'write failed: {error}'

    def _render_head(
        self,
        status_code: int,
        fields: Sequence[tuple[str, str]],
    ) -> bytes:
        if self._frontend.is_stopping or not self._keeps_alive:
            self.is_open = False
        lines = [f'HTTP/1.1 {status_code} {_reason_phrase(status_code)}']
        lines.extend(f'{name}: {text}' for name, text in fields)
        if not self.is_open:
            lines.append('Connection: close')
        lines.extend(('', ''))
        return _LINE_END.join(lines).encode('latin-1')


def _reason_phrase(status_code: int) -> str:
    try:
        return HTTPStatus(status_code).phrase
    except ValueError:
        return 'Unknown'
