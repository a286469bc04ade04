"""Memory that peers share, and who gives way when it runs short."""

from typing import Protocol, TypeAlias

# What one read brings: whoever holds no more gives way last.
ALLOWANCE_BYTES = 16_384

Rank: TypeAlias = tuple[int, ...]


class MemoryHolder(Protocol):
    """Task that holds memory for one peer."""

    @property
    def may_give_up(self) -> bool:
        """Whether it can be told to give up."""

    @property
    def is_stalled(self) -> bool:
        """Whether its peer has sent next to nothing for a while."""

    def give_up(self) -> None:
        """Tell the task to give up what it holds."""


class MemoryHolderOrder(Protocol):
    """Order in which holders give way."""

    def rank(
        self, holder: MemoryHolder, held_bytes: int, *, is_growing: bool
    ) -> Rank | None:
        """Return the rank of a holder, or ``None`` if it may stay.

        The highest one gives way first.

        :param holder: the task.
        :param held_bytes: all that it holds.
        :param is_growing: whether it asks for more just now.
        """


class LargestFirst:
    """Whoever holds most gives way.

    Responses that do not end then cost shorter ones nothing.
    """

    __slots__ = ()

    def rank(
        self, holder: MemoryHolder, held_bytes: int, *, is_growing: bool
    ) -> Rank | None:
        """Return the rank of a holder, or ``None`` if it may stay.

        :param holder: the task.
        :param held_bytes: all that it holds.
        :param is_growing: whether it asks for more just now.
        """
        if held_bytes <= ALLOWANCE_BYTES:
            return None
        return held_bytes, is_growing


class StalledFirst:
    """Whoever holds more than the allowance and stands still gives way.

    Without one, it is the one that asks for more, so that what is already on
    its way arrives. Small holders give way only if there are no others.
    """

    __slots__ = ()

    def rank(
        self, holder: MemoryHolder, held_bytes: int, *, is_growing: bool
    ) -> Rank | None:
        """Return the rank of a holder, or ``None`` if it may stay.

        :param holder: the task.
        :param held_bytes: all that it holds.
        :param is_growing: whether it asks for more just now.
        """
        is_large = held_bytes > ALLOWANCE_BYTES
        is_stalled = not is_growing and holder.is_stalled
        return is_large, is_stalled, is_growing, held_bytes


class MemoryBudget:
    """Limit on what all tasks together may hold for their peers.

    :param limit_bytes: most bytes that may be held.
    :param order: decides who gives way.
    """

    __slots__ = ('_holders', '_order', 'held_bytes', 'limit_bytes')

    def __init__(self, limit_bytes: int, order: MemoryHolderOrder) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._order = order
        self._holders: dict[MemoryHolder, int] = {}

    def record(self, holder: MemoryHolder, held_bytes: int) -> bool:
        """Set what a task holds; return whether it may go on.

        :param holder: the task.
        :param held_bytes: all that it holds now.
        """
        is_growing = held_bytes > self._holders.get(holder, 0)
        self.update(holder, held_bytes)
        while is_growing and self.held_bytes > self.limit_bytes:
            chosen = self._choose(holder)
            if chosen is None:
                return True
            if chosen is holder:
                return False
            self.release(chosen)
            chosen.give_up()
        return True

    def update(self, holder: MemoryHolder, held_bytes: int) -> None:
        """Set what a task holds, also if it exceeds the limit.

        :param holder: the task.
        :param held_bytes: all that it holds now.
        """
        self.release(holder)
        if held_bytes:
            self._holders[holder] = held_bytes
            self.held_bytes += held_bytes

    def release(self, holder: MemoryHolder) -> None:
        """Forget what a task held.

        :param holder: the task.
        """
        self.held_bytes -= self._holders.pop(holder, 0)

    def _choose(self, growing: MemoryHolder) -> MemoryHolder | None:
        """Return who gives way, of those that may be told to give up."""
        chosen: MemoryHolder | None = None
        highest: Rank = ()
        for holder, held_bytes in self._holders.items():
            is_growing = holder is growing
            if not is_growing and not holder.may_give_up:
                continue
            rank = self._order.rank(holder, held_bytes, is_growing=is_growing)
            if rank is not None and rank > highest:
                chosen, highest = holder, rank
        return chosen
