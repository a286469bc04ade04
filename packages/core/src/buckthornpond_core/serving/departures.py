"""Targets that left recently, which an older copy of the source may list."""

from datetime import timedelta

from .._generated.serving import TargetRecord

# A copy is at most this much older than the source.
_MAX_COPY_AGE = timedelta(seconds=60)


class Departure:
    """Removal of a target.

    :param started_ms: start of the target that was removed.
    :param removed_at: when, on the monotonic clock.
    """

    __slots__ = ('removed_at', 'started_ms')

    def __init__(self, started_ms: int, removed_at: timedelta) -> None:
        self.started_ms = started_ms
        self.removed_at = removed_at


class Departures:
    """Remembers the removed targets for as long as a copy may list them."""

    __slots__ = ('_by_name',)

    def __init__(self) -> None:
        self._by_name: dict[str, Departure] = {}

    def record(self, record: TargetRecord, now: timedelta) -> None:
        """Record that a target was removed.

        :param record: last record of the target.
        :param now: time on the monotonic clock.
        """
        self._by_name[record.name] = Departure(record.started_ms, now)

    def includes(self, record: TargetRecord) -> bool:
        """Return whether the target was removed since that start.

        :param record: record of a target.
        """
        departure = self._by_name.get(record.name)
        return (
            departure is not None and record.started_ms <= departure.started_ms
        )

    def drop_expired(self, now: timedelta) -> None:
        """Forget the targets that no copy lists any more.

        :param now: time on the monotonic clock.
        """
        expired = [
            name
            for name, departure in self._by_name.items()
            if now - departure.removed_at > _MAX_COPY_AGE
        ]
        for name in expired:
            self._by_name.pop(name)
