"""Forecast of the time that a target would take for a new attempt.

The target serves prefill in the order of priority, the lowest number first.
The forecast tracks the remaining tokens of each prompt, measures the speeds of
prefill and decode, and assumes that shorter prompts go on arriving at
their recent rate.
"""

import math
from collections.abc import Iterable
from datetime import timedelta
from typing import Protocol

from .averages import DecayingRate, DecayingRatio

_ARRIVAL_TIME_CONSTANT_SECONDS = 10
_SPEED_TIME_CONSTANT = timedelta(seconds=2)
_BASELINE_TIME_CONSTANT = timedelta(minutes=1)
_SLOWDOWN_RATIO = 0.5
_ARRIVAL_TIME_CONSTANT = timedelta(seconds=_ARRIVAL_TIME_CONSTANT_SECONDS)
_LENGTH_CLASSES_PER_OCTAVE = 4
_LENGTH_CLASS_COUNT = 24 * _LENGTH_CLASSES_PER_OCTAVE
_MIN_SPEED_SHARE = 0.05


class Forecast(Protocol):
    """Policy that predicts how long an attempt takes."""

    def record_start(
        self,
        attempt_id: str,
        prompt_tokens: int,
        rank: int,
        now: timedelta,
    ) -> None:
        """Record that the target was called for an attempt."""

    def record_first_token(self, attempt_id: str, now: timedelta) -> None:
        """Record the first token of an attempt, which ends its prefill."""

    def record_end(
        self,
        attempt_id: str,
        output_tokens: int,
        now: timedelta,
    ) -> None:
        """Record the end of a call, successful or not."""

    def take_slowdown(self) -> bool:
        """Return once whether prefill has become much slower than before."""

    def predict(
        self,
        prompt_tokens: int,
        output_tokens: int,
        waiting_tokens: Iterable[int],
        now: timedelta,
    ) -> timedelta:
        """Return how long a new attempt would take, or zero if unknown.

        :param prompt_tokens: length of the prompt.
        :param output_tokens: upper bound of the output tokens.
        :param waiting_tokens: prompt lengths of the queued attempts.
        :param now: time on the monotonic clock.
        """


class NoForecast:
    """Baseline that predicts nothing, so that no attempt is refused."""

    __slots__ = ()

    def record_start(
        self,
        attempt_id: str,
        prompt_tokens: int,
        rank: int,
        now: timedelta,
    ) -> None:
        """Ignore the start."""

    def record_first_token(self, attempt_id: str, now: timedelta) -> None:
        """Ignore the first token."""

    def record_end(
        self,
        attempt_id: str,
        output_tokens: int,
        now: timedelta,
    ) -> None:
        """Ignore the end."""

    def take_slowdown(self) -> bool:
        """Return false."""
        return False

    def predict(
        self,
        prompt_tokens: int,
        output_tokens: int,
        waiting_tokens: Iterable[int],
        now: timedelta,
    ) -> timedelta:
        """Return zero, which means unknown."""
        return timedelta()


class _Prefill:
    """Prompt in prefill at the engine.

    ``served_since`` is the time at which the prompt came to the head of the
    engine's order. It is cleared for good when another prompt overtakes it.
    """

    __slots__ = (
        'has_reached_head',
        'rank',
        'remaining_tokens',
        'served_since',
        'tokens',
    )

    def __init__(self, tokens: int, rank: int) -> None:
        self.tokens = tokens
        self.rank = rank
        self.remaining_tokens: float = tokens
        self.has_reached_head = False
        self.served_since: timedelta | None = None


