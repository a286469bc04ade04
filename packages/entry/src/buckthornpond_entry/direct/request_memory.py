"""Memory that a connection holds for requests that are being read."""

from datetime import timedelta
from typing import Any

from buckthornpond_core.serving.memory_budgets import MemoryBudget
from buckthornpond_core.types import Clock
from buckthornpond_runtime.tasks import Inbox

# A caller that sends less in this time stands still.
_PROGRESS_BYTES = 16_384
_PROGRESS_TIME = timedelta(seconds=1)


class GivenUp:
    """Tells a caller task to give up its connection; sent by another one.

    :param reason: stable code of the refusal.
    """

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class RequestShare:
    """Share of one connection in the memory for requests.

    :param budget: limit on all shares together.
    :param inbox: mailbox of the caller task.
    :param clock: source of time.
    """

    __slots__ = (
        '_budget',
        '_clock',
        '_inbox',
        '_progressed_at',
        '_recent_bytes',
        'is_given_up',
        'may_give_up',
    )

    def __init__(
        self, budget: MemoryBudget, inbox: Inbox[Any], clock: Clock
    ) -> None:
        self._budget = budget
        self._inbox = inbox
        self._clock = clock
        self._progressed_at = clock.monotonic()
        # Received since then.
        self._recent_bytes = 0
        # Whether no request has been read that has no answer yet.
        self.may_give_up = True
        # Whether the connection is about to be closed for others.
        self.is_given_up = False

    @property
    def is_stalled(self) -> bool:
        """Whether the caller has sent next to nothing for a while."""
        return self._clock.monotonic() - self._progressed_at > _PROGRESS_TIME

    def note_received(self, received_bytes: int) -> None:
        """Count what the caller has sent.

        :param received_bytes: number of bytes.
        """
        self._recent_bytes += received_bytes
        if self._recent_bytes >= _PROGRESS_BYTES:
            self.note_progress()

    def note_progress(self) -> None:
        """Remember that the caller does not stand still."""
        self._recent_bytes = 0
        self._progressed_at = self._clock.monotonic()

    def give_up(self) -> None:
        """Tell the task of the caller to give up its connection."""
        self.is_given_up = self._inbox.offer(GivenUp('body_budget_full'))

    def record(self, held_bytes: int) -> bool:
        """Set what the connection holds; return whether it may go on.

        :param held_bytes: all that it holds now.
        """
        return self._budget.record(self, held_bytes)

    def release(self) -> None:
        """End the share."""
        self._budget.release(self)
