"""Entries that may be alive, for what all entries share."""

from datetime import timedelta

# An entry that is silent, cut off or restarting is counted for this long.
_RETENTION = timedelta(seconds=60)
_MAX_MEMBERS = 4096


class Membership:
    """Addresses of the entries that were heard of lately.

    Unlike the peers that hints are sent to, it keeps those that fell silent:
    one that cannot be heard may still send requests.
    """

    __slots__ = ('_heard_at', 'version')

    def __init__(self) -> None:
        self._heard_at: dict[str, timedelta] = {}
        # Changes whenever an address is added or removed.
        self.version = 0

    @property
    def addresses(self) -> tuple[str, ...]:
        """Return the known addresses of other entries."""
        return tuple(self._heard_at)

    def record(self, address: str, now: timedelta) -> None:
        """Record that an entry was heard, or that another one named it.

        :param address: address of the entry.
        :param now: time on the monotonic clock.
        """
        if address not in self._heard_at:
            if len(self._heard_at) >= _MAX_MEMBERS:
                return
            self.version += 1
        self._heard_at[address] = now

    def drop_expired(self, now: timedelta) -> None:
        """Forget the entries that were not heard of for a long time.

        :param now: time on the monotonic clock.
        """
        expired = [
            address
            for address, heard_at in self._heard_at.items()
            if now - heard_at > _RETENTION
        ]
        for address in expired:
            self._heard_at.pop(address)
            self.version += 1
