"""Entries that tell each other of crashes, on a fake clock."""

import itertools
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from typing import Any

from buckthornpond_core._generated.hints import LoadHint
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.serving.fleet import Fleet
from buckthornpond_core.serving.load_exchange import LoadExchange
from buckthornpond_core.serving.target_crashes import Suspect

from .dispatchers import NullRecorder

_START = timedelta(seconds=100)
# Longer than the time between any two crashes of a scenario.
_LONG_RUN = timedelta(seconds=60)
_TARGET_NUMBERS = itertools.count()


class QuarantineLog(NullRecorder):
    """Keeps the events on quarantines that began."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []

    def log(self, code: EventCode, **fields: object) -> None:
        """Keep an event."""
        if code is EventCode.parts_quarantined:
            self.events.append(fields)


class EntryGroup:
    """Entries that deliver each other's hints without loss.

    :param count: number of entries.
    """

    def __init__(self, count: int) -> None:
        self.now = _START
        self.log = QuarantineLog()
        self.entries: list[LoadExchange] = []
        self._fleet = Fleet()
        self._turn = 0
        # Numbers of the entries that exchange no hints with others.
        self.isolated: set[int] = set()
        for _ in range(count):
            self.add()
        self._exchange()

    @property
    def numbers(self) -> range:
        """Return the numbers of all entries."""
        return range(len(self.entries))

    def add(self) -> None:
        """Start an entry that knows nothing but the first one."""
        number = len(self.entries)
        self.entries.append(
            LoadExchange(
                f'10.0.0.{number}:1',
                number,
                ['10.0.0.0:1'],
                self.log,
            )
        )

    def crash(
        self,
        requests: Iterable[Sequence[str]],
        run_time: timedelta = _LONG_RUN,
    ) -> None:
        """Lose a target at which each request waits at another entry."""
        target = f'target-{next(_TARGET_NUMBERS)}'
        for parts in requests:
            self._turn = (self._turn + 1) % len(self.entries)
            self.entries[self._turn].quarantine.record_loss(
                target,
                1,
                Suspect(frozenset(parts), self.now - run_time),
                self.now,
            )

    def crash_with(self, run_times: Mapping[str, timedelta]) -> None:
        """Lose a target at which each request has run for some time."""
        target = f'target-{next(_TARGET_NUMBERS)}'
        for parts, run_time in run_times.items():
            self._turn = (self._turn + 1) % len(self.entries)
            held_parts = frozenset(parts.split('+'))
            suspect = Suspect(held_parts, self.now - run_time)
            self.entries[self._turn].quarantine.record_loss(
                target, 1, suspect, self.now
            )

    def crash_at(self, number: int, parts: Sequence[str]) -> None:
        """Lose a target at which one entry alone had a request."""
        self._turn = number - 1
        self.crash([parts])

    def answer(self, parts: Sequence[str], number: int) -> None:
        """Answer a request at an entry."""
        self.entries[number].quarantine.record_sound(parts, self.now)

    def may_place(self, parts: Sequence[str], number: int) -> bool:
        """Return whether an entry would send a request."""
        return self.entries[number].quarantine.may_place(parts, self.now)

    def advance(self, duration: timedelta) -> None:
        """Let time pass, and let every entry send a hint before and after."""
        self._exchange()
        self.now += duration
        self._exchange()
        for entry in self.entries:
            entry.drop_silent_peers(self._fleet, self.now)

    def make_hint(self, number: int) -> LoadHint:
        """Return the next hint of an entry."""
        self.now += timedelta(seconds=1)
        return self.entries[number].make_hint(self._fleet, self.now)

    def _exchange(self) -> None:
        for number, entry in enumerate(self.entries):
            hint = entry.make_hint(self._fleet, self.now)
            for other_number, other in enumerate(self.entries):
                is_cut = bool(self.isolated & {number, other_number})
                if other is not entry and not is_cut:
                    other.apply_hint(hint, self._fleet, self.now)
