"""Decisions of an agent: admission, order, keys and the end of attempts."""

from collections.abc import Iterable
from datetime import timedelta

from ._generated.events import CallChunk, CallEnded, CallStarted
from ._generated.inventory import Target
from ._generated.messages import (
    Accepted,
    Attempt,
    Cancel,
    Chunk,
    Credit,
    FenceKey,
    FenceReply,
    Final,
    Heartbeat,
    Hint,
    KeyState,
    Outcome,
    Query,
    QueryReply,
    Refused,
    Started,
    TargetPhase,
)
from ._generated.platform import LoadReport
from .configuration import Configuration
from .effects import (
    AgentEffect,
    CallMessage,
    CancelCall,
    GrantCall,
    StartCall,
    ToPeer,
    WireMessage,
)
from .fates import AttemptFates
from .forecasts import Forecast, NoForecast
from .heartbeats import extend_timeout
from .journal import EventCode
from .keyed_attempts import KeyedAttempts, KeyStep
from .ledger import Ledger
from .limits import TargetLimit
from .queueing import REFUSAL_MARGIN, AdmissionOrder, QueuedAttempt, TargetLoad
from .types import Recorder
from .warmth import WarmthWatch

_QUEUE_RETRY_AFTER_MS = 200
_DETACHED_CREDIT_BYTES = 1 << 24
_BODY_BUDGET_BYTES = 134_217_728
_SMALL_PARTS = 16


class AgentLimits:
    """Bounds of an agent.

    :param max_queued_count: attempts that may wait.
    :param body_budget_bytes: bytes of requests held at once.
    :param peer_timeout: silence after which an entry counts as dead.
    """

    __slots__ = ('body_budget_bytes', 'max_queued_count', 'peer_timeout')

    def __init__(
        self,
        *,
        max_queued_count: int,
        peer_timeout: timedelta,
        body_budget_bytes: int = _BODY_BUDGET_BYTES,
    ) -> None:
        self.max_queued_count = max_queued_count
        self.body_budget_bytes = body_budget_bytes
        self.peer_timeout = peer_timeout


class _Running:
    """An attempt whose call to the target is open."""

    __slots__ = (
        'chunk_count',
        'is_cancelled',
        'is_detached',
        'is_prefilling',
        'peer',
        'queued',
    )

    def __init__(self, peer: str, queued: QueuedAttempt) -> None:
        self.peer = peer
        self.queued = queued
        self.chunk_count = 0
        self.is_cancelled = False
        self.is_prefilling = True
        self.is_detached = False

    def outlives_caller(self, now: timedelta) -> bool:
        """Tell whether the call goes on for callers that repeat its key."""
        attempt = self.queued.attempt
        return (
            bool(attempt.idempotency_key)
            and not attempt.is_idempotent
            and self.queued.deadline > now
        )


