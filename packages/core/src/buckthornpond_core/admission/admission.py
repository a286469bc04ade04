"""Admission control of an agent, from the arrival of an attempt to its end."""

from datetime import timedelta

from .._generated.events import CallChunk, CallEnded, CallStarted
from .._generated.messages import (
    Accepted,
    Attempt,
    Cancel,
    Credit,
    FenceKey,
    FenceReply,
    Heartbeat,
    Hint,
    Query,
    TargetPhase,
)
from .._generated.platform import LoadReport
from ..configuration.documents import Configuration
from ..effects import (
    AgentEffect,
    CallMessage,
    GrantCallCredit,
    SendToPeer,
    StartCall,
    WireMessage,
)
from ..keys.keyed_attempts import KeyActions, KeyedAttempts
from ..process_limits import AgentLimits
from ..types import Recorder
from .attempt_outcomes import AttemptOutcomes, OutcomeResponder
from .checks import AdmissionChecks
from .cold_detection import ColdTargetDetector
from .entries import EntryMonitor
from .forecasts import Forecast, NoForecast
from .held_attempts import HeldAttempts
from .limits import TargetLimit, TokenReservations
from .queueing import REFUSAL_MARGIN, AdmissionOrder, QueuedAttempt, TargetLoad
from .readiness import Readiness
from .refusals import AttemptRefusals
from .running_attempts import RunningAttempt


