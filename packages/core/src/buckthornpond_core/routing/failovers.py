"""Failover of requests whose attempt fails or is lost."""

from datetime import timedelta

from .._generated.messages import (
    Hint,
    KeyState,
    Outcome,
    Query,
    QueryReply,
    Refused,
)
from ..configuration.documents import Configuration
from ..effects import RouterEffect, SendToPeer
from ..types import Recorder
from .agent_directory import AgentDirectory
from .dispatching import Dispatcher
from .held_requests import HeldRequest, HeldRequests
from .placement import AgentView
from .retries import RetryRules
from .termination import RequestTerminator

# With these reasons an agent refuses work by plan. The next placement is not
# counted as a retry and does not use the retry budget.
_PLANNED_REFUSAL_REASONS = frozenset(
    (
        'agent_leaving',
        'service_not_here',
        'target_draining',
    ),
)


class Failover:
    """Retries requests, queries the state of lost attempts, or refuses.

    :param configuration: documents in force.
    :param agents: views of the linked agents.
    :param requests: requests in flight.
    :param dispatcher: sends attempts to agents.
    :param terminator: refuses requests that may not be retried.
    :param rules: decides which requests may be retried.
    :param recorder: counters of planned replacements.
    """

    __slots__ = (
        '_agents',
        '_configuration',
        '_dispatcher',
        '_terminator',
        '_recorder',
        '_requests',
        '_rules',
    )

    def __init__(
        self,
        *,
        configuration: Configuration,
        agents: AgentDirectory,
        requests: HeldRequests,
        dispatcher: Dispatcher,
        terminator: RequestTerminator,
        rules: RetryRules,
        recorder: Recorder,
    ) -> None:
        self._configuration = configuration
        self._agents = agents
        self._requests = requests
        self._dispatcher = dispatcher
        self._terminator = terminator
        self._rules = rules
        self._recorder = recorder

    def advance(
        self,
        request: HeldRequest,
        now: timedelta,
    ) -> list[RouterEffect]:
        """Fail a request past its deadline, query its attempt, or retry it.

        :param request: the request.
        :param now: time on the monotonic clock.
        """
        if now >= request.deadline:
            return self._terminator.fail(request, 'deadline_exceeded')
        if request.attempt_id and now >= request.query_at:
            return _query_attempt(request, self._agents.get(request.instance))
        if request.retry_at is None or now < request.retry_at:
            return []
        request.retry_at = None
        service = self._configuration.services.get(request.submission.service)
        if service is None:
            return self._terminator.fail(request, 'unknown_service')
        return self._dispatcher.place(request, service, now)

    def handle_hint(
        self,
        view: AgentView,
        hint: Hint,
        now: timedelta,
    ) -> list[RouterEffect]:
        """Apply a load report, and fail over attempts that a restart lost.

        :param view: view of the agent.
        :param hint: its load report.
        :param now: time on the monotonic clock.
        """
        effects: list[RouterEffect] = []
        was_unreachable = view.hint is None
        view.update(hint, now)
        for request in self._requests.find_by_instance(view.instance):
            if request.agent_incarnation != hint.agent_incarnation:
                effects.extend(
                    self._handle_loss(request, 'agent_restarted', now)
                )
            elif was_unreachable:
                effects.extend(_query_attempt(request, view))
        return effects

    def handle_refusal(
        self,
        instance: str,
        refused: Refused,
        now: timedelta,
    ) -> list[RouterEffect]:
        """Retry a refused attempt, or refuse the request to its caller.

        :param instance: instance of the agent that refused.
        :param refused: the refusal.
        :param now: time on the monotonic clock.
        """
        request = self._requests.find(instance, refused.attempt_id)
        if request is None:
            return []
        self._requests.end_attempt(request)
        if refused.outcome is not Outcome.not_run:
            request.is_proven_not_run = False
        elif (
            refused.reason in _PLANNED_REFUSAL_REASONS
            and not request.is_response_started
        ):
            if refused.reason != 'service_not_here':
                self._agents[instance].mark_leaving()
            self._recorder.count('replacements', refused.reason)
            request.retry_at = now
            return self.advance(request, now)
        return self._retry(request, refused.reason, now)

    def handle_query_reply(
        self,
        instance: str,
        reply: QueryReply,
        now: timedelta,
    ) -> list[RouterEffect]:
        """Retry or fail a request after the query of its attempt.

        :param instance: instance of the agent that was queried.
        :param reply: state of the attempt at that agent.
        :param now: time on the monotonic clock.
        """
        request = self._requests.find(instance, reply.attempt_id)
        if request is None or reply.state is KeyState.running:
            return []
        self._requests.end_attempt(request)
        if reply.state is KeyState.fenced:
            if now >= request.query_at:
                return self._terminator.fail(request, 'deadline_exceeded')
            return self._retry(request, 'agent_lost', now)
        request.is_proven_not_run = False
        return self._terminator.fail(request, 'answer_lost')

    def handle_lost_agent(
        self, instance: str, now: timedelta
    ) -> list[RouterEffect]:
        """Fail over the requests at an unresponsive agent.

        A request that may not run twice waits until the agent can be queried.

        :param instance: instance of the unresponsive agent.
        :param now: time on the monotonic clock.
        """
        effects: list[RouterEffect] = []
        for request in self._requests.find_by_instance(instance):
            if request.needs_query and request.is_proven_not_run:
                request.is_query_sent = False
            else:
                effects.extend(self._handle_loss(request, 'agent_lost', now))
        return effects

    def _handle_loss(
        self,
        request: HeldRequest,
        reason: str,
        now: timedelta,
    ) -> list[RouterEffect]:
        self._requests.end_attempt(request)
        request.is_proven_not_run = False
        return self._retry(request, reason, now)

    def _retry(
        self,
        request: HeldRequest,
        reason: str,
        now: timedelta,
    ) -> list[RouterEffect]:
        refusal = self._rules.find_refusal_reason(request, reason)
        if refusal:
            return self._terminator.fail(request, refusal)
        request.retry_at = now
        return self.advance(request, now)


def _query_attempt(
    request: HeldRequest,
    view: AgentView | None,
) -> list[RouterEffect]:
    """Query an attempt, which the agent fences if it never received it."""
    is_reachable = view is not None and view.hint is not None
    if request.is_query_sent or not request.needs_query or not is_reachable:
        return []
    request.is_query_sent = True
    query = Query(
        attempt_id=request.attempt_id,
        agent_incarnation=request.agent_incarnation,
        service=request.submission.service,
        idempotency_key=request.submission.idempotency_key,
    )
    return [SendToPeer(request.instance, query)]
