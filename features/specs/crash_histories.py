"""Seeded histories of entries, targets that crash, and parts of prompts."""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Protocol, TypeAlias

from buckthornpond_core.serving.fleet import Fleet
from buckthornpond_core.serving.load_exchange import LoadExchange
from buckthornpond_core.serving.target_crashes import Suspect

from .dispatchers import NullRecorder

_MS = timedelta(milliseconds=1)
_START = timedelta(seconds=100)
_TARGET_COUNT = 16
_PREFILL_MS = 60
_EVENT_MS = 40
_ANSWER_MS = 1000
_RESTART_MS = 3000
_HINT_MS = 100
_HINT_LOSS = 0.1
_REQUESTS_PER_MS = 0.03
_FIRST_PART_COUNT = 20
_DEADLY = 'deadly'
_DEADLY_IDENTITY_COUNT = 3
_COMMON_IDENTITY_COUNT = 4
_COMMON_SHARE = 0.3
_CALLER_REPEAT_COUNT = 1
_REPEAT_MS = 50


# Time, number in order of creation, and action.
_Event: TypeAlias = tuple[timedelta, int, Callable[[], None]]


class HistoryPlan:
    """What happens in a history.

    :param seed: seed of all random choices.
    :param deadly_share: share of the requests that hold the deadly part.
    :param crashes_per_s: crashes that no request causes.
    """

    __slots__ = ('crashes_per_s', 'deadly_share', 'seed')

    def __init__(
        self, seed: int, deadly_share: float, crashes_per_s: float
    ) -> None:
        self.seed = seed
        self.deadly_share = deadly_share
        self.crashes_per_s = crashes_per_s


class DrawnRequest:
    """Request of a caller in a history.

    :param parts: what entries know it by: parts of its prompt, its identity.
    :param deadly_name: what crashes its targets, empty for a sound one.
    :param is_stream: whether its response begins long before its end.
    :param repeat_count: how often its caller sends it again after a failure.
    """

    __slots__ = ('deadly_name', 'is_stream', 'parts', 'repeat_count')

    def __init__(
        self,
        parts: list[str],
        deadly_name: str,
        *,
        is_stream: bool = True,
        repeat_count: int = 0,
    ) -> None:
        self.parts = parts
        self.deadly_name = deadly_name
        self.is_stream = is_stream
        self.repeat_count = repeat_count


class RequestSource(Protocol):
    """Draws what callers send in a history."""

    def draw(self, source: random.Random, deadly_share: float) -> DrawnRequest:
        """Return the next request.

        :param source: random choices of the history.
        :param deadly_share: share of the requests that are deadly.
        """


class PartSource:
    """Requests that are deadly by a part of their prompt."""

    __slots__ = ()

    def draw(self, source: random.Random, deadly_share: float) -> DrawnRequest:
        """Return a request with a first part that others share."""
        parts = [f'first-{source.randrange(_FIRST_PART_COUNT)}']
        if source.random() < deadly_share:
            return DrawnRequest([*parts, _DEADLY], _DEADLY)
        return DrawnRequest(parts, '')


class IdentitySource:
    """Requests that are deadly as a whole, and share all parts with others.

    Half of them have no parts. Each request but the most common ones has an
    identity of its own, which it keeps when its caller sends it again.
    """

    __slots__ = ('_numbers',)

    def __init__(self) -> None:
        self._numbers = itertools.count()

    def draw(self, source: random.Random, deadly_share: float) -> DrawnRequest:
        """Return a deadly request, a common one or one of its own."""
        drawn = source.random()
        if drawn < deadly_share:
            number = source.randrange(_DEADLY_IDENTITY_COUNT)
            name = f'request:deadly-{number}'
            return _make_identified(name, number, name)
        if drawn < deadly_share + _COMMON_SHARE:
            number = source.randrange(_COMMON_IDENTITY_COUNT)
            return _make_identified(f'request:common-{number}', number, '')
        first_part = source.randrange(_FIRST_PART_COUNT)
        number = next(self._numbers)
        return _make_identified(f'request:{number}', first_part, '')


def _make_identified(
    identity: str, first_part: int, deadly_name: str
) -> DrawnRequest:
    is_stream = first_part % 2 == 0
    parts = [f'first-{first_part}'] if is_stream else []
    return DrawnRequest(
        [*parts, identity],
        deadly_name,
        is_stream=is_stream,
        repeat_count=_CALLER_REPEAT_COUNT,
    )


class _Attempt:
    def __init__(self, entry: int, request: DrawnRequest, run: int) -> None:
        self.entry = entry
        self.request = request
        self.run = run
        self.repeat_count = request.repeat_count
        self.target = 0
        self.sent_at = timedelta()
        self.has_begun = False
        self.has_ended = False
        self.proven_at: timedelta | None = None


