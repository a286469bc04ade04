"""State that all caller tasks share."""

from datetime import timedelta
from typing import Protocol

from gevent.lock import BoundedSemaphore

from buckthornpond_core.serving.caller_places import (
    CallerPlace,
    CallerPlaces,
    choose_leaving,
)
from buckthornpond_core.serving.codec import RequestCodec
from buckthornpond_core.serving.memory_budgets import (
    LargestFirst,
    MemoryBudget,
    StalledFirst,
)
from buckthornpond_core.serving.planned_stops import PlannedStop
from buckthornpond_core.types import Clock
from buckthornpond_runtime.metrics import Metrics

from .dispatch import DispatchTask

_REQUEST_MEMORY_SHARE = 0.25
_RESPONSE_MEMORY_SHARE = 0.125


class CallerConnection(CallerPlace, Protocol):
    """Connection of a caller, as a planned stop sees it."""

    @property
    def has_open_request(self) -> bool:
        """Whether any byte of a request without a complete response came."""

    @property
    def served_since(self) -> timedelta | None:
        """When the request that is served was read, on the monotonic clock."""

    def announce_end(self) -> None:
        """Tell the task of the caller that the process ends."""

    def leave(self) -> None:
        """Tell the task of the caller to give up its connection."""


class FrontendState:
    """State that all caller tasks share.

    :param dispatch: admits and places requests.
    :param codec: reads and writes the header fields.
    :param clock: source of time.
    :param metrics: counters of the process.
    :param memory_bytes: memory that the process may use.
    :param descriptor_count: descriptors that the process may use.
    """

    __slots__ = (
        'clock',
        'codec',
        'connections',
        'dispatch',
        'held_body_bytes',
        'held_count',
        'lingering_count',
        'metrics',
        'parsing',
        'places',
        'request_budget',
        'response_budget',
        'stop',
    )

    def __init__(
        self,
        *,
        dispatch: DispatchTask,
        codec: RequestCodec,
        clock: Clock,
        metrics: Metrics,
        memory_bytes: int,
        descriptor_count: int,
    ) -> None:
        self.dispatch = dispatch
        self.codec = codec
        self.clock = clock
        self.metrics = metrics
        # Of all requests, while they are read and until they are answered.
        self.request_budget = MemoryBudget(0, StalledFirst())
        # Of all responses that are held until they are complete.
        self.response_budget = MemoryBudget(0, LargestFirst())
        # Held in turn by callers whose input takes more work than others'.
        self.parsing = BoundedSemaphore(1)
        self.connections: set[CallerConnection] = set()
        self.held_body_bytes = 0
        self.held_count = 0
        # Refused connections that stay until their callers have read why.
        self.lingering_count = 0
        # Schedule of the planned stop that has begun, if any.
        self.stop: PlannedStop | None = None
        self.limit_resources(memory_bytes, descriptor_count)

    def limit_resources(self, memory_bytes: int, descriptor_count: int) -> None:
        """Set the budgets of requests and responses, and the places.

        :param memory_bytes: memory that the process may use.
        :param descriptor_count: descriptors that the process may use.
        """
        self.places = CallerPlaces(memory_bytes, descriptor_count)
        self.request_budget.limit_bytes = int(
            memory_bytes * _REQUEST_MEMORY_SHARE
        )
        self.response_budget.limit_bytes = int(
            memory_bytes * _RESPONSE_MEMORY_SHARE
        )

    def make_room(self) -> None:
        """Give up connections if hardly any more can be accepted."""
        missing_count = self.places.count_missing(len(self.connections))
        if missing_count:
            for each in choose_leaving(self.connections, missing_count):
                each.leave()

    @property
    def may_linger(self) -> bool:
        """Whether a refused connection may stay until its caller has read."""
        missing_count = self.places.count_missing(len(self.connections))
        return (
            not missing_count
            or self.lingering_count < self.places.free_count // 2
        )

    @property
    def is_stopping(self) -> bool:
        """Whether the entry is not ready, and closes connections."""
        return self.stop is not None

    def accepts_request(self, deadline: timedelta) -> bool:
        """Return whether a request is taken, which a planned stop may forbid.

        :param deadline: when it has its final answer at the latest, on the
            monotonic clock.
        """
        if self.stop is None:
            return True
        return self.stop.accepts(deadline, self.clock.monotonic())

    @property
    def has_open_requests(self) -> bool:
        """Whether any caller waits for a response, or sends a request."""
        return any(each.has_open_request for each in self.connections)

    def list_arrivals(self) -> list[timedelta]:
        """Return when the requests were read that are served now, in order."""
        arrivals = (each.served_since for each in self.connections)
        return sorted(each for each in arrivals if each is not None)
