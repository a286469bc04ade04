"""Refusals of attempts, with the outcome that each one proves."""

from collections.abc import Iterable

from .._generated.events import CallEnded
from .._generated.messages import Outcome, Refused
from ..effects import AgentEffect, SendToPeer
from ..types import Recorder
from .held_attempts import HeldAttempts
from .queueing import QueuedAttempt
from .running_attempts import RunningAttempt

_RETRY_AFTER_MS = 200


class AttemptRefusals:
    """Refuses attempts and counts the reasons.

    :param held: attempts that wait or run.
    :param recorder: receiver of the counts.
    """

    __slots__ = ('_held', '_recorder')

    def __init__(self, held: HeldAttempts, recorder: Recorder) -> None:
        self._held = held
        self._recorder = recorder

    def refuse(self, attempt_id: str, reason: str) -> Refused:
        """Return the refusal of an attempt that did not run.

        :param attempt_id: the attempt.
        :param reason: stable code of the refusal.
        """
        self._recorder.count('refusals', reason)
        return Refused(
            attempt_id=attempt_id,
            reason=reason,
            outcome=Outcome.not_run,
            retry_after_ms=_RETRY_AFTER_MS,
        )

    def refuse_with_unknown_outcome(
        self, attempt_id: str, reason: str
    ) -> Refused:
        """Return the refusal of an attempt that may have run.

        :param attempt_id: the attempt.
        :param reason: stable code of the refusal.
        """
        refused = self.refuse(attempt_id, reason)
        refused.outcome = Outcome.outcome_unknown
        return refused

    def refuse_failed(
        self,
        running: RunningAttempt,
        ended: CallEnded,
    ) -> Refused:
        """Return the refusal of an attempt whose call failed.

        :param running: the attempt.
        :param ended: end of the call.
        """
        if ended.is_sent or running.queued.attempt.idempotency_key:
            return self.refuse_with_unknown_outcome(
                ended.attempt_id, ended.error
            )
        return self.refuse(ended.attempt_id, ended.error)

    def refuse_waiting(
        self,
        reason: str,
        waiting: Iterable[tuple[str, QueuedAttempt]],
    ) -> list[AgentEffect]:
        """Withdraw waiting attempts and return the refusals for their entries.

        :param reason: stable code of the refusal.
        :param waiting: the attempts, with the incarnation of the entry.
        """
        effects: list[AgentEffect] = []
        for peer, queued in waiting:
            attempt_id = queued.attempt.attempt_id
            self._held.withdraw(attempt_id)
            effects.append(SendToPeer(peer, self.refuse(attempt_id, reason)))
        return effects
