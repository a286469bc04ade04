"""Priority that an engine gives to the prefill of an attempt."""

from typing import Protocol

from ._generated.messages import Attempt

_TOKENS_PER_RANK = 256


class EnginePriority(Protocol):
    """Policy that ranks attempts at an engine that honours priorities."""

    def rank(self, attempt: Attempt) -> int:
        """Return the priority, the lowest being served first.

        :param attempt: what the engine will be called for.
        """


class EqualPriority:
    """Baseline: the engine serves prompts in the order of their arrival."""

    __slots__ = ()

    def rank(self, attempt: Attempt) -> int:
        """Return the same priority for every attempt."""
        return 0


class LengthPriority:
    """Shorter prompts first, so that a long one yields to them."""

    __slots__ = ()

    def rank(self, attempt: Attempt) -> int:
        """Return the length of the prompt in steps of 256 tokens."""
        return attempt.prompt_tokens // _TOKENS_PER_RANK
