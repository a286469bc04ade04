"""Which requests may have crashed the targets that answered them.

A target that closes its connections may have crashed because of a request.
The requests there that had not been answered yet are suspects. A part of a
prompt is taken for the cause when it was there in several crashes and no
request with it has been answered since. The identity of a request counts as
one more part, which only requests with the same content share.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from datetime import timedelta

from .request_identity import is_identity
from .sound_parts import SoundParts
from .suspect_parts import estimate_length, select_evidence
from .target_crashes import (
    KnownStarts,
    OpenCrash,
    PartSet,
    Suspect,
    TargetCrash,
)

_MS = timedelta(milliseconds=1)
_RETENTION_MS = 600_000
_RETENTION = timedelta(milliseconds=_RETENTION_MS)
# Crashes in turn after which a part is a cause, and the same for a part of
# which an answer has been seen.
_CRASH_COUNT = 3
_CRASH_COUNT_IF_SOUND_BEFORE = 4
# Losses closer in time may come from one fault of the network.
_MIN_CRASH_INTERVAL_MS = 100
_MIN_CRASH_INTERVAL = timedelta(milliseconds=_MIN_CRASH_INTERVAL_MS)
# Losses at the same start of a target within this time are one crash. A
# restart may become known later than the next crash.
_CRASH_DURATION_MS = 1000
_CRASH_DURATION = timedelta(milliseconds=_CRASH_DURATION_MS)
_MAX_CRASHES = 256
# The oldest crashes are forgotten beyond this length of their parts.
_MAX_HELD_BYTES = 2_097_152
_MAX_SUSPECTS = 32
_MAX_LOGGED_CRASHES = 8
_MAX_LOGGED_PARTS = 32


class CrashCause:
    """Parts that together are the likely cause of several crashes.

    :param parts: the parts; several if they always came together.
    :param crash_count: crashes that they explain.
    :param last_crash_at: time of the last one on the monotonic clock.
    """

    __slots__ = ('crash_count', 'last_crash_at', 'parts')

    def __init__(
        self, parts: PartSet, crash_count: int, last_crash_at: timedelta
    ) -> None:
        self.parts = parts
        self.crash_count = crash_count
        self.last_crash_at = last_crash_at


class CrashEvidence:
    """Recent crashes of targets, and parts that are known to be sound.

    :param known_starts: the targets that are listed.
    """

    __slots__ = (
        '_crashes',
        '_crashes_by_part',
        '_held_bytes',
        '_known_starts',
        'sound_parts',
    )

    def __init__(self, known_starts: KnownStarts) -> None:
        self._known_starts = known_starts
        self._crashes: list[TargetCrash] = []
        # Crashes with a suspected request that holds the part, oldest first.
        self._crashes_by_part: dict[str, list[TargetCrash]] = {}
        # Length of the parts of all suspects.
        self._held_bytes = 0
        self.sound_parts = SoundParts()

    def __iter__(self) -> Iterator[TargetCrash]:
        """Iterate over the crashes, oldest first."""
        return iter(self._crashes)

    def select(self, parts: Iterable[str]) -> PartSet:
        """Return the parts of a request that are remembered after a crash.

        :param parts: parts of its prompt, and its identity.
        """
        return select_evidence(
            parts, self.sound_parts, self._crashes_by_part.__contains__
        )

    def record_crash(
        self,
        target: str,
        started_ms: int,
        suspects: Iterable[Suspect],
        occurred_at: timedelta,
    ) -> bool:
        """Record suspected requests of a crash; return whether one is new.

        :param target: name of the target.
        :param started_ms: start of the target, in Unix milliseconds.
        :param suspects: the unanswered requests there.
        :param occurred_at: time on the monotonic clock.
        """
        added = {each.parts: each for each in suspects if each.parts}
        if not added:
            return False
        crash = self._find(target, started_ms, occurred_at)
        if crash is None:
            crash = TargetCrash(target, started_ms, occurred_at)
            self._crashes.append(crash)
            self._crashes.sort(key=_occurred_at)
            self._drop(self._crashes[:-_MAX_CRASHES])
        is_new = False
        for parts in sorted(added, key=sorted):
            if parts in crash.suspects or len(crash.suspects) < _MAX_SUSPECTS:
                is_new = self._add(crash, added[parts]) or is_new
        while self._held_bytes > _MAX_HELD_BYTES and len(self._crashes) > 1:
            self._drop(self._crashes[:1])
        return is_new

    def find_answered(self, crashes: Iterable[TargetCrash]) -> list[str]:
        """Return the parts of crashes that are known to have been answered.

        Those that stand in the most of the crashes come first.

        :param crashes: crashes with the suspected requests.
        """
        counts: Counter[str] = Counter()
        for crash in crashes:
            counts.update(frozenset[str]().union(*crash.suspects))
        return [
            part for part, _ in counts.most_common() if part in self.sound_parts
        ]

    def is_cleared_by(self, part: str, proven_at: timedelta) -> bool:
        """Return whether an answer ends the suspicion of a part.

        :param part: ID of the part.
        :param proven_at: time of the answer on the monotonic clock.
        """
        crashes = self._crashes_by_part.get(part)
        if not crashes or proven_at < crashes[-1].occurred_at:
            return False
        last_crash_at = crashes[-1].occurred_at
        return not self.sound_parts.is_answered_since(part, last_crash_at)

    def is_repeated(self, parts: Iterable[str]) -> bool:
        """Return whether any of the parts may be a cause by now.

        It was there in enough crashes, and not answered since.

        :param parts: parts of a request.
        """
        return any(map(self._is_open_in_enough, parts))

    def drop_expired(self, now: timedelta) -> None:
        """Forget what is too old to count.

        :param now: time on the monotonic clock.
        """
        oldest = now - _RETENTION
        self._drop([crash for crash in self if crash.occurred_at <= oldest])
        self.sound_parts.drop_expired(oldest)

    def find_causes(self) -> list[CrashCause]:
        """Return the likely causes, the one of most crashes first.

        Crashes that one cause explains do not count against other parts,
        whose requests were its victims.
        """
        causes: list[CrashCause] = []
        # Only these can be causes, or parts that come with one.
        repeated = frozenset(
            part
            for part in self._crashes_by_part
            if self._is_open_in_enough(part)
        )
        if not repeated:
            return causes
        open_crashes = [
            OpenCrash(each, repeated, self.sound_parts, self._known_starts)
            for each in self
        ]
        while True:
            cause = self._find_cause(open_crashes)
            if cause is None:
                return causes
            causes.append(cause)
            open_crashes = [
                crash
                for crash in open_crashes
                if not crash.is_explained_by(cause.parts)
            ]

    def describe(
        self, parts: PartSet, last_crash_at: timedelta
    ) -> dict[str, object]:
        """Return what is known of parts, as fields of a log event.

        :param parts: parts that together may have crashed targets.
        :param last_crash_at: time of the last crash on the monotonic clock.
        """
        crashes = [
            crash
            for crash in self
            if any(parts <= suspected for suspected in crash.suspects)
        ]
        proofs = (
            (part, self.sound_parts.answered_at(part))
            for part in sorted(parts)[:_MAX_LOGGED_PARTS]
        )
        return {
            'crashes': [
                f'{crash.target} {crash.started_ms}'
                f' {(last_crash_at - crash.occurred_at) // _MS} ms'
                for crash in crashes[-_MAX_LOGGED_CRASHES:]
            ],
            'answered_ms': {
                part: None if at is None else (last_crash_at - at) // _MS
                for part, at in proofs
            },
        }

    def _is_open_in_enough(self, part: str) -> bool:
        crashes = self._crashes_by_part.get(part, ())
        if len(crashes) < _CRASH_COUNT:
            return False
        first = crashes[-_CRASH_COUNT]
        return not self.sound_parts.is_answered_since(part, first.occurred_at)

    def _add(self, crash: TargetCrash, suspect: Suspect) -> bool:
        """Add a suspected request to a crash; return whether it is new."""
        is_new = crash.add(suspect)
        if is_new:
            self._held_bytes += estimate_length(suspect.parts)
            for part in suspect.parts:
                self._index(part, crash)
        return is_new

    def _index(self, part: str, crash: TargetCrash) -> None:
        crashes = self._crashes_by_part.setdefault(part, [])
        if crash not in crashes:
            crashes.append(crash)
            crashes.sort(key=_occurred_at)

    def _drop(self, crashes: Iterable[TargetCrash]) -> None:
        for crash in tuple(crashes):
            self._crashes.remove(crash)
            self._held_bytes -= sum(map(estimate_length, crash.suspects))
            for part in frozenset[str]().union(*crash.suspects):
                remaining = self._crashes_by_part[part]
                remaining.remove(crash)
                if not remaining:
                    self._crashes_by_part.pop(part)

    def _find(
        self, target: str, started_ms: int, occurred_at: timedelta
    ) -> TargetCrash | None:
        for crash in reversed(self._crashes):
            is_same_start = (crash.target, crash.started_ms) == (
                target,
                started_ms,
            )
            if is_same_start and (
                abs(occurred_at - crash.occurred_at) < _CRASH_DURATION
            ):
                return crash
        return None

    def _find_cause(
        self, open_crashes: Collection[OpenCrash]
    ) -> CrashCause | None:
        crashes_by_part = _index_open(open_crashes)
        counts = {
            part: self._count_apart(part, found)
            for part, found in crashes_by_part.items()
            if self._has_enough(part, found)
        }
        if not counts:
            return None

        def suspicion(
            name: str,
        ) -> tuple[bool, int, int, int, tuple[int, str]]:
            found = crashes_by_part[name]
            is_new = name not in self.sound_parts
            begun_count = sum(crash.has_begun(name) for crash in found)
            # The first part of the cause is in requests of victims too.
            request_count = sum(crash.count_requests(name) for crash in found)
            # A target crashes soon after it has begun to run the cause.
            last_count = sum(crash.was_sent_last(name) for crash in found)
            return (
                is_new,
                counts[name],
                begun_count,
                -request_count,
                (last_count, name),
            )

        worst = max(counts, key=suspicion)
        companions = self._find_companions(worst, crashes_by_part)
        last_crash_at = crashes_by_part[worst][-1].occurred_at
        return CrashCause(companions, counts[worst], last_crash_at)

    def _has_enough(self, part: str, crashes: list[OpenCrash]) -> bool:
        """Return whether a part was there in enough crashes to be a cause.

        Against a whole request that was answered before, only targets count
        that have started anew since, or are gone.
        """
        if part not in self.sound_parts:
            return self._count_apart(part, crashes) >= _CRASH_COUNT
        if is_identity(part):
            crashes = [each for each in crashes if not each.is_still_listed]
        count = self._count_apart(part, crashes)
        return count >= _CRASH_COUNT_IF_SOUND_BEFORE

    def _count_apart(self, part: str, crashes: Iterable[OpenCrash]) -> int:
        """Count crashes with a part, those that may be one event as one.

        A request that was sent after one crash and met another met two. That
        proves little for a part that was answered before, while many targets
        are lost.
        """
        count = 0
        last_at: timedelta | None = None
        for crash in crashes:
            is_apart = (
                last_at is None
                or crash.occurred_at - last_at >= _MIN_CRASH_INTERVAL
                or (
                    part not in self.sound_parts
                    and crash.last_sent_at(part) >= last_at
                )
            )
            if is_apart:
                count += 1
                last_at = crash.occurred_at
        return count

    def _find_companions(
        self, worst: str, crashes_by_part: dict[str, list[OpenCrash]]
    ) -> PartSet:
        """Return a part with those that cannot be told apart from it."""
        common = frozenset.intersection(
            *(crash.find_companions(worst) for crash in crashes_by_part[worst])
        )
        was_sound = worst in self.sound_parts
        crash_count = len(crashes_by_part[worst])
        return frozenset(
            part
            for part in common
            if (part in self.sound_parts) is was_sound
            and len(crashes_by_part[part]) == crash_count
        )


def _index_open(
    crashes: Iterable[OpenCrash],
) -> dict[str, list[OpenCrash]]:
    crashes_by_part: dict[str, list[OpenCrash]] = {}
    for crash in crashes:
        for part in crash.open_parts:
            crashes_by_part.setdefault(part, []).append(crash)
    return crashes_by_part


def _occurred_at(crash: TargetCrash | OpenCrash) -> timedelta:
    return crash.occurred_at
