"""Entries on a fake clock that send to targets which state limits."""

import random
from collections import defaultdict, deque
from datetime import timedelta

from buckthornpond_core.serving.membership import Membership
from buckthornpond_core.serving.stated_limits import (
    LimitDivision,
    LimitShare,
    StatedLimit,
)

_MS = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)
_START = timedelta(seconds=100)
_STEP_MS = 50
_WINDOW = timedelta(seconds=4)
_HINT_INTERVAL = timedelta(seconds=1)
_DISCOVERY_TIME = timedelta(milliseconds=2500)
_WORST_DELAY_MS = 40
# A restart, freeze or cut excuses a machine in windows that touch it.
_EXCUSED_TIME = _WINDOW


class EvenDivision:
    """Divides limits among all entries, however many there are.

    :param entry_count: number of entries.
    """

    def __init__(self, entry_count: int) -> None:
        self._entry_count = entry_count

    def find_share(
        self, target: str, requests_per_second: float, *, knows_others: bool
    ) -> LimitShare:
        """Return the same share for each entry."""
        return LimitShare(requests_per_second / self._entry_count, 1)


class LimitedEntry:
    """Entry that sends to limited targets as fast as it may.

    :param number: its number in the fleet.
    :param now: when it started.
    """

    def __init__(self, number: int, now: timedelta) -> None:
        self.number = number
        self.address = f'10.{number // 256}.{number % 256}.1:7'
        self.started_at = now
        self.membership = Membership()
        self.division: LimitDivision | EvenDivision = LimitDivision(
            self.address, self.membership
        )
        self.limits: dict[str, StatedLimit] = {}
        self.is_running = True
        self.is_cut_off = False
        self.excused_until = timedelta()

    def restart(self, now: timedelta) -> None:
        """Forget everything."""
        self.started_at = now
        self.membership = Membership()
        self.division = LimitDivision(self.address, self.membership)
        self.limits = {}
        self.is_running = True

    def excuse(self, until: timedelta) -> None:
        """Excuse the entry until a time, and for as long as it is cut off."""
        self.excused_until = max(self.excused_until, until)

    def try_send(self, target: str, limit: float, now: timedelta) -> bool:
        """Send one request if it is allowed; hear of the limit by it."""
        stated = self.limits.get(target)
        if stated is None:
            self.limits[target] = StatedLimit(limit, now)
            return True
        share = self.division.find_share(
            target,
            limit,
            knows_others=now - self.started_at > _DISCOVERY_TIME,
        )
        if share is None or stated.find_delay(share, now):
            return False
        stated.record_request()
        return True


class LimitedFleet:
    """Entries that come, go, freeze and are cut off before limited targets.

    :param count: entries at the start, which know each other.
    :param limit: requests a second that each target states.
    :param target_count: number of targets.
    :param seed: seed of the faults.
    """

    def __init__(
        self, count: int, limit: float, target_count: int, seed: int
    ) -> None:
        self.now = _START
        self.most_count = 0
        self.sent_count = 0
        self._limit = limit
        self._targets = [f'target-{number}' for number in range(target_count)]
        self._random = random.Random(seed)
        self._entries = [
            LimitedEntry(number, _START) for number in range(count)
        ]
        self._wake_at: dict[int, timedelta] = {}
        self._next_hint_at = _START
        # Arrivals at each target of entries that the limit binds.
        self._arrivals: dict[str, deque[timedelta]] = defaultdict(deque)
        for entry in self._entries:
            entry.started_at = _START - 10 * _SECOND
        self._exchange_hints()

    def choose_everyone(self) -> None:
        """Let every entry use every target."""
        for entry in self._entries:
            entry.division = EvenDivision(len(self._entries))

    def run(self, seconds: int, fault_interval: timedelta | None) -> None:
        """Let the entries send for a while.

        :param seconds: how long.
        :param fault_interval: time between faults, ``None`` for no faults.
        """
        end = self.now + seconds * _SECOND
        next_fault = self.now + (fault_interval or seconds * 2 * _SECOND)
        while self.now < end:
            self.now += _STEP_MS * _MS
            if self.now >= next_fault and fault_interval is not None:
                next_fault += fault_interval
                self._strike()
            if self.now >= self._next_hint_at:
                self._next_hint_at += _HINT_INTERVAL
                self._exchange_hints()
            self._wake()
            for target in self._targets:
                self._send(target)

    def _send(self, target: str) -> None:
        for entry in self._entries:
            if not entry.is_running:
                continue
            is_bound = target in entry.limits
            if not entry.try_send(target, self._limit, self.now):
                continue
            self.sent_count += 1
            is_excused = entry.is_cut_off or self.now < entry.excused_until
            if is_bound and not is_excused:
                self._record_arrival(target)

    def _record_arrival(self, target: str) -> None:
        arrivals = self._arrivals[target]
        # Delays differ, so that arrivals may come closer than they were sent.
        delay_ms = self._random.randrange(_WORST_DELAY_MS)
        arrivals.append(self.now + delay_ms * _MS)
        while arrivals[0] < self.now - _WINDOW:
            arrivals.popleft()
        self.most_count = max(self.most_count, len(arrivals))

    def _strike(self) -> None:
        entry = self._random.choice(self._entries)
        fault = self._random.choice(('come', 'restart', 'freeze', 'cut'))
        if fault == 'come':
            newcomer = LimitedEntry(len(self._entries), self.now)
            self._entries.append(newcomer)
            return
        if fault == 'cut':
            entry.is_cut_off = not entry.is_cut_off
            entry.excuse(self.now + _EXCUSED_TIME)
            return
        entry.is_running = False
        pause = self._random.uniform(0.5, 6) * _SECOND
        entry.excuse(self.now + pause + _EXCUSED_TIME)
        self._wake_at[entry.number] = self.now + pause
        if fault == 'restart':
            entry.restart(self.now + pause)
            entry.is_running = False

    def _wake(self) -> None:
        for number, wake_at in tuple(self._wake_at.items()):
            if self.now >= wake_at:
                self._wake_at.pop(number)
                self._entries[number].is_running = True

    def _exchange_hints(self) -> None:
        heard = [
            entry
            for entry in self._entries
            if entry.is_running and not entry.is_cut_off
        ]
        for recipient in heard:
            for sender in heard:
                if sender is not recipient:
                    recipient.membership.record(sender.address, self.now)
            recipient.membership.drop_expired(self.now)
