"""Order in which an agent starts the attempts that wait."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from .._generated.messages import Attempt
from .priorities import AgedLengthPriority, EnginePriority

_REFUSAL_MARGIN_MS = 50
REFUSAL_MARGIN = timedelta(milliseconds=_REFUSAL_MARGIN_MS)


class QueuedAttempt:
    """An attempt that waits at an agent.

    :param attempt: the attempt.
    :param arrival: when it was accepted, on the monotonic clock.
    :param deadline: when it is overdue, on the monotonic clock.
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
        """Return the tokens that the attempt may hold at the target."""
        return self.attempt.prompt_tokens + self.attempt.output_tokens


class TargetLoad:
    """What an admission order sees of its target.

    :param waiting: attempts to choose from.
    :param prefilling: running attempts that have no first token yet.
    :param free_tokens: tokens that the target may still take.
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
        """Return the free tokens that no waiting attempt will take."""
        return self.free_tokens - sum(
            each.total_tokens for each in self.waiting
        )

    @property
    def prefill_tokens(self) -> int:
        """Return the prompt tokens of attempts without a first token."""
        return sum(
            queued.attempt.prompt_tokens
            for queued in (*self.waiting, *self.prefilling)
        )

    def fits(self, queued: QueuedAttempt) -> bool:
        """Tell whether the target bears the attempt now.

        :param queued: a waiting attempt.
        """
        return queued.total_tokens <= self.free_tokens


class AdmissionOrder(Protocol):
    """Policy that orders waiting attempts."""

    def choose(
        self,
        load: TargetLoad,
        now: timedelta,
    ) -> QueuedAttempt | None:
        """Return the attempt to start now, or nothing.

        :param load: what waits and runs; something waits.
        :param now: time on the monotonic clock.
        """

    def priority(self, queued: QueuedAttempt) -> int:
        """Return the priority at the engine, the lowest being first.

        :param queued: the attempt that starts.
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
        first = min(load.waiting, key=_arrival)
        return first if load.fits(first) else None

    def priority(self, queued: QueuedAttempt) -> int:
        """Return the same priority for every attempt."""
        return 0


class ShortestFirstOrder:
    """Short prompts first; waiting ages a long one towards its deadline.

    :param engine_priority: ranks the prefill at the engine.
    """

    __slots__ = ('_engine_priority',)

    def __init__(self, engine_priority: EnginePriority | None = None) -> None:
        self._engine_priority = engine_priority or AgedLengthPriority()

    def choose(
        self,
        load: TargetLoad,
        now: timedelta,
    ) -> QueuedAttempt | None:
        """Return the attempt with the least aged work if it fits."""

        def rank(queued: QueuedAttempt) -> float:
            return aged_tokens(queued, now)

        first = min(load.waiting, key=rank)
        return first if load.fits(first) else None

    def priority(self, queued: QueuedAttempt) -> int:
        """Return the priority at the engine."""
        return self._engine_priority.rank(queued.attempt, queued.arrival)


def aged_tokens(queued: QueuedAttempt, now: timedelta) -> float:
    """Return the tokens of an attempt, shrunk as its deadline comes near.

    :param queued: the waiting attempt.
    :param now: time on the monotonic clock.
    """
    allowed = (queued.deadline - queued.arrival).total_seconds()
    remaining = (queued.deadline - now).total_seconds()
    share = max(0.0, remaining / allowed) if allowed > 0 else 0.0
    return queued.total_tokens * share


def _arrival(queued: QueuedAttempt) -> timedelta:
    return queued.arrival
