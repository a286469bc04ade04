"""Choice of the processes that read the platform, and their schedule."""

from collections.abc import Mapping
from datetime import timedelta
from typing import Protocol

from xxhash import xxh3_64_intdigest

from .._generated.events import DocumentReadResult
from .._generated.messages import ConfigurationVersion, DocumentName
from ..effects import ReadDocument
from ..routing.placement import rank_homes
from .documents import Configuration

_READER_HASH_KEY = 'platform-reader'
_MAX_FULL_DELAY_RANKS = 10
_MAX_BACKOFF_EXPONENT = 3
_MAX_INTERVAL_FACTOR = 60
_LATE_RANKS_PER_INTERVAL = 4
_AGENTS_PER_ENTRY_RANK = 16
_MAX_READ_AGE = timedelta(hours=1)


class ReaderLimits:
    """Limits on reads of the platform.

    :param poll_interval: shortest time between two reads of one document.
    :param watch_timeout: how long a read waits for a change.
    :param takeover_delay: time without a known read, for each rank, after which
        the agent of that rank also reads.
    :param readers_per_zone: agents of a zone that always read.
    """

    __slots__ = (
        'poll_interval',
        'readers_per_zone',
        'takeover_delay',
        'watch_timeout',
    )

    def __init__(
        self,
        *,
        poll_interval: timedelta,
        watch_timeout: timedelta,
        takeover_delay: timedelta,
        readers_per_zone: int,
    ) -> None:
        self.poll_interval = poll_interval
        self.watch_timeout = watch_timeout
        self.takeover_delay = takeover_delay
        self.readers_per_zone = readers_per_zone


class ReaderPolicy(Protocol):
    """Policy that decides whether and how often a process reads."""

    def find_interval(self, time_since_read: timedelta) -> timedelta | None:
        """Return the time between reads, or None if this process must not read.

        :param time_since_read: time since the last known read by any process,
            at most the uptime of this process.
        """


class AllReaders:
    """Baseline in which every process reads at the same interval.

    :param poll_interval: time between reads.
    """

    __slots__ = ('_poll_interval',)

    def __init__(self, poll_interval: timedelta) -> None:
        self._poll_interval = poll_interval

    def find_interval(self, time_since_read: timedelta) -> timedelta | None:
        """Return the interval, whenever the last read was."""
        return self._poll_interval


class RankedReaders:
    """Reads by the first agents of each zone, with the next ones as standby.

    Agents are ranked by rendezvous hash. An agent of a later rank reads only
    if no read is known for a time that grows with its rank, and then less
    often. Reads of an unresponsive service thus grow with the logarithm of
    the fleet's size.

    :param instance: instance of this process.
    :param availability_zone: its zone.
    :param configuration: the configuration in force.
    :param limits: limits on reads.
    """

    __slots__ = (
        '_configuration',
        '_instance',
        '_limits',
        '_rank',
        '_ranked_version',
        '_zone',
    )

    def __init__(
        self,
        instance: str,
        availability_zone: str,
        configuration: Configuration,
        limits: ReaderLimits,
    ) -> None:
        self._instance = instance
        self._zone = availability_zone
        self._configuration = configuration
        self._limits = limits
        self._rank = 0
        self._ranked_version = -1

    def find_interval(self, time_since_read: timedelta) -> timedelta | None:
        """Return the interval of this process's rank, if it reads at all."""
        limits = self._limits
        if not self._configuration.inventory.version:
            return limits.poll_interval
        standby_rank = self._find_rank() - limits.readers_per_zone + 1
        if standby_rank <= 0:
            return limits.poll_interval
        if time_since_read < self._find_takeover_delay(standby_rank):
            return None
        return limits.poll_interval * min(
            1 + standby_rank, _MAX_INTERVAL_FACTOR
        )

    def _find_takeover_delay(self, standby_rank: int) -> timedelta:
        late_ranks = max(0, standby_rank - _MAX_FULL_DELAY_RANKS)
        return (
            self._limits.takeover_delay
            * min(standby_rank, _MAX_FULL_DELAY_RANKS)
            + self._limits.poll_interval * late_ranks / _LATE_RANKS_PER_INTERVAL
        )

    def _find_rank(self) -> int:
        version = self._configuration.inventory.version
        if version != self._ranked_version:
            self._ranked_version = version
            self._rank = self._rank_instance()
        return self._rank

    def _rank_instance(self) -> int:
        instances = self._configuration.instances
        zone_agents = [
            name
            for name, each in instances.items()
            if each.availability_zone == self._zone
        ]
        if self._instance in zone_agents:
            return rank_homes(_READER_HASH_KEY, zone_agents).index(
                self._instance
            )
        # Entries rank after all agents, distributed over several ranks.
        rank_count = 1 + len(zone_agents) // _AGENTS_PER_ENTRY_RANK
        offset = xxh3_64_intdigest(self._instance.encode()) % rank_count
        return len(zone_agents) + offset


