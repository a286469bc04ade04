"""Routing decisions of an entry over all its requests."""

from datetime import timedelta

from .._generated.events import Submission
from .._generated.messages import (
    Chunk,
    Credit,
    Final,
    Heartbeat,
    Hint,
    QueryReply,
    Refused,
    Started,
)
from ..configuration.documents import Configuration
from ..effects import RouterEffect, SendToPeer, WireMessage
from ..event_codes import EventCode
from ..process_limits import RouterLimits
from ..types import RandomSource, Recorder
from .agent_directory import AgentDirectory
from .dispatching import Dispatcher
from .failovers import Failover
from .heartbeats import HeartbeatTiming
from .held_requests import HeldRequest, HeldRequests
from .placement import Placement
from .responses import ResponseChecks
from .retries import RetryBudget, RetryRules
from .subsets import AllInstances, LinkPlan
from .termination import RequestTerminator


class Router:
    """Places requests on agents and checks the responses.

    It owns no socket and reads no clock: callers pass the time, and each call
    returns the messages to send.
    """

    __slots__ = (
        '_responses',
        '_budget',
        '_configuration',
        '_dispatcher',
        '_terminator',
        '_failover',
        '_incarnation',
        '_limits',
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
        self._budget = budget
        self._recorder = recorder
        self.agents = agents or AgentDirectory(
            LinkPlan(AllInstances(), configuration, limits.peer_timeout),
            HeartbeatTiming(peer_timeout=limits.peer_timeout),
        )
        self._requests = HeldRequests()
        self._terminator = RequestTerminator(self._requests, recorder)
        self._responses = ResponseChecks(
            self._requests, self._terminator, recorder
        )
        self._dispatcher = Dispatcher(
            incarnation=incarnation,
            configuration=configuration,
            limits=limits,
            agents=self.agents,
            requests=self._requests,
            placement=placement,
            random=random,
        )
        self._failover = Failover(
            configuration=configuration,
            agents=self.agents,
            requests=self._requests,
            dispatcher=self._dispatcher,
            terminator=self._terminator,
            rules=RetryRules(limits.max_attempts, budget, recorder),
            recorder=recorder,
        )

    @property
    def held_count(self) -> int:
        """Return the number of requests in flight."""
        return len(self._requests)

    @property
    def open_agent_count(self) -> int:
        """Return the number of agents that accept new work."""
        return sum(view.accepts_work for view in self.agents.values())

    def submit(
        self,
        submission: Submission,
        now: timedelta,
    ) -> list[RouterEffect]:
        """Place a caller's request, or refuse it.

        :param submission: the request.
        :param now: time on the monotonic clock.
        """
        deadline = now + timedelta(milliseconds=submission.time_limit_ms)
        request = HeldRequest(submission, deadline)
        service = self._configuration.services.get(submission.service)
        if service is None:
            return [self._terminator.refuse(request, 'unknown_service')]
        if len(self._requests) >= self._limits.max_held_requests:
            return [self._terminator.refuse(request, 'entry_full')]
        if self._dispatcher.is_too_large(request, service):
            return [self._terminator.refuse(request, 'prompt_too_large')]
        self._requests.add(request)
        self._budget.record_first_attempt()
        return self._dispatcher.place(request, service, now)

    def receive(
        self,
        instance: str,
        message: WireMessage,
        now: timedelta,
    ) -> list[RouterEffect]:
        """Handle a message from an agent.

        :param instance: instance of the agent.
        :param message: the message.
        :param now: time of receipt on the monotonic clock.
        """
        view = self.agents.get(instance)
        if view is None:
            return []
        view.last_heard_at = now
        if isinstance(message, Hint):
            return self._failover.handle_hint(view, message, now)
        if isinstance(message, Refused):
            return self._failover.handle_refusal(instance, message, now)
        if isinstance(message, QueryReply):
            return self._failover.handle_query_reply(instance, message, now)
        if isinstance(message, Started | Chunk | Final):
            return self._responses.handle_message(instance, message)
        return []

    def consume(
        self, request_number: int, consumed_bytes: int
    ) -> list[RouterEffect]:
        """Grant the agent credit for response bytes that were sent on.

        :param request_number: number of the request.
        :param consumed_bytes: response bytes written to the caller.
        """
        request = self._requests.get(request_number)
        if request is None or not request.attempt_id:
            return []
        credit = Credit(
            attempt_id=request.attempt_id,
            credit_bytes=consumed_bytes,
        )
        return [SendToPeer(request.instance, credit)]

    def hang_up(self, request_number: int) -> list[RouterEffect]:
        """Cancel a request whose caller has disconnected.

        :param request_number: number of the request.
        """
        request = self._requests.get(request_number)
        if request is None:
            return []
        self._recorder.count('hangups', 'caller')
        return self._terminator.drop(request, 'caller_gone')

    def handle_lost_agent(
        self, instance: str, now: timedelta
    ) -> list[RouterEffect]:
        """Fail over the requests at an unresponsive agent.

        A request that may not run twice waits until the agent can be queried.

        :param instance: instance of the unresponsive agent.
        :param now: time on the monotonic clock.
        """
        view = self.agents.get(instance)
        if view is not None:
            view.hint = None
            view.last_heard_at = None
        return self._failover.handle_lost_agent(instance, now)

    def tick(self, now: timedelta) -> list[RouterEffect]:
        """Fail overdue requests, run due retries, detect unresponsive agents.

        :param now: time on the monotonic clock.
        """
        effects: list[RouterEffect] = []
        self.agents.update_links(self._requests.instances, now)
        for instance in self.agents.find_unresponsive(now):
            self._recorder.log(EventCode.agent_silent, instance=instance)
            effects.extend(self.handle_lost_agent(instance, now))
        for request in self._requests:
            effects.extend(self._failover.advance(request, now))
        return effects

    def beat(self, now: timedelta) -> list[RouterEffect]:
        """Return the heartbeats that are due.

        :param now: time on the monotonic clock.
        """
        message = self.make_heartbeat()
        return [
            SendToPeer(peer, message) for peer in self.agents.collect_due(now)
        ]

    def make_heartbeat(self) -> Heartbeat:
        """Return the heartbeat that this process sends to its peers."""
        return Heartbeat(
            sender_incarnation=self._incarnation,
            configuration=self._configuration.version,
            interval_ms=self.agents.interval // timedelta(milliseconds=1),
        )

    def apply_configuration(self) -> None:
        """Update the links after a change of the configuration."""
        self.agents.update_links(self._requests.instances)

    def end_all(self, reason: str) -> list[RouterEffect]:
        """Refuse every request in flight, with its outcome.

        :param reason: stable code of the refusal.
        """
        effects: list[RouterEffect] = []
        for request in self._requests:
            effects.extend(self._terminator.fail(request, reason))
        return effects
