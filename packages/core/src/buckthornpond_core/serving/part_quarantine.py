"""Requests that are refused since they, or parts of them, crash targets.

Entries tell each other of crashes, of parts that were answered and of
quarantines, so that all of them stop sending such requests together and an
entry that has just started does not have to see the crashes again.
"""

from collections.abc import Collection, Iterable, Sequence
from datetime import timedelta

from .._generated.hints import LoadHint, QuarantineHint, SoundPartHint
from ..event_codes import EventCode
from ..rendezvous import score
from ..types import Recorder
from .crash_evidence import CrashCause, CrashEvidence
from .membership import Membership
from .quarantines import (
    QUARANTINE_TIME,
    Quarantine,
    limit_crashes,
    limit_quarantines,
    make_crash_hint,
    make_quarantine_hint,
)
from .request_identity import is_identity
from .target_crashes import KnownStarts, PartSet, Suspect, TargetCrash

_MS = timedelta(milliseconds=1)
_MAX_QUARANTINES = 256
# Crashes are told again for this long, for entries that missed a datagram or
# are told by others only. Longer than an entry may be silent before it counts
# as newly heard, and the interval of full hints.
_RELAY_TIME = timedelta(seconds=5)
# How old crashes are told to an entry that has started or was cut off.
_RETOLD_AGE = timedelta(seconds=60)
_MAX_TOLD_PARTS = 256
_MAX_LOGGED_PARTS = 32
_OWN_ORIGIN = 'own'


