"""Token limit of a target, and the reservations of attempts."""

from typing import Protocol


class TargetLimit(Protocol):
    """Policy that limits the tokens that attempts reserve at a target."""

    @property
    def limit_tokens(self) -> int:
        """Return the most tokens that the target may hold now."""

    @property
    def is_cold(self) -> bool:
        """Tell whether the limit is below the memory of the target."""

    def resize(
        self,
        cold_tokens: int,
        memory_tokens: int,
        warm_up_tokens: int = 0,
    ) -> None:
        """Apply the sizes of the current inventory.

        :param cold_tokens: tokens that the target can hold just after a start.
        :param memory_tokens: capacity of the KV cache.
        :param warm_up_tokens: tokens to complete before the limit grows.
        """

    def record_success(self, tokens: int) -> None:
        """Record a completed attempt.

        :param tokens: tokens that the attempt had reserved.
        """

    def record_failure(self) -> None:
        """Record a call that failed after it was sent."""

    def reset_to_cold(self) -> None:
        """Reset the limit to that of a cold target."""

    def record_report(self, *, is_warm: bool) -> None:
        """Record the engine's own report.

        :param is_warm: whether the engine reports itself warm.
        """


class FixedLimit:
    """Baseline that allows the whole memory from the start.

    :param memory_tokens: capacity of the KV cache.
    """

    __slots__ = ('limit_tokens',)

    is_cold = False

    def __init__(self, memory_tokens: int) -> None:
        self.limit_tokens = memory_tokens

    def resize(
        self,
        cold_tokens: int,
        memory_tokens: int,
        warm_up_tokens: int = 0,
    ) -> None:
        """Apply a new capacity of the KV cache."""
        self.limit_tokens = memory_tokens

    def record_success(self, tokens: int) -> None:
        """Ignore the success."""

    def record_failure(self) -> None:
        """Ignore the failure."""

    def reset_to_cold(self) -> None:
        """Ignore that the target is cold."""

    def record_report(self, *, is_warm: bool) -> None:
        """Ignore the report."""


class SlowStartLimit:
    """Slow start: the limit grows by the tokens of completed attempts.

    It starts at the cold limit, stays there until the target has completed
    its warm-up and while the engine reports itself cold, and ends at the
    whole memory.

    :param cold_tokens: tokens that the target can hold just after a start.
    :param memory_tokens: capacity of the KV cache.
    :param warm_up_tokens: tokens to complete before the limit grows.
    """

    __slots__ = (
        '_cold_tokens',
        '_completed_tokens',
        '_is_reported_cold',
        '_memory_tokens',
        '_warm_up_tokens',
    )

    def __init__(
        self,
        cold_tokens: int,
        memory_tokens: int,
        warm_up_tokens: int = 0,
    ) -> None:
        self._completed_tokens = 0
        self._is_reported_cold = False
        self.resize(cold_tokens, memory_tokens, warm_up_tokens)

    @property
    def limit_tokens(self) -> int:
        """Return the most tokens that the target may hold now."""
        if self._is_reported_cold:
            return self._cold_tokens
        proven_tokens = max(0, self._completed_tokens - self._warm_up_tokens)
        return min(self._cold_tokens + proven_tokens, self._memory_tokens)

    @property
    def is_cold(self) -> bool:
        """Tell whether the limit is below the memory of the target."""
        return self.limit_tokens < self._memory_tokens

    def resize(
        self,
        cold_tokens: int,
        memory_tokens: int,
        warm_up_tokens: int = 0,
    ) -> None:
        """Apply the sizes of the inventory and keep the completed tokens.

        :param cold_tokens: tokens that the target can hold just after a start.
        :param memory_tokens: capacity of the KV cache.
        :param warm_up_tokens: tokens to complete before the limit grows.
        """
        self._cold_tokens = min(cold_tokens, memory_tokens)
        self._memory_tokens = memory_tokens
        self._warm_up_tokens = warm_up_tokens

    def record_success(self, tokens: int) -> None:
        """Add the tokens of a completed attempt.

        :param tokens: tokens that the attempt had reserved.
        """
        self._completed_tokens = min(
            self._completed_tokens + tokens,
            self._warm_up_tokens + self._memory_tokens,
        )

    def record_failure(self) -> None:
        """Halve the limit, but not below the cold limit."""
        half_tokens = self.limit_tokens // 2
        if half_tokens <= self._cold_tokens:
            self.reset_to_cold()
            return
        proven_tokens = half_tokens - self._cold_tokens
        self._completed_tokens = self._warm_up_tokens + proven_tokens

    def reset_to_cold(self) -> None:
        """Reset the limit to the cold limit."""
        self._completed_tokens = 0

    def record_report(self, *, is_warm: bool) -> None:
        """Record whether the engine reports itself cold.

        :param is_warm: whether the engine reports itself warm.
        """
        self._is_reported_cold = not is_warm


class TokenReservations:
    """Tokens of KV cache reserved by each attempt.

    Each reservation is kept under its attempt. Releasing an attempt twice,
    or an unknown one, has no effect.
    """

    __slots__ = ('_tokens_by_attempt', 'reserved_tokens')

    def __init__(self) -> None:
        self._tokens_by_attempt: dict[str, int] = {}
        self.reserved_tokens = 0

    def __len__(self) -> int:
        """Return the number of reservations."""
        return len(self._tokens_by_attempt)

    def reserve(self, attempt_id: str, tokens: int) -> None:
        """Reserve tokens for an attempt.

        :param attempt_id: the attempt.
        :param tokens: prompt and output tokens.
        """
        self.release(attempt_id)
        self._tokens_by_attempt[attempt_id] = tokens
        self.reserved_tokens += tokens

    def release(self, attempt_id: str) -> int:
        """Release the tokens of an attempt and return their number.

        :param attempt_id: the attempt that ends.
        """
        tokens = self._tokens_by_attempt.pop(attempt_id, 0)
        self.reserved_tokens -= tokens
        return tokens
