"""Decisions of an entry: placement, retries, deadlines and checked answers."""

from collections.abc import Iterable
from datetime import timedelta

from ._generated.events import Submission
from ._generated.inventory import Service
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
)
from .configuration import Configuration
from .directories import AgentDirectory
from .effects import AnswerMessage, RouterEffect, ToCaller, ToPeer, WireMessage
from .heartbeats import HeartbeatPace
from .journal import EventCode
from .placement import AgentView, Placement, find_home, join_key
from .retries import FREE_REASONS, RetryBudget
from .subsets import LinkPlan, WholeService
from .types import RandomSource, Recorder

_RETRY_BASE_MS = 20
_RETRY_CAP_MS = 500
_OVERLOAD_RETRY_AFTER_MS = 1000
_QUERY_MARGIN_MS = 250
_KEY_REASONS = frozenset(
    (
        'key_done',
        'key_expired',
        'key_fenced',
        'key_reused',
        'key_running',
        'key_unknown',
    ),
)
# An agent that refuses for these takes no work by plan, so that the next
# placement is not a retry that the budget has to bound.
_PLANNED_REASONS = frozenset(
    (
        'agent_leaving',
        'service_not_here',
        'target_draining',
    ),
)


class RouterLimits:
    """Bounds of a router.

    :param max_held_requests: requests held at once.
    :param max_attempts: tries for one request, the first one included.
    :param stream_window_bytes: bytes of an answer in flight to one caller.
    :param peer_timeout: silence after which an agent counts as lost.
    """

    __slots__ = (
        'max_attempts',
        'max_held_requests',
        'peer_timeout',
        'stream_window_bytes',
    )

    def __init__(
        self,
        *,
        max_held_requests: int,
        max_attempts: int,
        stream_window_bytes: int,
        peer_timeout: timedelta,
    ) -> None:
        self.max_held_requests = max_held_requests
        self.max_attempts = max_attempts
        self.stream_window_bytes = stream_window_bytes
        self.peer_timeout = peer_timeout


class _Request:
    """State of one held request."""

    __slots__ = (
        'agent_incarnation',
        'attempt_count',
        'attempt_id',
        'deadline',
        'instance',
        'is_fate_asked',
        'is_proven_not_run',
        'is_started',
        'next_sequence',
        'retry_at',
        'submission',
        'tried',
    )

    def __init__(self, submission: Submission, deadline: timedelta) -> None:
        self.submission = submission
        self.deadline = deadline
        self.attempt_count = 0
        self.attempt_id = ''
        self.agent_incarnation = ''
        self.instance = ''
        self.is_fate_asked = False
        self.is_proven_not_run = True
        self.is_started = False
        self.next_sequence = 0
        self.retry_at: timedelta | None = None
        self.tried: set[str] = set()

    @property
    def outcome(self) -> Outcome:
        """Return what is proven of the request's execution.

        Of a key nothing is proven here: an earlier request may have run it.
        """
        if self.submission.idempotency_key:
            return Outcome.outcome_unknown
        if self.is_proven_not_run and not self.attempt_id:
            return Outcome.not_run
        return Outcome.outcome_unknown

    @property
    def needs_fate(self) -> bool:
        """Tell whether only the agent can say if the request may run again."""
        return not (
            self.submission.is_idempotent
            or self.submission.idempotency_key
            or self.is_started
        )

    @property
    def query_time(self) -> timedelta:
        """Return when the fate of an attempt in flight has to be asked."""
        time_limit = timedelta(milliseconds=self.submission.time_limit_ms)
        margin = timedelta(milliseconds=_QUERY_MARGIN_MS)
        return self.deadline - min(margin, time_limit / 4)

    @property
    def total_tokens(self) -> int:
        """Return the tokens that the request may hold at an engine."""
        return self.submission.prompt_tokens + self.submission.output_tokens

    def forget_attempt(self) -> None:
        """End the current attempt."""
        self.attempt_id = ''
        self.agent_incarnation = ''
        self.is_fate_asked = False
        self.instance = ''


