"""Checks that an attempt passes before an agent accepts it."""

from datetime import timedelta

from .._generated.messages import Attempt, Refused, TargetPhase
from ..process_limits import AgentLimits
from .attempt_outcomes import AttemptOutcomes
from .forecasts import Forecast
from .held_attempts import HeldAttempts
from .limits import TargetLimit
from .queueing import TargetLoad
from .readiness import Readiness
from .refusals import AttemptRefusals

_SMALL_ATTEMPT_DIVISOR = 16


class AdmissionChecks:
    """Refuses attempts that an agent may not run or cannot finish in time.

    :param incarnation: incarnation of the agent.
    :param readiness: whether the agent takes new work, and for which services.
    :param limits: limits of the agent.
    :param limit: token limit of the target.
    :param held: attempts that wait or run.
    :param outcomes: outcomes of attempts that ended, and fenced attempts.
    :param forecast: predicts how long an attempt will take.
    :param refusals: creates and counts the refusals.
    """

    __slots__ = (
        '_forecast',
        '_held',
        '_incarnation',
        '_limit',
        '_limits',
        '_outcomes',
        '_readiness',
        '_refusals',
    )

    def __init__(
        self,
        *,
        incarnation: str,
        readiness: Readiness,
        limits: AgentLimits,
        limit: TargetLimit,
        held: HeldAttempts,
        outcomes: AttemptOutcomes,
        forecast: Forecast,
        refusals: AttemptRefusals,
    ) -> None:
        self._incarnation = incarnation
        self._readiness = readiness
        self._limits = limits
        self._limit = limit
        self._held = held
        self._outcomes = outcomes
        self._forecast = forecast
        self._refusals = refusals

    def check(
        self,
        attempt: Attempt,
        load: TargetLoad,
        now: timedelta,
    ) -> Refused | None:
        """Return the refusal of an attempt, or nothing if it is accepted.

        :param attempt: the attempt.
        :param load: current load of the target.
        :param now: time on the monotonic clock.
        """
        reason = self._find_refusal_reason(attempt, load)
        if reason:
            return self._refusals.refuse(attempt.attempt_id, reason)
        excess_ms = self._predict_ms(attempt, now) - attempt.remaining_ms
        if excess_ms <= 0:
            return None
        refused = self._refusals.refuse(
            attempt.attempt_id,
            'would_miss_deadline',
        )
        refused.retry_after_ms = excess_ms
        return refused

    def _find_refusal_reason(self, attempt: Attempt, load: TargetLoad) -> str:
        total_tokens = attempt.prompt_tokens + attempt.output_tokens
        held_bytes = self._held.body_bytes + len(attempt.body)
        queue_count = len(load.waiting)
        memory_reason = self._find_memory_reason(total_tokens, load)
        checks = (
            (
                'stale_incarnation',
                attempt.agent_incarnation != self._incarnation,
            ),
            (
                'attempt_fenced',
                self._outcomes.is_fenced_or_ended(attempt.attempt_id),
            ),
            ('attempt_repeated', self._held.is_held(attempt.attempt_id)),
            ('agent_leaving', self._readiness.is_stopping),
            (
                'target_draining',
                self._readiness.phase is TargetPhase.draining,
            ),
            (
                'service_not_here',
                not self._readiness.serves(attempt.service),
            ),
            (
                'prompt_too_large',
                total_tokens > self._readiness.target.memory_tokens,
            ),
            (memory_reason, bool(memory_reason)),
            ('deadline_exceeded', attempt.remaining_ms <= 0),
            ('queue_full', queue_count >= self._limits.max_queued_count),
            ('agent_memory_full', held_bytes > self._limits.body_budget_bytes),
        )
        return next((reason for reason, applies in checks if applies), '')

    def _find_memory_reason(
        self,
        total_tokens: int,
        load: TargetLoad,
    ) -> str:
        if total_tokens <= max(0, load.unclaimed_tokens):
            return ''
        if self._limit.is_cold:
            return 'target_cold'
        # A larger attempt waits, as no other target would have room either.
        is_small = (
            total_tokens * _SMALL_ATTEMPT_DIVISOR <= self._limit.limit_tokens
        )
        return 'memory_full' if is_small else ''

    def _predict_ms(self, attempt: Attempt, now: timedelta) -> int:
        waiting = [
            queued.attempt.prompt_tokens for _, queued in self._held.queue
        ]
        expected = self._forecast.predict(
            attempt.prompt_tokens,
            attempt.output_tokens,
            waiting,
            now,
        )
        return expected // timedelta(milliseconds=1)
