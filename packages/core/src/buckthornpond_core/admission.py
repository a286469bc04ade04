"""Decisions of an agent: admission, order, keys and the end of attempts."""

from collections import OrderedDict
from datetime import timedelta

from ._generated.events import CallChunk, CallEnded, CallStarted
from ._generated.inventory import Service, Target
from ._generated.messages import (
    Accepted,
    Attempt,
    Cancel,
    Chunk,
    Credit,
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
from .forecasts import Forecast, NoForecast
from .journal import EventCode
from .keys import KeyRegister
from .ledger import Ledger
from .limits import TargetLimit
from .placement import join_key, rank_homes
from .queueing import AdmissionOrder, QueuedAttempt, TargetLoad
from .types import Recorder

_QUEUE_RETRY_AFTER_MS = 200
_FENCE_CAPACITY = 100_000


class AgentLimits:
    """Bounds of an agent.

    :param max_queued_count: attempts that may wait.
    :param peer_timeout: silence after which an entry counts as dead.
    """

    __slots__ = ('max_queued_count', 'peer_timeout')

    def __init__(
        self,
        *,
        max_queued_count: int,
        peer_timeout: timedelta,
    ) -> None:
        self.max_queued_count = max_queued_count
        self.peer_timeout = peer_timeout


class _Running:
    """An attempt whose call to the target is open."""

    __slots__ = (
        'chunk_count',
        'is_cancelled',
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


class Admission:
    """The one authority over what a target holds and runs.

    It holds no socket and reads no clock: each call takes the time and
    returns what its task has to do.
    """

    __slots__ = (
        '_configuration',
        '_fenced',
        '_forecast',
        '_incarnation',
        '_instance',
        '_keys',
        '_ledger',
        '_limit',
        '_limits',
        '_order',
        '_peers',
        '_queue',
        '_recorder',
        '_running',
        '_target',
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
        keys: KeyRegister,
        recorder: Recorder,
        forecast: Forecast | None = None,
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._configuration = configuration
        self._limits = limits
        self._limit = limit
        self._order = order
        self._keys = keys
        self._recorder = recorder
        self._forecast = forecast or NoForecast()
        self._target = Target(address='0.0.0.0:0')
        self._ledger = Ledger()
        self._queue: dict[str, tuple[str, QueuedAttempt]] = {}
        self._running: dict[str, _Running] = {}
        self._fenced: OrderedDict[str, None] = OrderedDict()
        self._peers: dict[str, timedelta] = {}
        self.is_stopping = False

    @property
    def held_count(self) -> int:
        """Return the number of attempts that wait or run."""
        return len(self._queue) + len(self._running)

    @property
    def reserved_tokens(self) -> int:
        """Return the tokens that the ledger holds."""
        return self._ledger.reserved_tokens

    @property
    def phase(self) -> TargetPhase:
        """Return the readiness that entries are told."""
        if self.is_stopping:
            return TargetPhase.leaving
        if self._configuration.is_draining(self._instance):
            return TargetPhase.draining
        return TargetPhase.cold if self._limit.is_cold else TargetPhase.warm

    def follow_configuration(self) -> None:
        """Take up the bounds that the inventory gives the target."""
        instance = self._configuration.instances.get(self._instance)
        if instance is not None:
            self._target = instance.target
            self._limit.resize(
                instance.target.cold_tokens,
                instance.target.memory_tokens,
            )

    def receive(
        self,
        peer: str,
        message: WireMessage,
        now: timedelta,
    ) -> list[AgentEffect]:
        """Take a message from an entry.

        :param peer: incarnation of the entry.
        :param message: what it sent.
        :param now: time of receipt on the monotonic clock.
        """
        self._peers[peer] = now
        if isinstance(message, Heartbeat):
            return [ToPeer(peer, self.hint())]
        if isinstance(message, Attempt):
            return self._admit(peer, message, now)
        if isinstance(message, Credit):
            return self._grant(message)
        if isinstance(message, Cancel):
            return self._cancel(message.attempt_id, now)
        if isinstance(message, Query):
            return [ToPeer(peer, self._answer_query(message))]
        self._recorder.count('unexpected_messages', type(message).__name__)
        return []

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
        if isinstance(message, CallStarted):
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
            return self._tell(running, chunk)
        return self._end_call(running, message, now)

    def tick(self, now: timedelta) -> list[AgentEffect]:
        """End overdue attempts and those of dead entries, start others.

        :param now: time on the monotonic clock.
        """
        effects: list[AgentEffect] = []
        self._keys.expire(now)
        oldest = now - self._limits.peer_timeout
        dead = {peer for peer, seen in self._peers.items() if seen < oldest}
        for peer in dead:
            self._peers.pop(peer)
            self._recorder.log(EventCode.entry_silent, entry=peer)
        for attempt_id, (peer, queued) in list(self._queue.items()):
            if peer in dead:
                self._queue.pop(attempt_id)
            elif queued.deadline <= now:
                self._queue.pop(attempt_id)
                refused = self._refuse(attempt_id, 'deadline_exceeded')
                effects.append(ToPeer(peer, refused))
        for attempt_id, running in list(self._running.items()):
            if running.peer in dead or running.queued.deadline <= now:
                effects.extend(self._cancel(attempt_id, now))
        effects.extend(self._start_waiting(now))
        return effects

    def hint(self) -> Hint:
        """Return the load report for entries."""
        waiting = [queued.total_tokens for _, queued in self._queue.values()]
        return Hint(
            instance=self._instance,
            agent_incarnation=self._incarnation,
            phase=self.phase,
            running_count=len(self._running),
            queued_count=len(waiting),
            queued_tokens=sum(waiting),
            free_tokens=self._limit.limit_tokens - self.reserved_tokens,
            limit_tokens=self._limit.limit_tokens,
            configuration=self._configuration.version,
        )

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
        if attempt.idempotency_key:
            refusal = self._claim_key(attempt, service, now)
            if refusal is not None:
                return [ToPeer(peer, refusal)]
        deadline = now + timedelta(milliseconds=attempt.remaining_ms)
        queued = QueuedAttempt(attempt, now, deadline)
        self._queue[attempt.attempt_id] = (peer, queued)
        accepted = Accepted(attempt_id=attempt.attempt_id)
        return [ToPeer(peer, accepted), *self._start_waiting(now)]

    def _find_refusal(self, attempt: Attempt) -> str:
        total_tokens = attempt.prompt_tokens + attempt.output_tokens
        service = self._configuration.services.get(attempt.service)
        checks = (
            (
                'stale_incarnation',
                attempt.agent_incarnation != self._incarnation,
            ),
            ('attempt_fenced', attempt.attempt_id in self._fenced),
            ('attempt_repeated', self._is_held(attempt.attempt_id)),
            ('agent_leaving', self.is_stopping),
            ('target_draining', self.phase is TargetPhase.draining),
            (
                'service_not_here',
                service is None or self._instance not in service.instances,
            ),
            ('prompt_too_large', total_tokens > self._target.memory_tokens),
            ('deadline_exceeded', attempt.remaining_ms <= 0),
            ('queue_full', len(self._queue) >= self._limits.max_queued_count),
        )
        return next((reason for reason, applies in checks if applies), '')

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
        return attempt_id in self._queue or attempt_id in self._running

    def _claim_key(
        self,
        attempt: Attempt,
        service: Service,
        now: timedelta,
    ) -> Refused | None:
        key = join_key(service.name, attempt.idempotency_key)
        if rank_homes(key, service.instances)[0] != self._instance:
            return self._refuse_unknown(attempt.attempt_id, 'wrong_home')
        window = timedelta(milliseconds=service.retry_window_ms)
        state = self._keys.find(key, window, now)
        if state is None:
            self._keys.record(key, KeyState.running, window, now)
            return None
        return self._refuse_unknown(attempt.attempt_id, f'key_{state}')

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
        waiting = self._queue.pop(attempt_id, None)
        if waiting is not None:
            self._settle_key(waiting[1].attempt, KeyState.fenced, now)
            return []
        running = self._running.get(attempt_id)
        if running is None or running.is_cancelled:
            return []
        running.is_cancelled = True
        return [CancelCall(attempt_id)]

    def _answer_query(self, query: Query) -> QueryReply:
        attempt_id = query.attempt_id
        state = KeyState.running
        if not self._is_held(attempt_id):
            state = KeyState.fenced
            self._fenced[attempt_id] = None
            if len(self._fenced) > _FENCE_CAPACITY:
                self._fenced.popitem(last=False)
        return QueryReply(attempt_id=attempt_id, state=state)

    def _tell(
        self,
        running: _Running,
        message: WireMessage,
    ) -> list[AgentEffect]:
        if running.is_cancelled:
            return []
        return [ToPeer(running.peer, message)]

    def _end_call(
        self,
        running: _Running,
        ended: CallEnded,
        now: timedelta,
    ) -> list[AgentEffect]:
        attempt = running.queued.attempt
        self._running.pop(ended.attempt_id)
        self._forecast.record_end(
            ended.attempt_id,
            0 if ended.error else attempt.output_tokens,
            now,
        )
        tokens = self._ledger.release(ended.attempt_id)
        effects: list[AgentEffect] = []
        if ended.error:
            state = KeyState.unknown if ended.is_sent else KeyState.fenced
            self._settle_key(attempt, state, now)
            effects.extend(self._tell(running, self._report_failure(ended)))
        else:
            self._limit.record_success(tokens)
            self._settle_key(attempt, KeyState.done, now)
            final = Final(
                attempt_id=ended.attempt_id,
                chunk_count=running.chunk_count,
            )
            effects.extend(self._tell(running, final))
        effects.extend(self._start_waiting(now))
        return effects

    def _report_failure(self, ended: CallEnded) -> Refused:
        if ended.is_sent:
            return self._refuse_unknown(ended.attempt_id, ended.error)
        return self._refuse(ended.attempt_id, ended.error)

    def _settle_key(
        self,
        attempt: Attempt,
        state: KeyState,
        now: timedelta,
    ) -> None:
        if not attempt.idempotency_key:
            return
        service = self._configuration.services.get(attempt.service)
        if service is None:
            return
        window = timedelta(milliseconds=service.retry_window_ms)
        key = join_key(attempt.service, attempt.idempotency_key)
        self._keys.record(key, state, window, now)

    def _refuse_waiting(
        self,
        reason: str,
        now: timedelta,
    ) -> list[AgentEffect]:
        effects: list[AgentEffect] = []
        for attempt_id, (peer, _) in list(self._queue.items()):
            effects.extend(self._cancel(attempt_id, now))
            effects.append(ToPeer(peer, self._refuse(attempt_id, reason)))
        return effects

    def _start_waiting(self, now: timedelta) -> list[AgentEffect]:
        if self.phase is TargetPhase.draining:
            # What has not started is new work for the target.
            return self._refuse_waiting('target_draining', now)
        effects: list[AgentEffect] = []
        while self._queue and self._has_slot():
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
        return StartCall(attempt, self._order.priority(attempt))

    def _load(self) -> TargetLoad:
        return TargetLoad(
            waiting=[queued for _, queued in self._queue.values()],
            prefilling=[
                running.queued
                for running in self._running.values()
                if running.is_prefilling
            ],
            free_tokens=self._limit.limit_tokens - self.reserved_tokens,
            is_idle=not self._running,
        )

    def _has_slot(self) -> bool:
        return len(self._running) < self._target.concurrency_count
