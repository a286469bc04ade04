"""Failure detection of the entries that send messages to an agent."""

from collections.abc import Iterator
from datetime import timedelta

from .._generated.messages import Heartbeat
from ..effects import WireMessage
from ..event_codes import EventCode
from ..process_limits import AgentLimits
from ..routing.heartbeats import extend_timeout
from ..types import Recorder


class EntryMonitor:
    """Records when each entry sent a message, and finds unresponsive ones.

    :param limits: limits of the agent.
    :param recorder: receiver of log events.
    """

    __slots__ = ('_last_seen', '_limits', '_recorder')

    def __init__(self, limits: AgentLimits, recorder: Recorder) -> None:
        self._limits = limits
        self._recorder = recorder
        self._last_seen: dict[str, timedelta] = {}

    def __contains__(self, peer: object) -> bool:
        """Tell whether an entry is responsive."""
        return peer in self._last_seen

    def __iter__(self) -> Iterator[str]:
        """Iterate over the incarnations of the responsive entries."""
        return iter(self._last_seen)

    def record_message(
        self, peer: str, message: WireMessage, now: timedelta
    ) -> None:
        """Record that an entry sent a message.

        A heartbeat that announces a long interval extends the timeout.

        :param peer: incarnation of the entry.
        :param message: the message.
        :param now: time on the monotonic clock.
        """
        seen_at = now
        if isinstance(message, Heartbeat):
            interval = timedelta(milliseconds=message.interval_ms)
            timeout = extend_timeout(self._limits.peer_timeout, interval)
            seen_at = now + timeout - self._limits.peer_timeout
        self._last_seen[peer] = max(seen_at, self._last_seen.get(peer, seen_at))

    def drop_silent(self, now: timedelta) -> set[str]:
        """Remove the unresponsive entries and return their incarnations.

        :param now: time on the monotonic clock.
        """
        oldest = now - self._limits.peer_timeout
        silent = {
            peer for peer, seen in self._last_seen.items() if seen < oldest
        }
        for peer in silent:
            self._last_seen.pop(peer)
            self._recorder.log(EventCode.entry_silent, entry=peer)
        return silent
