"""Reservations of memory at other engines during an attempt."""

from contextlib import suppress
from datetime import timedelta
from http import HTTPStatus

import gevent
from gevent.event import Event

from buckthornpond_core._generated.serving import MemoryTicket
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import ReservationError, TargetError
from buckthornpond_core.serving.codec import RequestCodec
from buckthornpond_core.serving.effects import TargetControlRequest
from buckthornpond_core.types import Clock
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.fetches import FetchLimits
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.tasks import Mailbox

_REQUEST_TIMEOUT_MS = 400
_REQUEST_TIMEOUT = timedelta(milliseconds=_REQUEST_TIMEOUT_MS)
_MAX_RESPONSE_BYTES = 65_536
_FETCH_LIMITS = FetchLimits(_REQUEST_TIMEOUT, _MAX_RESPONSE_BYTES)
# Three renewals are due within one lease.
_RENEWAL_INTERVAL_SECONDS = 0.5
# A target may still execute an unanswered request within this time.
_LATE_EXECUTION_SECONDS = 13
_STEP = 'order'
_LINE_END = '\r\n'
_MS = timedelta(milliseconds=1)


class ReservationReply:
    """Result of the first reservation, sent by the reservation task.

    :param error: why it failed, or ``None``.
    """

    __slots__ = ('error',)

    def __init__(self, error: ReservationError | None) -> None:
        self.error = error


class ReservationTask:
    """Owns one reservation and the connection for its requests.

    :param attempt_id: identifies the request in the log.
    :param ticket: target and amount of the memory to reserve.
    :param codec: writes the requests to the target.
    """

    __slots__ = (
        '_attempt_id',
        '_codec',
        '_connection',
        '_has_unanswered_request',
        '_release_requested',
        '_ticket',
        'replies',
    )

    def __init__(
        self,
        attempt_id: str,
        ticket: MemoryTicket,
        codec: RequestCodec,
    ) -> None:
        self._attempt_id = attempt_id
        self._ticket = ticket
        self._codec = codec
        self._connection: HttpConnection | None = None
        # Whether the target may execute a request late.
        self._has_unanswered_request = False
        self._release_requested = Event()
        # Receives one message, the result of the first request.
        self.replies: Mailbox[ReservationReply] = Mailbox()
        gevent.spawn(self._run)

    def begin_release(self) -> None:
        """Start the release of the memory without waiting for it."""
        self._release_requested.set()

    def _run(self) -> None:
        self.replies.offer(ReservationReply(self._reserve()))
        while not self._release_requested.wait(_RENEWAL_INTERVAL_SECONDS):
            error = self._reserve()
            if error is not None:
                # The next renewal may still be in time. If the lease expires,
                # the target ends the request and its response says so.
                log_event(
                    EventCode.reservation_failed,
                    request=self._attempt_id,
                    target=self._ticket.target,
                    error=str(error),
                )
        self._release()

    def _reserve(self) -> ReservationError | None:
        """Reserve the memory or renew its lease; return the error, if any."""
        try:
            status_code = self._send(
                self._codec.write_reservation(self._ticket),
            )
        except TargetError as error:
            return self._fail(error.message, is_refused=False)
        if status_code == HTTPStatus.OK:
            return None
        return self._fail(f'status {status_code}', is_refused=True)

    def _fail(self, message: str, *, is_refused: bool) -> ReservationError:
        return ReservationError(
            message,
            step=_STEP,
            peer=self._ticket.address,
            target=self._ticket.target,
            is_refused=is_refused,
        )

    def _release(self) -> None:
        self._send_release()
        if self._has_unanswered_request:
            # A reservation that is executed late must not hold the memory.
            for _ in range(
                int(_LATE_EXECUTION_SECONDS / _RENEWAL_INTERVAL_SECONDS),
            ):
                gevent.sleep(_RENEWAL_INTERVAL_SECONDS)
                self._send_release()
        if self._connection is not None:
            self._connection.close()

    def _send_release(self) -> None:
        # If the release does not arrive, the lease expires soon.
        with suppress(TargetError):
            self._send(self._codec.write_release(self._ticket))

    def _send(self, request: TargetControlRequest) -> int:
        connection = self._connect()
        lines = [f'{request.method} {request.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in request.fields)
        lines.extend((f'Content-Length: {len(request.body)}', '', ''))
        head = _LINE_END.join(lines).encode('latin-1')
        try:
            response = connection.fetch(
                request.method,
                head + request.body,
                _STEP,
                _FETCH_LIMITS,
            )
        except TargetError:
            self._has_unanswered_request = True
            connection.close()
            raise
        return response.status_code

    def _connect(self) -> HttpConnection:
        connection = self._connection
        if connection is None or not connection.is_usable():
            connection = HttpConnection(self._ticket.address)
            connection.connect(_REQUEST_TIMEOUT)
            connection.set_timeout(_REQUEST_TIMEOUT)
            self._connection = connection
        return connection


class AttemptReservations:
    """Reservations of one attempt.

    :param attempt_id: identifies the request in the log.
    :param tickets: targets and amounts of the memory to reserve.
    :param codec: writes the requests to the targets.
    :param clock: source of time.
    """

    __slots__ = ('_attempt_id', '_clock', '_requested_at', '_tasks', '_tickets')

    def __init__(
        self,
        attempt_id: str,
        tickets: list[MemoryTicket],
        codec: RequestCodec,
        clock: Clock,
    ) -> None:
        self._attempt_id = attempt_id
        self._tickets = tickets
        self._clock = clock
        self._requested_at = clock.monotonic()
        self._tasks = [
            ReservationTask(attempt_id, ticket, codec) for ticket in tickets
        ]

    def reserve(self) -> None:
        """Wait for the result of each reservation.

        :raises ReservationError: when a reservation failed.
        """
        replies = [task.replies.receive() for task in self._tasks]
        errors = [
            reply.error
            for reply in replies
            if reply is not None and reply.error is not None
        ]
        log_event(
            EventCode.memory_reserved,
            request=self._attempt_id,
            tickets=self._describe_tickets(),
            refusals=[str(error) for error in errors],
        )
        if errors:
            raise errors[0]

    def release(self, last_received_at: timedelta) -> None:
        """Start the release of the memory without waiting for it.

        :param last_received_at: when the target that uses the memory last sent
            anything, on the monotonic clock.
        """
        now = self._clock.monotonic()
        log_event(
            EventCode.memory_released,
            request=self._attempt_id,
            tickets=self._describe_tickets(),
            held_ms=(now - self._requested_at) // _MS,
            silence_ms=(now - last_received_at) // _MS,
        )
        for task in self._tasks:
            task.begin_release()

    def _describe_tickets(self) -> dict[str, int]:
        return {each.target: each.tokens for each in self._tickets}
