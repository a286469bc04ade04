"""Times of idempotency keys: creation, deadlines and barriers."""

from datetime import UTC, datetime, timedelta
from uuid import RFC_4122, UUID

_UUID_VERSION = 7
_TIMESTAMP_SHIFT = 80
_EPOCH = datetime.fromtimestamp(0, UTC)


def read_creation_time(idempotency_key: str) -> datetime | None:
    """Return when a UUIDv7 key was created, or nothing for other keys.

    :param idempotency_key: what the caller sent.
    """
    try:
        identifier = UUID(idempotency_key)
    except ValueError:
        return None
    if identifier.variant != RFC_4122 or identifier.version != _UUID_VERSION:
        return None
    timestamp_ms = identifier.int >> _TIMESTAMP_SHIFT
    return _EPOCH + timedelta(milliseconds=timestamp_ms)


class Barrier:
    """Moment before which a key may have run somewhere else.

    :param moment: the moment on the monotonic clock.
    :param wall: the moment on the wall clock.
    """

    __slots__ = ('moment', 'wall')

    def __init__(self, moment: timedelta, wall: datetime) -> None:
        self.moment = moment
        self.wall = wall


class KeyTimes:
    """Clocks of a home of keys.

    The wall clock is read once, at the start, and follows the monotonic
    clock from there.

    :param started: start of the incarnation on the monotonic clock.
    :param started_wall: the same moment on the wall clock.
    """

    __slots__ = ('_started', '_started_wall', 'now')

    def __init__(self, started: timedelta, started_wall: datetime) -> None:
        self._started = started
        self._started_wall = started_wall
        self.now = started

    @property
    def wall(self) -> datetime:
        """Return the wall clock at the last observation."""
        return self._started_wall + (self.now - self._started)

    def observe(self, now: timedelta) -> None:
        """Move both clocks.

        :param now: time on the monotonic clock.
        """
        self.now = now

    def barrier(self) -> Barrier:
        """Return a barrier at this moment."""
        return Barrier(self.now, self.wall)

    def is_overdue(self, deadline_wall_ms: int, skew: timedelta) -> bool:
        """Tell whether a message came later than its deadline allows.

        :param deadline_wall_ms: deadline in milliseconds since 1970, or 0.
        :param skew: largest difference between two wall clocks.
        """
        if not deadline_wall_ms:
            return False
        deadline = _EPOCH + timedelta(milliseconds=deadline_wall_ms)
        return self.wall > deadline + skew

    def trust_creation(
        self,
        idempotency_key: str,
        skew: timedelta,
    ) -> datetime | None:
        """Return the creation time of a key unless it lies in the future.

        :param idempotency_key: what the caller sent.
        :param skew: largest difference between two wall clocks.
        """
        created = read_creation_time(idempotency_key)
        if created is None or created > self.wall + skew:
            return None
        return created

    def is_past(
        self,
        barrier: Barrier,
        created: datetime | None,
        *,
        retention: timedelta,
        skew: timedelta,
    ) -> bool:
        """Tell whether a key cannot have run before the barrier.

        :param barrier: the moment to compare with.
        :param created: when the key was created, if that is known.
        :param retention: how long messages with the key may come.
        :param skew: largest difference between two wall clocks.
        """
        if created is not None and created > barrier.wall + skew:
            return True
        return self.now - barrier.moment >= retention
