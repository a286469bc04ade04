"""Which entries use a target that bears only little from all together."""

from ..rendezvous import HASH_LIMIT, score
from .membership import Membership

# Entries assumed by one that has just started and knows no other yet.
_ASSUMED_ENTRY_COUNT = 128


class TargetUsers:
    """Decides whether this entry is one of those that use a target.

    The users are the entries with the highest rendezvous scores among all
    that may be alive.

    :param address: address of this entry.
    :param membership: other entries that may be alive.
    """

    __slots__ = ('_address', '_known_version', '_membership', '_verdicts')

    def __init__(self, address: str, membership: Membership) -> None:
        self._address = address
        self._membership = membership
        self._known_version = -1
        self._verdicts: dict[tuple[str, int, bool], bool] = {}

    def includes_self(
        self, target: str, user_count: int, *, knows_others: bool
    ) -> bool:
        """Return whether this entry may send requests to a target.

        :param target: name of the target.
        :param user_count: number of entries that may use it.
        :param knows_others: whether it has had time to learn of the others.
        """
        if self._known_version != self._membership.version:
            self._known_version = self._membership.version
            self._verdicts.clear()
        key = target, user_count, knows_others
        verdict = self._verdicts.get(key)
        if verdict is None:
            verdict = self._decide(target, user_count, knows_others)
            self._verdicts[key] = verdict
        return verdict

    def _decide(self, target: str, user_count: int, knows_others: bool) -> bool:
        own_score = score(target, self._address)
        if not knows_others:
            missing_share = 1 - user_count / _ASSUMED_ENTRY_COUNT
            return own_score >= missing_share * HASH_LIMIT
        higher_count = sum(
            score(target, address) > own_score
            for address in self._membership.addresses
        )
        return higher_count < user_count
