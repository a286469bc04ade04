"""Quarantines of parts that crash targets, and how entries tell of them."""

from collections.abc import Iterable
from datetime import timedelta

from .._generated.hints import CrashHint, QuarantineHint, SuspectHint
from .crash_evidence import CrashCause
from .suspect_parts import estimate_length
from .target_crashes import Suspect, TargetCrash

_MS = timedelta(milliseconds=1)
# Time without a request after which a quarantine ends.
_QUARANTINE_MS = 600_000
# A caller that comes back sooner is only refused again.
QUARANTINE_RETRY_AFTER_MS = _QUARANTINE_MS
QUARANTINE_TIME = timedelta(milliseconds=_QUARANTINE_MS)
# Time until one request is let through as a probe, doubled by each probe.
_FIRST_PROBE_MS = 600_000
_FIRST_PROBE_INTERVAL = timedelta(milliseconds=_FIRST_PROBE_MS)
_PROBE_INTERVAL_FACTOR = 2
_MAX_PROBE_INTERVAL = timedelta(hours=6)

_MAX_TOLD_CRASHES = 8
_MAX_TOLD_QUARANTINES = 64
# A hint is one datagram, which tells of load too.
_MAX_CRASH_BYTES = 24_000
_MAX_QUARANTINE_BYTES = 8000
_SUSPECT_OVERHEAD_BYTES = 32


class Quarantine:
    """Parts whose requests are refused, and until when.

    :param cause: the parts, and the crashes that they explain.
    :param ends_at: when it ends unless such a request comes, on the monotonic
        clock.
    """

    __slots__ = (
        'crash_count',
        'ends_at',
        'evidence_at',
        'parts',
        'probe_at',
        'probe_interval',
    )

    def __init__(self, cause: CrashCause, ends_at: timedelta) -> None:
        self.parts = cause.parts
        self.crash_count = cause.crash_count
        # Time of the last crash; a later answer refutes it.
        self.evidence_at = cause.last_crash_at
        self.ends_at = ends_at
        self.probe_interval = _FIRST_PROBE_INTERVAL
        self.probe_at = self.evidence_at + self.probe_interval

    def postpone_probe(self, now: timedelta) -> None:
        """Let nothing through before a longer interval has passed.

        :param now: time on the monotonic clock.
        """
        self.probe_interval = min(
            self.probe_interval * _PROBE_INTERVAL_FACTOR, _MAX_PROBE_INTERVAL
        )
        self.probe_at = now + self.probe_interval


def limit_crashes(crashes: Iterable[TargetCrash]) -> list[TargetCrash]:
    """Return the latest crashes that fit into a hint, oldest first.

    Of one that does not fit as a whole the likeliest suspects are told.

    :param crashes: crashes, oldest first.
    """
    found: list[TargetCrash] = []
    remaining_bytes = _MAX_CRASH_BYTES
    for crash in reversed(tuple(crashes)[-_MAX_TOLD_CRASHES:]):
        told = TargetCrash(crash.target, crash.started_ms, crash.occurred_at)
        for suspect in sorted(
            crash.suspects.values(), key=_likelihood, reverse=True
        ):
            remaining_bytes -= _SUSPECT_OVERHEAD_BYTES
            remaining_bytes -= estimate_length(suspect.parts)
            if remaining_bytes < 0:
                break
            told.add(suspect)
        if told.suspects:
            found.append(told)
    found.reverse()
    return found


def limit_quarantines(quarantines: Iterable[Quarantine]) -> list[Quarantine]:
    """Return those with the latest evidence that fit into a hint, oldest first.

    :param quarantines: all quarantines.
    """
    found: list[Quarantine] = []
    remaining_bytes = _MAX_QUARANTINE_BYTES
    for quarantine in sorted(quarantines, key=_evidence_at, reverse=True):
        remaining_bytes -= estimate_length(quarantine.parts)
        is_full = len(found) >= _MAX_TOLD_QUARANTINES or remaining_bytes < 0
        if found and is_full:
            break
        found.append(quarantine)
    found.reverse()
    return found


def make_crash_hint(crash: TargetCrash, now: timedelta) -> CrashHint:
    """Return what other entries hear of a crash.

    :param crash: the crash.
    :param now: time on the monotonic clock.
    """
    return CrashHint(
        target=crash.target,
        started_ms=crash.started_ms,
        age_ms=(now - crash.occurred_at) // _MS,
        suspects=[
            SuspectHint(
                sorted(each.parts),
                (now - each.sent_at) // _MS,
                has_begun=each.has_begun,
            )
            for each in crash.suspects.values()
        ],
    )


def make_quarantine_hint(
    quarantine: Quarantine, now: timedelta
) -> QuarantineHint:
    """Return what other entries hear of a quarantine.

    :param quarantine: the quarantine.
    :param now: time on the monotonic clock.
    """
    return QuarantineHint(
        parts=sorted(quarantine.parts),
        crash_count=quarantine.crash_count,
        age_ms=(now - quarantine.evidence_at) // _MS,
        remaining_ms=max((quarantine.ends_at - now) // _MS, 0),
    )


def _likelihood(suspect: Suspect) -> tuple[bool, timedelta]:
    """Return how likely a request crashed its target, as an order."""
    return suspect.has_begun, suspect.sent_at


def _evidence_at(quarantine: Quarantine) -> timedelta:
    return quarantine.evidence_at
