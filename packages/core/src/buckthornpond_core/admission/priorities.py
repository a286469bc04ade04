"""Priority that an engine gives to the prefill of an attempt."""

from datetime import timedelta
from typing import Protocol

from .._generated.messages import Attempt

_MS = timedelta(milliseconds=1)
_TOKENS_PER_RANK = 256
# Prompts below this length come first whatever else waits.
_SHORT_TOKENS = 16_384
# How much longer an attempt yields for each thousand tokens of its prompt.
_YIELD_MS_PER_KILOTOKEN = 60
_KILOTOKEN = 1000


class EnginePriority(Protocol):
    """Policy that ranks attempts at an engine that honours priorities."""

    def rank(self, attempt: Attempt, arrival: timedelta) -> int:
        """Return the priority, the lowest being served first.

        :param attempt: what the engine will be called for.
        :param arrival: when it was accepted, on the monotonic clock.
        """


class EqualPriority:
    """Baseline: the engine serves prompts in the order of their arrival."""

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
    """Shorter prompts first, unless a longer one came much earlier.

    Short prompts never wait for others. Among the rest a prompt yields to
    shorter ones for a time that grows with its length, so that these cannot
    hold it until its deadline.
    """

    __slots__ = ()

    def rank(self, attempt: Attempt, arrival: timedelta) -> int:
        """Return the length, or the time until which the prompt yields."""
        tokens = attempt.prompt_tokens
        if tokens < _SHORT_TOKENS:
            return tokens // _TOKENS_PER_RANK
        yield_ms = tokens * _YIELD_MS_PER_KILOTOKEN // _KILOTOKEN
        return _SHORT_TOKENS + arrival // _MS + yield_ms
