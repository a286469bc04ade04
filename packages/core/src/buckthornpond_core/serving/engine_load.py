"""Load of an engine, and the cost of one more request there.

An engine works in passes. In a pass every sequence that decodes produces the
tokens of one event. Prefill runs between these steps, so a long prompt
lengthens the intervals between events of all answers on the engine.
"""

from collections.abc import Iterable
from datetime import timedelta

from .._generated.serving import EngineCosts

_PAIRS_PER_COST_UNIT = 1_000_000
_TOKENS_PER_COST_UNIT = 1000
_MS = timedelta(milliseconds=1)
# A forecast below the first multiple of its limit counts as on time for sure,
# one above the second as late for sure.
_ON_TIME_RATIO = 0.6
_LATE_RATIO = 1.1


class RequestProfile:
    """Size and urgency of a request, or of a part of its prompt.

    :param prompt_tokens: tokens to prefill.
    :param attention_pairs: pairs of a token and an earlier one.
    :param output_tokens: tokens that will probably be decoded.
    :param event_gap_ms: longest interval between events that is on time.
    :param objective_ms: longest time to the first event that is on time.
    :param weight: loss if the answer is late.
    """

    __slots__ = (
        'attention_pairs',
        'event_gap_ms',
        'objective_ms',
        'output_tokens',
        'prompt_tokens',
        'weight',
    )

    def __init__(
        self,
        *,
        prompt_tokens: int,
        output_tokens: int,
        event_gap_ms: int,
        objective_ms: int,
        weight: float,
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.attention_pairs = prompt_tokens * prompt_tokens / 2
        self.output_tokens = output_tokens
        self.event_gap_ms = event_gap_ms
        self.objective_ms = objective_ms
        self.weight = weight

    @property
    def context_tokens(self) -> int:
        """Return the tokens that the request may hold in memory."""
        return self.prompt_tokens + self.output_tokens

    def prefill_ms(self, costs: EngineCosts, part_count: int = 1) -> float:
        """Return the prefill time of one of several equal parts of the prompt.

        :param costs: costs of the engine.
        :param part_count: number of engines that prefill one part each.
        """
        tokens_ms = self.prompt_tokens / costs.read_tokens_per_ms
        pairs_ms = (
            self.attention_pairs / _PAIRS_PER_COST_UNIT * costs.read_pairs_ms
        )
        return (tokens_ms + pairs_ms) / part_count


class InFlightAttempt:
    """An attempt, or a part of one, that is in flight at a target.

    :param profile: size and urgency of the request.
    :param prefill_ms: prefill time of this target's part of the prompt.
    :param started: when the request was sent, on the monotonic clock.
    :param held_tokens: tokens that this target holds for the request.
    :param decodes: whether this target decodes the answer.
    """

    __slots__ = (
        'decodes',
        'first_event_due',
        'held_tokens',
        'is_prefilling',
        'prefill_ms',
        'profile',
        'started',
    )

    def __init__(
        self,
        profile: RequestProfile,
        prefill_ms: float,
        started: timedelta,
        *,
        held_tokens: int,
        decodes: bool,
    ) -> None:
        self.profile = profile
        self.held_tokens = held_tokens
        self.prefill_ms = prefill_ms
        self.started = started
        self.decodes = decodes
        self.is_prefilling = True
        # The first event is late after this time.
        self.first_event_due = started + profile.objective_ms * _MS

    def remaining_prefill_ms(self, now: timedelta) -> float:
        """Return the prefill time that probably remains.

        :param now: time on the monotonic clock.
        """
        if not self.is_prefilling:
            return 0.0
        return max(self.prefill_ms - (now - self.started) / _MS, 0.0)


class EngineLoad:
    """Load of one engine, as far as this entry knows it.

    :param costs: costs of the engine.
    :param attempts: attempts in flight at the engine.
    :param now: time on the monotonic clock.
    """

    __slots__ = (
        '_attempts',
        '_costs',
        '_now',
        'held_tokens',
        'pending_prefill_ms',
        'sequence_count',
        'step_ms',
    )

    def __init__(
        self,
        costs: EngineCosts,
        attempts: Iterable[InFlightAttempt],
        now: timedelta,
    ) -> None:
        self._costs = costs
        self._attempts = tuple(attempts)
        self._now = now
        self.sequence_count = sum(attempt.decodes for attempt in self._attempts)
        self.pending_prefill_ms = sum(
            attempt.remaining_prefill_ms(now) for attempt in self._attempts
        )
        self.held_tokens = sum(
            attempt.held_tokens for attempt in self._attempts
        )
        self.step_ms = (
            costs.step_ms
            + costs.step_request_ms * self.sequence_count
            + costs.step_context_ms * self.held_tokens / _TOKENS_PER_COST_UNIT
        )

    @property
    def is_decoding(self) -> bool:
        """Whether the engine decodes any answer."""
        return any(
            attempt.decodes and not attempt.is_prefilling
            for attempt in self._attempts
        )

    def event_interval_ms(self, prefill_ms: float) -> float:
        """Return the longest interval between events with additional prefill.

        :param prefill_ms: time of the additional prefill.
        """
        return self._costs.pass_steps * self.step_ms + (
            self.pending_prefill_ms + prefill_ms
        )

    def first_ms(self, profile: RequestProfile, prefill_ms: float) -> float:
        """Return the time to the first event of a new request.

        :param profile: size of the request.
        :param prefill_ms: prefill time of this engine's part of the prompt.
        """
        pending_prefill_ms = self.pending_prefill_ms + prefill_ms
        if not self.is_decoding:
            return pending_prefill_ms + self.step_ms
        chunks = profile.prompt_tokens / self._costs.chunk_tokens
        return (
            pending_prefill_ms
            + (chunks + self._costs.pass_steps) * self.step_ms
        )

    def added_loss(self, prefill_ms: float) -> float:
        """Return the expected loss that additional prefill causes here.

        :param prefill_ms: time of the additional prefill.
        """
        before_ms = self.event_interval_ms(0)
        after_ms = self.event_interval_ms(prefill_ms)
        return self._first_event_loss(prefill_ms) + sum(
            attempt.profile.weight
            * (
                late_probability(after_ms, attempt.profile.event_gap_ms)
                - late_probability(before_ms, attempt.profile.event_gap_ms)
            )
            for attempt in self._attempts
            if attempt.decodes
        )

    def _first_event_loss(self, prefill_ms: float) -> float:
        """Return the expected loss from first events that become late."""
        loss = 0.0
        for attempt in self._attempts:
            time_left_ms = (attempt.first_event_due - self._now) / _MS
            if attempt.is_prefilling and time_left_ms > 0:
                loss += attempt.profile.weight * (
                    late_probability(
                        self.pending_prefill_ms + prefill_ms, time_left_ms
                    )
                    - late_probability(self.pending_prefill_ms, time_left_ms)
                )
        return loss


def late_probability(expected_ms: float, limit_ms: float) -> float:
    """Return the probability, from 0 to 1, that a time exceeds its limit.

    :param expected_ms: forecast of the time.
    :param limit_ms: the limit, zero for none.
    """
    if not limit_ms:
        return 0.0
    excess = expected_ms / limit_ms - _ON_TIME_RATIO
    return min(max(excess / (_LATE_RATIO - _ON_TIME_RATIO), 0.0), 1.0)
