"""State machine of one request, from its head to the end of its response."""

from datetime import timedelta
from http import HTTPStatus

from .._generated.serving import Placement, PlacementFailure
from ..input_limits import MAX_RESPONSE_BODY_BYTES, InputLimitError
from .admissions import AdmittedRequest
from .attempt_failures import (
    NO_CONTINUATION,
    RESPONSE_BUDGET_FULL,
    RESPONSE_TOO_LARGE,
    make_exceeded_limit,
    make_invalid_response,
)
from .attempt_history import AttemptHistory
from .attempt_progress import AttemptProgress
from .attempt_reports import (
    MISDIRECTED,
    make_unused_report,
    report_proof,
    report_statement,
)
from .effects import (
    AbortResponse,
    EndStream,
    ExchangeEffect,
    ReportAttempt,
    ReportFirstByte,
    RequestPlacement,
    ResponseHead,
    SendEvents,
    SendHead,
    SendRefusal,
    SendResponse,
    StartAttempt,
    StopAttempt,
)
from .events import StreamPosition
from .health import AttemptOutcome
from .messages import (
    AttemptBody,
    AttemptCompleted,
    AttemptFailed,
    AttemptHead,
    AttemptMessage,
)
from .response_checks import (
    continues_stream,
    find_head_fault,
    is_refusal,
    is_success,
)
from .timeouts import find_event_timeout, find_first_byte_timeout

_MS = timedelta(milliseconds=1)
_NOT_RUN_RETRY_AFTER_MS = 200
# With less time before the deadline no further attempt is started.
_MIN_ATTEMPT_TIME_MS = 30
_MIN_ATTEMPT_TIME = _MIN_ATTEMPT_TIME_MS * _MS
# Statuses that claim that the request did not run, and have to prove it.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)


