"""Contact of an entry with the source of the fleet."""

from datetime import timedelta
from enum import StrEnum

from ..types import RandomSource

_BATCH_DELAY_MS = 500
# Wait after a change: changes within it share one answer, which saves calls.
BATCH_DELAY = timedelta(milliseconds=_BATCH_DELAY_MS)
_ANSWER_INTERVAL_MS = 1900
# A sound source answers at least this often.
_ANSWER_INTERVAL = timedelta(milliseconds=_ANSWER_INTERVAL_MS)
_ANSWER_TIME_MS = 400
_ANSWER_TIME = timedelta(milliseconds=_ANSWER_TIME_MS)
# An answer that waits for nothing tells whether the source is sound.
_PROBE_WAIT = timedelta(milliseconds=1)
_PROBE_ANSWER_TIME_MS = 800
_PROBE_ANSWER_TIME = timedelta(milliseconds=_PROBE_ANSWER_TIME_MS)
_FIRST_RETRY_DELAY_MS = 50
# Spreads the calls of many entries that lose their connections at once.
_MAX_FIRST_RETRY_DELAY = timedelta(milliseconds=_FIRST_RETRY_DELAY_MS)
_RETRY_DELAY_MS = 200
_RETRY_DELAY = timedelta(milliseconds=_RETRY_DELAY_MS)
# A source whose answers do not end is asked less often.
_OVERSIZED_RETRY_DELAY = timedelta(seconds=2)
# Calls in a row without an answer, the second one on a new connection.
_MIN_OUTAGE_CALL_COUNT = 2


class SourceFailure(StrEnum):
    """How a call to the source failed."""

    # The connection was refused, broke or went silent.
    no_answer = 'no_answer'
    # The source serves others, but not this call.
    rate_limited = 'rate_limited'
    # The answer says that the source cannot serve, or cannot be read.
    unavailable = 'unavailable'
    # The answer exceeds a limit.
    oversized = 'oversized'


class WatchTiming:
    """Times of one watch.

    :param wait: longest wait of the source for a change.
    :param answer_time: time for the answer, once the wait is over.
    """

    __slots__ = ('answer_time', 'wait')

    def __init__(self, wait: timedelta, answer_time: timedelta) -> None:
        self.wait = wait
        self.answer_time = answer_time


class SourceContact:
    """Times the calls to the source and tells its outages from lost calls.

    An open connection may break or go silent while the source is sound: a new
    one is then answered at once. So a call without an answer is repeated at
    once, and only if that fails, too, is the source taken to be away.

    :param random: adds jitter to the delays.
    """

    __slots__ = (
        '_has_changed',
        '_is_probe_due',
        '_lost_call_count',
        '_may_retry_at_once',
        '_random',
    )

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._lost_call_count = 0
        self._is_probe_due = False
        self._may_retry_at_once = False
        # Whether the last answer told of a change, so that a delay followed.
        self._has_changed = False

    def find_watch_timing(self) -> WatchTiming:
        """Return the times of the next watch.

        The delay after a change counts as a part of the wait, so that a silent
        connection is found equally soon.
        """
        if self._is_probe_due:
            return WatchTiming(_PROBE_WAIT, _PROBE_ANSWER_TIME)
        wait = _ANSWER_INTERVAL
        if self._has_changed:
            wait -= BATCH_DELAY
        return WatchTiming(wait, _ANSWER_TIME)

    def record_read(self) -> None:
        """Record that everything was read."""
        self._record_answer(has_changed=False)
        self._may_retry_at_once = True

    def record_watch(self, *, has_changed: bool) -> None:
        """Record that a watch was answered.

        :param has_changed: whether the answer told of a change.
        """
        # A source that cuts each watch is not asked without a pause.
        is_probe = self._is_probe_due and not has_changed
        self._may_retry_at_once = self._may_retry_at_once or not is_probe
        self._record_answer(has_changed=has_changed)

    def record_failure(self, failure: SourceFailure) -> bool:
        """Record that a call failed; return whether the source is away.

        :param failure: how it failed.
        """
        if failure is SourceFailure.rate_limited:
            self._lost_call_count = 0
            return False
        self._is_probe_due = True
        if failure is not SourceFailure.no_answer:
            return True
        self._lost_call_count += 1
        return self._lost_call_count >= _MIN_OUTAGE_CALL_COUNT

    def take_retry_delay(self, failure: SourceFailure) -> timedelta:
        """Return the delay before the next call.

        :param failure: how the last call failed.
        """
        if failure is SourceFailure.no_answer and self._may_retry_at_once:
            self._may_retry_at_once = False
            return _MAX_FIRST_RETRY_DELAY * self._random.random()
        delay = _RETRY_DELAY
        if failure is SourceFailure.oversized:
            delay = _OVERSIZED_RETRY_DELAY
        return delay * (1 + self._random.random())

    def _record_answer(self, *, has_changed: bool) -> None:
        self._lost_call_count = 0
        self._is_probe_due = False
        self._has_changed = has_changed
