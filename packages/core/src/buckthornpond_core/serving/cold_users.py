"""Which entries may send requests to a cold target.

Each entry may send at least one request in each window, so that more than a
few dozen entries together would exceed what a cold target bears. Only some
of them use it.
"""

from .budgets import cold_share
from .membership import Membership
from .target_users import TargetUsers

# Part of the permitted entries in use, as two entries may know different ones.
_USED_SHARE = 0.7


class ColdTargetUsers:
    """Decides whether this entry is one of those that use a cold target.

    :param address: address of this entry.
    :param membership: other entries that may be alive.
    """

    __slots__ = ('_users',)

    def __init__(self, address: str, membership: Membership) -> None:
        self._users = TargetUsers(address, membership)

    def includes_self(
        self,
        target: str,
        requests_per_second: float,
        *,
        knows_others: bool,
    ) -> bool:
        """Return whether this entry may send requests to a cold target.

        :param target: name of the target.
        :param requests_per_second: limit for all entries together.
        :param knows_others: whether it has had time to learn of the others.
        """
        share = cold_share(requests_per_second)
        user_count = max(1, int(share.max_entry_count * _USED_SHARE))
        return self._users.includes_self(
            target, user_count, knows_others=knows_others
        )
