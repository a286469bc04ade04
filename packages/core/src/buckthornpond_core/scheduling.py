"""Admission orders that look past a waiting attempt that does not fit."""

from datetime import timedelta

from ._generated.messages import Attempt
from .priorities import EnginePriority
from .queueing import QueuedAttempt, TargetLoad, aged_tokens

_URGENT_SHARE = 0.5


class BackfillOrder:
    """Shortest first, past attempts that do not fit until they are urgent.

    An attempt that has used up half of its time keeps others from starting,
    so that the target's memory becomes free for it.

    :param engine_priority: ranks the prefill at the engine.
    """

    __slots__ = ('_engine_priority',)

    def __init__(self, engine_priority: EnginePriority) -> None:
        self._engine_priority = engine_priority

    def choose(
        self,
        load: TargetLoad,
        now: timedelta,
    ) -> QueuedAttempt | None:
        """Return the first attempt that fits."""

        def rank(queued: QueuedAttempt) -> float:
            return aged_tokens(queued, now)

        for queued in sorted(load.waiting, key=rank):
            if load.fits(queued):
                return queued
            if _is_urgent(queued, now):
                return None
        return None

    def priority(self, attempt: Attempt) -> int:
        """Return the priority at the engine."""
        return self._engine_priority.rank(attempt)


class PrefillWindowOrder:
    """As :class:`BackfillOrder`, with few prompts in prefill at once.

    An attempt starts when few tokens are ahead of it in the engine's own
    order. The others wait here, where they hold no memory and age.

    :param engine_priority: ranks the prefill at the engine.
    :param window_tokens: tokens in prefill ahead of one that starts.
    """

    __slots__ = ('_engine_priority', '_window_tokens')

    def __init__(
        self,
        engine_priority: EnginePriority,
        window_tokens: int,
    ) -> None:
        self._engine_priority = engine_priority
        self._window_tokens = window_tokens

    def choose(
        self,
        load: TargetLoad,
        now: timedelta,
    ) -> QueuedAttempt | None:
        """Return the first attempt that fits and has few tokens ahead."""

        def rank(queued: QueuedAttempt) -> float:
            return aged_tokens(queued, now)

        for queued in sorted(load.waiting, key=rank):
            if self._tokens_ahead(queued, load) > self._window_tokens:
                continue
            if load.fits(queued):
                return queued
            if _is_urgent(queued, now):
                return None
        return None

    def priority(self, attempt: Attempt) -> int:
        """Return the priority at the engine."""
        return self._engine_priority.rank(attempt)

    def _tokens_ahead(self, queued: QueuedAttempt, load: TargetLoad) -> int:
        own = self._engine_priority.rank(queued.attempt)
        return sum(
            other.attempt.prompt_tokens
            for other in load.prefilling
            if self._engine_priority.rank(other.attempt) <= own
        )


def _is_urgent(queued: QueuedAttempt, now: timedelta) -> bool:
    allowed = queued.deadline - queued.arrival
    return queued.deadline - now < allowed * _URGENT_SHARE
