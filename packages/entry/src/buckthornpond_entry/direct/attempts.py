"""One attempt of a request at a target."""

from contextlib import suppress
from datetime import timedelta

import gevent
from gevent.lock import BoundedSemaphore

from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import (
    BuckthornpondError,
    ReservationError,
    TargetError,
)
from buckthornpond_core.serving.codec import RequestCodec
from buckthornpond_core.serving.effects import ResponseHead, StartAttempt
from buckthornpond_core.serving.health import AttemptOutcome
from buckthornpond_core.serving.messages import (
    AttemptBody,
    AttemptCompleted,
    AttemptFailed,
    AttemptHead,
    AttemptMessage,
)
from buckthornpond_core.serving.response_checks import allows_reuse
from buckthornpond_core.types import Clock
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.responses import HttpResponse
from buckthornpond_runtime.tasks import AnyGreenlet, Inbox

from .requests import CallerRequest, drop_hop_by_hop_fields
from .reservations import AttemptReservations

_CONNECT_TIMEOUT_MS = 300
_CONNECT_TIMEOUT = timedelta(milliseconds=_CONNECT_TIMEOUT_MS)
# Longer bodies are sent concurrently with reading the response.
_MAX_INLINE_BODY_BYTES = 8192
# Bounds the response parts that are buffered for a slow caller.
_MAX_UNREAD_PARTS = 8
_MAX_PART_BYTES = 16_384
# A caller that reads slowly holds up the attempt, not this check.
_MEMORY_GUARD_INTERVAL_SECONDS = 0.5
_DEFAULT_KEEP_ALIVE_SECONDS = 3.0
_KEEP_ALIVE_SHARE = 0.7
_MIN_IDLE_LIMIT_MS = 500
_MIN_IDLE_LIMIT = timedelta(milliseconds=_MIN_IDLE_LIMIT_MS)
_READ_STEP = 'read response'
_BODY_METHODS = frozenset(('PATCH', 'POST', 'PUT'))


class AttemptUpdate:
    """Message of an attempt task to the caller task of its request.

    :param number: number of the attempt within the request.
    :param message: progress or end of the attempt.
    """

    __slots__ = ('message', 'number')

    def __init__(self, number: int, message: AttemptMessage) -> None:
        self.number = number
        self.message = message


