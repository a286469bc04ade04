"""State and indexes of the requests in flight at a router."""

from collections.abc import Iterator
from datetime import timedelta

from .._generated.events import Submission
from .._generated.messages import Outcome

_QUERY_MARGIN_MS = 250


class HeldRequest:
    """State of one request in flight.

    :param submission: the caller's request.
    :param deadline: its deadline on the monotonic clock.
    """

    __slots__ = (
        'agent_incarnation',
        'attempt_count',
        'attempt_id',
        'deadline',
        'instance',
        'is_query_sent',
        'is_proven_not_run',
        'is_response_started',
        'next_sequence',
        'retry_at',
        'submission',
        'tried_instances',
    )

    def __init__(self, submission: Submission, deadline: timedelta) -> None:
        self.submission = submission
        self.deadline = deadline
        self.attempt_count = 0
        self.attempt_id = ''
        self.agent_incarnation = ''
        self.instance = ''
        self.is_query_sent = False
        self.is_proven_not_run = True
        self.is_response_started = False
        self.next_sequence = 0
        self.retry_at: timedelta | None = None
        self.tried_instances: set[str] = set()

    @property
    def outcome(self) -> Outcome:
        """Return what is known about the execution of the request.

        With an idempotency key the outcome is always unknown here: an
        earlier request with the same key may have run.
        """
        if self.submission.idempotency_key:
            return Outcome.outcome_unknown
        if self.is_proven_not_run and not self.attempt_id:
            return Outcome.not_run
        return Outcome.outcome_unknown

    @property
    def needs_query(self) -> bool:
        """Tell whether only a query can show that a retry is safe."""
        return not (
            self.submission.is_idempotent
            or self.submission.idempotency_key
            or self.is_response_started
        )

    @property
    def is_retry_safe(self) -> bool:
        """Tell whether another execution is safe."""
        return (
            self.is_proven_not_run
            or self.submission.is_idempotent
            or bool(self.submission.idempotency_key)
        )

    @property
    def query_at(self) -> timedelta:
        """Return the time before the deadline to query an attempt in flight."""
        time_limit = timedelta(milliseconds=self.submission.time_limit_ms)
        margin = timedelta(milliseconds=_QUERY_MARGIN_MS)
        return self.deadline - min(margin, time_limit / 4)

    @property
    def total_tokens(self) -> int:
        """Return the most tokens that the request can hold at an engine."""
        return self.submission.prompt_tokens + self.submission.output_tokens

    def clear_attempt(self) -> None:
        """Clear the fields of the current attempt."""
        self.attempt_id = ''
        self.agent_incarnation = ''
        self.is_query_sent = False
        self.instance = ''


class HeldRequests:
    """Requests in flight, indexed by request number and attempt id."""

    __slots__ = ('_attempts', '_requests')

    def __init__(self) -> None:
        self._requests: dict[int, HeldRequest] = {}
        self._attempts: dict[str, int] = {}

    def __len__(self) -> int:
        """Return the number of requests held."""
        return len(self._requests)

    def __iter__(self) -> Iterator[HeldRequest]:
        """Iterate over a copy, so that requests may end during iteration."""
        return iter(list(self._requests.values()))

    @property
    def instances(self) -> set[str]:
        """Return the instances that have an attempt in flight."""
        return {request.instance for request in self._requests.values()}

    def get(self, request_number: int) -> HeldRequest | None:
        """Return a request, if it is held.

        :param request_number: its number.
        """
        return self._requests.get(request_number)

    def find(self, instance: str, attempt_id: str) -> HeldRequest | None:
        """Return the request whose current attempt is at an instance.

        :param instance: instance of the agent that sent the attempt id.
        :param attempt_id: id of the attempt.
        """
        request_number = self._attempts.get(attempt_id)
        if request_number is None:
            return None
        request = self._requests[request_number]
        if request.instance != instance or request.attempt_id != attempt_id:
            return None
        return request

    def find_by_instance(self, instance: str) -> list[HeldRequest]:
        """Return the requests whose attempt is at an instance.

        :param instance: instance of an agent.
        """
        return [
            request
            for request in self._requests.values()
            if request.instance == instance
        ]

    def add(self, request: HeldRequest) -> None:
        """Add a request.

        :param request: the request.
        """
        self._requests[request.submission.request_number] = request

    def add_attempt(self, request: HeldRequest) -> None:
        """Index a request by its current attempt.

        :param request: a request with an attempt id.
        """
        request_number = request.submission.request_number
        self._attempts[request.attempt_id] = request_number

    def end_attempt(self, request: HeldRequest) -> None:
        """Remove the current attempt of a request that stays in flight.

        :param request: the request.
        """
        self._attempts.pop(request.attempt_id, None)
        request.clear_attempt()

    def remove(self, request: HeldRequest) -> None:
        """Remove a request and its attempt.

        :param request: the request.
        """
        self._attempts.pop(request.attempt_id, None)
        self._requests.pop(request.submission.request_number, None)
