"""What an engine is doing for this entry, and what one more request costs.

An engine works in passes. In a pass with writers each of them writes the
tokens of one event; prompts are read between these steps, so that a long
prompt stretches the pauses of every answer on the same engine.
"""

from collections.abc import Iterable
from datetime import timedelta

from .._generated.serving import EngineCosts

_PAIRS_UNIT = 1_000_000
_CONTEXT_UNIT = 1000
_MS = timedelta(milliseconds=1)
# Forecasts below this part of a limit keep it, above the other they miss it.
_SAFE_SHARE = 0.6
_CERTAIN_SHARE = 1.1


class Work:
    """Size and urgency of a request, or of a part of its prompt.

    :param prompt_tokens: tokens to read.
    :param pairs: pairs of a token and an earlier one.
    :param output_tokens: tokens that will probably be written.
    :param gap_ms: longest pause between events that is on time.
    :param objective_ms: time to the first event that is on time.
    :param weight: what a late answer loses.
    """

    __slots__ = (
        'gap_ms',
        'objective_ms',
        'output_tokens',
        'pairs',
        'prompt_tokens',
        'weight',
    )

    def __init__(
        self,
        *,
        prompt_tokens: int,
        output_tokens: int,
        gap_ms: int,
        objective_ms: int,
        weight: float,
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.pairs = prompt_tokens * prompt_tokens / 2
        self.output_tokens = output_tokens
        self.gap_ms = gap_ms
        self.objective_ms = objective_ms
        self.weight = weight

    @property
    def context_tokens(self) -> int:
        """Return the tokens that the request may hold."""
        return self.prompt_tokens + self.output_tokens

    def read_ms(self, costs: EngineCosts, part_count: int = 1) -> float:
        """Return the time of reading one of even parts of the prompt.

        :param costs: costs of the engine.
        :param part_count: engines that read a part each.
        """
        tokens_ms = self.prompt_tokens / costs.read_tokens_per_ms
        pairs_ms = self.pairs / _PAIRS_UNIT * costs.read_pairs_ms
        return (tokens_ms + pairs_ms) / part_count


class Flight:
    """An attempt, or a part of one, at a target.

    :param work: the request.
    :param read_ms: time of reading what this target reads of it.
    :param started: when it was sent, on the monotonic clock.
    :param held_tokens: tokens that this target holds for it.
    :param writes: whether this target writes the answer.
    """

    __slots__ = (
        'due',
        'held_tokens',
        'is_reading',
        'read_ms',
        'started',
        'work',
        'writes',
    )

    def __init__(
        self,
        work: Work,
        read_ms: float,
        started: timedelta,
        *,
        held_tokens: int,
        writes: bool,
    ) -> None:
        self.work = work
        self.held_tokens = held_tokens
        self.read_ms = read_ms
        self.started = started
        self.writes = writes
        self.is_reading = True
        # When the first event becomes late.
        self.due = started + work.objective_ms * _MS

    def remaining_ms(self, now: timedelta) -> float:
        """Return how much reading is probably left.

        :param now: time on the monotonic clock.
        """
        if not self.is_reading:
            return 0.0
        return max(self.read_ms - (now - self.started) / _MS, 0.0)


class EngineLoad:
    """Flights at one engine, as this entry knows them.

    :param costs: costs of the engine.
    :param flights: what was sent there and has not ended.
    :param now: time on the monotonic clock.
    """

    __slots__ = (
        '_costs',
        '_flights',
        '_now',
        'flight_count',
        'held_tokens',
        'reading_ms',
        'step_ms',
    )

    def __init__(
        self,
        costs: EngineCosts,
        flights: Iterable[Flight],
        now: timedelta,
    ) -> None:
        self._costs = costs
        self._flights = tuple(flights)
        self._now = now
        self.flight_count = sum(flight.writes for flight in self._flights)
        self.reading_ms = sum(
            flight.remaining_ms(now) for flight in self._flights
        )
        self.held_tokens = sum(flight.held_tokens for flight in self._flights)
        self.step_ms = (
            costs.step_ms
            + costs.step_request_ms * self.flight_count
            + costs.step_context_ms * self.held_tokens / _CONTEXT_UNIT
        )

    @property
    def has_writers(self) -> bool:
        """Tell whether answers are being written."""
        return any(
            flight.writes and not flight.is_reading for flight in self._flights
        )

    def pause_ms(self, read_ms: float) -> float:
        """Return the longest pause of answers here with more to read.

        :param read_ms: time of what is read besides.
        """
        return self._costs.pass_steps * self.step_ms + (
            self.reading_ms + read_ms
        )

    def first_ms(self, work: Work, read_ms: float) -> float:
        """Return the time to the first event of a new request.

        :param work: the request.
        :param read_ms: time of what this engine reads of it.
        """
        reading_ms = self.reading_ms + read_ms
        if not self.has_writers:
            return reading_ms + self.step_ms
        chunks = work.prompt_tokens / self._costs.chunk_tokens
        return reading_ms + (chunks + self._costs.pass_steps) * self.step_ms

    def harm(self, read_ms: float) -> float:
        """Return the weight of answers that more reading makes late.

        :param read_ms: time of what is read besides.
        """
        before_ms = self.pause_ms(0)
        after_ms = self.pause_ms(read_ms)
        return self._delay_harm(read_ms) + sum(
            flight.work.weight
            * (
                late_share(after_ms, flight.work.gap_ms)
                - late_share(before_ms, flight.work.gap_ms)
            )
            for flight in self._flights
            if flight.writes
        )

    def _delay_harm(self, read_ms: float) -> float:
        """Return the weight of first events that more reading makes late."""
        lost = 0.0
        for flight in self._flights:
            left_ms = (flight.due - self._now) / _MS
            if flight.is_reading and left_ms > 0:
                lost += flight.work.weight * (
                    late_share(self.reading_ms + read_ms, left_ms)
                    - late_share(self.reading_ms, left_ms)
                )
        return lost


def late_share(expected_ms: float, limit_ms: float) -> float:
    """Return how likely a time is over its limit, from 0 to 1.

    :param expected_ms: the forecast.
    :param limit_ms: the limit, nought for none.
    """
    if not limit_ms:
        return 0.0
    excess = expected_ms / limit_ms - _SAFE_SHARE
    return min(max(excess / (_CERTAIN_SHARE - _SAFE_SHARE), 0.0), 1.0)
