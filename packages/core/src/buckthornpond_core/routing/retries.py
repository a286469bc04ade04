"""Retry rules and the retry budget."""

from ..types import Recorder
from .held_requests import HeldRequest

# Refusals that correct a placement, and are not charged to the retry budget:
# they prove that nothing ran, and they update the entry's view of the agent,
# so that it sends no more such attempts.
UNBUDGETED_REASONS = frozenset(
    (
        'agent_leaving',
        'memory_full',
        'service_not_here',
        'stale_incarnation',
        'target_cold',
        'target_draining',
    ),
)

_KEY_REASONS = frozenset(
    (
        'key_done',
        'key_expired',
        'key_fenced',
        'key_not_yet_valid',
        'key_reused',
        'key_running',
        'key_unknown',
    ),
)


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    :param percent: retries earned per 100 first attempts.
    :param max_saved_retries: retries available at the start, and most saved up.
    """

    __slots__ = ('_balance_percent', '_max_balance_percent', '_percent')

    def __init__(self, percent: int, max_saved_retries: int) -> None:
        self._percent = percent
        self._max_balance_percent = max_saved_retries * 100
        self._balance_percent = self._max_balance_percent

    def record_first_attempt(self) -> None:
        """Credit the budget for a first attempt."""
        self._balance_percent = min(
            self._balance_percent + self._percent,
            self._max_balance_percent,
        )

    def allow_retry(self) -> bool:
        """Take one retry from the budget, if there is one."""
        if self._balance_percent < 100:
            return False
        self._balance_percent -= 100
        return True


class RetryRules:
    """Allows retries that are safe and within the retry budget.

    :param max_attempts: most attempts for one request, with the first.
    :param budget: retry budget shared by all requests.
    :param recorder: counters of allowed and denied retries.
    """

    __slots__ = ('_budget', '_max_attempts', '_recorder')

    def __init__(
        self,
        max_attempts: int,
        budget: RetryBudget,
        recorder: Recorder,
    ) -> None:
        self._max_attempts = max_attempts
        self._budget = budget
        self._recorder = recorder

    def find_refusal_reason(self, request: HeldRequest, reason: str) -> str:
        """Return the code of the refusal, or '' to retry.

        :param request: a request whose attempt has ended.
        :param reason: why it ended.
        """
        if request.is_response_started or not request.is_retry_safe:
            return reason
        if reason in _KEY_REASONS:
            return reason
        if request.attempt_count >= self._max_attempts:
            return reason
        is_free = reason in UNBUDGETED_REASONS
        if not is_free and not self._budget.allow_retry():
            self._recorder.count('retries_denied', reason)
            return 'retry_budget_exhausted'
        self._recorder.count('retries', reason)
        return ''
