"""Order in which an agent starts queued attempts."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from .._generated.messages import Attempt
from .priorities import AgedLengthPriority, EnginePriority

# Queued attempts are refused this long before their deadline.
_REFUSAL_MARGIN_MS = 50
REFUSAL_MARGIN = timedelta(milliseconds=_REFUSAL_MARGIN_MS)


class QueuedAttempt:
    """Attempt that an agent has accepted.

    :param attempt: the attempt.
    :param arrival: time of acceptance on the monotonic clock.
    :param deadline: deadline on the monotonic clock.
    """

    __slots__ = ('arrival', 'attempt', 'deadline')

    def __init__(
        self,
        attempt: Attempt,
        arrival: timedelta,
        deadline: timedelta,
    ) -> None:
        self.attempt = attempt
        self.arrival = arrival
        self.deadline = deadline

    @property
    def total_tokens(self) -> int:
        """Return the most tokens that the attempt holds at the target."""
        return self.attempt.prompt_tokens + self.attempt.output_tokens


class TargetLoad:
    """Load of a target, by which an admission order chooses.

    :param waiting: attempts to choose from.
    :param prefilling: running attempts that have no first token yet.
    :param free_tokens: tokens of the limit that no attempt has reserved.
    """

    __slots__ = ('free_tokens', 'prefilling', 'waiting')

    def __init__(
        self,
        waiting: Sequence[QueuedAttempt],
        prefilling: Sequence[QueuedAttempt],
        free_tokens: int,
    ) -> None:
        self.waiting = waiting
        self.prefilling = prefilling
        self.free_tokens = free_tokens

    @property
    def unclaimed_tokens(self) -> int:
        """Return the free tokens less those that waiting attempts need."""
        return self.free_tokens - sum(
            each.total_tokens for each in self.waiting
        )

    @property
    def prefill_tokens(self) -> int:
        """Return the prompt tokens of attempts that have no first token yet."""
        return sum(
            queued.attempt.prompt_tokens
            for queued in (*self.waiting, *self.prefilling)
        )

    def fits(self, queued: QueuedAttempt) -> bool:
        """Tell whether the free tokens suffice for an attempt.

        :param queued: a waiting attempt.
        """
        return queued.total_tokens <= self.free_tokens


class AdmissionOrder(Protocol):
    """Policy that chooses which waiting attempt starts next."""

    def choose(
        self,
        load: TargetLoad,
        now: timedelta,
    ) -> QueuedAttempt | None:
        """Return the attempt to start now, or nothing.

        :param load: load of the target, with at least one waiting attempt.
        :param now: time on the monotonic clock.
        """

    def priority(self, queued: QueuedAttempt) -> int:
        """Return the priority at the engine, which serves the lowest one first.

        :param queued: attempt that starts.
        """


class FifoOrder:
    """Baseline: first in, first out."""

    __slots__ = ()

    def choose(
        self,
        load: TargetLoad,
        now: timedelta,
    ) -> QueuedAttempt | None:
        """Return the oldest attempt if it fits."""
        first = min(load.waiting, key=_arrival_time)
        return first if load.fits(first) else None

    def priority(self, queued: QueuedAttempt) -> int:
        """Return the same priority for every attempt."""
        return 0


class ShortestFirstOrder:
    """Short attempts first, with ageing of long ones towards their deadline.

    :param engine_priority: ranks attempts for prefill at the engine.
    """

    __slots__ = ('_engine_priority',)

    def __init__(self, engine_priority: EnginePriority | None = None) -> None:
        self._engine_priority = engine_priority or AgedLengthPriority()

    def choose(
        self,
        load: TargetLoad,
        now: timedelta,
    ) -> QueuedAttempt | None:
        """Return the attempt with the fewest aged tokens if it fits."""

        def rank(queued: QueuedAttempt) -> float:
            return aged_tokens(queued, now)

        first = min(load.waiting, key=rank)
        return first if load.fits(first) else None

    def priority(self, queued: QueuedAttempt) -> int:
        """Return the priority at the engine."""
        return self._engine_priority.rank(queued.attempt, queued.arrival)


def aged_tokens(queued: QueuedAttempt, now: timedelta) -> float:
    """Return the tokens of an attempt, scaled by the time left to its deadline.

    The scale falls from one at arrival to zero at the deadline.

    :param queued: the waiting attempt.
    :param now: time on the monotonic clock.
    """
    allowed_seconds = (queued.deadline - queued.arrival).total_seconds()
    remaining_seconds = (queued.deadline - now).total_seconds()
    remaining_share = (
        max(0.0, remaining_seconds / allowed_seconds)
        if allowed_seconds > 0
        else 0.0
    )
    return queued.total_tokens * remaining_share


def _arrival_time(queued: QueuedAttempt) -> timedelta:
    return queued.arrival
