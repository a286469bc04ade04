"""Limit on how often one peer makes a process read.

Each read has a cost of its own, however few bytes it returns. Bytes that come
in small pieces therefore wait in the kernel and are read together.
"""

from datetime import timedelta

# Reads of fewer bytes count against the limit.
_SMALL_READ_BYTES = 2048
# Small reads that may follow each other without a pause.
_BURST_COUNT = 64
_SMALL_READS_PER_SECOND = 100


class ReadPacer:
    """Token bucket for the small reads from one peer.

    :param now: time on the monotonic clock.
    """

    __slots__ = ('_allowance', '_updated_at')

    def __init__(self, now: timedelta) -> None:
        # Small reads that may follow now.
        self._allowance = float(_BURST_COUNT)
        self._updated_at = now

    def record(self, read_bytes: int, now: timedelta) -> None:
        """Count a read.

        :param read_bytes: number of bytes that it returned.
        :param now: time on the monotonic clock.
        """
        if read_bytes >= _SMALL_READ_BYTES:
            return
        elapsed = now - self._updated_at
        self._updated_at = now
        gained = elapsed.total_seconds() * _SMALL_READS_PER_SECOND
        self._allowance = min(self._allowance + gained, _BURST_COUNT) - 1

    def find_pause(self, now: timedelta) -> timedelta:
        """Return the time until the next read is due, zero for at once.

        :param now: time on the monotonic clock.
        """
        missing_count = 1 - self._allowance
        if missing_count <= 0:
            return timedelta()
        due_in = timedelta(seconds=missing_count / _SMALL_READS_PER_SECOND)
        return max(self._updated_at + due_in - now, timedelta())
