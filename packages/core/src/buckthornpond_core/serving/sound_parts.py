"""When parts of prompts, and whole requests, were last answered."""

from collections.abc import Iterable
from datetime import timedelta

from .request_identity import is_identity

_MAX_PARTS = 32_768
_MAX_IDENTITIES = 8192


class SoundParts:
    """Last answer to a request with each part, oldest first.

    Identities of whole requests are kept apart: there are as many as requests,
    and they must not displace the parts.
    """

    __slots__ = ('_identities', '_parts')

    def __init__(self) -> None:
        self._parts: dict[str, timedelta] = {}
        self._identities: dict[str, timedelta] = {}

    def __contains__(self, part: str) -> bool:
        """Return whether a request with a part is known to be answered."""
        return part in self._find_table(part)

    def __len__(self) -> int:
        """Return the number of parts and identities that are remembered."""
        return len(self._parts) + len(self._identities)

    def record(self, parts: Iterable[str], proven_at: timedelta) -> None:
        """Record that a request with these parts was answered.

        :param parts: parts of its prompt, and its identity.
        :param proven_at: time of the answer on the monotonic clock.
        """
        for part in parts:
            table = self._find_table(part)
            latest = max(table.pop(part, proven_at), proven_at)
            table[part] = latest
        _shorten(self._parts, _MAX_PARTS)
        _shorten(self._identities, _MAX_IDENTITIES)

    def answered_at(self, part: str) -> timedelta | None:
        """Return when a part was last answered, ``None`` for never.

        :param part: ID of the part.
        """
        return self._find_table(part).get(part)

    def is_answered_since(self, part: str, since: timedelta) -> bool:
        """Return whether a part was answered at a time or later.

        :param part: ID of the part.
        :param since: time on the monotonic clock.
        """
        answered_at = self.answered_at(part)
        return answered_at is not None and answered_at >= since

    def drop_expired(self, oldest: timedelta) -> None:
        """Forget answers up to a time.

        :param oldest: time on the monotonic clock.
        """
        for table in (self._parts, self._identities):
            for part, answered_at in tuple(table.items()):
                if answered_at > oldest:
                    break
                table.pop(part)

    def _find_table(self, part: str) -> dict[str, timedelta]:
        return self._identities if is_identity(part) else self._parts


def _shorten(table: dict[str, timedelta], count: int) -> None:
    while len(table) > count:
        table.pop(next(iter(table)))
