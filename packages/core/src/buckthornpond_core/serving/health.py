"""Health of a target, judged by the outcomes of attempts there."""

import math
from datetime import timedelta
from enum import StrEnum

_OUTCOME_WEIGHT = 0.25
_DECAY_TIME = timedelta(seconds=6)
_MIN_PAUSE = timedelta(seconds=1)
_MAX_PAUSE = timedelta(seconds=4)


class AttemptOutcome(StrEnum):
    """How an attempt at a target ended."""

    answered = 'answered'
    refused = 'refused'
    failed = 'failed'
    # The target closed the connection before its response was complete.
    connection_lost = 'connection_lost'
    limit_exceeded = 'limit_exceeded'
    # Bounded in itself, so that one such response pauses no target.
    response_too_large = 'response_too_large'
    silent = 'silent'
    unreachable = 'unreachable'
    moved = 'moved'
    abandoned = 'abandoned'


_IGNORED_OUTCOMES = frozenset(
    (AttemptOutcome.abandoned, AttemptOutcome.refused),
)
_PAUSING_OUTCOMES = frozenset(
    (
        AttemptOutcome.limit_exceeded,
        AttemptOutcome.moved,
        AttemptOutcome.silent,
        AttemptOutcome.unreachable,
    ),
)


class TargetHealth:
    """Failure rate of one target, and its circuit breaker.

    An outcome that costs callers much time pauses the target, for longer with
    each pause in a row.
    """

    __slots__ = ('_failure_rate', '_pause', '_updated_at', 'paused_until')

    def __init__(self) -> None:
        self._failure_rate = 0.0
        self._updated_at = timedelta()
        self._pause = _MIN_PAUSE
        self.paused_until = timedelta()

    def failure_rate(self, now: timedelta) -> float:
        """Return the smoothed failure rate, which decays exponentially.

        :param now: time on the monotonic clock.
        """
        return self._failure_rate * math.exp(
            -((now - self._updated_at) / _DECAY_TIME),
        )

    def is_paused(self, now: timedelta) -> bool:
        """Return whether the target receives no requests for now.

        :param now: time on the monotonic clock.
        """
        return now < self.paused_until

    def record(self, outcome: AttemptOutcome, now: timedelta) -> bool:
        """Record the outcome of an attempt; return whether a pause begins.

        :param outcome: how the attempt ended.
        :param now: time on the monotonic clock.
        """
        if outcome in _IGNORED_OUTCOMES:
            return False
        is_failure = outcome is not AttemptOutcome.answered
        rate = self.failure_rate(now)
        self._failure_rate = rate + _OUTCOME_WEIGHT * (is_failure - rate)
        self._updated_at = now
        if outcome in _PAUSING_OUTCOMES:
            return self._start_pause(now)
        if not is_failure:
            self._pause = _MIN_PAUSE
        return False

    def _start_pause(self, now: timedelta) -> bool:
        if self.is_paused(now):
            return False
        self.paused_until = now + self._pause
        self._pause = min(self._pause * 2, _MAX_PAUSE)
        return True