class PrefillForecast:
    """Forecast for an engine that serves prompts in the order of rank."""

    __slots__ = (
        '_arrival_rates',
        '_baseline_prefill_speed',
        '_decode_speed',
        '_decoding',
        '_head',
        '_prefill_speed',
        '_prefilling',
        '_updated_at',
    )

    def __init__(self) -> None:
        self._prefilling: dict[str, _Prefill] = {}
        self._decoding: dict[str, timedelta] = {}
        self._prefill_speed = DecayingRatio(_SPEED_TIME_CONSTANT)
        self._baseline_prefill_speed = DecayingRatio(_BASELINE_TIME_CONSTANT)
        self._decode_speed = DecayingRatio(_SPEED_TIME_CONSTANT)
        self._arrival_rates = [
            DecayingRate(_ARRIVAL_TIME_CONSTANT)
            for _ in range(_LENGTH_CLASS_COUNT)
        ]
        self._head = ''
        self._updated_at = timedelta()

    @property
    def prefill_tokens_per_second(self) -> float:
        """Return the measured speed of prefill, or zero before any."""
        return self._prefill_speed.mean

    def record_start(
        self,
        attempt_id: str,
        prompt_tokens: int,
        rank: int,
        now: timedelta,
    ) -> None:
        """Record that the target was called for an attempt.

        :param attempt_id: the attempt.
        :param prompt_tokens: length of the prompt.
        :param rank: priority at the engine, the lowest number first.
        :param now: time on the monotonic clock.
        """
        self._advance(now)
        self._prefilling[attempt_id] = _Prefill(prompt_tokens, rank)
        self._arrival_rates[_length_class(prompt_tokens)].add(
            prompt_tokens, now
        )
        self._update_head(now)

    def record_first_token(self, attempt_id: str, now: timedelta) -> None:
        """Record the first token of an attempt, which ends its prefill.

        :param attempt_id: the attempt.
        :param now: time on the monotonic clock.
        """
        prefill = self._prefilling.get(attempt_id)
        if prefill is None:
            return
        self._advance(now)
        self._prefilling.pop(attempt_id)
        self._decoding[attempt_id] = now
        if attempt_id == self._head and prefill.served_since is not None:
            duration = now - prefill.served_since
            self._prefill_speed.add(prefill.tokens, duration)
            self._baseline_prefill_speed.add(prefill.tokens, duration)
        self._update_head(now)

    def record_end(
        self,
        attempt_id: str,
        output_tokens: int,
        now: timedelta,
    ) -> None:
        """Record the end of a call.

        :param attempt_id: the attempt.
        :param output_tokens: output tokens, or zero if the call failed.
        :param now: time on the monotonic clock.
        """
        self._advance(now)
        started_at = self._decoding.pop(attempt_id, None)
        if started_at is not None and output_tokens:
            self._decode_speed.add(output_tokens, now - started_at)
        self._prefilling.pop(attempt_id, None)
        self._update_head(now)

    def take_slowdown(self) -> bool:
        """Return once whether prefill has become much slower than before."""
        is_slow = self._baseline_prefill_speed.has_enough_samples and (
            self._prefill_speed.mean
            < _SLOWDOWN_RATIO * self._baseline_prefill_speed.mean
        )
        if is_slow:
            self._baseline_prefill_speed = DecayingRatio(
                _BASELINE_TIME_CONSTANT
            )
        return is_slow

    def predict(
        self,
        prompt_tokens: int,
        output_tokens: int,
        waiting_tokens: Iterable[int],
        now: timedelta,
    ) -> timedelta:
        """Return how long a new attempt would take, or zero if unknown.

        :param prompt_tokens: length of the prompt.
        :param output_tokens: upper bound of the output tokens.
        :param waiting_tokens: prompt lengths of the queued attempts.
        :param now: time on the monotonic clock.
        """
        speed = self.prefill_tokens_per_second
        if not speed:
            return timedelta()
        self._advance(now)
        tokens_ahead = sum(
            prefill.remaining_tokens
            for prefill in self._prefilling.values()
            if prefill.tokens <= prompt_tokens
        )
        tokens_ahead += sum(
            each for each in waiting_tokens if each <= prompt_tokens
        )
        shorter_per_second = sum(
            rate.per_second(now)
            for rate in self._arrival_rates[: _length_class(prompt_tokens)]
        )
        available_per_second = max(
            speed - shorter_per_second, speed * _MIN_SPEED_SHARE
        )
        seconds = (tokens_ahead + prompt_tokens) / available_per_second
        decode_speed = self._decode_speed.mean
        if decode_speed:
            seconds += output_tokens / decode_speed
        return timedelta(seconds=seconds)

    def _advance(self, now: timedelta) -> None:
        budget_tokens = (
            now - self._updated_at
        ).total_seconds() * self.prefill_tokens_per_second
        self._updated_at = now
        for prefill in sorted(self._prefilling.values(), key=_rank):
            served_tokens = min(budget_tokens, prefill.remaining_tokens)
            prefill.remaining_tokens -= served_tokens
            budget_tokens -= served_tokens

    def _update_head(self, now: timedelta) -> None:
        previous = self._prefilling.get(self._head)
        self._head = min(self._prefilling, key=self._rank_of, default='')
        head = self._prefilling.get(self._head)
        if head is None or head is previous:
            return
        if previous is not None:
            previous.served_since = None
        if not head.has_reached_head:
            head.has_reached_head = True
            head.remaining_tokens = head.tokens
            head.served_since = now

    def _rank_of(self, attempt_id: str) -> int:
        return self._prefilling[attempt_id].rank


def _rank(prefill: _Prefill) -> int:
    return prefill.rank


def _length_class(tokens: int) -> int:
    octaves = math.log2(max(1, tokens))
    return min(
        _LENGTH_CLASS_COUNT - 1, int(octaves * _LENGTH_CLASSES_PER_OCTAVE)
    )
