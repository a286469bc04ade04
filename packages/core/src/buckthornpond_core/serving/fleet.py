"""Targets that an entry knows from the source of the fleet."""

import math
from collections.abc import Iterable, Iterator
from datetime import timedelta

from .._generated.serving import SourceSnapshot, TargetRecord
from .budgets import ColdRateLimit
from .departures import Departures
from .engine_load import InFlightAttempt
from .health import TargetHealth
from .reported_load import UnexplainedLoad
from .source_availability import SourceAvailability
from .source_positions import SourcePosition
from .target_terms import FormerTerms, TargetTerms

# Operators and targets write again within this time what a copy of the source
# lacks. Records of targets that do not run lapse in it.
_RESTORATION_TIME = timedelta(seconds=5)
_LATENCY_WEIGHT = 0.2
_LATENCY_DECAY_TIME = timedelta(seconds=5)


class TargetView:
    """State of one target as an entry knows it.

    :param record: record that the target registered.
    :param terms: what this start of it has said of itself.
    """

    __slots__ = (
        '_latency_ms',
        '_latency_updated_at',
        'attempts',
        'cold_rate_limit',
        'cold_until',
        'expires_at',
        'health',
        'is_held',
        'peer_attempts',
        'record',
        'terms',
        'unexplained_load',
    )

    def __init__(self, record: TargetRecord, terms: TargetTerms) -> None:
        self.record = record
        self.terms = terms
        self.health = TargetHealth()
        self.unexplained_load = UnexplainedLoad()
        self.attempts: dict[str, InFlightAttempt] = {}
        # Attempts of other entries by address of the entry.
        self.peer_attempts: dict[str, list[InFlightAttempt]] = {}
        self.cold_until = timedelta()
        self.cold_rate_limit: ColdRateLimit | None = None
        self._latency_ms = 0.0
        self._latency_updated_at = timedelta()
        self.expires_at: timedelta | None = None
        # Whether it has left and only an older copy of the source lists it.
        self.is_held = False

    @property
    def all_attempts(self) -> list[InFlightAttempt]:
        """Return the attempts in flight of this and of other entries."""
        found = list(self.attempts.values())
        for attempts in self.peer_attempts.values():
            found.extend(attempts)
        return found

    def smoothed_latency_ms(self, now: timedelta) -> float:
        """Return the smoothed time to first byte.

        It decays exponentially while no answer arrives.

        :param now: time on the monotonic clock.
        """
        return self._latency_ms * math.exp(
            -(now - self._latency_updated_at) / _LATENCY_DECAY_TIME
        )

    def record_latency(self, first_ms: float, now: timedelta) -> None:
        """Record the time to first byte of an answer.

        :param first_ms: time to first byte.
        :param now: time on the monotonic clock.
        """
        smoothed_latency_ms = self.smoothed_latency_ms(now)
        self._latency_ms = smoothed_latency_ms + _LATENCY_WEIGHT * (
            first_ms - smoothed_latency_ms
        )
        self._latency_updated_at = now

    def mark_cold(self, until: timedelta, allowed_per_second: float) -> None:
        """Limit the request rate of the target for some time.

        :param until: end of the limit, on the monotonic clock.
        :param allowed_per_second: requests that all entries together may send.
        """
        self.cold_until = max(self.cold_until, until)
        if self.cold_rate_limit is None:
            self.cold_rate_limit = ColdRateLimit(allowed_per_second)
        else:
            self.cold_rate_limit.change(allowed_per_second)

    def is_cold(self, now: timedelta) -> bool:
        """Return whether the request rate of the target is limited.

        :param now: time on the monotonic clock.
        """
        return now < self.cold_until

    def accepts_work(self, now: timedelta) -> bool:
        """Return whether the target is registered and does not leave.

        :param now: time on the monotonic clock.
        """
        if self.record.is_draining or self.is_held or self.terms.is_leaving:
            return False
        return self.expires_at is None or now < self.expires_at


