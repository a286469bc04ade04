"""Budget that bounds retries to a share of first attempts."""

# Refusals that correct a placement. They prove that nothing ran, and what
# the entry learns with them keeps it from sending more.
FREE_REASONS = frozenset(
    (
        'agent_leaving',
        'memory_full',
        'service_not_here',
        'stale_incarnation',
        'target_cold',
        'target_draining',
    ),
)


class RetryBudget:
    """Token bucket filled by first attempts and emptied by retries.

    :param percent: retries allowed for a hundred first attempts.
    :param reserve: retries allowed at the start, and the most saved up.
    """

    __slots__ = ('_balance_percent', '_ceiling_percent', '_percent')

    def __init__(self, percent: int, reserve: int) -> None:
        self._percent = percent
        self._ceiling_percent = reserve * 100
        self._balance_percent = self._ceiling_percent

    def record_first(self) -> None:
        """Credit the budget for a first attempt."""
        self._balance_percent = min(
            self._balance_percent + self._percent,
            self._ceiling_percent,
        )

    def allow_retry(self) -> bool:
        """Spend one retry if the budget has one."""
        if self._balance_percent < 100:
            return False
        self._balance_percent -= 100
        return True