class Router:
    """Places requests on agents and checks what comes back.

    It holds no socket and reads no clock: each call takes the time and
    returns what its task has to send.
    """

    __slots__ = (
        '_attempts',
        '_budget',
        '_configuration',
        '_incarnation',
        '_limits',
        '_placement',
        '_random',
        '_recorder',
        '_requests',
        'agents',
    )

    def __init__(
        self,
        *,
        incarnation: str,
        configuration: Configuration,
        limits: RouterLimits,
        placement: Placement,
        budget: RetryBudget,
        random: RandomSource,
        recorder: Recorder,
        agents: AgentDirectory | None = None,
    ) -> None:
        self._incarnation = incarnation
        self._configuration = configuration
        self._limits = limits
        self._placement = placement
        self._budget = budget
        self._random = random
        self._recorder = recorder
        self.agents = agents or AgentDirectory(
            LinkPlan(WholeService(), configuration, limits.peer_timeout),
            HeartbeatPace(peer_timeout=limits.peer_timeout),
        )
        self._requests: dict[int, _Request] = {}
        self._attempts: dict[str, int] = {}

    @property
    def held_count(self) -> int:
        """Return the number of requests held."""
        return len(self._requests)

    @property
    def open_agent_count(self) -> int:
        """Return the number of agents that take new work."""
        return sum(view.is_open for view in self.agents.values())

    def submit(
        self,
        submission: Submission,
        now: timedelta,
    ) -> list[RouterEffect]:
        """Take a caller's request and place it.

        :param submission: the request.
        :param now: time on the monotonic clock.
        """
        deadline = now + timedelta(milliseconds=submission.time_limit_ms)
        request = _Request(submission, deadline)
        service = self._configuration.services.get(submission.service)
        if service is None:
            return [self._refuse(request, 'unknown_service')]
        if len(self._requests) >= self._limits.max_held_requests:
            return [self._refuse(request, 'entry_full')]
        if self._is_too_large(request, service):
            return [self._refuse(request, 'prompt_too_large')]
        self._requests[submission.request_number] = request
        self._budget.record_first()
        return self._place(request, service, now)

    def receive(
        self,
        instance: str,
        message: WireMessage,
        now: timedelta,
    ) -> list[RouterEffect]:
        """Take a message from an agent.

        :param instance: the agent's instance.
        :param message: what it sent.
        :param now: time of receipt on the monotonic clock.
        """
        view = self.agents.get(instance)
        if view is None:
            return []
        view.last_heard = now
        if isinstance(message, Hint):
            return self._update_hint(view, message, now)
        if isinstance(message, Accepted):
            return []
        if isinstance(message, Refused):
            return self._take_refusal(instance, message, now)
        if isinstance(message, QueryReply):
            return self._take_fate(instance, message, now)
        if isinstance(message, Started | Chunk | Final):
            return self._take_answer(instance, message, now)
        return []

    def consume(
        self, request_number: int, consumed_bytes: int
    ) -> list[RouterEffect]:
        """Return credit to the agent after the caller took bytes.

        :param request_number: the request whose answer was read.
        :param consumed_bytes: bytes that left for the caller.
        """
        request = self._requests.get(request_number)
        if request is None or not request.attempt_id:
            return []
        credit = Credit(
            attempt_id=request.attempt_id,
            credit_bytes=consumed_bytes,
        )
        return [ToPeer(request.instance, credit)]

    def hang_up(self, request_number: int) -> list[RouterEffect]:
        """Drop a request whose caller has gone.

        :param request_number: the request to drop.
        """
        request = self._requests.get(request_number)
        if request is None:
            return []
        self._recorder.count('hangups', 'caller')
        return self._drop(request, 'caller_gone')

    def lose_agent(self, instance: str, now: timedelta) -> list[RouterEffect]:
        """Fail over the requests that the lost agent held.

        A request that may not run twice waits until the agent can be asked.

        :param instance: instance of the agent that fell silent.
        :param now: time on the monotonic clock.
        """
        view = self.agents.get(instance)
        if view is not None:
            view.hint = None
            view.last_heard = None
        effects: list[RouterEffect] = []
        for request in self._held_by(instance):
            if request.needs_fate and request.is_proven_not_run:
                request.is_fate_asked = False
            else:
                effects.extend(self._take_loss(request, 'agent_lost', now))
        return effects

    def tick(self, now: timedelta) -> list[RouterEffect]:
        """End overdue requests, retry waiting ones, detect silent agents.

        :param now: time on the monotonic clock.
        """
        effects: list[RouterEffect] = []
        self.agents.follow(
            {each.instance for each in self._requests.values()}, now
        )
        for instance in self.agents.find_silent(now):
            self._recorder.log(EventCode.agent_silent, instance=instance)
            effects.extend(self.lose_agent(instance, now))
        for request in list(self._requests.values()):
            effects.extend(self._advance(request, now))
        return effects

    def beat(self, now: timedelta) -> list[RouterEffect]:
        """Return a heartbeat for each agent that is due for one.

        :param now: time on the monotonic clock.
        """
        message = self.make_heartbeat()
        return [ToPeer(peer, message) for peer in self.agents.take_due(now)]

    def make_heartbeat(self) -> Heartbeat:
        """Return what this process tells its peers."""
        return Heartbeat(
            sender_incarnation=self._incarnation,
            configuration=self._configuration.version,
            interval_ms=self.agents.interval // timedelta(milliseconds=1),
        )

    def follow_configuration(self) -> None:
        """Take up agents of the configuration, drop the others."""
        self.agents.follow({each.instance for each in self._requests.values()})

    def end_all(self, reason: str) -> list[RouterEffect]:
        """End every held request with an honest refusal.

        :param reason: the stable code of the refusal.
        """
        effects: list[RouterEffect] = []
        for request in list(self._requests.values()):
            effects.extend(self._fail(request, reason))
        return effects

    def _advance(
        self,
        request: _Request,
        now: timedelta,
    ) -> list[RouterEffect]:
        if now >= request.deadline:
            return self._fail(request, 'deadline_exceeded')
        if request.attempt_id and now >= request.query_time:
            return _ask_fate(request, self.agents.get(request.instance))
        if request.retry_at is None or now < request.retry_at:
            return []
        request.retry_at = None
        service = self._configuration.services.get(request.submission.service)
        if service is None:
            return self._fail(request, 'unknown_service')
        return self._place(request, service, now)

    def _held_by(self, instance: str) -> list[_Request]:
        return [
            request
            for request in self._requests.values()
            if request.instance == instance
        ]

    def _is_too_large(self, request: _Request, service: Service) -> bool:
        sizes = [
            self._configuration.instances[name].target.memory_tokens
            for name in service.instances
        ]
        return bool(sizes) and request.total_tokens > max(sizes)

    def _find_home(self, submission: Submission, service: Service) -> list[str]:
        key = join_key(
            service.name,
            submission.organisation,
            submission.idempotency_key,
        )
        members = self._configuration.find_home_instances(service)
        if not members:
            return []
        home = find_home(key, members)
        self.agents.demand(home)
        return [home]

    def _candidates(
        self,
        request: _Request,
        service: Service,
    ) -> Iterable[AgentView]:
        names: Iterable[str] = service.instances
        if request.submission.idempotency_key:
            names = self._find_home(request.submission, service)
        for name in names:
            if name in request.tried or self._configuration.is_draining(name):
                continue
            view = self.agents.get(name)
            target = self._configuration.instances[name].target
            if view is not None and view.bears(request.total_tokens, target):
                yield view

    def _place(
        self,
        request: _Request,
        service: Service,
        now: timedelta,
    ) -> list[RouterEffect]:
        candidates = list(self._candidates(request, service))
        if not candidates:
            return self._wait(request, now)
        view = self._placement.choose(
            candidates,
            request.submission,
            self._random,
        )
        return [self._send(request, view, now)]

    def _wait(self, request: _Request, now: timedelta) -> list[RouterEffect]:
        request.tried.clear()
        exponent = min(request.attempt_count, self._limits.max_attempts)
        ceiling_ms = min(_RETRY_BASE_MS * 2**exponent, _RETRY_CAP_MS)
        delay_ms = ceiling_ms * (1 + self._random.random()) / 2
        request.retry_at = now + timedelta(milliseconds=delay_ms)
        return []

    def _send(
        self,
        request: _Request,
        view: AgentView,
        now: timedelta,
    ) -> ToPeer:
        submission = request.submission
        request.attempt_count += 1
        request.instance = view.instance
        request.attempt_id = (
            f'{self._incarnation}/{submission.request_number}'
            f'/{request.attempt_count}'
        )
        request.agent_incarnation = view.incarnation
        request.next_sequence = 0
        request.tried.add(view.instance)
        view.pending_tokens += request.total_tokens
        self._attempts[request.attempt_id] = submission.request_number
        remaining = request.deadline - now
        attempt = Attempt(
            attempt_id=request.attempt_id,
            entry_incarnation=self._incarnation,
            agent_incarnation=view.incarnation,
            organisation=submission.organisation,
            service=submission.service,
            method=submission.method,
            path=submission.path,
            content_type=submission.content_type,
            idempotency_key=submission.idempotency_key,
            is_idempotent=submission.is_idempotent,
            is_stream=submission.is_stream,
            prompt_tokens=submission.prompt_tokens,
            output_tokens=submission.output_tokens,
            deadline_wall_ms=submission.deadline_wall_ms,
            remaining_ms=max(0, remaining // timedelta(milliseconds=1)),
            credit_bytes=self._limits.stream_window_bytes,
            configuration=self._configuration.version,
            body=submission.body,
        )
        return ToPeer(view.instance, attempt)

    def _update_hint(
        self,
        view: AgentView,
        hint: Hint,
        now: timedelta,
    ) -> list[RouterEffect]:
        effects: list[RouterEffect] = []
        is_back = view.hint is None
        view.update(hint, now)
        for request in self._held_by(view.instance):
            if request.agent_incarnation != hint.agent_incarnation:
                effects.extend(self._take_loss(request, 'agent_restarted', now))
            elif is_back:
                effects.extend(_ask_fate(request, view))
        return effects

    def _find(self, instance: str, attempt_id: str) -> _Request | None:
        request_number = self._attempts.get(attempt_id)
        if request_number is None:
            return None
        request = self._requests[request_number]
        if request.instance != instance or request.attempt_id != attempt_id:
            return None
        return request

    def _take_refusal(
        self,
        instance: str,
        refused: Refused,
        now: timedelta,
    ) -> list[RouterEffect]:
        request = self._find(instance, refused.attempt_id)
        if request is None:
            return []
        self._attempts.pop(request.attempt_id)
        request.forget_attempt()
        if refused.outcome is not Outcome.not_run:
            request.is_proven_not_run = False
        elif refused.reason in _PLANNED_REASONS and not request.is_started:
            if refused.reason != 'service_not_here':
                self.agents[instance].close()
            self._recorder.count('replacements', refused.reason)
            request.retry_at = now
            return self._advance(request, now)
        return self._retry(request, refused.reason, now)

    def _take_fate(
        self,
        instance: str,
        reply: QueryReply,
        now: timedelta,
    ) -> list[RouterEffect]:
        request = self._find(instance, reply.attempt_id)
        if request is None or reply.state is KeyState.running:
            return []
        self._attempts.pop(request.attempt_id)
        request.forget_attempt()
        if reply.state is KeyState.fenced:
            if now >= request.query_time:
                return self._fail(request, 'deadline_exceeded')
            return self._retry(request, 'agent_lost', now)
        request.is_proven_not_run = False
        return self._fail(request, 'answer_lost')

    def _take_loss(
        self,
        request: _Request,
        reason: str,
        now: timedelta,
    ) -> list[RouterEffect]:
        self._attempts.pop(request.attempt_id, None)
        request.forget_attempt()
        request.is_proven_not_run = False
        return self._retry(request, reason, now)

    def _retry(
        self,
        request: _Request,
        reason: str,
        now: timedelta,
    ) -> list[RouterEffect]:
        may_run_again = (
            request.is_proven_not_run
            or request.submission.is_idempotent
            or bool(request.submission.idempotency_key)
        )
        if request.is_started or not may_run_again or reason in _KEY_REASONS:
            return self._fail(request, reason)
        if request.attempt_count >= self._limits.max_attempts:
            return self._fail(request, reason)
        is_free = reason in FREE_REASONS
        if not is_free and not self._budget.allow_retry():
            self._recorder.count('retries_denied', reason)
            return self._fail(request, 'retry_budget_exhausted')
        self._recorder.count('retries', reason)
        request.retry_at = now
        return self._advance(request, now)

    def _take_answer(
        self,
        instance: str,
        message: Started | Chunk | Final,
        now: timedelta,
    ) -> list[RouterEffect]:
        request = self._find(instance, message.attempt_id)
        if request is None:
            self._recorder.count('late_messages', type(message).__name__)
            return []
        if isinstance(message, Started):
            request.is_started = True
            # No retry can follow, so that the body is not needed again.
            request.submission.body = b''
            return [_answer(request, message)]
        if not request.is_started:
            return self._fail(request, 'chunk_lost')
        if isinstance(message, Chunk):
            if message.sequence_number != request.next_sequence:
                return self._fail(request, 'chunk_lost')
            request.next_sequence += 1
            return [_answer(request, message)]
        if message.chunk_count != request.next_sequence:
            return self._fail(request, 'chunk_lost')
        self._forget(request)
        self._recorder.count('requests', 'completed')
        return [_answer(request, message)]

    def _refuse(self, request: _Request, reason: str) -> ToCaller:
        self._recorder.count('refusals', reason)
        refused = Refused(
            attempt_id=request.attempt_id,
            reason=reason,
            outcome=request.outcome,
            retry_after_ms=_OVERLOAD_RETRY_AFTER_MS,
        )
        return _answer(request, refused)

    def _fail(self, request: _Request, reason: str) -> list[RouterEffect]:
        refusal = self._refuse(request, reason)
        return [refusal, *self._drop(request, reason)]

    def _drop(self, request: _Request, reason: str) -> list[RouterEffect]:
        effects: list[RouterEffect] = []
        if request.attempt_id:
            cancel = Cancel(attempt_id=request.attempt_id, reason=reason)
            effects.append(ToPeer(request.instance, cancel))
        self._forget(request)
        return effects

    def _forget(self, request: _Request) -> None:
        self._attempts.pop(request.attempt_id, None)
        self._requests.pop(request.submission.request_number, None)


def _answer(request: _Request, message: AnswerMessage) -> ToCaller:
    return ToCaller(request.submission.request_number, message)


def _ask_fate(
    request: _Request,
    view: AgentView | None,
) -> list[RouterEffect]:
    """Ask whether an attempt runs, and bar it if it does not."""
    is_reachable = view is not None and view.hint is not None
    if request.is_fate_asked or not request.needs_fate or not is_reachable:
        return []
    request.is_fate_asked = True
    query = Query(
        attempt_id=request.attempt_id,
        agent_incarnation=request.agent_incarnation,
        service=request.submission.service,
        idempotency_key=request.submission.idempotency_key,
    )
    return [ToPeer(request.instance, query)]