class PartQuarantine:
    """Decides which requests are refused for crashes of targets.

    :param address: address of this entry.
    :param membership: other entries that may be alive.
    :param recorder: receives counters and log events.
    :param known_starts: the targets that are listed.
    """

    __slots__ = (
        '_address',
        'evidence',
        '_has_news',
        '_membership',
        '_new_crashes',
        '_quarantines',
        '_recorder',
        '_retells_until',
        '_told_sound_parts',
    )

    def __init__(
        self,
        address: str,
        membership: Membership,
        recorder: Recorder,
        known_starts: KnownStarts,
    ) -> None:
        self._address = address
        self._membership = membership
        self._recorder = recorder
        self.evidence = CrashEvidence(known_starts)
        self._quarantines: dict[PartSet, Quarantine] = {}
        # What the next hint tells, and whether it is due at once.
        self._has_news = False
        self._new_crashes: list[TargetCrash] = []
        self._told_sound_parts: set[str] = set()
        # Until when hints tell older crashes too, on the monotonic clock.
        self._retells_until = timedelta()

    def __len__(self) -> int:
        """Return the number of quarantines."""
        return len(self._quarantines)

    @property
    def has_news(self) -> bool:
        """Return whether other entries should soon hear of something."""
        return self._has_news

    def may_place(self, parts: Iterable[str], now: timedelta) -> bool:
        """Return whether a request may be sent to a target.

        Refusing a request prolongs the quarantine of its parts.

        :param parts: parts of its prompt that others may hold too, and its
            identity.
        :param now: time on the monotonic clock.
        """
        if not self._quarantines:
            return True
        found = self._find(parts)
        if found and all(self._may_probe(each, now) for each in found):
            for quarantine in found:
                quarantine.postpone_probe(now)
            return True
        for quarantine in found:
            quarantine.ends_at = now + QUARANTINE_TIME
        return not found

    def find_reason(self, parts: Iterable[str]) -> str:
        """Return the reason with which a request is refused.

        :param parts: parts of its prompt that others may hold too, and its
            identity.
        """
        is_whole = any(
            is_identity(part)
            for quarantine in self._find(parts)
            for part in quarantine.parts
        )
        return 'request_quarantined' if is_whole else 'prompt_quarantined'

    def record_loss(
        self,
        target: str,
        started_ms: int,
        suspect: Suspect,
        now: timedelta,
    ) -> None:
        """Record that a target was lost before it answered a request.

        :param target: name of the target.
        :param started_ms: start of the target, in Unix milliseconds.
        :param suspect: the request.
        :param now: time on the monotonic clock.
        """
        evidence = Suspect(
            self.evidence.select(suspect.parts),
            suspect.sent_at,
            has_begun=suspect.has_begun,
        )
        if self._record_crash(target, started_ms, [evidence], now):
            self._has_news = True
            self._update([evidence], _OWN_ORIGIN)

    def record_sound(self, parts: Iterable[str], proven_at: timedelta) -> None:
        """Record that a target answered a request.

        :param parts: parts of its prompt that others may hold too, and its
            identity.
        :param proven_at: when it had begun to answer, on the monotonic clock.
        """
        held_parts = frozenset(parts)
        cleared = {
            part
            for part in held_parts
            if self.evidence.is_cleared_by(part, proven_at)
        }
        self.evidence.sound_parts.record(held_parts, proven_at)
        self._told_sound_parts |= cleared
        self._has_news = self._has_news or bool(cleared)
        self._release_sound(held_parts, proven_at)

    def tell_again(self, now: timedelta) -> None:
        """Tell what a newly heard entry may have missed.

        :param now: time on the monotonic clock.
        """
        self._retells_until = now + _RELAY_TIME

    def fill_hint(self, hint: LoadHint, now: timedelta) -> None:
        """Add to a hint what other entries have to know.

        :param hint: the next hint of this entry.
        :param now: time on the monotonic clock.
        """
        crashes = self._new_crashes
        if hint.is_full:
            is_retold = now < self._retells_until
            max_age = _RETOLD_AGE if is_retold else _RELAY_TIME
            crashes = [
                crash
                for crash in self.evidence
                if now - crash.occurred_at < max_age
            ]
        crashes = limit_crashes(crashes)
        hint.crashes = [make_crash_hint(crash, now) for crash in crashes]
        if hint.is_full:
            hint.quarantines = [
                make_quarantine_hint(quarantine, now)
                for quarantine in limit_quarantines(self._quarantines.values())
            ]
        hint.sound_parts = self._make_sound_hints(crashes, now)
        self._has_news = False
        self._new_crashes = []
        self._told_sound_parts.clear()

    def apply_hint(self, hint: LoadHint, now: timedelta) -> None:
        """Apply what another entry knows.

        :param hint: a hint of the other entry.
        :param now: time on the monotonic clock.
        """
        for told in hint.sound_parts:
            proven_at = now - told.age_ms * _MS
            self.evidence.sound_parts.record((told.part,), proven_at)
            self._release_sound(frozenset((told.part,)), proven_at)
        for crash in hint.crashes:
            suspects = [
                Suspect(
                    frozenset(each.parts),
                    now - each.age_ms * _MS,
                    has_begun=each.has_begun,
                )
                for each in crash.suspects
            ]
            occurred_at = now - crash.age_ms * _MS
            if self._record_crash(
                crash.target, crash.started_ms, suspects, occurred_at
            ):
                self._update(suspects, hint.sender)
        for quarantine in hint.quarantines:
            self._adopt(quarantine, hint.sender, now)

    def drop_expired(self, now: timedelta) -> None:
        """End quarantines of parts that no request has held for long.

        :param now: time on the monotonic clock.
        """
        self.evidence.drop_expired(now)
        for quarantine in tuple(self._quarantines.values()):
            if now >= quarantine.ends_at:
                self._release(quarantine, 'expired')

    def _find(self, parts: Iterable[str]) -> list[Quarantine]:
        """Return the quarantines that concern a request with these parts."""
        held_parts = frozenset(parts)
        return [
            quarantine
            for quarantine in self._quarantines.values()
            if quarantine.parts <= held_parts
        ]

    def _may_probe(self, quarantine: Quarantine, now: timedelta) -> bool:
        """Return whether this entry may test if the parts still crash targets.

        Only one entry tests a part, since each test may cost a target.
        """
        if now < quarantine.probe_at:
            return False
        key = ','.join(sorted(quarantine.parts))
        own_score = score(key, self._address)
        return all(
            score(key, address) < own_score
            for address in self._membership.addresses
        )

    def _record_crash(
        self,
        target: str,
        started_ms: int,
        suspects: Sequence[Suspect],
        occurred_at: timedelta,
    ) -> bool:
        """Record a crash and return whether that is hint."""
        is_new = self.evidence.record_crash(
            target, started_ms, suspects, occurred_at
        )
        if not is_new:
            return False
        crash = TargetCrash(target, started_ms, occurred_at)
        crash.suspects = {each.parts: each for each in suspects}
        self._new_crashes.append(crash)
        return True

    def _make_sound_hints(
        self, told_crashes: Iterable[TargetCrash], now: timedelta
    ) -> list[SoundPartHint]:
        """Return the answers that refute suspicions, and those of told crashes.

        Who hears of a crash only now must not take an answered part for new.
        """
        parts = dict.fromkeys(sorted(self._told_sound_parts))
        parts.update(dict.fromkeys(self.evidence.find_answered(told_crashes)))
        hints = []
        for part in tuple(parts)[:_MAX_TOLD_PARTS]:
            proven_at = self.evidence.sound_parts.answered_at(part)
            if proven_at is not None:
                hints.append(SoundPartHint(part, (now - proven_at) // _MS))
        return hints

    def _update(self, suspects: Sequence[Suspect], origin: str) -> None:
        """Quarantine the likely causes of the crashes after a new one."""
        if any(self.evidence.is_repeated(each.parts) for each in suspects):
            self._apply_causes(origin)

    def _apply_causes(self, origin: str) -> None:
        """Quarantine what the crashes show now, and nothing else."""
        causes = self.evidence.find_causes()
        self._withdraw({cause.parts for cause in causes})
        for cause in causes:
            ends_at = cause.last_crash_at + QUARANTINE_TIME
            known = self._quarantines.get(cause.parts)
            if known is None:
                self._start(Quarantine(cause, ends_at), origin)
            elif cause.last_crash_at > known.evidence_at:
                known.crash_count = cause.crash_count
                known.evidence_at = cause.last_crash_at
                known.ends_at = max(known.ends_at, ends_at)

    def _withdraw(self, causes: Collection[PartSet]) -> None:
        """End quarantines of which a fuller view of the crashes shows no cause.

        The requests of one crash become known one after another.
        """
        crash_times = {crash.occurred_at for crash in self.evidence}
        for quarantine in tuple(self._quarantines.values()):
            has_crashes = quarantine.evidence_at in crash_times
            if has_crashes and quarantine.parts not in causes:
                self._release(quarantine, 'explained')

    def _adopt(self, told: QuarantineHint, peer: str, now: timedelta) -> None:
        evidence_at = now - told.age_ms * _MS
        cleared = {
            part
            for part in told.parts
            if (self.evidence.sound_parts.answered_at(part) or timedelta())
            > evidence_at
        }
        self._told_sound_parts |= cleared
        parts = frozenset(told.parts) - cleared
        if not (parts and told.remaining_ms):
            return
        ends_at = now + min(told.remaining_ms * _MS, QUARANTINE_TIME)
        known = self._quarantines.get(parts)
        if known is not None:
            known.ends_at = max(known.ends_at, ends_at)
            known.evidence_at = max(known.evidence_at, evidence_at)
            return
        cause = CrashCause(parts, told.crash_count, evidence_at)
        self._start(Quarantine(cause, ends_at), peer)

    def _start(self, quarantine: Quarantine, origin: str) -> None:
        if len(self._quarantines) >= _MAX_QUARANTINES:
            self._recorder.count('quarantines', 'too_many')
            return
        self._quarantines[quarantine.parts] = quarantine
        is_own = origin == _OWN_ORIGIN
        self._recorder.count('quarantines', _OWN_ORIGIN if is_own else 'peer')
        self._recorder.log(
            EventCode.parts_quarantined,
            parts=sorted(quarantine.parts)[:_MAX_LOGGED_PARTS],
            part_count=len(quarantine.parts),
            crash_count=quarantine.crash_count,
            origin=origin,
            **self.evidence.describe(quarantine.parts, quarantine.evidence_at),
        )

    def _release_sound(self, parts: PartSet, proven_at: timedelta) -> None:
        """End or narrow the quarantines that an answer refutes.

        An answer from before the last crash may leave too few crashes.
        """
        found = [
            quarantine
            for quarantine in self._quarantines.values()
            if not quarantine.parts.isdisjoint(parts)
        ]
        if not found:
            return
        for quarantine in found:
            if quarantine.evidence_at < proven_at:
                self._release(quarantine, 'answered')
                self._keep_rest(quarantine, quarantine.parts - parts)
        self._apply_causes(_OWN_ORIGIN)
        for quarantine in found:
            if quarantine.parts not in self._quarantines:
                self._told_sound_parts |= quarantine.parts & parts
                self._has_news = True

    def _keep_rest(self, quarantine: Quarantine, parts: PartSet) -> None:
        """Go on with the parts of a quarantine that were not answered."""
        if not parts or parts in self._quarantines:
            return
        cause = CrashCause(
            parts, quarantine.crash_count, quarantine.evidence_at
        )
        self._start(Quarantine(cause, quarantine.ends_at), _OWN_ORIGIN)

    def _release(self, quarantine: Quarantine, reason: str) -> None:
        self._quarantines.pop(quarantine.parts)
        self._recorder.count('ended_quarantines', reason)
        self._recorder.log(
            EventCode.parts_released,
            parts=sorted(quarantine.parts)[:_MAX_LOGGED_PARTS],
            part_count=len(quarantine.parts),
            crash_count=quarantine.crash_count,
            reason=reason,
        )
