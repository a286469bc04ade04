"""Tasks that serve callers' connections."""

from datetime import timedelta

import gevent

from buckthornpond_core._generated.serving import (
    PlacementFailure,
    RequestMetadata,
)
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import InvalidRequestError
from buckthornpond_core.serving.admissions import AdmittedRequest
from buckthornpond_core.serving.exchange import RequestExchange
from buckthornpond_core.serving.request_identity import digest_body
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.paced_sockets import PacedSocket
from buckthornpond_runtime.tasks import AnyGreenlet, Mailbox

from .dispatch import AdmissionRequest
from .exchanges import CallerMessage, EntryEnding, ExchangeRunner
from .frontend import FrontendState
from .readers import (
    BadRequest,
    CallerDisconnected,
    CallerReader,
    ContinueAwaited,
    ReaderMessage,
)
from .request_memory import GivenUp
from .requests import CallerRequest
from .writers import ResponseWriter

_MAILBOX_CAPACITY = 64
_STOPPING_RETRY_AFTER_MS = 50


class CallerTask:
    """Owns a caller's connection and serves its requests in turn.

    :param connection: the caller's socket.
    :param peer: the caller's address.
    :param frontend: state that all caller tasks share.
    """

    __slots__ = (
        '_connection',
        '_frontend',
        '_mailbox',
        '_peer',
        '_pending_messages',
        '_reader',
        '_reading',
        '_writer',
        'finished_at',
        'is_leaving',
        'served_since',
    )

    def __init__(
        self,
        connection: PacedSocket,
        peer: str,
        frontend: FrontendState,
    ) -> None:
        self._connection = connection
        self._peer = peer
        self._frontend = frontend
        self._mailbox: Mailbox[CallerMessage] = Mailbox(_MAILBOX_CAPACITY)
        self._reader = CallerReader(connection, peer, frontend, self._mailbox)
        self._writer = ResponseWriter(connection, frontend)
        self._pending_messages: list[ReaderMessage] = []
        # When the request that is served was read, on the monotonic clock.
        self.served_since: timedelta | None = None
        # When the last request ended, at first when the connection began.
        self.finished_at = frontend.clock.monotonic()
        # Whether it has been told to give up its connection.
        self.is_leaving = False
        self._reading: AnyGreenlet | None = None

    @property
    def has_open_request(self) -> bool:
        """Whether any byte of a request without a complete response came."""
        return self._reader.has_open_request

    @property
    def may_leave(self) -> bool:
        """Whether the connection can be given up for another one."""
        return self._reader.share.may_give_up and not self.is_leaving

    @property
    def is_stalled(self) -> bool:
        """Whether the caller has sent next to nothing for a while."""
        return self._reader.share.is_stalled

    def leave(self) -> None:
        """Tell the task to give up its connection for another one."""
        self.is_leaving = self._mailbox.offer(GivenUp('entry_full'))

    def announce_end(self) -> None:
        """Tell the task that the process ends."""
        self._mailbox.offer(EntryEnding())

    def run(self) -> None:
        """Serve requests until the connection ends."""
        self._frontend.connections.add(self)
        self._reading = gevent.spawn(self._reader.run)
        try:
            while self._writer.is_open:
                self._serve_next()
        finally:
            self._close(self._reading)

    def _close(self, reading: AnyGreenlet) -> None:
        self._frontend.connections.discard(self)
        reading.kill(block=False)
        self._reader.release()
        self._connection.close()

    def _serve_next(self) -> None:
        message = self._receive()
        if isinstance(message, CallerRequest):
            self._serve_counted(message)
        elif isinstance(message, ContinueAwaited):
            self._writer.send_interim()
        elif isinstance(message, BadRequest):
            self._reject_invalid(message.error)
        else:
            self._end(message)

    def _end(self, message: CallerMessage | None) -> None:
        if isinstance(message, GivenUp):
            self._give_up(message.reason)
        elif isinstance(message, CallerDisconnected):
            self._frontend.metrics.count('closed_connections', message.code)
            self._writer.is_open = False

    def _give_up(self, reason: str) -> None:
        """Refuse the request that is being read, if there is one, and close."""
        self._stop_reading()
        has_open_request = self._reader.has_open_request
        self._reader.release()
        if has_open_request:
            self._reject_invalid(
                InvalidRequestError(
                    reason,
                    'given up for other callers',
                    step='read request',
                    peer=self._peer,
                )
            )
            return
        self._frontend.metrics.count('closed_connections', reason)
        self._writer.is_open = False

    def _stop_reading(self) -> None:
        """End the reader, so that this task may read from the socket."""
        if self._reading is not None:
            self._reading.kill()

    def _receive(self) -> CallerMessage | None:
        if self._pending_messages:
            return self._pending_messages.pop(0)
        return self._mailbox.receive()

    def _serve_counted(self, request: CallerRequest) -> None:
        self._frontend.held_count += 1
        self._reader.is_serving = True
        try:
            self._serve(request)
        finally:
            self._finish(request)

    def _finish(self, request: CallerRequest) -> None:
        self.served_since = None
        self.finished_at = self._frontend.clock.monotonic()
        self.is_leaving = False
        self._reader.is_serving = False
        self._reader.finish_request(request)
        self._frontend.held_count -= 1

    def _serve(self, request: CallerRequest) -> None:
        arrival = self._frontend.clock.monotonic()
        self.served_since = arrival
        self._writer.begin_response(request)
        try:
            metadata = self._frontend.codec.read_request(
                request.method,
                request.path,
                request.fields,
            )
        except InvalidRequestError as error:
            self._reject_invalid(error)
            return
        metadata.body_digest = digest_body(request.content.blocks)
        admission = self._admit(metadata)
        if isinstance(admission, PlacementFailure):
            self._send_refusal(admission, metadata.attempt_id)
            return
        exchange = RequestExchange(admission, arrival)
        if not self._frontend.accepts_request(exchange.deadline):
            stopping = PlacementFailure(
                'entry_stopping', _STOPPING_RETRY_AFTER_MS
            )
            self._send_refusal(stopping, metadata.attempt_id)
            return
        runner = ExchangeRunner(
            exchange,
            request,
            writer=self._writer,
            frontend=self._frontend,
            mailbox=self._mailbox,
            earlier_messages=self._pending_messages,
        )
        runner.run(arrival)
        self._pending_messages = runner.deferred_messages

    def _admit(
        self,
        metadata: RequestMetadata,
    ) -> AdmittedRequest | PlacementFailure:
        self._frontend.dispatch.mailbox.send(
            AdmissionRequest(metadata, self._mailbox),
        )
        while True:
            message = self._mailbox.receive()
            if isinstance(message, (AdmittedRequest, PlacementFailure)):
                return message
            if isinstance(message, ReaderMessage):
                self._pending_messages.append(message)

    def _send_refusal(self, refused: PlacementFailure, attempt_id: str) -> None:
        log_event(
            EventCode.request_refused,
            request=attempt_id,
            reason=refused.reason,
            configuration_version=refused.configuration_version,
            fleet_revision=refused.fleet_revision,
            source_age_ms=refused.source_age_ms,
        )
        self._writer.refuse(
            refused.reason,
            refused.retry_after_ms,
            attempt_id,
        )

    def _reject_invalid(self, error: InvalidRequestError) -> None:
        log_event(
            EventCode.caller_rejected,
            reason=error.reason,
            error=str(error),
        )
        self._writer.is_open = False
        self._writer.refuse(error.reason, 0, '')
        if self._frontend.may_linger:
            self._linger()

    def _linger(self) -> None:
        """Give the place of the connection away, and close it a little later."""
        self._stop_reading()
        self._frontend.connections.discard(self)
        self._frontend.lingering_count += 1
        try:
            self._writer.linger()
        finally:
            self._frontend.lingering_count -= 1
