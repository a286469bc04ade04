"""Memory that responses share while they are held."""

from typing import Protocol

# What one read brings: a response up to this size is never given up.
_ALLOWANCE_BYTES = 16_384


class ResponseHolder(Protocol):
    """Task that holds a part of a response, or a whole one."""

    may_give_up: bool
    """Whether it can be told to give up."""

    def give_up(self) -> None:
        """Tell the task to give up what it holds."""


class MemoryBudget:
    """Limit on what all responses together may hold.

    Whoever holds most gives up first, so that responses that do not end cost
    shorter ones nothing.

    :param limit_bytes: most bytes that may be held.
    """

    __slots__ = ('_holders', 'held_bytes', 'limit_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._holders: dict[ResponseHolder, int] = {}

    def record(self, holder: ResponseHolder, held_bytes: int) -> bool:
        """Set what a task holds; return whether it may go on.

        :param holder: the task.
        :param held_bytes: all that it holds now.
        """
        self.release(holder)
        self._holders[holder] = held_bytes
        self.held_bytes += held_bytes
        while self.held_bytes > self.limit_bytes:
            largest = self._find_largest(holder)
            if largest is None:
                return True
            if largest is holder:
                return False
            self.release(largest)
            largest.give_up()
        return True

    def release(self, holder: ResponseHolder) -> None:
        """Forget what a task held.

        :param holder: the task.
        """
        self.held_bytes -= self._holders.pop(holder, 0)

    def _find_largest(self, holder: ResponseHolder) -> ResponseHolder | None:
        """Return who holds most of those that may be told to give up."""
        candidates = [
            (held_bytes, each is holder, each)
            for each, held_bytes in self._holders.items()
            if held_bytes > _ALLOWANCE_BYTES
            and (each is holder or each.may_give_up)
        ]
        if not candidates:
            return None
        return max(candidates, key=lambda each: each[:2])[2]