class Admission:
    """The one authority over what a target holds and runs.

    It holds no socket and reads no clock: each call takes the time and
    returns what its task has to do.
    """

    __slots__ = (
        '_configuration',
        '_fates',
        '_forecast',
        '_incarnation',
        '_instance',
        '_keyed',
        '_ledger',
        '_limit',
        '_limits',
        '_order',
        '_peers',
        '_queue',
        '_recorder',
        '_running',
        '_target',
        '_warmth',
        'is_stopping',
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
        self._instance = instance
        self._incarnation = incarnation
        self._configuration = configuration
        self._limits = limits
        self._limit = limit
        self._order = order
        self._keyed = keyed
        self._recorder = recorder
        self._warmth = WarmthWatch(limit, recorder)
        self._forecast = forecast or NoForecast()
        self._target = Target(address='0.0.0.0:0')
        self._ledger = Ledger()
        self._queue: dict[str, tuple[str, QueuedAttempt]] = {}
        self._running: dict[str, _Running] = {}
        self._fates = AttemptFates()
        self._peers: dict[str, timedelta] = {}
        self.is_stopping = False

    @property
    def held_count(self) -> int:
        """Return the number of attempts that wait or run."""
        held_count = len(self._queue) + len(self._running)
        return held_count + self._keyed.waiting_count

    @property
    def reserved_tokens(self) -> int:
        """Return the tokens that the ledger holds."""
        return self._ledger.reserved_tokens

    @property
    def held_body_bytes(self) -> int:
        """Return the bytes of the requests that wait or are being sent."""
        held = [queued for _, queued in self._queue.values()]
        held.extend(queued for _, queued in self._keyed.waiting)
        held.extend(running.queued for running in self._running.values())
        return sum(len(queued.attempt.body) for queued in held)

    @property
    def phase(self) -> TargetPhase:
        """Return the readiness that entries are told."""
        if self.is_stopping:
            return TargetPhase.leaving
        if self._configuration.is_draining(self._instance):
            return TargetPhase.draining
        return TargetPhase.cold if self._limit.is_cold else TargetPhase.warm

    def follow_configuration(self, now: timedelta) -> None:
        """Take up the documents in force.

        :param now: time on the monotonic clock.
        """
        self._keyed.follow_configuration(now)
        instance = self._configuration.instances.get(self._instance)
        if instance is not None:
            self._target = instance.target
            self._limit.resize(
                instance.target.cold_tokens,
                instance.target.memory_tokens,
                instance.target.warm_up_tokens,
            )

    def receive(
        self,
        peer: str,
        message: WireMessage,
        now: timedelta,
    ) -> list[AgentEffect]:
        """Take a message from an entry or another agent.

        :param peer: incarnation of the sender, or address of an agent that
            answers.
        :param message: what it sent.
        :param now: time of receipt on the monotonic clock.
        """
        if isinstance(message, FenceKey | FenceReply):
            return self._follow(self._keyed.receive(peer, message, now), now)
        self._hear(peer, message, now)
        if isinstance(message, Heartbeat):
            return [ToPeer(peer, self.hint())]
        if isinstance(message, Attempt):
            return self._admit(peer, message, now)
        if isinstance(message, Credit):
            return self._grant(message)
        if isinstance(message, Cancel):
            return self._cancel(message.attempt_id, now)
        if isinstance(message, Query):
            return [ToPeer(peer, self._answer_query(message, now))]
        self._recorder.count('unexpected_messages', type(message).__name__)
        return []

    def begin_stop(self) -> list[AgentEffect]:
        """Refuse new attempts from now on and tell every entry."""
        self.is_stopping = True
        return [ToPeer(peer, self.hint()) for peer in self._peers]

    def end_all(self, now: timedelta) -> list[AgentEffect]:
        """End every attempt with an honest refusal.

        :param now: time on the monotonic clock.
        """
        effects = self._refuse_waiting(
            'agent_leaving',
            [*self._queue.values(), *self._keyed.waiting],
        )
        for attempt_id, running in list(self._running.items()):
            refused = self._refuse_unknown(attempt_id, 'agent_stopped')
            effects.extend(self._tell(running, refused))
            effects.extend(self._cancel(attempt_id, now))
        return effects

    def update_call(
        self,
        message: CallMessage,
        now: timedelta,
    ) -> list[AgentEffect]:
        """Take news of a call to the target.

        :param message: what its task reports.
        :param now: time on the monotonic clock.
        """
        running = self._running.get(message.attempt_id)
        if running is None:
            return []
        self._keyed.record_call(message, now)
        if isinstance(message, CallStarted):
            # The target has the body, which is not needed again.
            running.queued.attempt.body = b''
            started = Started(
                attempt_id=message.attempt_id,
                status_code=message.status_code,
                content_type=message.content_type,
            )
            return self._tell(running, started)
        if isinstance(message, CallChunk):
            chunk = Chunk(
                attempt_id=message.attempt_id,
                sequence_number=running.chunk_count,
                payload=message.payload,
            )
            running.chunk_count += 1
            if running.is_prefilling:
                running.is_prefilling = False
                self._forecast.record_first_token(message.attempt_id, now)
                if self._forecast.take_slowdown():
                    self._warmth.start_over('slow prefill')
            return self._tell(running, chunk)
        return self._end_call(running, message, now)

    def update_load(self, report: LoadReport) -> None:
        """Take the engine's own report, which lags.

        :param report: what it says of itself.
        """
        self._warmth.take_report(report)

    def tick(self, now: timedelta) -> list[AgentEffect]:
        """End overdue attempts and those of dead entries, start others.

        :param now: time on the monotonic clock.
        """
        effects: list[AgentEffect] = []
        self._fates.expire(now)
        dead = self._drop_dead(now)
        effects.extend(self._follow(self._keyed.tick(dead, now), now))
        for attempt_id, (peer, _) in list(self._queue.items()):
            if peer in dead:
                self._drop_queued(attempt_id)
        overdue = _find_overdue(self._queue.values(), now + REFUSAL_MARGIN)
        effects.extend(self._refuse_waiting('deadline_exceeded', overdue))
        for attempt_id, running in list(self._running.items()):
            if running.peer in dead or running.queued.deadline <= now:
                effects.extend(self._cancel(attempt_id, now))
        effects.extend(self._start_waiting(now))
        return effects

    def hint(self) -> Hint:
        """Return the load report for entries."""
        waiting = [queued.total_tokens for _, queued in self._queue.values()]
        return Hint(
            agent_incarnation=self._incarnation,
            phase=self.phase,
            running_count=len(self._running),
            queued_count=len(waiting),
            queued_tokens=sum(waiting),
            free_tokens=self._limit.limit_tokens - self.reserved_tokens,
            limit_tokens=self._limit.limit_tokens,
            prefill_tokens=self._load().prefill_tokens,
            configuration=self._configuration.version,
        )

    def _drop_dead(self, now: timedelta) -> set[str]:
        oldest = now - self._limits.peer_timeout
        dead = {peer for peer, seen in self._peers.items() if seen < oldest}
        for peer in dead:
            self._peers.pop(peer)
            self._recorder.log(EventCode.entry_silent, entry=peer)
        return dead

    def _hear(
        self,
        peer: str,
        message: WireMessage,
        now: timedelta,
    ) -> None:
        heard = now
        if isinstance(message, Heartbeat):
            interval = timedelta(milliseconds=message.interval_ms)
            timeout = extend_timeout(self._limits.peer_timeout, interval)
            heard = now + timeout - self._limits.peer_timeout
        self._peers[peer] = max(heard, self._peers.get(peer, heard))

    def _admit(
        self,
        peer: str,
        attempt: Attempt,
        now: timedelta,
    ) -> list[AgentEffect]:
        reason = self._find_refusal(attempt)
        if reason:
            refused = self._refuse(attempt.attempt_id, reason)
            return [ToPeer(peer, refused)]
        excess = self._predict(attempt, now) - attempt.remaining_ms
        if excess > 0:
            refused = self._refuse(attempt.attempt_id, 'would_miss_deadline')
            refused.retry_after_ms = excess
            return [ToPeer(peer, refused)]
        service = self._configuration.services[attempt.service]
        deadline = now + timedelta(milliseconds=attempt.remaining_ms)
        queued = QueuedAttempt(attempt, now, deadline)
        step = KeyStep()
        step.ready.append((peer, queued))
        if attempt.idempotency_key:
            step = self._keyed.admit(peer, queued, service, now)
        return self._follow(step, now)

    def _follow(self, step: KeyStep, now: timedelta) -> list[AgentEffect]:
        effects = step.effects
        for peer, queued in step.ready:
            attempt_id = queued.attempt.attempt_id
            self._queue[attempt_id] = peer, queued
            effects.append(ToPeer(peer, Accepted(attempt_id=attempt_id)))
        if step.ready:
            effects.extend(self._start_waiting(now))
        return effects

    def _find_refusal(self, attempt: Attempt) -> str:
        total_tokens = attempt.prompt_tokens + attempt.output_tokens
        held_bytes = self.held_body_bytes + len(attempt.body)
        service = self._configuration.services.get(attempt.service)
        memory_refusal = self._find_memory_refusal(total_tokens)
        checks = (
            (
                'stale_incarnation',
                attempt.agent_incarnation != self._incarnation,
            ),
            ('attempt_fenced', self._fates.is_known(attempt.attempt_id)),
            ('attempt_repeated', self._is_held(attempt.attempt_id)),
            ('agent_leaving', self.is_stopping),
            ('target_draining', self.phase is TargetPhase.draining),
            (
                'service_not_here',
                service is None or self._instance not in service.instances,
            ),
            ('prompt_too_large', total_tokens > self._target.memory_tokens),
            (memory_refusal, bool(memory_refusal)),
            ('deadline_exceeded', attempt.remaining_ms <= 0),
            ('queue_full', len(self._queue) >= self._limits.max_queued_count),
            ('agent_memory_full', held_bytes > self._limits.body_budget_bytes),
        )
        return next((reason for reason, applies in checks if applies), '')

    def _find_memory_refusal(self, total_tokens: int) -> str:
        free_tokens = self._load().unclaimed_tokens
        if total_tokens <= max(0, free_tokens):
            return ''
        if self._limit.is_cold:
            return 'target_cold'
        # A larger attempt waits: it would find no room elsewhere either.
        is_small = total_tokens * _SMALL_PARTS <= self._limit.limit_tokens
        return 'memory_full' if is_small else ''

    def _predict(self, attempt: Attempt, now: timedelta) -> int:
        waiting = [
            queued.attempt.prompt_tokens for _, queued in self._queue.values()
        ]
        expected = self._forecast.predict(
            attempt.prompt_tokens,
            attempt.output_tokens,
            waiting,
            now,
        )
        return expected // timedelta(milliseconds=1)

    def _is_held(self, attempt_id: str) -> bool:
        return (
            attempt_id in self._queue
            or attempt_id in self._running
            or self._keyed.is_waiting(attempt_id)
        )

    def _refuse(self, attempt_id: str, reason: str) -> Refused:
        self._recorder.count('refusals', reason)
        return Refused(
            attempt_id=attempt_id,
            reason=reason,
            outcome=Outcome.not_run,
            retry_after_ms=_QUEUE_RETRY_AFTER_MS,
        )

    def _refuse_unknown(self, attempt_id: str, reason: str) -> Refused:
        refused = self._refuse(attempt_id, reason)
        refused.outcome = Outcome.outcome_unknown
        return refused

    def _grant(self, credit: Credit) -> list[AgentEffect]:
        if credit.attempt_id not in self._running:
            return []
        return [GrantCall(credit.attempt_id, credit.credit_bytes)]

    def _cancel(self, attempt_id: str, now: timedelta) -> list[AgentEffect]:
        if attempt_id in self._queue or self._keyed.is_waiting(attempt_id):
            self._drop_queued(attempt_id)
            return []
        running = self._running.get(attempt_id)
        if running is None or running.is_cancelled:
            return []
        if running.outlives_caller(now):
            return self._detach(running)
        running.is_cancelled = True
        return [CancelCall(attempt_id)]

    def _detach(self, running: _Running) -> list[AgentEffect]:
        if running.is_detached:
            return []
        running.is_detached = True
        attempt_id = running.queued.attempt.attempt_id
        return [GrantCall(attempt_id, _DETACHED_CREDIT_BYTES)]

    def _drop_queued(self, attempt_id: str) -> None:
        self._queue.pop(attempt_id, None)
        self._keyed.withdraw(attempt_id)

    def _answer_query(self, query: Query, now: timedelta) -> QueryReply:
        attempt_id = query.attempt_id
        if query.agent_incarnation != self._incarnation:
            # An earlier incarnation may have run it.
            return QueryReply(attempt_id=attempt_id, state=KeyState.unknown)
        if attempt_id in self._running:
            return QueryReply(attempt_id=attempt_id, state=KeyState.running)
        if self._is_held(attempt_id):
            self._drop_queued(attempt_id)
        state = self._fates.fence(attempt_id, now)
        return QueryReply(attempt_id=attempt_id, state=state)

    def _tell(
        self,
        running: _Running,
        message: WireMessage,
    ) -> list[AgentEffect]:
        if running.is_cancelled or running.is_detached:
            return []
        return [ToPeer(running.peer, message)]

    def _end_call(
        self,
        running: _Running,
        ended: CallEnded,
        now: timedelta,
    ) -> list[AgentEffect]:
        self._running.pop(ended.attempt_id)
        self._forecast.record_end(
            ended.attempt_id,
            0 if ended.error else running.queued.attempt.output_tokens,
            now,
        )
        tokens = self._ledger.release(ended.attempt_id)
        effects: list[AgentEffect] = []
        self._fates.record_end(running.queued, ended)
        if ended.error:
            if not running.is_cancelled:
                self._warmth.take_failure(ended)
            effects.extend(
                self._tell(running, self._report_failure(running, ended))
            )
        else:
            self._limit.record_success(tokens)
            final = Final(
                attempt_id=ended.attempt_id,
                chunk_count=running.chunk_count,
            )
            effects.extend(self._tell(running, final))
        effects.extend(self._start_waiting(now))
        return effects

    def _report_failure(self, running: _Running, ended: CallEnded) -> Refused:
        if ended.is_sent or running.queued.attempt.idempotency_key:
            return self._refuse_unknown(ended.attempt_id, ended.error)
        return self._refuse(ended.attempt_id, ended.error)

    def _refuse_waiting(
        self,
        reason: str,
        waiting: Iterable[tuple[str, QueuedAttempt]],
    ) -> list[AgentEffect]:
        effects: list[AgentEffect] = []
        for peer, queued in list(waiting):
            attempt_id = queued.attempt.attempt_id
            self._drop_queued(attempt_id)
            effects.append(ToPeer(peer, self._refuse(attempt_id, reason)))
        return effects

    def _start_waiting(self, now: timedelta) -> list[AgentEffect]:
        if self.phase is TargetPhase.draining:
            # What has not started is new work for the target.
            return self._refuse_waiting(
                'target_draining',
                self._queue.values(),
            )
        # Checked again here, right before the target is called.
        effects = self._refuse_waiting(
            'deadline_exceeded',
            _find_overdue(self._queue.values(), now),
        )
        while self._queue:
            if len(self._running) >= self._target.concurrency_count:
                break
            queued = self._order.choose(self._load(), now)
            if queued is None:
                break
            effects.append(self._start(queued, now))
        return effects

    def _start(self, queued: QueuedAttempt, now: timedelta) -> StartCall:
        attempt = queued.attempt
        self._forecast.record_start(
            attempt.attempt_id,
            attempt.prompt_tokens,
            now,
        )
        peer, _ = self._queue.pop(attempt.attempt_id)
        self._ledger.reserve(attempt.attempt_id, queued.total_tokens)
        self._running[attempt.attempt_id] = _Running(peer, queued)
        return StartCall(
            attempt,
            self._target.address,
            queued.deadline - now,
            self._order.priority(attempt),
        )

    def _load(self) -> TargetLoad:
        return TargetLoad(
            waiting=[queued for _, queued in self._queue.values()],
            prefilling=[
                running.queued
                for running in self._running.values()
                if running.is_prefilling
            ],
            free_tokens=self._limit.limit_tokens - self.reserved_tokens,
        )


def _find_overdue(
    waiting: Iterable[tuple[str, QueuedAttempt]],
    now: timedelta,
) -> list[tuple[str, QueuedAttempt]]:
    return [
        (peer, queued) for peer, queued in waiting if queued.deadline <= now
    ]
