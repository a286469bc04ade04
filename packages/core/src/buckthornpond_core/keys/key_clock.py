"""Clocks of a home, and creation times and deadlines of keys."""

from datetime import UTC, datetime, timedelta
from uuid import RFC_4122, UUID

_UUIDV7_VERSION = 7
_TIMESTAMP_SHIFT_BITS = 80
_UNIX_EPOCH = datetime.fromtimestamp(0, UTC)


def read_creation_time(idempotency_key: str) -> datetime | None:
    """Return when a UUIDv7 key was created, or ``None`` for other keys.

    :param idempotency_key: key that the caller sent.
    """
    try:
        identifier = UUID(idempotency_key)
    except ValueError:
        return None
    if identifier.variant != RFC_4122 or identifier.version != _UUIDV7_VERSION:
        return None
    timestamp_ms = identifier.int >> _TIMESTAMP_SHIFT_BITS
    return _UNIX_EPOCH + timedelta(milliseconds=timestamp_ms)


class Cutoff:
    """Point in time before which a key may have run elsewhere.

    :param monotonic_time: time on the monotonic clock.
    :param wall_time: the same time on the wall clock.
    """

    __slots__ = ('monotonic_time', 'wall_time')

    def __init__(self, monotonic_time: timedelta, wall_time: datetime) -> None:
        self.monotonic_time = monotonic_time
        self.wall_time = wall_time


class KeyClock:
    """Monotonic and wall clock of a home.

    The wall clock is read once, at the start; afterwards its time is
    derived from the monotonic clock.

    :param started: start of the incarnation on the monotonic clock.
    :param started_wall: the same time on the wall clock.
    """

    __slots__ = ('_started', '_started_wall', 'now')

    def __init__(self, started: timedelta, started_wall: datetime) -> None:
        self._started = started
        self._started_wall = started_wall
        self.now = started

    @property
    def wall_time(self) -> datetime:
        """Return the wall-clock time that corresponds to ``now``."""
        return self._started_wall + (self.now - self._started)

    def advance_to(self, now: timedelta) -> None:
        """Set both clocks.

        :param now: time on the monotonic clock.
        """
        self.now = now

    def cutoff(self) -> Cutoff:
        """Return the current time of both clocks."""
        return Cutoff(self.now, self.wall_time)

    def is_overdue(self, deadline_wall_ms: int, clock_skew: timedelta) -> bool:
        """Return whether a deadline has passed, allowing for clock skew.

        :param deadline_wall_ms: deadline in milliseconds since 1970, or 0
            for none.
        :param clock_skew: largest difference between two wall clocks.
        """
        if not deadline_wall_ms:
            return False
        deadline = _UNIX_EPOCH + timedelta(milliseconds=deadline_wall_ms)
        return self.wall_time > deadline + clock_skew

    def is_ahead(self, created: datetime, clock_skew: timedelta) -> bool:
        """Return whether a creation time lies in the future.

        :param created: creation time of a key.
        :param clock_skew: largest difference between two wall clocks.
        """
        return created > self.wall_time + clock_skew

    def read_trusted_creation_time(
        self,
        idempotency_key: str,
        clock_skew: timedelta,
    ) -> datetime | None:
        """Return the creation time of a key unless it lies in the future.

        :param idempotency_key: key that the caller sent.
        :param clock_skew: largest difference between two wall clocks.
        """
        created = read_creation_time(idempotency_key)
        if created is None or self.is_ahead(created, clock_skew):
            return None
        return created

    def is_after_cutoff(
        self,
        cutoff: Cutoff,
        created: datetime | None,
        *,
        retention: timedelta,
        clock_skew: timedelta,
    ) -> bool:
        """Return whether a key cannot have run before a point in time.

        This holds if the key was created later, or if the retention has
        passed since then.

        :param cutoff: point in time to compare with.
        :param created: creation time of the key, if known.
        :param retention: time for which messages with the key may arrive.
        :param clock_skew: largest difference between two wall clocks.
        """
        if created is not None and created > cutoff.wall_time + clock_skew:
            return True
        return self.now - cutoff.monotonic_time >= retention
