"""Rules for which failed attempts another one may follow."""

from .held_requests import HeldRequest
from .retries import FREE_REASONS, RetryBudget
from .types import Recorder

_KEY_REASONS = frozenset(
    (
        'key_done',
        'key_expired',
        'key_fenced',
        'key_reused',
        'key_running',
        'key_unknown',
    ),
)


class RetryRules:
    """Allows a retry that can do no harm and that the budget bears.

    :param max_attempts: tries for one request, the first one included.
    :param budget: bound of retries over all requests.
    :param recorder: counters of retries.
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

    def find_refusal(self, request: HeldRequest, reason: str) -> str:
        """Return the code to refuse a request with, or '' for a retry.

        :param request: a request whose attempt has ended.
        :param reason: why it ended.
        """
        if request.is_started or not request.may_run_again:
            return reason
        if reason in _KEY_REASONS:
            return reason
        if request.attempt_count >= self._max_attempts:
            return reason
        is_free = reason in FREE_REASONS
        if not is_free and not self._budget.allow_retry():
            self._recorder.count('retries_denied', reason)
            return 'retry_budget_exhausted'
        self._recorder.count('retries', reason)
        return ''
