"""Whether the source of the fleet answers, and when it was away."""

from datetime import timedelta

# Targets whose records expired during an outage of the source register again
# within this time, if at all.
REREGISTRATION_GRACE = timedelta(seconds=2)
# Time after an outage in which the source still counts as unstable.
_INSTABILITY_TIME = timedelta(seconds=3)


class SourceAvailability:
    """Answers, losses and outages of the source, as one entry sees them.

    A loss is any failed call. It is an outage only if the source itself was
    away: records expire then, though their targets run.
    """

    __slots__ = (
        '_first_confirmed_at',
        '_first_lost_at',
        '_is_outage',
        '_outage_ended_at',
        'confirmed_at',
        'lost_at',
        'regained_at',
    )

    def __init__(self) -> None:
        self._first_confirmed_at: timedelta | None = None
        self._first_lost_at: timedelta | None = None
        self._is_outage = False
        self._outage_ended_at: timedelta | None = None
        self.confirmed_at: timedelta | None = None
        self.lost_at: timedelta | None = None
        self.regained_at: timedelta | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self.lost_at is not None

    def record_loss(self, now: timedelta, *, is_outage: bool) -> bool:
        """Record a failed call; return whether that tells anything new.

        :param now: time on the monotonic clock.
        :param is_outage: whether the source is away, and not a connection
            to it lost.
        """
        self._first_lost_at = self._first_lost_at or now
        is_new = not self.is_lost or (is_outage and not self._is_outage)
        self.lost_at = self.lost_at or now
        self._is_outage = self._is_outage or is_outage
        return is_new

    def record_answer(self, now: timedelta) -> bool:
        """Record an answer; return whether the source was lost before.

        :param now: time on the monotonic clock.
        """
        self._first_confirmed_at = self._first_confirmed_at or now
        self.confirmed_at = now
        was_lost = self.is_lost
        if was_lost:
            self.lost_at = None
            self.regained_at = now
        if self._is_outage:
            self.record_outage_end(now)
        return was_lost

    def record_outage_end(self, now: timedelta) -> None:
        """Record that the source is back after an outage.

        :param now: time on the monotonic clock.
        """
        self._is_outage = False
        self._outage_ended_at = now
        self.regained_at = now

    def record_peer_answer(self, confirmed_at: timedelta) -> None:
        """Record when the source answered another entry.

        :param confirmed_at: time on the monotonic clock.
        """
        self.confirmed_at = max(self.confirmed_at or confirmed_at, confirmed_at)

    def is_unstable(self, now: timedelta) -> bool:
        """Return whether the source is away or came back recently.

        :param now: time on the monotonic clock.
        """
        if self._is_outage:
            return True
        ended_at = self._outage_ended_at
        return ended_at is not None and now - ended_at < _INSTABILITY_TIME

    def is_stable(self, now: timedelta) -> bool:
        """Return whether the source answers and is known not to have been away.

        Of the time before its first answer, nothing is known.

        :param now: time on the monotonic clock.
        """
        first_at = self._first_confirmed_at
        if first_at is None or self.is_lost or self.is_unstable(now):
            return False
        return now - first_at >= _INSTABILITY_TIME

    def find_grace_end(self, now: timedelta) -> timedelta:
        """Return until when a target may register again.

        :param now: time at which its record was found missing, on the
            monotonic clock.
        """
        ended_at = self._outage_ended_at
        if ended_at is None or self._is_outage or not self.is_unstable(now):
            return now + REREGISTRATION_GRACE
        return ended_at + REREGISTRATION_GRACE

    def find_age(self, now: timedelta) -> timedelta:
        """Return the time since the source last answered.

        If it never did, this is the time since it was first lost.

        :param now: time on the monotonic clock.
        """
        return now - (self.confirmed_at or self._first_lost_at or now)
