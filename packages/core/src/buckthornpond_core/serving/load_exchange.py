"""Load hints that entries send each other.

A hint may be lost, late or stale. Hints only improve placement: an entry that
receives none places attempts by its own load alone.
"""

from collections.abc import Iterable
from datetime import timedelta

from .._generated.hints import AttemptHint, LoadHint, TargetHint
from ..types import Recorder
from .engine_load import InFlightAttempt, RequestProfile
from .fleet import Fleet, TargetView
from .membership import Membership
from .part_quarantine import PartQuarantine
from .target_crashes import KnownStarts, NoStarts

# A peer that sends nothing for this long is removed together with its load.
_PEER_TIMEOUT = timedelta(seconds=3)
_MS = timedelta(milliseconds=1)
_PERCENT = 100
_NO_STARTS = NoStarts()
# Interval of full hints, which make up for lost datagrams.
_FULL_HINT_INTERVAL = timedelta(seconds=1)
# Time in which a new entry learns of all others through the seeds.
_DISCOVERY_TIME_MS = 2500
_DISCOVERY_TIME = timedelta(milliseconds=_DISCOVERY_TIME_MS)
# Maximum number of peers and seeds to which hints are sent.
_MAX_RECIPIENTS = 64
# Bounds the memory that hints with invented senders and members can take.
_MAX_PEERS = 4096


class Peer:
    """Another entry that sends hints.

    :param incarnation: incarnation in its last hint, or -1 if another entry
        named it and no hint has arrived yet.
    """

    __slots__ = ('incarnation', 'last_heard_at', 'sequence')

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.sequence = -1
        self.last_heard_at = timedelta()