class AttemptTask:
    """Owns the connection to a target while it serves one request.

    :param number: number of the attempt within the request.
    :param request: the caller's request.
    :param effect: the placement and the time limit.
    :param codec: reads and writes the header fields.
    :param connection: an idle connection to the target, or ``None``.
    :param inbox: mailbox of the caller task.
    :param clock: source of time.
    """

    __slots__ = (
        '_body_sender',
        '_clock',
        '_codec',
        '_connection',
        '_credit',
        '_effect',
        '_greenlet',
        '_inbox',
        '_is_body_sent',
        '_last_received_at',
        '_memory_guard',
        '_number',
        '_request',
        '_reservations',
        'reusable_connection',
    )

    def __init__(
        self,
        number: int,
        request: CallerRequest,
        effect: StartAttempt,
        *,
        codec: RequestCodec,
        connection: HttpConnection | None,
        inbox: Inbox[AttemptUpdate],
        clock: Clock,
    ) -> None:
        self._number = number
        self._request = request
        self._effect = effect
        self._codec = codec
        self._connection = connection
        self._inbox = inbox
        self._clock = clock
        self._last_received_at = clock.monotonic()
        self._credit = BoundedSemaphore(_MAX_UNREAD_PARTS)
        self._body_sender: AnyGreenlet | None = None
        self._is_body_sent = True
        self._reservations: AttemptReservations | None = None
        # Releases the memory once the target has closed, while the response is
        # still being forwarded.
        self._memory_guard: AnyGreenlet | None = None
        # Set once the response is complete and the connection can be reused.
        self.reusable_connection: HttpConnection | None = None
        self._greenlet: AnyGreenlet = gevent.spawn(self._run)

    def acknowledge_part(self) -> None:
        """Release the credit of a response part that the caller task took."""
        self._credit.release()

    def stop(self) -> None:
        """Cancel the attempt and close its connection."""
        self._greenlet.kill(block=False)

    def _run(self) -> None:
        try:
            self._call_target()
        except TargetError as error:
            self._report_target_error(error)
        except BuckthornpondError as error:
            self._report_failure(error, is_sent=True)
        except Exception as error:
            # Without a message, the request would wait for an ended attempt.
            log_event(
                EventCode.request_crashed,
                path=self._request.path,
                error=repr(error),
            )
            self._report_failure(error, is_sent=True)
        finally:
            self._release_resources()

    def _report_failure(self, error: Exception, *, is_sent: bool) -> None:
        outcome = AttemptOutcome.failed
        if not is_sent:
            outcome = AttemptOutcome.unreachable
        self._notify(AttemptFailed(outcome, is_sent=is_sent, error=str(error)))

    def _report_target_error(self, error: TargetError) -> None:
        if error.exceeds_limit:
            self._notify(
                AttemptFailed(
                    AttemptOutcome.limit_exceeded,
                    is_sent=True,
                    error=str(error),
                ),
            )
            return
        if not isinstance(error, ReservationError):
            self._report_call_error(error)
            return
        outcome = AttemptOutcome.unreachable
        if error.is_refused:
            outcome = AttemptOutcome.refused
        self._notify(
            AttemptFailed(
                outcome,
                is_sent=False,
                error=str(error),
                target=error.target,
            ),
        )

    def _report_call_error(self, error: TargetError) -> None:
        outcome = AttemptOutcome.connection_lost
        if error.is_silent:
            outcome = AttemptOutcome.silent
        elif not error.is_connection_lost:
            self._report_failure(error, is_sent=error.is_sent)
            return
        self._notify(AttemptFailed(outcome, is_sent=True, error=str(error)))

    def _release_resources(self) -> None:
        if self._body_sender is not None:
            self._body_sender.kill(block=False)
        if self._memory_guard is not None:
            self._memory_guard.kill(block=False)
        self._release_memory()
        if self._connection is not None and self.reusable_connection is None:
            self._connection.close()

    def _release_memory(self) -> None:
        reservations = self._reservations
        self._reservations = None
        if reservations is not None:
            reservations.release(self._last_received_at)

    def _guard_memory(self, connection: HttpConnection) -> None:
        while not connection.is_closed_by_peer():
            gevent.sleep(_MEMORY_GUARD_INTERVAL_SECONDS)
        self._release_memory()

    def _call_target(self) -> None:
        self._reserve_memory()
        connection = self._open_connection()
        connection.carried.add(self._effect.attempt_id)
        self._send(connection)
        if self._reservations is not None:
            self._memory_guard = gevent.spawn(self._guard_memory, connection)
        response = HttpResponse(
            self._request.method, self._skip_if_stale, self._is_of_target
        )
        while not response.is_head_complete:
            self._receive(connection, response)
        fields = response.fields
        metadata = self._codec.read_response(response.status_code, fields)
        head = ResponseHead(
            metadata,
            drop_hop_by_hop_fields(fields),
            is_first_on_connection=len(connection.carried) == 1,
        )
        self._notify(AttemptHead(head))
        self._read_body(connection, response)
        if allows_reuse(head, self._effect.attempt_id):
            self._mark_reusable(connection, response)
        self._notify(AttemptCompleted(is_delimited=response.is_body_delimited))

    def _open_connection(self) -> HttpConnection:
        time_limit = self._effect.time_limit
        connection = self._connection
        if connection is None:
            connection = HttpConnection(self._effect.placement.address)
            self._connection = connection
            connection.connect(min(_CONNECT_TIMEOUT, time_limit))
        connection.set_timeout(time_limit)
        connection.detect_dead_peer(is_enabled=self._effect.detects_dead_target)
        return connection

    def _skip_if_stale(
        self, status_code: int, fields: list[tuple[str, str]]
    ) -> bool:
        """Log a late copy of an earlier response; return whether it is one."""
        connection = self._connection
        if connection is None:
            return False
        named_id = self._codec.read_response(status_code, fields).attempt_id
        is_own = named_id == self._effect.attempt_id
        if is_own or named_id not in connection.carried:
            return False
        log_event(
            EventCode.stale_response_skipped,
            request=self._effect.attempt_id,
            address=connection.address,
            named=named_id,
            status=status_code,
        )
        return True

    def _is_of_target(
        self, status_code: int, fields: list[tuple[str, str]]
    ) -> bool:
        """Return whether a head is that of a target's response."""
        metadata = self._codec.read_response(status_code, fields)
        return (
            bool(metadata.attempt_id)
            or metadata.is_signed
            or metadata.is_not_run
        )

    def _reserve_memory(self) -> None:
        placement = self._effect.placement
        if not placement.tickets:
            return
        self._reservations = AttemptReservations(
            self._effect.attempt_id,
            placement.tickets,
            self._codec,
            self._clock,
        )
        self._reservations.reserve()

    def _send(self, connection: HttpConnection) -> None:
        head = self._render_head(connection)
        body = self._request.content
        if body.size_bytes <= _MAX_INLINE_BODY_BYTES:
            connection.send(head + body.join())
            return
        connection.send(head)
        self._is_body_sent = False
        self._body_sender = gevent.spawn(self._send_body, connection)

    def _send_body(self, connection: HttpConnection) -> None:
        # A target may respond without reading the whole body. If it did need
        # the rest, its response or the error of the pending read says so.
        with suppress(TargetError):
            for block in self._request.content.blocks:
                connection.send(block)
            self._is_body_sent = True

    def _read_body(
        self,
        connection: HttpConnection,
        response: HttpResponse,
    ) -> None:
        while True:
            part = response.take(_MAX_PART_BYTES)
            if part:
                self._credit.acquire()
                self._notify(AttemptBody(part))
            elif response.is_complete:
                return
            else:
                self._receive(connection, response)

    def _receive(
        self, connection: HttpConnection, response: HttpResponse
    ) -> None:
        connection.receive(response, _READ_STEP)
        self._last_received_at = self._clock.monotonic()

    def _mark_reusable(
        self,
        connection: HttpConnection,
        response: HttpResponse,
    ) -> None:
        if response.has_trailing_bytes:
            log_event(
                EventCode.response_followed,
                request=self._effect.attempt_id,
                address=connection.address,
            )
            return
        if not response.keeps_alive or response.has_skipped:
            return
        if not self._is_body_sent or connection.carried.is_full:
            return
        connection.idle_limit = _read_idle_limit(response)
        if connection.idle_limit >= _MIN_IDLE_LIMIT:
            self.reusable_connection = connection

    def _render_head(self, connection: HttpConnection) -> bytes:
        request = self._request
        fields = self._codec.write_request(
            drop_hop_by_hop_fields(request.fields),
            self._effect.placement,
            self._effect.time_limit,
            self._effect.last_event_id,
        )
        lines = [f'{request.method} {request.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in fields)
        body_bytes = request.content.size_bytes
        if body_bytes or request.method in _BODY_METHODS:
            lines.append(f'Content-Length: {body_bytes}')
        if any('\r' in line or '\n' in line for line in lines):
            raise connection.make_error(
                'line break in a header field',
                'render head',
                is_sent=False,
            )
        lines.extend(('', ''))
        return '\r\n'.join(lines).encode('latin-1')

    def _notify(self, message: AttemptMessage) -> None:
        self._inbox.send(AttemptUpdate(self._number, message))


def _read_idle_limit(response: HttpResponse) -> timedelta:
    seconds = _DEFAULT_KEEP_ALIVE_SECONDS
    for token in response.get('keep-alive', '').split(','):
        name, _, text = token.strip().partition('=')
        if name.lower() == 'timeout' and text.strip().isdigit():
            seconds = float(text)
    return timedelta(seconds=seconds) * _KEEP_ALIVE_SHARE
