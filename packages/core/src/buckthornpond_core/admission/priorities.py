"""Priorities that an agent gives attempts for prefill at the engine."""

from datetime import timedelta
from typing import Protocol

from .._generated.messages import Attempt

_MILLISECOND = timedelta(milliseconds=1)
_TOKENS_PER_RANK = 256
# Prompts below this length always come before longer ones.
_SHORT_PROMPT_TOKENS = 16_384
# Time that a prompt yields to shorter ones for each thousand of its tokens.
_YIELD_MS_PER_KILOTOKEN = 60
_TOKENS_PER_KILOTOKEN = 1000


class EnginePriority(Protocol):
    """Policy that ranks attempts at an engine that honours priorities."""

    def rank(self, attempt: Attempt, arrival: timedelta) -> int:
        """Return the priority at the engine, which serves the lowest one first.

        :param attempt: attempt that the engine will be called for.
        :param arrival: when it was accepted, on the monotonic clock.
        """


class EqualPriority:
    """Baseline: the engine serves prompts in the order of arrival."""

    __slots__ = ()

    def rank(self, attempt: Attempt, arrival: timedelta) -> int:
        """Return the same priority for every attempt."""
        return 0


class LengthPriority:
    """Baseline: shorter prompts first, however long the others wait."""

    __slots__ = ()

    def rank(self, attempt: Attempt, arrival: timedelta) -> int:
        """Return the length of the prompt in steps of 256 tokens."""
        return attempt.prompt_tokens // _TOKENS_PER_RANK


class AgedLengthPriority:
    """Shorter prompts first, unless a longer one arrived much earlier.

    Short prompts never wait for longer ones. A longer prompt yields to
    shorter ones for a time proportional to its length, so that they cannot
    delay it until its deadline.
    """

    __slots__ = ()

    def rank(self, attempt: Attempt, arrival: timedelta) -> int:
        """Return the rank by length, or by the time until which it yields."""
        tokens = attempt.prompt_tokens
        if tokens < _SHORT_PROMPT_TOKENS:
            return tokens // _TOKENS_PER_RANK
        yield_ms = tokens * _YIELD_MS_PER_KILOTOKEN // _TOKENS_PER_KILOTOKEN
        return _SHORT_PROMPT_TOKENS + arrival // _MILLISECOND + yield_ms
