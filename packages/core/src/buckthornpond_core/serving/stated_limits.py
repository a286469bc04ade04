"""Request rates that targets state, and the share of each entry in them.

Entries have no coordinator. Those that use a target divide its rate, and so
many use it that one request of each at once is borne as well.
"""

from datetime import timedelta

from .membership import Membership
from .target_users import TargetUsers

_SECOND = timedelta(seconds=1)
# With less, nobody would hear that the limit has ended.
_MIN_REQUESTS_PER_SECOND = 0.25
# Requests beyond its rate that a target bears in a few seconds: as many as it
# takes in two seconds, and five.
_EXCESS_SECONDS = 2
_EXCESS_COUNT = 5
# Part of the excess in use, as two entries may know different ones.
_USED_SHARE = 0.7


class LimitShare:
    """Share of one entry in the limit of a target.

    :param requests_per_second: rate of this entry.
    :param burst_count: requests that it may send at once.
    """

    __slots__ = ('burst_count', 'requests_per_second')

    def __init__(self, requests_per_second: float, burst_count: int) -> None:
        self.requests_per_second = requests_per_second
        self.burst_count = burst_count


class LimitDivision:
    """Divides the limits of targets among the entries that use them.

    :param address: address of this entry.
    :param membership: other entries that may be alive.
    """

    __slots__ = ('_membership', '_users')

    def __init__(self, address: str, membership: Membership) -> None:
        self._membership = membership
        self._users = TargetUsers(address, membership)

    def find_share(
        self, target: str, requests_per_second: float, *, knows_others: bool
    ) -> LimitShare | None:
        """Return the share of this entry, or ``None`` if others have all.

        :param target: name of the target.
        :param requests_per_second: limit for all entries together.
        :param knows_others: whether it has had time to learn of the others.
        """
        limit = max(requests_per_second, _MIN_REQUESTS_PER_SECOND)
        excess_count = limit * _EXCESS_SECONDS + _EXCESS_COUNT
        max_user_count = max(1, int(excess_count * _USED_SHARE))
        if not self._users.includes_self(
            target, max_user_count, knows_others=knows_others
        ):
            return None
        user_count = max_user_count
        if knows_others:
            entry_count = len(self._membership.addresses) + 1
            user_count = min(entry_count, max_user_count)
        return LimitShare(limit / user_count, max_user_count // user_count)


class StatedLimit:
    """What one start of a target has stated last of its request rate.

    :param requests_per_second: rate for all entries together, or ``None`` if
        it stated no limit any more.
    :param heard_at: when it stated that, on the monotonic clock.
    """

    __slots__ = (
        '_spent_count',
        '_updated_at',
        'began_at',
        'heard_at',
        'is_first_hand',
        'requests_per_second',
    )

    def __init__(
        self, requests_per_second: float | None, heard_at: timedelta
    ) -> None:
        self.requests_per_second = requests_per_second
        self.began_at = heard_at
        self.heard_at = heard_at
        # Whether a response to this entry stated it, not another entry's hint.
        self.is_first_hand = True
        # Requests of this entry that its share has not made up for yet.
        self._spent_count = 0.0
        self._updated_at = heard_at

    def begin(self, heard_at: timedelta) -> None:
        """Start to count requests, as the target limits them from now on.

        :param heard_at: when it stated that, on the monotonic clock.
        """
        self.began_at = heard_at
        self._spent_count = 0.0
        self._updated_at = heard_at

    def find_delay(self, share: LimitShare, now: timedelta) -> timedelta:
        """Return the time until this entry may send one more request.

        :param share: share of this entry.
        :param now: time on the monotonic clock.
        """
        earned_count = (
            (now - self._updated_at) / _SECOND * share.requests_per_second
        )
        self._spent_count = max(self._spent_count - earned_count, 0)
        self._updated_at = now
        missing_count = self._spent_count + 1 - share.burst_count
        if missing_count <= 0:
            return timedelta()
        return missing_count / share.requests_per_second * _SECOND

    def record_request(self) -> None:
        """Count a request that this entry sends."""
        self._spent_count += 1