class Fleet:
    """Known targets, evacuated availability zones and state of the source."""

    __slots__ = (
        '_departures',
        '_former_terms',
        '_services',
        '_targets',
        'evacuated_zones',
        'held_zones',
        'position',
        'restored_until',
        'source',
    )

    def __init__(self) -> None:
        self._targets: dict[str, TargetView] = {}
        self._services: dict[str, dict[str, TargetView]] = {}
        self._departures = Departures()
        self._former_terms = FormerTerms()
        self.evacuated_zones: set[str] = set()
        # Evacuated zones that an older copy of the source does not list.
        self.held_zones: set[str] = set()
        # Until when what an older copy contradicts stays in force.
        self.restored_until: timedelta | None = None
        self.position = SourcePosition()
        self.source = SourceAvailability()

    @property
    def revision(self) -> int:
        """Return the revision of the source that is known, zero for none."""
        return self.position.revision

    def __iter__(self) -> Iterator[TargetView]:
        """Iterate over all known targets."""
        return iter(self._targets.values())

    def find(self, name: str) -> TargetView | None:
        """Return a target by its name.

        :param name: name of the target.
        """
        return self._targets.get(name)

    def has_start(self, target: str, started_ms: int) -> bool:
        """Return whether a target is listed with a start.

        :param target: name of the target.
        :param started_ms: start of the target, in Unix milliseconds.
        """
        view = self.find(target)
        return view is not None and view.record.started_ms == started_ms

    def find_address(self, address: str) -> TargetView | None:
        """Return the target at an address.

        :param address: IP address and port.
        """
        for view in self:
            if view.record.address == address:
                return view
        return None

    def list_service(self, service: str) -> list[TargetView]:
        """Return all known targets of a service.

        :param service: name of the service.
        """
        return list(self._services.get(service, {}).values())

    def is_usable(self, view: TargetView, now: timedelta) -> bool:
        """Return whether a target may receive new requests.

        :param view: the target.
        :param now: time on the monotonic clock.
        """
        zone = view.record.availability_zone
        return view.accepts_work(now) and zone not in self.evacuated_zones

    def put(self, record: TargetRecord) -> TargetView:
        """Add or replace the record of a target.

        The state of the target starts anew if its start time differs.

        :param record: record that the target registered.
        """
        view = self._targets.get(record.name)
        if view is None or view.record.started_ms != record.started_ms:
            view = TargetView(record, self._former_terms.take(record))
        self._drop(record.name)
        self._targets[record.name] = view
        self._services.setdefault(record.service, {})[record.name] = view
        view.record = record
        view.expires_at = None
        view.is_held = False
        return view

    def remove(self, name: str, now: timedelta, *, may_return: bool) -> bool:
        """Remove a target and return whether that happens at once.

        A target that may return stays for a grace period, unless it drains.

        :param name: name of the target.
        :param now: time on the monotonic clock.
        :param may_return: whether its record may have expired in an outage of
            the source.
        """
        view = self._targets.get(name)
        if view is None:
            return False
        if may_return and not view.record.is_draining:
            self._begin_grace(view, now)
            return False
        self._record_departure(view, now)
        return True

    def evacuate(self, zone: str) -> None:
        """Record the evacuation of an availability zone.

        :param zone: name of the zone.
        """
        self.evacuated_zones.add(zone)
        self.held_zones.discard(zone)

    def return_zone(self, zone: str) -> None:
        """Record the end of an evacuation.

        :param zone: name of the zone.
        """
        self.evacuated_zones.discard(zone)
        self.held_zones.discard(zone)

    def replace_all(
        self, snapshot: SourceSnapshot, now: timedelta, *, may_return: bool
    ) -> None:
        """Replace all targets and evacuated availability zones.

        :param snapshot: everything that the source holds.
        :param now: time on the monotonic clock.
        :param may_return: whether records that it lacks may have expired in an
            outage of the source.
        """
        self._remove_absent(snapshot, now, may_return=may_return)
        for record in snapshot.targets:
            self.put(record)
        self.evacuated_zones = set(snapshot.evacuated_zones)

    def restore_all(
        self, snapshot: SourceSnapshot, now: timedelta, *, is_new: bool
    ) -> None:
        """Replace all by what a source holds that came back older.

        What is known to have happened since the copy was taken stays in
        force until it is written again, or for a time in which the source
        answers: evacuations, and that targets drain, have left or have
        started anew.

        :param snapshot: everything that the source holds.
        :param now: time on the monotonic clock.
        :param is_new: whether the source came back since the last snapshot.
        """
        if is_new:
            self.source.record_outage_end(now)
            self.restored_until = now + _RESTORATION_TIME
        may_return = self.source.is_unstable(now)
        self._remove_absent(snapshot, now, may_return=may_return)
        for record in snapshot.targets:
            self._restore(record)
        present = set(snapshot.evacuated_zones)
        self.held_zones |= self.evacuated_zones - present
        for zone in present:
            self.evacuate(zone)

    def end_restoration(self, now: timedelta) -> list[str]:
        """Take the copy as it is once it had time to be written to.

        Returns the zones whose evacuation was not written again.

        :param now: time on the monotonic clock.
        """
        end = self.restored_until
        if end is None or now < end or self.source.is_lost:
            return []
        self.restored_until = None
        for view in self:
            view.is_held = False
        ended = sorted(self.held_zones)
        for zone in ended:
            self.return_zone(zone)
        return ended

    def drop_expired(self, now: timedelta) -> list[str]:
        """Drop targets whose grace period is over and return their names.

        :param now: time on the monotonic clock.
        """
        gone = [
            each
            for each in self
            if each.expires_at is not None and now >= each.expires_at
        ]
        for view in gone:
            self._record_departure(view, now)
        self._departures.drop_expired(now)
        return [each.record.name for each in gone]

    def confirm(self, position: SourcePosition, now: timedelta) -> bool:
        """Record an answer of the source; return whether it was lost before.

        :param position: position of the source. That of another era is not
            taken over, since what it holds is not known.
        :param now: time on the monotonic clock.
        """
        is_same_era = position.era == self.position.era
        if is_same_era and self.position.is_before(position):
            self.position = position
        was_lost = self.source.record_answer(now)
        if was_lost and self.restored_until is not None:
            self.restored_until = now + _RESTORATION_TIME
        return was_lost

    def confirm_by_peer(
        self, position: SourcePosition, confirmed_at: timedelta
    ) -> None:
        """Record the position that a peer received from the source.

        :param position: position of the source that the peer follows.
        :param confirmed_at: time at which the source last answered the peer.
        """
        if self.position.is_before(position):
            self.position = position
        self.source.record_peer_answer(confirmed_at)

    def list_names(self) -> Iterable[str]:
        """Return the names of all targets."""
        return self._targets.keys()

    def _remove_absent(
        self, snapshot: SourceSnapshot, now: timedelta, *, may_return: bool
    ) -> None:
        present = {record.name for record in snapshot.targets}
        for name in tuple(self._targets):
            if name not in present:
                self.remove(name, now, may_return=may_return)

    def _restore(self, record: TargetRecord) -> None:
        """Put a record that may be older than what is known of its target."""
        known = self._targets.get(record.name)
        if known is None:
            has_left = self._departures.includes(record)
        elif known.record.started_ms > record.started_ms:
            return
        else:
            is_same_start = known.record.started_ms == record.started_ms
            has_left = is_same_start and (
                known.record.is_draining or known.is_held
            )
        self.put(record).is_held = has_left

    def _record_departure(self, view: TargetView, now: timedelta) -> None:
        self._departures.record(view.record, now)
        self._former_terms.keep(view.record, view.terms)
        self._drop(view.record.name)

    def _drop(self, name: str) -> None:
        view = self._targets.pop(name, None)
        if view is not None:
            self._services[view.record.service].pop(name, None)

    def _begin_grace(self, view: TargetView, now: timedelta) -> None:
        # While the source is away, another entry may tell of it repeatedly.
        if view.expires_at is None or not self.source.is_lost:
            view.expires_at = self.source.find_grace_end(now)
