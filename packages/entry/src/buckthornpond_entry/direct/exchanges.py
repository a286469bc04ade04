"""Execution of the effects of one request's exchange."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Any, TypeAlias

from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.serving.attempt_failures import RESPONSE_BUDGET_FULL
from buckthornpond_core.serving.effects import (
    AbortResponse,
    EndStream,
    ExchangeEffect,
    ReportAttempt,
    ReportFirstByte,
    ReportProof,
    ReportStatement,
    RequestPlacement,
    SendEvents,
    SendHead,
    SendRefusal,
    SendResponse,
    StartAttempt,
    StopAttempt,
)
from buckthornpond_core.serving.exchange import RequestExchange
from buckthornpond_core.serving.messages import AttemptBody, AttemptFailed
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.tasks import Mailbox

from .attempts import AttemptTask, AttemptUpdate
from .dispatch import (
    AttemptEnded,
    ConnectionReturned,
    DispatchReply,
    FirstByteReceived,
    PlacementReply,
    PlacementRequest,
)
from .frontend import FrontendState
from .readers import CallerDisconnected, ReaderMessage
from .request_memory import GivenUp
from .requests import CallerRequest
from .response_memory import MemoryExceeded, ResponseShare
from .writers import ResponseWriter

_MIN_WAIT_SECONDS = 0.001
_STREAM_LABEL = 'stream'
_WHOLE_LABEL = 'whole'
_STREAM_STATUS_CODE = 200


class EntryEnding:
    """Tells a caller task that the process ends; sent at a planned stop."""

    __slots__ = ()


CallerMessage: TypeAlias = (
    ReaderMessage
    | DispatchReply
    | AttemptUpdate
    | EntryEnding
    | GivenUp
    | MemoryExceeded
)


class ExchangeRunner:
    """Executes the effects of an exchange and feeds it with messages.

    :param exchange: decides what happens to the request.
    :param request: the caller's request.
    :param writer: sends the response.
    :param frontend: state that all caller tasks share.
    :param mailbox: receives all messages that concern the request.
    :param earlier_messages: messages of the reader that came before the
        request was admitted.
    """

    __slots__ = (
        '_attempt',
        '_attempt_count',
        '_disconnected',
        '_earlier_messages',
        '_effect_handlers',
        '_exchange',
        '_frontend',
        '_idle_connection',
        '_mailbox',
        '_request',
        '_share',
        '_writer',
        'deferred_messages',
    )

    def __init__(
        self,
        exchange: RequestExchange,
        request: CallerRequest,
        *,
        writer: ResponseWriter,
        frontend: FrontendState,
        mailbox: Mailbox[CallerMessage],
        earlier_messages: Sequence[ReaderMessage],
    ) -> None:
        self._exchange = exchange
        self._request = request
        self._writer = writer
        self._frontend = frontend
        self._mailbox = mailbox
        self._earlier_messages = earlier_messages
        self._attempt: AttemptTask | None = None
        self._attempt_count = 0
        self._share = ResponseShare(frontend.response_budget, mailbox)
        self._idle_connection: HttpConnection | None = None
        self._disconnected: CallerDisconnected | None = None
        # Messages of the reader to process after this request.
        self.deferred_messages: list[ReaderMessage] = []
        self._effect_handlers: dict[type, Callable[[Any], None]] = {
            RequestPlacement: self._request_placement,
            AbortResponse: self._abort_response,
            ReportFirstByte: self._report_first_byte,
            ReportProof: frontend.dispatch.mailbox.send,
            ReportStatement: frontend.dispatch.mailbox.send,
            ReportAttempt: self._report_attempt,
            EndStream: self._end_stream,
            SendEvents: self._send_events,
            SendHead: self._send_head,
            SendRefusal: self._send_refusal,
            SendResponse: self._send_response,
            StartAttempt: self._start_attempt,
            StopAttempt: self._stop_attempt,
        }

    def run(self, arrival: timedelta) -> None:
        """Serve the request until it is done.

        :param arrival: when the request was read, on the monotonic clock.
        """
        try:
            self._run()
        finally:
            self._share.release()
        kind = _WHOLE_LABEL
        if self._exchange.is_response_started:
            kind = _STREAM_LABEL
        self._frontend.metrics.observe(
            'request_time',
            kind,
            self._frontend.clock.monotonic() - arrival,
        )

    def _run(self) -> None:
        exchange = self._exchange
        clock = self._frontend.clock
        for earlier in self._earlier_messages:
            self._execute(self._handle(earlier, clock.monotonic()))
        if not exchange.is_done:
            self._execute(exchange.start())
        while not exchange.is_done or exchange.is_awaiting_placement:
            self._share.may_give_up = not exchange.is_done
            message = self._mailbox.receive(self._wait_seconds())
            self._share.may_give_up = False
            now = clock.monotonic()
            if message is not None:
                self._execute(self._handle(message, now))
            if message is None or now >= exchange.deadline:
                self._execute(exchange.tick(now))
            self._check_writer(now)

    def _wait_seconds(self) -> float | None:
        if self._exchange.is_done:
            # Only the reply of the dispatch task is outstanding.
            return None
        wait = self._exchange.wake_at - self._frontend.clock.monotonic()
        return max(wait.total_seconds(), _MIN_WAIT_SECONDS)

    def _handle(
        self,
        message: CallerMessage,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        if isinstance(message, PlacementReply):
            return self._handle_placement(message, now)
        if isinstance(message, AttemptUpdate):
            return self._handle_update(message, now)
        if isinstance(message, ReaderMessage):
            self.deferred_messages.append(message)
        if isinstance(message, CallerDisconnected):
            return self._handle_disconnect(message, now)
        if isinstance(message, EntryEnding):
            return self._exchange.handle_stop(now)
        if isinstance(message, MemoryExceeded):
            return self._limit_memory(now)
        return []

    def _handle_placement(
        self,
        message: PlacementReply,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        self._idle_connection = message.connection
        effects = self._exchange.handle_placement(message.decision, now)
        if self._exchange.is_done and message.connection is not None:
            message.connection.close()
        return effects

    def _handle_update(
        self,
        message: AttemptUpdate,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        if self._attempt is None or message.number != self._attempt_count:
            return []
        progress = message.message
        if isinstance(progress, AttemptBody):
            self._attempt.acknowledge_part()
        if isinstance(progress, AttemptFailed):
            self._frontend.metrics.count('failed_attempts', progress.outcome)
        effects = self._exchange.handle_attempt_message(progress, now)
        effects.extend(self._limit_memory(now))
        return effects

    def _limit_memory(self, now: timedelta) -> list[ExchangeEffect]:
        """Record what is held, and give it up if the budget is exceeded."""
        exchange = self._exchange
        if self._share.record(exchange.buffered_bytes):
            return []
        effects = exchange.handle_attempt_message(RESPONSE_BUDGET_FULL, now)
        if effects:
            self._frontend.metrics.count(
                'failed_attempts', RESPONSE_BUDGET_FULL.outcome
            )
        self._share.record(exchange.buffered_bytes)
        return effects

    def _check_writer(self, now: timedelta) -> None:
        if self._writer.error and self._disconnected is None:
            self._execute(
                self._handle_disconnect(
                    CallerDisconnected(self._writer.error),
                    now,
                ),
            )

    def _handle_disconnect(
        self,
        message: CallerDisconnected,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        self._disconnected = message
        if not self._exchange.is_done:
            self._frontend.metrics.count('hangups', message.code)
            self._log(EventCode.request_left, reason=message.reason)
        return self._exchange.handle_disconnect(now)

    def _execute(self, effects: list[ExchangeEffect]) -> None:
        for effect in effects:
            self._effect_handlers[type(effect)](effect)

    @property
    def _attempt_id(self) -> str:
        return self._exchange.admission.metadata.attempt_id

    @property
    def _remaining_time(self) -> timedelta:
        return self._exchange.deadline - self._frontend.clock.monotonic()

    def _request_placement(self, effect: RequestPlacement) -> None:
        admission = self._exchange.admission
        self._frontend.dispatch.mailbox.send(
            PlacementRequest(admission, effect, self._mailbox),
        )

    def _start_attempt(self, effect: StartAttempt) -> None:
        self._attempt_count += 1
        connection = self._idle_connection
        self._idle_connection = None
        self._attempt = AttemptTask(
            self._attempt_count,
            self._request,
            effect,
            codec=self._frontend.codec,
            connection=connection,
            inbox=self._mailbox,
            clock=self._frontend.clock,
        )

    def _stop_attempt(self, effect: StopAttempt) -> None:
        if self._attempt is not None:
            self._attempt.stop()

    def _report_first_byte(self, effect: ReportFirstByte) -> None:
        self._frontend.dispatch.mailbox.send(
            FirstByteReceived(self._attempt_id, effect.placement),
        )

    def _report_attempt(self, effect: ReportAttempt) -> None:
        dispatch = self._frontend.dispatch.mailbox
        dispatch.send(
            AttemptEnded(
                self._exchange.admission, effect.placement, effect.report
            ),
        )
        attempt = self._attempt
        self._attempt = None
        if attempt is None:
            return
        if attempt.reusable_connection is None:
            attempt.stop()
        else:
            dispatch.send(ConnectionReturned(attempt.reusable_connection))

    def _send_head(self, effect: SendHead) -> None:
        self._writer.start_stream(effect.head, self._remaining_time)

    def _send_events(self, effect: SendEvents) -> None:
        self._writer.send_events(effect.events, self._remaining_time)

    def _send_response(self, effect: SendResponse) -> None:
        metadata = effect.head.metadata
        self._record_response(metadata.status_code)
        self._writer.send_response(
            metadata.status_code,
            effect.head.fields,
            effect.body,
            self._remaining_time,
        )

    def _end_stream(self, effect: EndStream) -> None:
        self._record_response(_STREAM_STATUS_CODE)
        self._writer.end_stream(self._remaining_time)

    def _send_refusal(self, effect: SendRefusal) -> None:
        self._log(
            EventCode.request_refused,
            reason=effect.reason,
            shared_parts=self._exchange.admission.metadata.shared_parts,
            identity=self._exchange.admission.identity,
        )
        self._writer.refuse(
            effect.reason,
            effect.retry_after_ms,
            self._attempt_id,
        )

    def _abort_response(self, effect: AbortResponse) -> None:
        self._log(EventCode.request_cut, reason=effect.reason)
        self._frontend.metrics.count('cut_answers', effect.reason)
        self._writer.is_open = False

    def _record_response(self, status_code: int) -> None:
        self._log(EventCode.request_answered, status=status_code)
        self._frontend.metrics.count('requests', f'{status_code}')

    def _log(self, code: EventCode, **fields: object) -> None:
        admission = self._exchange.admission
        log_event(
            code,
            request=admission.metadata.attempt_id,
            route=admission.route.name,
            service=admission.service,
            prompt_tokens=admission.metadata.prompt_tokens,
            first_ms=self._exchange.first_ms,
            longest_gap_ms=self._exchange.longest_gap_ms,
            attempts=self._exchange.history.summaries,
            **fields,
        )
