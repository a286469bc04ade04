"""Heartbeat interval and timeout within a byte budget."""

from datetime import timedelta

# One heartbeat and the hint sent in reply, with the headers of both packets.
_HEARTBEAT_EXCHANGE_BYTES = 250
_MIN_TIMEOUT_INTERVALS = 4


class HeartbeatTiming:
    """Interval and timeout of the heartbeats on each link.

    :param interval: shortest interval.
    :param budget_bytes: bytes per second for all links together; unlimited
        if omitted.
    :param peer_timeout: shortest silence after which a peer is unresponsive.
    """

    __slots__ = ('_budget_bytes', '_interval', '_peer_timeout')

    def __init__(
        self,
        *,
        peer_timeout: timedelta,
        interval: timedelta | None = None,
        budget_bytes: int | None = None,
    ) -> None:
        self._interval = interval or timedelta(0)
        self._budget_bytes = budget_bytes
        self._peer_timeout = peer_timeout

    def find_interval(self, link_count: int) -> timedelta:
        """Return the time between two heartbeats on each link.

        :param link_count: links that share the budget.
        """
        if self._budget_bytes is None:
            return self._interval
        round_bytes = link_count * _HEARTBEAT_EXCHANGE_BYTES
        seconds = round_bytes / self._budget_bytes
        return max(self._interval, timedelta(seconds=seconds))

    def find_timeout(self, link_count: int) -> timedelta:
        """Return the silence after which a peer is unresponsive.

        :param link_count: links that share the budget.
        """
        return extend_timeout(
            self._peer_timeout,
            self.find_interval(link_count),
        )


def extend_timeout(
    peer_timeout: timedelta,
    interval: timedelta,
) -> timedelta:
    """Return a timeout that tolerates several missed heartbeats.

    :param peer_timeout: the shortest timeout.
    :param interval: time between heartbeats.
    """
    return max(peer_timeout, _MIN_TIMEOUT_INTERVALS * interval)
