"""Seeded histories of entries, targets that crash, and parts of prompts."""

import heapq
import itertools
import random
from collections.abc import Callable
from datetime import timedelta
from typing import TypeAlias

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


class _Attempt:
    def __init__(self, entry: int, parts: list[str], run: int) -> None:
        self.entry = entry
        self.parts = parts
        self.run = run
        self.target = 0
        self.sent_at = timedelta()
        self.has_begun = False
        self.has_ended = False
        self.proven_at: timedelta | None = None


class CrashHistory:
    """Plays requests through entries until its time is over.

    :param plan: what happens.
    :param entry_count: number of entries.
    """

    def __init__(self, plan: HistoryPlan, entry_count: int) -> None:
        self.now = _START
        self.deadly_sent_at: list[timedelta] = []
        self.deadly_crashes_at: list[timedelta] = []
        self.sound_refused_at: list[timedelta] = []
        self.sound_sent_count = 0
        self._plan = plan
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
        parts = [f'first-{self._random.randrange(_FIRST_PART_COUNT)}']
        if self._random.random() < self._plan.deadly_share:
            parts.append(_DEADLY)
        entry = self._random.randrange(len(self._entries))
        self._send(_Attempt(entry, parts, 1))

    def _send(self, attempt: _Attempt) -> None:
        quarantine = self._entries[attempt.entry].quarantine
        is_deadly = _DEADLY in attempt.parts
        if not quarantine.may_place(attempt.parts, self.now):
            if not is_deadly:
                self.sound_refused_at.append(self.now)
            return
        up = [
            number
            for number in range(_TARGET_COUNT)
            if self._up_at[number] <= self.now
        ]
        if not up:
            return
        if is_deadly:
            self.deadly_sent_at.append(self.now)
        else:
            self.sound_sent_count += 1
        attempt.target = self._random.choice(up)
        attempt.sent_at = self.now
        self._running[attempt.target][attempt] = None
        self._schedule(_PREFILL_MS, lambda: self._begin(attempt))

    def _begin(self, attempt: _Attempt) -> None:
        if attempt.has_ended:
            return
        attempt.has_begun = True
        if _DEADLY in attempt.parts:
            self.deadly_crashes_at.append(self.now)
            self._crash(attempt.target)
            return
        self._schedule(_EVENT_MS, lambda: self._prove(attempt))
        self._schedule(_ANSWER_MS, lambda: self._finish(attempt))

    def _prove(self, attempt: _Attempt) -> None:
        if attempt.has_ended:
            return
        attempt.proven_at = self.now
        quarantine = self._entries[attempt.entry].quarantine
        quarantine.record_sound(attempt.parts, self.now)

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
                self._send(_Attempt(attempt.entry, attempt.parts, 2))
        self._running[target].clear()

    def _report(self, attempt: _Attempt, lost_start: int) -> None:
        quarantine = self._entries[attempt.entry].quarantine
        if not lost_start or attempt.proven_at is not None:
            quarantine.record_sound(
                attempt.parts, attempt.proven_at or self.now
            )
            return
        name = f'target-{attempt.target}'
        suspect = Suspect(
            frozenset(attempt.parts),
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
