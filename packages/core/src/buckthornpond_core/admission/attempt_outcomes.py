"""Outcomes of attempts that an agent no longer holds."""

from collections import OrderedDict
from datetime import timedelta

from .._generated.events import CallEnded
from .._generated.messages import KeyState, Query, QueryReply
from .held_attempts import HeldAttempts
from .queueing import QueuedAttempt

_FENCE_RETENTION = timedelta(minutes=10)


class AttemptOutcomes:
    """Outcomes of non-idempotent attempts, and fenced attempts.

    An outcome is kept until the deadline of its attempt, by which the entry
    has answered the caller. A fenced attempt may not run. It is kept for
    longer, because the message that carries the attempt may arrive late.
    """

    __slots__ = ('_fenced', '_outcomes')

    def __init__(self) -> None:
        self._fenced: OrderedDict[str, timedelta] = OrderedDict()
        self._outcomes: dict[str, tuple[KeyState, timedelta]] = {}

    def __len__(self) -> int:
        """Return the number of attempts that are recorded."""
        return len(self._fenced) + len(self._outcomes)

    def is_fenced_or_ended(self, attempt_id: str) -> bool:
        """Tell whether an attempt is fenced or has ended.

        :param attempt_id: the attempt.
        """
        return attempt_id in self._fenced or attempt_id in self._outcomes

    def record_end(self, queued: QueuedAttempt, ended: CallEnded) -> None:
        """Record the outcome of an attempt, unless it is idempotent.

        :param queued: the attempt.
        :param ended: the end of its call.
        """
        if queued.attempt.is_idempotent:
            return
        state = KeyState.done
        if ended.error:
            state = KeyState.unknown if ended.is_sent else KeyState.fenced
        self._outcomes[ended.attempt_id] = state, queued.deadline

    def fence(self, attempt_id: str, now: timedelta) -> KeyState:
        """Fence an attempt unless it has ended, and return its state.

        :param attempt_id: the attempt.
        :param now: time on the monotonic clock.
        """
        outcome = self._outcomes.get(attempt_id)
        if outcome is not None:
            return outcome[0]
        self._fenced[attempt_id] = now + _FENCE_RETENTION
        self._fenced.move_to_end(attempt_id)
        return KeyState.fenced

    def expire(self, now: timedelta) -> None:
        """Remove expired fences and outcomes.

        :param now: time on the monotonic clock.
        """
        while self._fenced:
            attempt_id, expires_at = next(iter(self._fenced.items()))
            if expires_at > now:
                break
            self._fenced.pop(attempt_id)
        overdue = [
            attempt_id
            for attempt_id, (_state, deadline) in self._outcomes.items()
            if deadline <= now
        ]
        for attempt_id in overdue:
            self._outcomes.pop(attempt_id)


class OutcomeResponder:
    """Answers queries of entries for the state of an attempt.

    An attempt that never ran is fenced, so that the reply stays true.

    :param incarnation: incarnation of the agent.
    :param held: attempts that wait or run.
    :param outcomes: outcomes of attempts that ended, and fenced attempts.
    """

    __slots__ = ('_held', '_incarnation', '_outcomes')

    def __init__(
        self,
        incarnation: str,
        held: HeldAttempts,
        outcomes: AttemptOutcomes,
    ) -> None:
        self._incarnation = incarnation
        self._held = held
        self._outcomes = outcomes

    def answer(self, query: Query, now: timedelta) -> QueryReply:
        """Return the reply to a query, and fence the attempt if it never ran.

        :param query: query of an entry.
        :param now: time on the monotonic clock.
        """
        state = self._find_state(query, now)
        return QueryReply(attempt_id=query.attempt_id, state=state)

    def _find_state(self, query: Query, now: timedelta) -> KeyState:
        attempt_id = query.attempt_id
        if query.agent_incarnation != self._incarnation:
            # An earlier incarnation of the agent may have run the attempt.
            return KeyState.unknown
        if self._held.find_running(attempt_id) is not None:
            return KeyState.running
        if self._held.is_held(attempt_id):
            self._held.withdraw(attempt_id)
        return self._outcomes.fence(attempt_id, now)
