"""Memory that a caller task holds for the response to one request."""

from typing import Any

from buckthornpond_core.serving.memory_budgets import MemoryBudget
from buckthornpond_runtime.tasks import Inbox


class MemoryExceeded:
    """Tells a caller task to give up a response; sent by another one."""

    __slots__ = ()


class ResponseShare:
    """Share of one request in the memory for responses.

    :param budget: limit on all shares together.
    :param inbox: mailbox of the caller task.
    """

    __slots__ = ('_budget', '_inbox', 'is_stalled', 'may_give_up')

    def __init__(self, budget: MemoryBudget, inbox: Inbox[Any]) -> None:
        self._budget = budget
        self._inbox = inbox
        # Whether the task waits for the rest of the response. While it writes,
        # it would not notice a message.
        self.may_give_up = False
        # It holds what a target has sent, whoever stands still.
        self.is_stalled = False

    def give_up(self) -> None:
        """Tell the task to give up what it holds."""
        self._inbox.offer(MemoryExceeded())

    def record(self, held_bytes: int) -> bool:
        """Set what the task holds; return whether it may go on.

        :param held_bytes: all that it holds now.
        """
        return self._budget.record(self, held_bytes)

    def release(self) -> None:
        """End the share."""
        self._budget.release(self)
