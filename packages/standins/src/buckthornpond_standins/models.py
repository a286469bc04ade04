"""Cost model of a model engine on a fake clock, without sockets.

Prefill is served by priority, as in the engine stand-in; each stream that
is decoding gets one token a step.
"""

import heapq
import itertools
import math

from buckthornpond_core._generated.events import (
    CallChunk,
    CallEnded,
    CallStarted,
)
from buckthornpond_core._generated.messages import Attempt
from buckthornpond_core._generated.platform import LoadReport
from buckthornpond_core.effects import CallMessage

from .engine import EngineCosts

_ROUNDING_SECONDS = 1e-6
NEVER = math.inf


class _ModelStream:
    __slots__ = ('attempt', 'is_first_sent', 'remaining_tokens')

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.remaining_tokens: float = attempt.prompt_tokens
        self.is_first_sent = False

    @property
    def total_tokens(self) -> int:
        return self.attempt.prompt_tokens + self.attempt.output_tokens


class EngineModel:
    """Cost model of one engine.

    :param costs: speed and memory of the engine.
    :param is_warm: whether the engine starts warm.
    """

    __slots__ = (
        '_completed_tokens',
        '_costs',
        '_decoding',
        '_now_seconds',
        '_tie_breakers',
        '_prefilling',
        '_streams',
        'crash_count',
        'peak_cold_tokens',
    )

    def __init__(self, costs: EngineCosts, *, is_warm: bool) -> None:
        self._costs = costs
        self._now_seconds = 0.0
        self._tie_breakers = itertools.count()
        self._streams: dict[str, _ModelStream] = {}
        self._prefilling: list[tuple[int, int, str]] = []
        self._decoding: list[tuple[float, str]] = []
        self._completed_tokens = costs.warm_up_tokens if is_warm else 0
        self.crash_count = 0
        self.peak_cold_tokens = 0

    @property
    def is_warm(self) -> bool:
        """Whether the engine can fill its whole KV cache."""
        return self._completed_tokens >= self._costs.warm_up_tokens

    def report(self) -> LoadReport:
        """Return the current load report, without the reporting lag."""
        return LoadReport(
            running_count=len(self._streams),
            held_tokens=sum(
                each.total_tokens for each in self._streams.values()
            ),
            incarnation='',
            is_warm=self.is_warm,
        )

    @property
    def next_event_seconds(self) -> float:
        """Time of the next prefill end or stream end, in seconds."""
        self._discard_ended()
        first = NEVER
        if self._prefilling:
            stream = self._streams[self._prefilling[0][2]]
            first = (
                self._now_seconds + stream.remaining_tokens / self._prefill_rate
            )
        if self._decoding:
            first = min(first, self._decoding[0][0])
        return first

    def start(
        self,
        attempt: Attempt,
        priority: int,
        now: float,
    ) -> list[CallMessage]:
        """Start a call; crash if the streams exceed the token limit.

        :param attempt: attempt of the call.
        :param priority: prefill priority; the lowest is served first.
        :param now: seconds on the fake clock.
        """
        messages = self.advance(now)
        self._streams[attempt.attempt_id] = _ModelStream(attempt)
        queue_item = (priority, next(self._tie_breakers), attempt.attempt_id)
        heapq.heappush(self._prefilling, queue_item)
        held_tokens = sum(each.total_tokens for each in self._streams.values())
        if not self.is_warm:
            self.peak_cold_tokens = max(self.peak_cold_tokens, held_tokens)
        costs = self._costs
        limit_tokens = (
            costs.memory_tokens if self.is_warm else costs.cold_tokens
        )
        if held_tokens > limit_tokens:
            messages.extend(self.crash())
        return messages

    def crash(self) -> list[CallMessage]:
        """Fail every stream and become cold, as after a restart."""
        self.crash_count += 1
        self._completed_tokens = 0
        failed_ids = list(self._streams)
        self._streams.clear()
        return [
            _make_call_end(attempt_id, 'target_failed')
            for attempt_id in failed_ids
        ]

    def cool_down(self) -> None:
        """Become cold without failing a stream."""
        self._completed_tokens = 0

    def cancel(self, attempt_id: str, now: float) -> list[CallMessage]:
        """Cancel a call.

        :param attempt_id: attempt of the call.
        :param now: seconds on the fake clock.
        """
        messages = self.advance(now)
        if self._streams.pop(attempt_id, None) is not None:
            messages.append(_make_call_end(attempt_id, 'cancelled'))
        return messages

    def advance(self, now: float) -> list[CallMessage]:
        """Advance the model to a time and return the messages up to it.

        :param now: seconds on the fake clock.
        """
        messages: list[CallMessage] = []
        while True:
            due_seconds = self.next_event_seconds
            until_seconds = min(due_seconds, now)
            self._advance_prefill(until_seconds)
            self._now_seconds = max(self._now_seconds, until_seconds)
            if due_seconds > now + _ROUNDING_SECONDS:
                return messages
            messages.extend(self._handle_due_events())

    @property
    def _prefill_rate(self) -> float:
        rate = self._costs.prefill_tokens_per_second
        return (
            rate if self.is_warm else rate * self._costs.cold_prefill_fraction
        )

    def _advance_prefill(self, until_seconds: float) -> None:
        if self._prefilling and until_seconds > self._now_seconds:
            stream = self._streams[self._prefilling[0][2]]
            processed_tokens = (
                until_seconds - self._now_seconds
            ) * self._prefill_rate
            stream.remaining_tokens = max(
                0,
                stream.remaining_tokens - processed_tokens,
            )

    def _handle_due_events(self) -> list[CallMessage]:
        messages: list[CallMessage] = []
        while (
            self._decoding
            and self._decoding[0][0] <= self._now_seconds + _ROUNDING_SECONDS
        ):
            _, attempt_id = heapq.heappop(self._decoding)
            messages.extend(self._complete_stream(attempt_id))
        self._discard_ended()
        if self._prefilling:
            stream = self._streams[self._prefilling[0][2]]
            if (
                stream.remaining_tokens
                <= _ROUNDING_SECONDS * self._prefill_rate
            ):
                heapq.heappop(self._prefilling)
                messages.extend(self._start_decoding(stream))
        return messages

    def _start_decoding(self, stream: _ModelStream) -> list[CallMessage]:
        attempt = stream.attempt
        decode_seconds = attempt.output_tokens * self._costs.step_seconds
        end_seconds = self._now_seconds + decode_seconds
        heapq.heappush(self._decoding, (end_seconds, attempt.attempt_id))
        started = CallStarted(
            attempt_id=attempt.attempt_id,
            status_code=200,
            content_type='text/event-stream',
        )
        chunk = CallChunk(attempt_id=attempt.attempt_id, payload=b'w')
        return [started, chunk]

    def _complete_stream(self, attempt_id: str) -> list[CallMessage]:
        stream = self._streams.pop(attempt_id, None)
        if stream is None:
            return []
        self._completed_tokens += stream.total_tokens
        return [_make_call_end(attempt_id, '')]

    def _discard_ended(self) -> None:
        while self._prefilling and self._prefilling[0][2] not in self._streams:
            heapq.heappop(self._prefilling)
        while self._decoding and self._decoding[0][1] not in self._streams:
            heapq.heappop(self._decoding)


def _make_call_end(attempt_id: str, error: str) -> CallEnded:
    return CallEnded(attempt_id=attempt_id, error=error, is_sent=True)
