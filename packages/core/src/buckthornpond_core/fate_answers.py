"""Answers to entries that ask for the fate of an attempt."""

from datetime import timedelta

from ._generated.messages import KeyState, Query, QueryReply
from .fates import AttemptFates
from .held_attempts import HeldAttempts


class FateAnswers:
    """Tells whether an attempt ran, and bars it if it did not.

    :param incarnation: incarnation of the agent.
    :param held: the attempts held.
    :param fates: attempts that left the agent.
    """

    __slots__ = ('_fates', '_held', '_incarnation')

    def __init__(
        self,
        incarnation: str,
        held: HeldAttempts,
        fates: AttemptFates,
    ) -> None:
        self._incarnation = incarnation
        self._held = held
        self._fates = fates

    def answer(self, query: Query, now: timedelta) -> QueryReply:
        """Answer a question.

        :param query: the question.
        :param now: time on the monotonic clock.
        """
        state = self._find_state(query, now)
        return QueryReply(attempt_id=query.attempt_id, state=state)

    def _find_state(self, query: Query, now: timedelta) -> KeyState:
        attempt_id = query.attempt_id
        if query.agent_incarnation != self._incarnation:
            # An earlier incarnation may have run it.
            return KeyState.unknown
        if self._held.find_running(attempt_id) is not None:
            return KeyState.running
        if self._held.is_held(attempt_id):
            self._held.withdraw(attempt_id)
        return self._fates.fence(attempt_id, now)