class AdmissionController:
    """Decides alone which attempts its target holds and runs.

    It owns no socket and reads no clock: each method takes the time and
    returns the effects that the agent's task has to carry out.
    """

    __slots__ = (
        '_checks',
        '_cold_detector',
        '_configuration',
        '_entries',
        '_forecast',
        '_held',
        '_incarnation',
        '_keyed',
        '_limit',
        '_limits',
        '_order',
        '_outcomes',
        '_query_responder',
        '_readiness',
        '_recorder',
        '_refusals',
        '_reservations',
    )

    def __init__(
        self,
        *,
        instance: str,
        incarnation: str,
        configuration: Configuration,
        limits: AgentLimits,
        limit: TargetLimit,
        order: AdmissionOrder,
        keyed: KeyedAttempts,
        recorder: Recorder,
        forecast: Forecast | None = None,
    ) -> None:
        self._incarnation = incarnation
        self._configuration = configuration
        self._limits = limits
        self._limit = limit
        self._order = order
        self._keyed = keyed
        self._recorder = recorder
        self._cold_detector = ColdTargetDetector(limit, recorder)
        self._forecast = forecast or NoForecast()
        self._reservations = TokenReservations()
        self._outcomes = AttemptOutcomes()
        self._held = HeldAttempts(keyed)
        self._entries = EntryMonitor(limits, recorder)
        self._readiness = Readiness(instance, configuration, limit)
        self._refusals = AttemptRefusals(self._held, recorder)
        self._query_responder = OutcomeResponder(
            incarnation, self._held, self._outcomes
        )
        self._checks = AdmissionChecks(
            incarnation=incarnation,
            readiness=self._readiness,
            limits=limits,
            limit=limit,
            held=self._held,
            outcomes=self._outcomes,
            forecast=self._forecast,
            refusals=self._refusals,
        )

    @property
    def held_count(self) -> int:
        """Return the number of attempts that wait or run."""
        return len(self._held)

    @property
    def reserved_tokens(self) -> int:
        """Return the tokens that running attempts have reserved."""
        return self._reservations.reserved_tokens

    @property
    def held_body_bytes(self) -> int:
        """Return the bytes of request bodies that wait or are being sent."""
        return self._held.body_bytes

    @property
    def is_stopping(self) -> bool:
        """Tell whether the agent stops and refuses all new attempts."""
        return self._readiness.is_stopping

    @property
    def phase(self) -> TargetPhase:
        """Return the phase that is reported to entries."""
        return self._readiness.phase

    def apply_configuration(self, now: timedelta) -> None:
        """Apply the documents in force.

        :param now: time on the monotonic clock.
        """
        self._keyed.apply_configuration(now)
        self._readiness.apply_configuration()

    def receive(
        self,
        peer: str,
        message: WireMessage,
        now: timedelta,
    ) -> list[AgentEffect]:
        """Handle a message from an entry or another agent.

        :param peer: incarnation of the sender, or address of an agent that
            replies.
        :param message: the message.
        :param now: time of receipt on the monotonic clock.
        """
        if isinstance(message, FenceKey | FenceReply):
            return self._apply_key_actions(
                self._keyed.receive(peer, message, now), now
            )
        self._entries.record_message(peer, message, now)
        if isinstance(message, Heartbeat):
            return [SendToPeer(peer, self.hint())]
        if isinstance(message, Attempt):
            return self._admit_attempt(peer, message, now)
        if isinstance(message, Credit):
            return self._grant_credit(message)
        if isinstance(message, Cancel):
            return self._held.cancel(message.attempt_id, now)
        if isinstance(message, Query):
            return [
                SendToPeer(peer, self._query_responder.answer(message, now))
            ]
        self._recorder.count('unexpected_messages', type(message).__name__)
        return []

    def begin_stop(self) -> list[AgentEffect]:
        """Refuse new attempts from now on, and send a hint to every entry."""
        self._readiness.is_stopping = True
        return [SendToPeer(peer, self.hint()) for peer in self._entries]

    def end_all(self, now: timedelta) -> list[AgentEffect]:
        """Refuse every attempt that waits or runs.

        The outcome of a running attempt is unknown.

        :param now: time on the monotonic clock.
        """
        effects = self._refusals.refuse_waiting(
            'agent_leaving',
            self._held.waiting,
        )
        for running in self._held.running:
            refused = self._refusals.refuse_with_unknown_outcome(
                running.attempt_id,
                'agent_stopped',
            )
            effects.extend(running.notify_entry(refused))
            effects.extend(running.cancel(now))
        return effects

    def handle_call_message(
        self,
        message: CallMessage,
        now: timedelta,
    ) -> list[AgentEffect]:
        """Handle a message about a call to the target.

        :param message: message from the task of the call.
        :param now: time on the monotonic clock.
        """
        running = self._held.find_running(message.attempt_id)
        if running is None:
            return []
        self._keyed.record_call_message(message, now)
        if isinstance(message, CallStarted):
            return running.forward_start(message)
        if isinstance(message, CallChunk):
            self._record_prefill(running, now)
            return running.forward_chunk(message)
        return self._end_call(running, message, now)

    def handle_load_report(self, report: LoadReport) -> None:
        """Handle the engine's own report, which lags.

        :param report: report of the engine.
        """
        self._cold_detector.handle_report(report)

    def tick(self, now: timedelta) -> list[AgentEffect]:
        """End overdue attempts and those of unresponsive entries; start others.

        :param now: time on the monotonic clock.
        """
        effects: list[AgentEffect] = []
        self._outcomes.expire(now)
        unresponsive = self._entries.drop_silent(now)
        effects.extend(
            self._apply_key_actions(self._keyed.tick(unresponsive, now), now)
        )
        for peer, queued in self._held.queue:
            if peer in unresponsive:
                self._held.withdraw(queued.attempt.attempt_id)
        overdue = self._held.find_overdue(now + REFUSAL_MARGIN)
        effects.extend(
            self._refusals.refuse_waiting('deadline_exceeded', overdue)
        )
        for running in self._held.running:
            if running.peer in unresponsive or running.queued.deadline <= now:
                effects.extend(running.cancel(now))
        effects.extend(self._start_waiting(now))
        return effects

    def hint(self) -> Hint:
        """Return the load of the target for entries."""
        load = self._measure_load()
        return Hint(
            agent_incarnation=self._incarnation,
            phase=self.phase,
            running_count=len(self._held.running),
            queued_count=len(load.waiting),
            queued_tokens=sum(queued.total_tokens for queued in load.waiting),
            free_tokens=load.free_tokens,
            limit_tokens=self._limit.limit_tokens,
            prefill_tokens=load.prefill_tokens,
            configuration=self._configuration.version,
        )

    def _admit_attempt(
        self,
        peer: str,
        attempt: Attempt,
        now: timedelta,
    ) -> list[AgentEffect]:
        refused = self._checks.check(attempt, self._measure_load(), now)
        if refused is not None:
            return [SendToPeer(peer, refused)]
        service = self._configuration.services[attempt.service]
        deadline = now + timedelta(milliseconds=attempt.remaining_ms)
        queued = QueuedAttempt(attempt, now, deadline)
        actions = KeyActions()
        actions.ready.append((peer, queued))
        if attempt.idempotency_key:
            actions = self._keyed.admit(peer, queued, service, now)
        return self._apply_key_actions(actions, now)

    def _apply_key_actions(
        self, actions: KeyActions, now: timedelta
    ) -> list[AgentEffect]:
        effects = actions.effects
        for peer, queued in actions.ready:
            attempt_id = queued.attempt.attempt_id
            self._held.add(peer, queued)
            effects.append(SendToPeer(peer, Accepted(attempt_id=attempt_id)))
        if actions.ready:
            effects.extend(self._start_waiting(now))
        return effects

    def _grant_credit(self, credit: Credit) -> list[AgentEffect]:
        if self._held.find_running(credit.attempt_id) is None:
            return []
        return [GrantCallCredit(credit.attempt_id, credit.credit_bytes)]

    def _record_prefill(self, running: RunningAttempt, now: timedelta) -> None:
        if not running.is_prefilling:
            return
        running.is_prefilling = False
        self._forecast.record_first_token(running.attempt_id, now)
        if self._forecast.take_slowdown():
            self._cold_detector.mark_cold('slow prefill')

    def _end_call(
        self,
        running: RunningAttempt,
        ended: CallEnded,
        now: timedelta,
    ) -> list[AgentEffect]:
        self._held.end(ended.attempt_id)
        self._forecast.record_end(
            ended.attempt_id,
            0 if ended.error else running.queued.attempt.output_tokens,
            now,
        )
        tokens = self._reservations.release(ended.attempt_id)
        self._outcomes.record_end(running.queued, ended)
        if ended.error:
            if not running.is_cancelled:
                self._cold_detector.handle_failed_call(ended)
            refused = self._refusals.refuse_failed(running, ended)
            effects = running.notify_entry(refused)
        else:
            self._limit.record_success(tokens)
            effects = running.forward_end()
        effects.extend(self._start_waiting(now))
        return effects

    def _start_waiting(self, now: timedelta) -> list[AgentEffect]:
        if self.phase is TargetPhase.draining:
            # Attempts that have not started count as new work for the target.
            return self._refusals.refuse_waiting(
                'target_draining',
                self._held.queue,
            )
        # Deadlines are checked again right before the target is called.
        effects = self._refusals.refuse_waiting(
            'deadline_exceeded',
            self._held.find_overdue(now),
        )
        concurrency_count = self._readiness.target.concurrency_count
        while self._held.may_start(concurrency_count):
            queued = self._order.choose(self._measure_load(), now)
            if queued is None:
                break
            effects.append(self._start_call(queued, now))
        return effects

    def _start_call(self, queued: QueuedAttempt, now: timedelta) -> StartCall:
        attempt = queued.attempt
        priority = self._order.priority(queued)
        self._forecast.record_start(
            attempt.attempt_id,
            attempt.prompt_tokens,
            priority,
            now,
        )
        self._reservations.reserve(attempt.attempt_id, queued.total_tokens)
        self._held.start(queued)
        return StartCall(
            attempt,
            self._readiness.target.address,
            queued.deadline - now,
            priority,
        )

    def _measure_load(self) -> TargetLoad:
        free_tokens = self._limit.limit_tokens - self.reserved_tokens
        return self._held.measure_load(free_tokens)
