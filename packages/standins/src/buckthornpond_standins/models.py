"""Fake of a model engine on a fake clock: costs only, no sockets.

Prefill is served by priority, as in the process stand-in; each stream that
has its first token gets one more in each step.
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

_ROUNDING = 1e-6
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

    :param costs: its speed and memory.
    :param is_warm: whether it starts warm.
    """

    __slots__ = (
        '_completed_tokens',
        '_costs',
        '_decoding',
        '_now',
        '_numbers',
        '_prefilling',
        '_streams',
        'crash_count',
        'peak_cold_tokens',
    )

    def __init__(self, costs: EngineCosts, *, is_warm: bool) -> None:
        self._costs = costs
        self._now = 0.0
        self._numbers = itertools.count()
        self._streams: dict[str, _ModelStream] = {}
        self._prefilling: list[tuple[int, int, str]] = []
        self._decoding: list[tuple[float, str]] = []
        self._completed_tokens = costs.warm_up_tokens if is_warm else 0
        self.crash_count = 0
        self.peak_cold_tokens = 0

    @property
    def is_warm(self) -> bool:
        """Tell whether the engine bears its whole memory."""
        return self._completed_tokens >= self._costs.warm_up_tokens

    def report(self) -> LoadReport:
        """Return the engine's load report, without its lag."""
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
        """Return when the engine next sends something."""
        self._drop_ended()
        first = NEVER
        if self._prefilling:
            stream = self._streams[self._prefilling[0][2]]
            first = self._now + stream.remaining_tokens / self._rate
        if self._decoding:
            first = min(first, self._decoding[0][0])
        return first

    def start(
        self,
        attempt: Attempt,
        priority: int,
        now: float,
    ) -> list[CallMessage]:
        """Take a call, and fail whole when that is more than it bears.

        :param attempt: the call.
        :param priority: the lowest is served first.
        :param now: seconds on the fake clock.
        """
        found = self.advance(now)
        self._streams[attempt.attempt_id] = _ModelStream(attempt)
        entry = (priority, next(self._numbers), attempt.attempt_id)
        heapq.heappush(self._prefilling, entry)
        held = sum(each.total_tokens for each in self._streams.values())
        if not self.is_warm:
            self.peak_cold_tokens = max(self.peak_cold_tokens, held)
        costs = self._costs
        bound = costs.memory_tokens if self.is_warm else costs.cold_tokens
        if held > bound:
            found.extend(self.crash())
        return found

    def crash(self) -> list[CallMessage]:
        """Fail every stream and become cold, as a restart does."""
        self.crash_count += 1
        self._completed_tokens = 0
        lost = list(self._streams)
        self._streams.clear()
        return [_end_call(attempt_id, 'target_failed') for attempt_id in lost]

    def cool_down(self) -> None:
        """Become cold without a sign."""
        self._completed_tokens = 0

    def cancel(self, attempt_id: str, now: float) -> list[CallMessage]:
        """End one call.

        :param attempt_id: the call.
        :param now: seconds on the fake clock.
        """
        found = self.advance(now)
        if self._streams.pop(attempt_id, None) is not None:
            found.append(_end_call(attempt_id, 'cancelled'))
        return found

    def advance(self, now: float) -> list[CallMessage]:
        """Spend the time since the last call and return what was sent.

        :param now: seconds on the fake clock.
        """
        found: list[CallMessage] = []
        while True:
            due = self.next_event_seconds
            until = min(due, now)
            self._prefill(until)
            self._now = max(self._now, until)
            if due > now + _ROUNDING:
                return found
            found.extend(self._emit())

    @property
    def _rate(self) -> float:
        rate = self._costs.prefill_tokens_per_second
        return rate if self.is_warm else rate * self._costs.cold_speed

    def _prefill(self, until: float) -> None:
        if self._prefilling and until > self._now:
            stream = self._streams[self._prefilling[0][2]]
            spent = (until - self._now) * self._rate
            stream.remaining_tokens = max(0, stream.remaining_tokens - spent)

    def _emit(self) -> list[CallMessage]:
        found: list[CallMessage] = []
        while self._decoding and self._decoding[0][0] <= self._now + _ROUNDING:
            _, attempt_id = heapq.heappop(self._decoding)
            found.extend(self._finish(attempt_id))
        self._drop_ended()
        if self._prefilling:
            stream = self._streams[self._prefilling[0][2]]
            if stream.remaining_tokens <= _ROUNDING * self._rate:
                heapq.heappop(self._prefilling)
                found.extend(self._begin_decoding(stream))
        return found

    def _begin_decoding(self, stream: _ModelStream) -> list[CallMessage]:
        attempt = stream.attempt
        seconds = attempt.output_tokens * self._costs.step_seconds
        end = self._now + seconds
        heapq.heappush(self._decoding, (end, attempt.attempt_id))
        started = CallStarted(
            attempt_id=attempt.attempt_id,
            status_code=200,
            content_type='text/event-stream',
        )
        chunk = CallChunk(attempt_id=attempt.attempt_id, payload=b'w')
        return [started, chunk]

    def _finish(self, attempt_id: str) -> list[CallMessage]:
        stream = self._streams.pop(attempt_id, None)
        if stream is None:
            return []
        self._completed_tokens += stream.total_tokens
        return [_end_call(attempt_id, '')]

    def _drop_ended(self) -> None:
        while self._prefilling and self._prefilling[0][2] not in self._streams:
            heapq.heappop(self._prefilling)
        while self._decoding and self._decoding[0][1] not in self._streams:
            heapq.heappop(self._decoding)


def _end_call(attempt_id: str, error: str) -> CallEnded:
    return CallEnded(attempt_id=attempt_id, error=error, is_sent=True)
