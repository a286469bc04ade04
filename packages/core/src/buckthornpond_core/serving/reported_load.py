"""Load of a target that no entry's hints explain."""

import math
from datetime import timedelta

from .._generated.serving import ReportedLoad

# Requests that a target reported have probably ended after some of these.
_DECAY_TIME = timedelta(seconds=1)
# A target that reports more is full either way.
_MAX_SLOT_RATIO = 2


class UnexplainedLoad:
    """Requests at a target beyond the attempts that this entry knows of.

    Their source are callers and entries that send this entry no hints. A
    report counts for less the older it is, and never for more than a full
    target, so that a false one does harm for a moment only.
    """

    __slots__ = ('_count', '_reported_at')

    def __init__(self) -> None:
        self._count = 0
        self._reported_at = timedelta()

    def record(
        self,
        report: ReportedLoad,
        known_count: int,
        slots: int,
        reported_at: timedelta,
    ) -> None:
        """Record a report, unless a newer one is known.

        :param report: load that the target reported.
        :param known_count: attempts that this entry knows of, its own included.
        :param slots: requests that the target runs at a time.
        :param reported_at: when it arrived, on the monotonic clock.
        """
        if reported_at < self._reported_at:
            return
        total_count = report.running_count + report.waiting_count
        excess_count = max(total_count - known_count, 0)
        self._count = min(excess_count, _MAX_SLOT_RATIO * max(slots, 1))
        self._reported_at = reported_at

    def count(self, now: timedelta) -> int:
        """Return the number of these requests, which decays exponentially.

        It is a whole number, so that an old report does not break a tie.

        :param now: time on the monotonic clock.
        """
        age = now - self._reported_at
        return round(self._count * math.exp(-age / _DECAY_TIME))
