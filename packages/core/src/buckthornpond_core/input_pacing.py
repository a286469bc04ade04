"""Limits on how often one peer makes a process work.

Each read and each piece of a message has a cost of its own, however few bytes
it holds. Bytes that come in small pieces therefore wait, and are read together
or in turn with those of other peers.
"""

from datetime import timedelta

# Reads of fewer bytes count against the limit.
_SMALL_READ_BYTES = 2048
# Small reads that may follow each other without a pause.
_READ_BURST_COUNT = 64
_SMALL_READS_PER_SECOND = 100
# Header fields and parts of a body of fewer bytes count against the limit.
SMALL_PIECE_BYTES = 32
# Small pieces that a peer may send at once.
_PIECE_BURST_COUNT = 512
_SMALL_PIECES_PER_SECOND = 100


class TokenBucket:
    """Allowance that is used up by events and grows again with time.

    :param capacity: events that may follow each other at once.
    :param per_second: events that the allowance gains in a second.
    :param now: time on the monotonic clock.
    """

    __slots__ = ('_allowance', '_capacity', '_per_second', '_updated_at')

    def __init__(self, capacity: int, per_second: int, now: timedelta) -> None:
        self._capacity = capacity
        self._per_second = per_second
        # Events that may follow now.
        self._allowance = float(capacity)
        self._updated_at = now

    def take(self, count: int, now: timedelta) -> None:
        """Count events that have happened.

        :param count: number of events.
        :param now: time on the monotonic clock.
        """
        elapsed = now - self._updated_at
        self._updated_at = now
        gained = elapsed.total_seconds() * self._per_second
        self._allowance = min(self._allowance + gained, self._capacity) - count

    def find_pause(self, now: timedelta) -> timedelta:
        """Return the time until the next event is due, zero for at once.

        :param now: time on the monotonic clock.
        """
        missing_count = 1 - self._allowance
        if missing_count <= 0:
            return timedelta()
        due_in = timedelta(seconds=missing_count / self._per_second)
        return max(self._updated_at + due_in - now, timedelta())


class ReadPacer:
    """Limits the rate of small reads from one peer.

    :param now: time on the monotonic clock.
    """

    __slots__ = ('_bucket',)

    def __init__(self, now: timedelta) -> None:
        self._bucket = TokenBucket(
            _READ_BURST_COUNT, _SMALL_READS_PER_SECOND, now
        )

    def record(self, read_bytes: int, now: timedelta) -> None:
        """Count a read.

        :param read_bytes: number of bytes that it returned.
        :param now: time on the monotonic clock.
        """
        if read_bytes < _SMALL_READ_BYTES:
            self._bucket.take(1, now)

    def find_pause(self, now: timedelta) -> timedelta:
        """Return the time until the next read is due, zero for at once.

        :param now: time on the monotonic clock.
        """
        return self._bucket.find_pause(now)


class PiecePacer:
    """Tells whether one peer makes a parser work more than others.

    :param now: time on the monotonic clock.
    """

    __slots__ = ('_bucket',)

    def __init__(self, now: timedelta) -> None:
        self._bucket = _fill_bucket(now)

    def reset(self, now: timedelta) -> None:
        """Give the whole allowance back, since a request has been served.

        :param now: time on the monotonic clock.
        """
        self._bucket = _fill_bucket(now)

    def record(self, count: int, now: timedelta) -> None:
        """Count small pieces that were parsed.

        :param count: number of pieces below :data:`SMALL_PIECE_BYTES`.
        :param now: time on the monotonic clock.
        """
        if count:
            self._bucket.take(count, now)

    def is_exhausted(self, now: timedelta) -> bool:
        """Return whether further pieces have to wait for their turn.

        :param now: time on the monotonic clock.
        """
        return bool(self._bucket.find_pause(now))


def _fill_bucket(now: timedelta) -> TokenBucket:
    return TokenBucket(_PIECE_BURST_COUNT, _SMALL_PIECES_PER_SECOND, now)
