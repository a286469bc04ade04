"""Dispatch of requests to the agents that the placement policy chooses."""

from collections.abc import Iterable
from datetime import timedelta

from .._generated.events import Submission
from .._generated.inventory import Service
from .._generated.messages import Attempt
from ..configuration.documents import Configuration
from ..effects import RouterEffect, SendToPeer
from ..process_limits import RouterLimits
from ..types import RandomSource
from .agent_directory import AgentDirectory
from .held_requests import HeldRequest, HeldRequests
from .placement import AgentView, Placement, find_home, join_key

_BASE_RETRY_DELAY_MS = 20
_MAX_RETRY_DELAY_MS = 500


class Dispatcher:
    """Sends attempts to agents that accept new work.

    :param incarnation: incarnation of this entry, part of attempt ids.
    :param configuration: documents in force.
    :param limits: limits of the router.
    :param agents: views of the linked agents.
    :param requests: requests in flight.
    :param placement: policy that chooses among the candidates.
    :param random: randomness for placement and retry jitter.
    """

    __slots__ = (
        '_agents',
        '_configuration',
        '_incarnation',
        '_limits',
        '_placement',
        '_random',
        '_requests',
    )

    def __init__(
        self,
        *,
        incarnation: str,
        configuration: Configuration,
        limits: RouterLimits,
        agents: AgentDirectory,
        requests: HeldRequests,
        placement: Placement,
        random: RandomSource,
    ) -> None:
        self._incarnation = incarnation
        self._configuration = configuration
        self._limits = limits
        self._agents = agents
        self._requests = requests
        self._placement = placement
        self._random = random

    def is_too_large(self, request: HeldRequest, service: Service) -> bool:
        """Tell whether no target of the service has memory for a request.

        :param request: the request.
        :param service: the service that it names.
        """
        memory_sizes = [
            self._configuration.instances[name].target.memory_tokens
            for name in service.instances
        ]
        return bool(memory_sizes) and request.total_tokens > max(memory_sizes)

    def place(
        self,
        request: HeldRequest,
        service: Service,
        now: timedelta,
    ) -> list[RouterEffect]:
        """Send an attempt to an agent, or schedule a retry if none can accept.

        :param request: the request.
        :param service: the service that it names.
        :param now: time on the monotonic clock.
        """
        candidates = list(self._find_candidates(request, service))
        if not candidates:
            return self._schedule_retry(request, now)
        view = self._placement.choose(
            candidates,
            request.submission,
            self._random,
        )
        return [self._send(request, view, now)]

    def _find_home(self, submission: Submission, service: Service) -> list[str]:
        key = join_key(
            service.name,
            submission.organisation,
            submission.idempotency_key,
        )
        home_instances = self._configuration.find_home_instances(service)
        if not home_instances:
            return []
        home = find_home(key, home_instances)
        self._agents.request_link(home)
        return [home]

    def _find_candidates(
        self,
        request: HeldRequest,
        service: Service,
    ) -> Iterable[AgentView]:
        names: Iterable[str] = service.instances
        if request.submission.idempotency_key:
            names = self._find_home(request.submission, service)
        for name in names:
            if (
                name in request.tried_instances
                or self._configuration.is_draining(name)
            ):
                continue
            view = self._agents.get(name)
            target = self._configuration.instances[name].target
            if view is not None and view.accepts_request(
                request.total_tokens, target
            ):
                yield view

    def _schedule_retry(
        self, request: HeldRequest, now: timedelta
    ) -> list[RouterEffect]:
        request.tried_instances.clear()
        exponent = min(request.attempt_count, self._limits.max_attempts)
        max_delay_ms = min(
            _BASE_RETRY_DELAY_MS * 2**exponent, _MAX_RETRY_DELAY_MS
        )
        delay_ms = max_delay_ms * (1 + self._random.random()) / 2
        request.retry_at = now + timedelta(milliseconds=delay_ms)
        return []

    def _send(
        self,
        request: HeldRequest,
        view: AgentView,
        now: timedelta,
    ) -> SendToPeer:
        submission = request.submission
        request.attempt_count += 1
        request.instance = view.instance
        request.attempt_id = (
            f'{self._incarnation}/{submission.request_number}'
            f'/{request.attempt_count}'
        )
        request.agent_incarnation = view.incarnation
        request.next_sequence = 0
        request.tried_instances.add(view.instance)
        view.pending_tokens += request.total_tokens
        self._requests.add_attempt(request)
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
        return SendToPeer(view.instance, attempt)