class RequestExchange:
    """State of one request and its attempts.

    Methods that handle a message or a timeout return the effects that the
    tasks have to carry out.

    :param admission: the admitted request.
    :param arrival: when its head was read, on the monotonic clock.
    """

    __slots__ = (
        '_last_event_at',
        '_placement',
        '_position',
        '_progress',
        '_silence_deadline',
        '_started_head',
        '_whole_response',
        'admission',
        'deadline',
        'first_ms',
        'history',
        'is_awaiting_placement',
        'is_done',
        'is_response_started',
        'longest_gap_ms',
    )

    def __init__(self, admission: AdmittedRequest, arrival: timedelta) -> None:
        route = admission.route
        limit_ms = admission.metadata.time_limit_ms or route.time_limit_ms
        limit_ms = min(limit_ms, route.time_limit_ms or limit_ms)
        self.admission = admission
        self.deadline = arrival + limit_ms * _MS
        self.is_response_started = False
        self.is_done = False
        self.first_ms = 0
        self.longest_gap_ms = 0
        self._last_event_at: timedelta | None = None
        self.history = AttemptHistory(admission.route)
        # Sent at once, or an error that is sent if no other attempt succeeds.
        self._whole_response: SendResponse | None = None
        self._placement: Placement | None = None
        self._silence_deadline: timedelta | None = None
        # Head of the stream that the caller gets, once it has begun.
        self._started_head: ResponseHead | None = None
        # How far the stream has come that the caller gets.
        self._position = StreamPosition(admission.metadata.last_event_id)
        self._progress = AttemptProgress(arrival, self._position)
        # Whether the dispatcher has yet to reply with a placement.
        self.is_awaiting_placement = False

    @property
    def is_streaming(self) -> bool:
        """Return whether the response is forwarded while it arrives."""
        head = self._progress.head
        return (
            head is not None
            and self.admission.route.is_stream
            and is_success(head.metadata.status_code)
        )

    @property
    def buffered_bytes(self) -> int:
        """Return the size of what is held of responses."""
        whole = self._whole_response
        whole_bytes = 0 if whole is None else len(whole.body)
        return self._progress.held_bytes + whole_bytes

    @property
    def wake_at(self) -> timedelta:
        """Return the time on the monotonic clock when :meth:`tick` is due."""
        if self._silence_deadline is None:
            return self.deadline
        return min(self._silence_deadline, self.deadline)

    def start(self) -> list[ExchangeEffect]:
        """Request the placement of the first attempt."""
        self.is_awaiting_placement = True
        return [RequestPlacement((), is_repeat=False)]

    def handle_placement(
        self,
        found: Placement | PlacementFailure,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        """Start an attempt where the dispatcher placed it.

        :param found: placement of the next attempt, or why there is none.
        :param now: time on the monotonic clock.
        """
        self.is_awaiting_placement = False
        if isinstance(found, PlacementFailure):
            return [] if self.is_done else self._handle_placement_failure(found)
        if self.is_done:
            report = make_unused_report(found, AttemptOutcome.abandoned)
            return [ReportAttempt(found, report)]
        effects: list[ExchangeEffect] = []
        if self._placement is not None:
            effects.extend(self._cancel_attempt(AttemptOutcome.silent, now))
        return [*effects, *self._start_attempt(found, now)]

    def handle_attempt_message(
        self,
        message: AttemptMessage,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        """Handle a message from the task of the running attempt.

        :param message: progress or end of the attempt.
        :param now: time on the monotonic clock.
        """
        if self.is_done:
            return []
        held_bytes = self._progress.held_bytes
        if (
            message is RESPONSE_BUDGET_FULL
            and self.buffered_bytes > 2 * held_bytes
        ):
            # The error of an earlier attempt holds more than this one.
            self._whole_response = None
            return []
        if self._placement is None:
            return []
        if isinstance(message, AttemptHead):
            return self._handle_head(message.head, now)
        if isinstance(message, AttemptBody):
            return self._handle_body(message.content, now)
        if isinstance(message, AttemptCompleted):
            return self._handle_end(message, now)
        return self._fail_attempt(message, now)

    def tick(self, now: timedelta) -> list[ExchangeEffect]:
        """Handle expired timeouts.

        :param now: time on the monotonic clock.
        """
        if self.is_done:
            return []
        if now >= self.deadline:
            return self._give_up('deadline_exceeded', now)
        if self._silence_deadline is None or now < self._silence_deadline:
            return []
        self._silence_deadline = None
        if self.is_awaiting_placement or not self._may_replace(now):
            return []
        self.is_awaiting_placement = True
        tried = self.history.list_tried(self._placement)
        return [RequestPlacement(tried, is_repeat=True)]

    def handle_stop(self, now: timedelta) -> list[ExchangeEffect]:
        """Give the final answer because the process ends.

        :param now: time on the monotonic clock.
        """
        if self.is_done:
            return []
        if self.history.may_have_run or self._placement is not None:
            return self._give_up('answer_lost', now)
        return self._give_up('entry_stopping', now)

    def handle_disconnect(self, now: timedelta) -> list[ExchangeEffect]:
        """Cancel the request after its caller disconnected.

        :param now: time on the monotonic clock.
        """
        if self.is_done:
            return []
        self.is_done = True
        return self._cancel_attempt(AttemptOutcome.abandoned, now)

    def _start_attempt(
        self,
        placement: Placement,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        if self.deadline - now < _MIN_ATTEMPT_TIME:
            report = make_unused_report(placement, AttemptOutcome.abandoned)
            return [
                ReportAttempt(placement, report),
                *self._give_up('deadline_exceeded', now),
            ]
        self._placement = placement
        self._progress = AttemptProgress(
            now, self._position, is_resumed=self.is_response_started
        )
        self.history.record_send()
        may_repeat = self.admission.route.may_repeat
        if may_repeat:
            timeout = find_first_byte_timeout(self.admission.route, placement)
            self._silence_deadline = now + timeout
        return [
            StartAttempt(
                placement,
                self.deadline - now,
                attempt_id=self.admission.metadata.attempt_id,
                last_event_id=self._position.last_event_id,
                # A request that may run once waits for a target that is cut
                # off for a while, unless that holds memory elsewhere.
                detects_dead_target=may_repeat or bool(placement.tickets),
            ),
        ]

    def _handle_head(
        self,
        head: ResponseHead,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        fault = find_head_fault(head, self.admission.metadata.attempt_id)
        if fault:
            return self._fail_attempt(make_invalid_response(fault), now)
        self._progress.record_head(head, now)
        effects = report_statement(self._placement, head)
        started = self._started_head
        if started is not None and is_success(head.metadata.status_code):
            if not continues_stream(started, head):
                effects.extend(self._fail_attempt(NO_CONTINUATION, now))
        return effects

    def _handle_body(
        self,
        content: bytes,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        if not self.is_streaming:
            self._progress.body += content
            if len(self._progress.body) > MAX_RESPONSE_BODY_BYTES:
                return self._fail_attempt(RESPONSE_TOO_LARGE, now)
            return []
        try:
            events = self._progress.events.feed(content)
        except InputLimitError as error:
            return self._fail_attempt(make_exceeded_limit(error), now)
        if not events:
            return []
        effects = self._start_stream(now)
        if self._progress.events.has_progressed:
            effects.extend(self._record_event(now))
        return [*effects, SendEvents(events)]

    def _record_event(self, now: timedelta) -> list[ExchangeEffect]:
        """Record an event that the caller can use.

        Comments and repeated events leave the limit on silence as it is, so
        that a stalled target does not keep its stream by sending them.
        """
        if self._last_event_at is not None:
            gap_ms = (now - self._last_event_at) // _MS
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        self._last_event_at = now
        is_proof = self._progress.record_event(now)
        effects = report_proof(self.admission, now) if is_proof else []
        route = self.admission.route
        if route.may_repeat:
            self._silence_deadline = now + find_event_timeout(route)
        if self._placement is None or self._progress.is_first_byte_reported:
            return effects
        self._progress.is_first_byte_reported = True
        return [ReportFirstByte(self._placement), *effects]

    def _start_stream(self, now: timedelta) -> list[ExchangeEffect]:
        head = self._progress.head
        if self.is_response_started or head is None:
            return []
        self.is_response_started = True
        self._started_head = head
        self.first_ms = self._progress.elapsed_ms(now)
        return [SendHead(head)]

    def _handle_end(
        self, message: AttemptCompleted, now: timedelta
    ) -> list[ExchangeEffect]:
        head = self._progress.head
        if head is None:
            return self._fail_attempt(
                make_invalid_response('response without a head'), now
            )
        if self.is_streaming:
            return self._end_stream(message, now)
        metadata = head.metadata
        if is_refusal(metadata):
            return self._handle_refusal(head, now)
        if metadata.status_code in _NOT_RUN_STATUSES:
            return self._fail_attempt(
                make_invalid_response(
                    'refusal without proof that it did not run'
                ),
                now,
            )
        if self.is_response_started:
            return self._fail_attempt(NO_CONTINUATION, now)
        response = SendResponse(head, bytes(self._progress.body))
        self._progress.discard()
        self._whole_response = response
        if metadata.status_code < HTTPStatus.INTERNAL_SERVER_ERROR:
            return self._finish(response, AttemptOutcome.answered, now)
        failure = AttemptFailed(
            AttemptOutcome.failed,
            is_sent=True,
            error=f'status {metadata.status_code}',
        )
        return self._fail_attempt(failure, now)

    def _end_stream(
        self, message: AttemptCompleted, now: timedelta
    ) -> list[ExchangeEffect]:
        # A resumed stream may have no more events, but has to say so.
        has_content = self._progress.has_events or (
            message.is_delimited and self._last_event_at is not None
        )
        if has_content and not self._progress.events.has_partial_event:
            return self._finish(EndStream(), AttemptOutcome.answered, now)
        outcome = AttemptOutcome.failed
        if not message.is_delimited:
            outcome = AttemptOutcome.connection_lost
        error = 'stream ended inside an event or without one'
        return self._fail_attempt(
            AttemptFailed(outcome, is_sent=True, error=error), now
        )

    def _handle_refusal(
        self,
        head: ResponseHead,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        outcome = AttemptOutcome.refused
        if head.metadata.status_code == MISDIRECTED:
            outcome = AttemptOutcome.moved
        refusal = f'{head.metadata.status_code}'
        if not head.metadata.attempt_id:
            refusal = f'{refusal} without an attempt ID'
        ended = self._end_attempt(outcome, now, refusal)
        return [*ended, *self._retry(now, is_repeat=True)]

    def _finish(
        self,
        effect: EndStream | SendResponse,
        outcome: AttemptOutcome,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        if not self.first_ms:
            self.first_ms = self._progress.elapsed_ms(now)
        self.is_done = True
        return [effect, *self._end_attempt(outcome, now, '')]

    def _fail_attempt(
        self,
        message: AttemptFailed,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        if message.is_sent:
            self.history.record_run()
        effects: list[ExchangeEffect] = [StopAttempt()]
        effects.extend(
            self._end_attempt(
                message.outcome,
                now,
                message.error,
                message.target,
            ),
        )
        self._progress.discard()
        may_repeat = self.admission.route.may_repeat or not message.is_sent
        if not may_repeat:
            return [*effects, *self._finish_unanswered('answer_lost')]
        return [*effects, *self._retry(now, is_repeat=message.is_sent)]

    def _retry(
        self,
        now: timedelta,
        *,
        is_repeat: bool,
    ) -> list[ExchangeEffect]:
        has_time = self.deadline - now >= _MIN_ATTEMPT_TIME
        if self.history.is_exhausted or not has_time:
            return self._finish_unanswered('target_failed')
        if self.is_awaiting_placement:
            # The one asked for when the target fell silent.
            return []
        self.is_awaiting_placement = True
        tried = self.history.list_tried(self._placement)
        return [RequestPlacement(tried, is_repeat=is_repeat)]

    def _handle_placement_failure(
        self, found: PlacementFailure
    ) -> list[ExchangeEffect]:
        if self._placement is not None:
            # The running attempt may still succeed.
            return []
        if not self.history.is_empty:
            return self._finish_unanswered(
                found.reason,
                max(found.retry_after_ms, _NOT_RUN_RETRY_AFTER_MS),
            )
        self.is_done = True
        return [SendRefusal(found.reason, found.retry_after_ms)]

    def _finish_unanswered(
        self, reason: str, retry_after_ms: int = _NOT_RUN_RETRY_AFTER_MS
    ) -> list[ExchangeEffect]:
        self.is_done = True
        if self.is_response_started:
            return [AbortResponse(reason)]
        if self._whole_response is not None:
            return [self._whole_response]
        if self.history.may_have_run:
            return [SendRefusal('answer_lost', 0)]
        return [SendRefusal('target_refused', retry_after_ms)]

    def _give_up(self, reason: str, now: timedelta) -> list[ExchangeEffect]:
        self.is_done = True
        effects = self._cancel_attempt(AttemptOutcome.abandoned, now)
        if self.is_response_started:
            return [AbortResponse(reason), *effects]
        if self._whole_response is not None:
            return [self._whole_response, *effects]
        return [SendRefusal(reason, 0), *effects]

    def _cancel_attempt(
        self,
        outcome: AttemptOutcome,
        now: timedelta,
    ) -> list[ExchangeEffect]:
        if self._placement is None:
            return []
        self.history.record_run()
        ended = self._end_attempt(outcome, now, 'cancelled')
        self._progress.discard()
        return [StopAttempt(), *ended]

    def _end_attempt(
        self,
        outcome: AttemptOutcome,
        now: timedelta,
        error: str,
        target: str = '',
    ) -> list[ExchangeEffect]:
        placement = self._placement
        if placement is None:
            return []
        failed = target or placement.target
        elapsed_ms = self._progress.elapsed_ms(now)
        self.history.record_end(
            failed,
            outcome,
            elapsed_ms,
            error,
            self._progress.events.partial_event_bytes,
        )
        self._placement = None
        self._silence_deadline = None
        report = self._progress.make_report(failed, outcome, now)
        report.first_ms = self.first_ms or elapsed_ms
        return [ReportAttempt(placement, report)]

    def _may_replace(self, now: timedelta) -> bool:
        route = self.admission.route
        return (
            route.may_repeat
            and self.history.may_add_run
            and self.deadline - now > _MIN_ATTEMPT_TIME
        )
