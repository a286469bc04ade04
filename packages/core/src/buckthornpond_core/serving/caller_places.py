"""How many callers may be connected, and who makes room for others."""

from collections.abc import Iterable
from datetime import timedelta
from heapq import nsmallest
from typing import Protocol, TypeVar

# Tasks, parser and socket of a connection, with the kernel's buffers.
_CONNECTION_COST_BYTES = 49_152
_CALLER_MEMORY_SHARE = 0.25
# The other descriptors are for the connections to targets.
_CALLER_DESCRIPTOR_SHARE = 0.5
# Share of all places.
_FREE_SHARE = 0.0625


class CallerPlace(Protocol):
    """Connection of a caller that takes a place."""

    @property
    def may_leave(self) -> bool:
        """Whether the connection can be given up for another one."""

    @property
    def is_leaving(self) -> bool:
        """Whether it has been told to give up its connection."""

    @property
    def is_stalled(self) -> bool:
        """Whether the caller has sent next to nothing for a while."""

    @property
    def finished_at(self) -> timedelta:
        """When the last request ended, on the monotonic clock."""


PlaceT = TypeVar('PlaceT', bound=CallerPlace)


class CallerPlaces:
    """Limit on the connections of callers.

    :param memory_bytes: memory that the process may use.
    :param descriptor_count: descriptors that the process may use.
    """

    __slots__ = ('free_count', 'most_count')

    def __init__(self, memory_bytes: int, descriptor_count: int) -> None:
        caller_bytes = memory_bytes * _CALLER_MEMORY_SHARE
        by_descriptors = descriptor_count * _CALLER_DESCRIPTOR_SHARE
        by_memory = caller_bytes / _CONNECTION_COST_BYTES
        # Connections that may be open, with refused ones that linger.
        self.most_count = max(int(min(by_descriptors, by_memory)), 1)
        # Of these, what stays free so that callers who connect are accepted.
        self.free_count = max(int(self.most_count * _FREE_SHARE), 1)

    def count_missing(self, taken_count: int) -> int:
        """Return how many connections are to be given up.

        :param taken_count: number of open connections.
        """
        return max(taken_count + self.free_count - self.most_count, 0)


def choose_leaving(places: Iterable[PlaceT], count: int) -> list[PlaceT]:
    """Return the connections to give up, so that others find a free place.

    Those that stand still go first, then those whose last request ended
    longest ago. One with a request that is served stays.

    :param places: all open connections.
    :param count: how many to give up, with those that are leaving already.
    """
    taken = list(places)
    leaving_count = sum(each.is_leaving for each in taken)
    if leaving_count >= count:
        return []
    candidates = [each for each in taken if each.may_leave]
    return nsmallest(count - leaving_count, candidates, key=_rank)


def _rank(place: CallerPlace) -> tuple[bool, timedelta]:
    return not place.is_stalled, place.finished_at
