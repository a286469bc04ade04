"""Which entries may send requests to a cold target.

Each entry may send at least one request in each window, so that more than a
few dozen entries together would exceed what a cold target bears. Only some
of them use it: those with the highest rendezvous scores among all entries
that may be alive.
"""

from ..rendezvous import HASH_LIMIT, score
from .budgets import cold_share
from .membership import Membership

# Part of the permitted entries in use, as two entries may know different ones.
_USED_SHARE = 0.7
# Entries assumed by one that has just started and knows no other yet.
_ASSUMED_ENTRY_COUNT = 128


class ColdTargetUsers:
    """Decides whether this entry is one of those that use a cold target.

    :param address: address of this entry.
    :param membership: other entries that may be alive.
    """

    __slots__ = ('_address', '_known_version', '_membership', '_verdicts')

    def __init__(self, address: str, membership: Membership) -> None:
        self._address = address
        self._membership = membership
        self._known_version = -1
        self._verdicts: dict[tuple[str, float, bool], bool] = {}

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
        if self._known_version != self._membership.version:
            self._known_version = self._membership.version
            self._verdicts.clear()
        key = target, requests_per_second, knows_others
        verdict = self._verdicts.get(key)
        if verdict is None:
            verdict = self._decide(target, requests_per_second, knows_others)
            self._verdicts[key] = verdict
        return verdict

    def _decide(
        self, target: str, requests_per_second: float, knows_others: bool
    ) -> bool:
        share = cold_share(requests_per_second)
        user_count = max(1, int(share.max_entry_count * _USED_SHARE))
        own_score = score(target, self._address)
        if not knows_others:
            missing_share = 1 - user_count / _ASSUMED_ENTRY_COUNT
            return own_score >= missing_share * HASH_LIMIT
        higher_count = sum(
            score(target, address) > own_score
            for address in self._membership.addresses
        )
        return higher_count < user_count