class _DocumentReads:
    """State of the reads of one document."""

    __slots__ = ('failure_count', 'is_reading', 'last_read_at')

    def __init__(self) -> None:
        self.is_reading = False
        self.failure_count = 0
        self.last_read_at: timedelta | None = None


class ReadSchedule:
    """Decides when this process reads each document of the platform.

    :param policy: policy that decides which process reads how often.
    :param limits: limits on reads.
    :param configuration: the configuration in force, in which the age of the
        last read is recorded for peers.
    """

    __slots__ = (
        '_configuration',
        '_last_read_at',
        '_limits',
        '_policy',
        '_reads',
        '_started_at',
    )

    def __init__(
        self,
        policy: ReaderPolicy,
        limits: ReaderLimits,
        configuration: Configuration,
    ) -> None:
        self._policy = policy
        self._limits = limits
        self._configuration = configuration
        self._reads = {name: _DocumentReads() for name in DocumentName}
        self._last_read_at: timedelta | None = None
        self._started_at: timedelta | None = None

    def record_peer_versions(
        self, version: ConfigurationVersion, now: timedelta
    ) -> None:
        """Record when a peer last knew of a read.

        :param version: versions and age of the last read, from the peer.
        :param now: time of receipt on the monotonic clock.
        """
        peer_read_at = now - timedelta(milliseconds=version.read_age_ms)
        if self._last_read_at is None or peer_read_at > self._last_read_at:
            self._last_read_at = peer_read_at

    def take(self, result: DocumentReadResult, now: timedelta) -> None:
        """Record the result of a read by this process.

        Reads of the instance list do not count as reads of the configuration
        service.

        :param result: result from the reading task.
        :param now: time on the monotonic clock.
        """
        name = DocumentName(result.name)
        reads = self._reads[name]
        reads.is_reading = False
        reads.failure_count += 1
        if result.is_reached:
            reads.failure_count = 0
            if name is not DocumentName.leaving:
                self._last_read_at = now

    def tick(
        self,
        after_versions: Mapping[DocumentName, int],
        now: timedelta,
    ) -> list[ReadDocument]:
        """Return the reads that are due.

        :param after_versions: versions already known; only newer ones are
            read.
        :param now: time on the monotonic clock.
        """
        read_age = self._measure_read_age(now)
        self._configuration.read_age_ms = read_age // timedelta(milliseconds=1)
        if self._started_at is None:
            self._started_at = now
        # Right after the start, an unknown age does not mean a missing read.
        time_since_read = min(read_age, now - self._started_at)
        interval = self._policy.find_interval(time_since_read)
        if interval is None:
            return []
        effects: list[ReadDocument] = []
        for name, reads in self._reads.items():
            if self._is_due(reads, interval, now):
                reads.is_reading = True
                reads.last_read_at = now
                effects.append(
                    ReadDocument(
                        name,
                        after_versions[name],
                        self._limits.watch_timeout,
                    ),
                )
        return effects

    def _measure_read_age(self, now: timedelta) -> timedelta:
        if self._last_read_at is None:
            return _MAX_READ_AGE
        return min(now - self._last_read_at, _MAX_READ_AGE)

    def _is_due(
        self,
        reads: _DocumentReads,
        interval: timedelta,
        now: timedelta,
    ) -> bool:
        if reads.is_reading:
            return False
        if reads.last_read_at is None:
            return True
        exponent = min(reads.failure_count, _MAX_BACKOFF_EXPONENT)
        return now - reads.last_read_at >= interval * (1 << exponent)