class CrashHistory:
    """Plays requests through entries until its time is over.

    :param plan: what happens.
    :param entry_count: number of entries.
    :param requests: what callers send.
    """

    def __init__(
        self,
        plan: HistoryPlan,
        entry_count: int,
        requests: RequestSource,
    ) -> None:
        self.now = _START
        # By what crashes the targets.
        self.deadly_sent_at: dict[str, list[timedelta]] = {}
        self.deadly_crashes_at: dict[str, list[timedelta]] = {}
        self.sound_refused_at: list[timedelta] = []
        self.sound_sent_count = 0
        self._plan = plan
        self._requests = requests
        self._random = random.Random(plan.seed)
        # Apart from the others: the order in which lost connections are seen.
        self._order_random = random.Random(plan.seed)
        self._fleet = Fleet()
        self._numbers = itertools.count()
        self._queue: list[_Event] = []
        # Attempts at each target, as keys in the order in which they began.
        self._running: list[dict[_Attempt, None]] = [
            {} for _ in range(_TARGET_COUNT)
        ]
        self._starts = [1 for _ in range(_TARGET_COUNT)]
        self._up_at = [_START for _ in range(_TARGET_COUNT)]
        self._entries = [
            LoadExchange(
                f'10.0.0.{number}:1', number, ['10.0.0.0:1'], NullRecorder()
            )
            for number in range(entry_count)
        ]

    def play(self, duration: timedelta) -> None:
        """Play the history.

        :param duration: its length.
        """
        self._schedule(0, self._arrive)
        self._schedule(0, self._exchange)
        if self._plan.crashes_per_s:
            self._schedule(1, self._crash_any)
        while self._queue[0][0] < _START + duration:
            event = heapq.heappop(self._queue)
            self.now = event[0]
            event[-1]()

    def _schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        due = self.now + delay_ms * _MS
        heapq.heappush(self._queue, (due, next(self._numbers), action))

    def _arrive(self) -> None:
        self._schedule(self._random.expovariate(_REQUESTS_PER_MS), self._arrive)
        request = self._requests.draw(self._random, self._plan.deadly_share)
        self._send(_Attempt(self._choose_entry(), request, 1))

    def _choose_entry(self) -> int:
        return self._random.randrange(len(self._entries))

    def _send(self, attempt: _Attempt) -> None:
        quarantine = self._entries[attempt.entry].quarantine
        deadly_name = attempt.request.deadly_name
        if not quarantine.may_place(attempt.request.parts, self.now):
            if not deadly_name:
                self.sound_refused_at.append(self.now)
            return
        up = [
            number
            for number in range(_TARGET_COUNT)
            if self._up_at[number] <= self.now
        ]
        if not up:
            return
        if deadly_name:
            self.deadly_sent_at.setdefault(deadly_name, []).append(self.now)
        else:
            self.sound_sent_count += 1
        attempt.target = self._random.choice(up)
        attempt.sent_at = self.now
        self._running[attempt.target][attempt] = None
        self._schedule(_PREFILL_MS, lambda: self._begin(attempt))

    def _begin(self, attempt: _Attempt) -> None:
        if attempt.has_ended:
            return
        request = attempt.request
        attempt.has_begun = request.is_stream
        if request.deadly_name:
            crashes = self.deadly_crashes_at.setdefault(request.deadly_name, [])
            crashes.append(self.now)
            self._crash(attempt.target)
            return
        if not request.is_stream:
            self._schedule(_EVENT_MS, lambda: self._finish(attempt))
            return
        self._schedule(_EVENT_MS, lambda: self._prove(attempt))
        self._schedule(_ANSWER_MS, lambda: self._finish(attempt))

    def _prove(self, attempt: _Attempt) -> None:
        if attempt.has_ended:
            return
        attempt.proven_at = self.now
        quarantine = self._entries[attempt.entry].quarantine
        quarantine.record_sound(attempt.request.parts, self.now)

    def _finish(self, attempt: _Attempt) -> None:
        if attempt.has_ended:
            return
        attempt.has_ended = True
        self._running[attempt.target].pop(attempt, None)
        self._report(attempt, 0)

    def _crash_any(self) -> None:
        self._schedule(
            self._random.expovariate(self._plan.crashes_per_s) * 1000,
            self._crash_any,
        )
        self._crash(self._random.randrange(_TARGET_COUNT))

    def _crash(self, target: int) -> None:
        start = self._starts[target]
        self._starts[target] += 1
        self._up_at[target] = self.now + _RESTART_MS * _MS
        attempts = list(self._running[target])
        self._order_random.shuffle(attempts)
        for attempt in attempts:
            attempt.has_ended = True
            self._report(attempt, start)
            if attempt.run == 1:
                self._send(self._make_next(attempt, attempt.entry, 2))
            elif attempt.repeat_count:
                repeat = self._make_next(attempt, self._choose_entry(), 1)
                repeat.repeat_count -= 1
                self._schedule(_REPEAT_MS, partial(self._send, repeat))
        self._running[target].clear()

    def _make_next(self, attempt: _Attempt, entry: int, run: int) -> _Attempt:
        following = _Attempt(entry, attempt.request, run)
        following.repeat_count = attempt.repeat_count
        return following

    def _report(self, attempt: _Attempt, lost_start: int) -> None:
        quarantine = self._entries[attempt.entry].quarantine
        if not lost_start or attempt.proven_at is not None:
            quarantine.record_sound(
                attempt.request.parts, attempt.proven_at or self.now
            )
            return
        name = f'target-{attempt.target}'
        suspect = Suspect(
            frozenset(attempt.request.parts),
            attempt.sent_at,
            has_begun=attempt.has_begun,
        )
        quarantine.record_loss(name, lost_start, suspect, self.now)

    def _exchange(self) -> None:
        self._schedule(_HINT_MS, self._exchange)
        for entry in self._entries:
            hint = entry.make_hint(self._fleet, self.now)
            for other in self._entries:
                is_lost = self._random.random() < _HINT_LOSS
                if other is not entry and not is_lost:
                    other.apply_hint(hint, self._fleet, self.now)
