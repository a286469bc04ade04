"""Shares of limits that apply to all entries together.

Entries have no coordinator and do not know how many of them are running, so
each keeps to a share of its own.
"""

from collections import deque
from datetime import timedelta

# Entries among which the limit of a cold target is divided. Where one request
# each exceeds it, only some of them use the target.
_SHARING_ENTRY_COUNT = 32
# One second, and a margin for clock differences and transmission delay.
_COLD_WINDOW_MS = 1100
_COLD_WINDOW = timedelta(milliseconds=_COLD_WINDOW_MS)
# Part of the published ratio in use, as windows of two clocks differ.
_USED_RATIO_SHARE = 0.8


class WindowedRetryBudget:
    """Retry budget of one service over a sliding window.

    :param ratio: retries allowed per request.
    :param window: length of the window.
    :param reserve: retries of this entry allowed per window beyond the ratio.
    """

    __slots__ = ('_ratio', '_requests', '_reserve', '_retries', '_window')

    def __init__(
        self,
        ratio: float,
        window: timedelta,
        reserve: int = 2,
    ) -> None:
        self._reserve = reserve
        self._requests: deque[timedelta] = deque()
        self._retries: deque[timedelta] = deque()
        self.change(ratio, window)

    def change(self, ratio: float, window: timedelta) -> None:
        """Change the limits; what was counted before still counts.

        :param ratio: retries allowed per request.
        :param window: length of the window.
        """
        self._ratio = ratio * _USED_RATIO_SHARE
        self._window = window

    def record_request(self, now: timedelta) -> None:
        """Count a request of a caller in the window.

        :param now: time on the monotonic clock.
        """
        _discard_before(self._requests, now - self._window)
        self._requests.append(now)

    def allow_retry(self, now: timedelta) -> bool:
        """Spend one retry if the budget allows it.

        :param now: time on the monotonic clock.
        """
        _discard_before(self._requests, now - self._window)
        _discard_before(self._retries, now - self._window)
        allowed = self._ratio * len(self._requests) + self._reserve
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True


class ColdShare:
    """Share of one entry in the limit of a cold target.

    :param max_requests: requests of one entry in each window.
    :param max_entry_count: entries whose shares fit the limit.
    """

    __slots__ = ('max_entry_count', 'max_requests')

    def __init__(self, max_requests: int, max_entry_count: int) -> None:
        self.max_requests = max_requests
        self.max_entry_count = max_entry_count


def cold_share(requests_per_second: float) -> ColdShare:
    """Return the share of each entry that uses a cold target.

    :param requests_per_second: limit for all entries together.
    """
    max_requests = max(1, int(requests_per_second / _SHARING_ENTRY_COUNT))
    # Any second may see one window of each entry.
    return ColdShare(max_requests, int(requests_per_second / max_requests))


class ColdRateLimit:
    """Rate limit of the requests of this entry to one cold target.

    :param requests_per_second: limit for all entries together.
    """

    __slots__ = ('_max_requests', '_sent_times', 'requests_per_second')

    def __init__(self, requests_per_second: float) -> None:
        self._sent_times: deque[timedelta] = deque()
        self.change(requests_per_second)

    def change(self, requests_per_second: float) -> None:
        """Change the limit; requests that were sent before still count.

        :param requests_per_second: limit for all entries together.
        """
        self.requests_per_second = requests_per_second
        self._max_requests = cold_share(requests_per_second).max_requests

    def has_room(self, now: timedelta) -> bool:
        """Return whether the limit permits one more request.

        :param now: time on the monotonic clock.
        """
        _discard_before(self._sent_times, now - _COLD_WINDOW)
        return len(self._sent_times) < self._max_requests

    def record(self, now: timedelta) -> None:
        """Count a sent request.

        :param now: time on the monotonic clock.
        """
        self._sent_times.append(now)


def _discard_before(times: deque[timedelta], before: timedelta) -> None:
    while times and times[0] < before:
        times.popleft()