class LoadExchange:
    """Applies the hints of other entries and produces those of this one.

    :param address: address at which this entry receives hints.
    :param incarnation: changes with each start of this entry.
    :param seeds: addresses of entries that always receive hints.
    :param recorder: receives counters and log events.
    :param known_starts: the targets that are listed.
    """

    __slots__ = (
        '_changed_targets',
        '_discovery_began_at',
        '_last_sequence',
        '_next_full_at',
        'address',
        'incarnation',
        'membership',
        'peers',
        'quarantine',
        'seeds',
    )

    def __init__(
        self,
        address: str,
        incarnation: int,
        seeds: Iterable[str],
        recorder: Recorder,
        known_starts: KnownStarts = _NO_STARTS,
    ) -> None:
        self.address = address
        self.seeds = tuple(seed for seed in seeds if seed != address)
        self.peers: dict[str, Peer] = {}
        self.membership = Membership()
        self.quarantine = PartQuarantine(
            address, self.membership, recorder, known_starts
        )
        self.incarnation = incarnation
        # When this entry began to learn of the others, at first or through
        # changed seeds.
        self._discovery_began_at: timedelta | None = None
        self._next_full_at = timedelta()
        self._last_sequence = 0
        self._changed_targets: set[str] = set()

    @property
    def has_pending_hint(self) -> bool:
        """Whether the load, or what crashes targets, changed."""
        return bool(self._changed_targets) or self.quarantine.has_news

    @property
    def addresses(self) -> list[str]:
        """Return the addresses to which the next hint is sent.

        These are the seeds and, if there are too many peers, other ones each
        time, so that every peer hears of this entry.
        """
        others = [peer for peer in self.peers if peer not in self.seeds]
        room_count = max(_MAX_RECIPIENTS - len(self.seeds), 1)
        start = 0
        if len(others) > room_count:
            start = self._last_sequence * room_count % len(others)
        rotated = others[start:] + others[:start]
        return [*self.seeds, *rotated[:room_count]]

    def count_entries(self, now: timedelta) -> int:
        """Return the number of live entries, zero while it is unknown.

        :param now: time on the monotonic clock.
        """
        if self._discovery_began_at is None:
            self._discovery_began_at = now
        if self.seeds and now - self._discovery_began_at < _DISCOVERY_TIME:
            return 0
        return len(self.peers) + 1

    def change_seeds(self, seeds: Iterable[str], now: timedelta) -> None:
        """Replace the seeds; entries that are known stay peers.

        A seed that is no peer may lead to entries that nobody here has heard
        of, so that their number is unknown for a while.

        :param seeds: addresses of entries that always receive hints.
        :param now: time on the monotonic clock.
        """
        self.seeds = tuple(seed for seed in seeds if seed != self.address)
        if any(seed not in self.peers for seed in self.seeds):
            self._discovery_began_at = now

    def mark_changed(self, target: str) -> None:
        """Mark a target at which this entry's load changed.

        :param target: name of the target.
        """
        self._changed_targets.add(target)

    def make_hint(self, fleet: Fleet, now: timedelta) -> LoadHint:
        """Return the next hint of this entry.

        The first hint, and one each second, is full: it lists every target
        with load and all known entries. Others list only changed targets.

        :param fleet: targets with this entry's attempts.
        :param now: time on the monotonic clock.
        """
        self.count_entries(now)
        self._last_sequence += 1
        is_full = now >= self._next_full_at
        if is_full:
            self._next_full_at = now + _FULL_HINT_INTERVAL
        if is_full:
            views = [view for view in fleet if view.attempts]
        else:
            found = [fleet.find(name) for name in self._changed_targets]
            views = [view for view in found if view is not None]
        self._changed_targets.clear()
        hint = LoadHint(
            sender=self.address,
            incarnation=self.incarnation,
            sequence=self._last_sequence,
            is_full=is_full,
            targets=[_make_target_hint(view, now) for view in views],
            members=list(self.peers) if is_full else [],
        )
        self.quarantine.fill_hint(hint, now)
        return hint

    def apply_hint(self, hint: LoadHint, fleet: Fleet, now: timedelta) -> bool:
        """Apply a hint of another entry if it is newer than the last one.

        Return whether it was.

        :param hint: the hint.
        :param fleet: targets at which the load is recorded.
        :param now: time on the monotonic clock.
        """
        if hint.sender == self.address or not self._accepts_peer(hint.sender):
            return False
        peer = self.peers.get(hint.sender)
        if peer is None or peer.incarnation != hint.incarnation:
            peer = Peer(hint.incarnation)
            self.peers[hint.sender] = peer
            self.quarantine.tell_again(now)
        if hint.sequence <= peer.sequence:
            return False
        peer.sequence = hint.sequence
        peer.last_heard_at = now
        self.membership.record(hint.sender, now)
        self._record_load(hint, fleet, now)
        self.quarantine.apply_hint(hint, now)
        for member in hint.members:
            is_new = member != self.address and member not in self.peers
            if is_new and self._accepts_peer(member):
                # Removed after a while unless it sends a hint itself.
                self.peers[member] = Peer(-1)
                self.peers[member].last_heard_at = now
                self.membership.record(member, now)
        return True

    def drop_silent_peers(self, fleet: Fleet, now: timedelta) -> None:
        """Remove peers that sent no hint recently, together with their load.

        :param fleet: targets from which the load is removed.
        :param now: time on the monotonic clock.
        """
        silent = [
            address
            for address, peer in self.peers.items()
            if now - peer.last_heard_at > _PEER_TIMEOUT
        ]
        self.membership.drop_expired(now)
        self.quarantine.drop_expired(now)
        for address in silent:
            self.peers.pop(address)
            for view in fleet:
                view.peer_attempts.pop(address, None)

    def _accepts_peer(self, address: str) -> bool:
        """Return whether an address is, or may become, one of a peer."""
        return address in self.peers or len(self.peers) < _MAX_PEERS

    def _record_load(
        self,
        hint: LoadHint,
        fleet: Fleet,
        now: timedelta,
    ) -> None:
        listed = {each.target: each.attempts for each in hint.targets}
        if hint.is_full:
            for view in fleet:
                if view.record.name not in listed:
                    view.peer_attempts.pop(hint.sender, None)
        for name, attempts in listed.items():
            known = fleet.find(name)
            if known is None:
                continue
            known.peer_attempts[hint.sender] = [
                _read_attempt_hint(each, now) for each in attempts
            ]


def _make_target_hint(view: TargetView, now: timedelta) -> TargetHint:
    return TargetHint(
        target=view.record.name,
        attempts=[
            AttemptHint(
                prefill_ms=int(attempt.remaining_prefill_ms(now)),
                held_tokens=attempt.held_tokens,
                event_gap_ms=attempt.profile.event_gap_ms,
                weight_percent=int(attempt.profile.weight * _PERCENT),
                decodes=attempt.decodes,
                first_event_due_ms=max(
                    int((attempt.first_event_due - now) / _MS), 0
                ),
            )
            for attempt in view.attempts.values()
        ],
    )


def _read_attempt_hint(hint: AttemptHint, now: timedelta) -> InFlightAttempt:
    profile = RequestProfile(
        prompt_tokens=hint.held_tokens,
        output_tokens=0,
        event_gap_ms=hint.event_gap_ms,
        objective_ms=hint.first_event_due_ms,
        weight=hint.weight_percent / _PERCENT,
    )
    attempt = InFlightAttempt(
        profile,
        hint.prefill_ms,
        now,
        held_tokens=hint.held_tokens,
        decodes=hint.decodes,
    )
    attempt.is_prefilling = hint.prefill_ms > 0
    return attempt
