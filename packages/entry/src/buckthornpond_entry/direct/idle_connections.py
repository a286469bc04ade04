"""Pool of idle connections to targets, kept for the next attempt there."""

from collections.abc import Container
from datetime import timedelta

from buckthornpond_core.event_codes import EventCode
from buckthornpond_runtime.connections import HttpConnection, find_readable
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.metrics import Metrics

# A request that may run only once reuses only connections idle for less.
_RUN_ONCE_IDLE_LIMIT = timedelta(seconds=1)
_MAX_IDLE_PER_TARGET = 8


class IdleConnections:
    """Owns the idle connections of one process.

    :param metrics: counters of the process.
    """

    __slots__ = ('_by_address', '_metrics')

    def __init__(self, metrics: Metrics) -> None:
        self._by_address: dict[str, list[HttpConnection]] = {}
        self._metrics = metrics

    def __len__(self) -> int:
        """Return the number of idle connections."""
        return sum(len(idle) for idle in self._by_address.values())

    def pop(
        self,
        address: str,
        request_id: str,
        now: timedelta,
        *,
        is_run_once: bool,
    ) -> HttpConnection | None:
        """Return a usable connection to a target, or ``None``.

        No connection carries one identifier twice: a late copy of the first
        response could not be told from the second one.

        :param address: address of the target.
        :param request_id: identifier of the request.
        :param now: time on the monotonic clock.
        :param is_run_once: whether the request may run only once.
        """
        idle = self._by_address.get(address, [])
        for connection in reversed(tuple(idle)):
            if request_id in connection.carried:
                self._metrics.count('passed_over_connections', 'same_request')
                continue
            idle.remove(connection)
            idle_time = now - connection.idle_since
            limit = connection.idle_limit
            if is_run_once:
                limit = min(limit, _RUN_ONCE_IDLE_LIMIT)
            if idle_time < limit and connection.is_usable():
                return connection
            connection.close()
        return None

    def add(self, connection: HttpConnection, now: timedelta) -> None:
        """Keep a connection, or close it if there are enough to its target.

        :param connection: connection without a request.
        :param now: time on the monotonic clock.
        """
        idle = self._by_address.setdefault(connection.address, [])
        if len(idle) >= _MAX_IDLE_PER_TARGET:
            connection.close()
            return
        connection.idle_since = now
        idle.append(connection)

    def close_unusable(
        self, known_addresses: Container[str], now: timedelta
    ) -> list[str]:
        """Close the connections that no attempt may use any more.

        Returns the addresses of targets that sent bytes without a request.

        :param known_addresses: addresses of the current targets.
        :param now: time on the monotonic clock.
        """
        readable = find_readable(
            [each for idle in self._by_address.values() for each in idle]
        )
        offenders = [each.address for each in readable if each.has_input()]
        for address in offenders:
            self._metrics.count('unexpected_input', 'idle')
            log_event(EventCode.idle_input_received, address=address)
        for address, idle in list(self._by_address.items()):
            kept = []
            for connection in idle:
                idle_time = now - connection.idle_since
                is_current = idle_time < connection.idle_limit
                if (
                    is_current
                    and address in known_addresses
                    and connection not in readable
                ):
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._by_address[address] = kept
            else:
                self._by_address.pop(address)
        return offenders
