"""Attempts that an agent holds: queued, waiting for a key, or running."""

from datetime import timedelta

from ..effects import AgentEffect
from ..keys.keyed_attempts import KeyedAttempts
from .queueing import QueuedAttempt, TargetLoad
from .running_attempts import RunningAttempt


class HeldAttempts:
    """Attempts that an agent holds, each in one state.

    :param keyed: attempts with idempotency keys, some of which wait for them.
    """

    __slots__ = ('_keyed', '_queue', '_running')

    def __init__(self, keyed: KeyedAttempts) -> None:
        self._keyed = keyed
        self._queue: dict[str, tuple[str, QueuedAttempt]] = {}
        self._running: dict[str, RunningAttempt] = {}

    def __len__(self) -> int:
        """Return the number of attempts that wait or run."""
        held_count = len(self._queue) + len(self._running)
        return held_count + self._keyed.waiting_count

    @property
    def queue(self) -> list[tuple[str, QueuedAttempt]]:
        """Return the queued attempts, with the incarnation of the entry."""
        return list(self._queue.values())

    @property
    def waiting(self) -> list[tuple[str, QueuedAttempt]]:
        """Return the attempts that are queued or wait for a key."""
        return [*self._queue.values(), *self._keyed.waiting]

    @property
    def running(self) -> list[RunningAttempt]:
        """Return the attempts whose call to the target is open."""
        return list(self._running.values())

    @property
    def body_bytes(self) -> int:
        """Return the bytes of request bodies that wait or are being sent."""
        held = [queued for _, queued in self.waiting]
        held.extend(running.queued for running in self._running.values())
        return sum(len(queued.attempt.body) for queued in held)

    def is_held(self, attempt_id: str) -> bool:
        """Tell whether an attempt waits or runs.

        :param attempt_id: the attempt.
        """
        return (
            attempt_id in self._queue
            or attempt_id in self._running
            or self._keyed.is_waiting(attempt_id)
        )

    def find_running(self, attempt_id: str) -> RunningAttempt | None:
        """Return a running attempt, or nothing if it does not run.

        :param attempt_id: the attempt.
        """
        return self._running.get(attempt_id)

    def find_overdue(self, when: timedelta) -> list[tuple[str, QueuedAttempt]]:
        """Return the queued attempts whose deadline is not after a time.

        :param when: time on the monotonic clock.
        """
        return [
            (peer, queued)
            for peer, queued in self._queue.values()
            if queued.deadline <= when
        ]

    def may_start(self, concurrency_count: int) -> bool:
        """Tell whether an attempt is queued and another call may be opened.

        :param concurrency_count: most calls that the target takes at once.
        """
        return bool(self._queue) and len(self._running) < concurrency_count

    def add(self, peer: str, queued: QueuedAttempt) -> None:
        """Queue an attempt for the target.

        :param peer: incarnation of the entry that sent it.
        :param queued: the attempt.
        """
        self._queue[queued.attempt.attempt_id] = peer, queued

    def start(self, queued: QueuedAttempt) -> None:
        """Move an attempt from the queue to the running ones.

        :param queued: the attempt.
        """
        attempt_id = queued.attempt.attempt_id
        peer, _ = self._queue.pop(attempt_id)
        self._running[attempt_id] = RunningAttempt(peer, queued)

    def end(self, attempt_id: str) -> None:
        """Remove an attempt whose call has ended.

        :param attempt_id: the attempt.
        """
        self._running.pop(attempt_id)

    def withdraw(self, attempt_id: str) -> None:
        """Remove an attempt that has not started.

        :param attempt_id: the attempt.
        """
        self._queue.pop(attempt_id, None)
        self._keyed.withdraw(attempt_id)

    def cancel(self, attempt_id: str, now: timedelta) -> list[AgentEffect]:
        """Remove an attempt that waits, or cancel its call.

        :param attempt_id: the attempt.
        :param now: time on the monotonic clock.
        """
        running = self._running.get(attempt_id)
        if attempt_id in self._queue or self._keyed.is_waiting(attempt_id):
            self.withdraw(attempt_id)
            return []
        return [] if running is None else running.cancel(now)

    def measure_load(self, free_tokens: int) -> TargetLoad:
        """Return the load of the target.

        :param free_tokens: tokens of the limit that no attempt has reserved.
        """
        return TargetLoad(
            waiting=[queued for _, queued in self._queue.values()],
            prefilling=[
                running.queued
                for running in self._running.values()
                if running.is_prefilling
            ],
            free_tokens=free_tokens,
        )
