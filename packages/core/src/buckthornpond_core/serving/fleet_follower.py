"""Follows the changes of the fleet and of its configuration."""

from datetime import timedelta
from typing import TypeAlias

from msgspec.structs import replace

from .._generated.serving import (
    ConfigurationRead,
    DirectSettings,
    FleetView,
    Service,
    ServingConfiguration,
    SourceConfirmed,
    SourceLost,
    SourceSnapshot,
    TargetFound,
    TargetRecord,
    TargetRemoved,
    ZoneEvacuated,
    ZoneReturned,
)
from ..event_codes import EventCode
from ..types import Recorder
from .fleet import Fleet, TargetView
from .routes import RouteTable
from .source_positions import SourcePosition

_MS = timedelta(milliseconds=1)
# Time in which the source resends the changes missed during its outage.
_REPLAY_WINDOW = timedelta(seconds=5)
_INCREMENTAL_CHANGES = (TargetFound, TargetRemoved, ZoneEvacuated, ZoneReturned)

FleetChange: TypeAlias = (
    ConfigurationRead
    | SourceConfirmed
    | SourceLost
    | SourceSnapshot
    | TargetFound
    | TargetRemoved
    | ZoneEvacuated
    | ZoneReturned
)


class FleetFollower:
    """Applies the changes that the source of the fleet reports.

    :param settings: settings of the process.
    :param recorder: receives counters and log events.
    """

    __slots__ = (
        '_peer_revision',
        '_recorder',
        '_settings',
        'fleet',
        'route_table',
    )

    def __init__(self, settings: DirectSettings, recorder: Recorder) -> None:
        self.fleet = Fleet()
        self.route_table: RouteTable | None = None
        self._settings = settings
        self._recorder = recorder
        # Revision of the last snapshot that a peer sent.
        self._peer_revision = 0

    @property
    def is_source_reachable(self) -> bool:
        """Whether the source answered the last call."""
        return not self.fleet.source.is_lost

    @property
    def version(self) -> int:
        """Return the configuration version in force, zero before the first."""
        return self.route_table.configuration.version if self.route_table else 0

    @property
    def services(self) -> dict[str, Service]:
        """Return the services of the configuration in force."""
        return self.route_table.services if self.route_table else {}

    def change_settings(self, settings: DirectSettings) -> None:
        """Replace the settings, also for the limits of cold targets.

        :param settings: new settings of the process.
        """
        self._settings = settings
        self._update_cold_limits()

    def apply(self, change: FleetChange, now: timedelta) -> None:
        """Apply a message of the source of the fleet.

        :param change: the message.
        :param now: time on the monotonic clock.
        """
        if isinstance(change, SourceLost):
            self._record_source_loss(change, now)
            return
        era = self.fleet.position.era
        if isinstance(change, SourceConfirmed | SourceSnapshot):
            era = change.era
        if self.fleet.confirm(SourcePosition(era, change.revision), now):
            self._recorder.log(
                EventCode.source_regained,
                era=era,
                revision=change.revision,
            )
        if isinstance(change, SourceSnapshot):
            # It is newer than what any peer told before.
            self._peer_revision = 0
            may_return = self.fleet.source.is_unstable(now)
            self._apply_snapshot(change, now, may_return=may_return)
        else:
            self._apply_change(change, now)
        self._end_grace_periods(now)

    def make_view(self, position: SourcePosition, now: timedelta) -> FleetView:
        """Return this entry's view, for a peer that cannot reach the source.

        The view has a snapshot only if the peer's position is older.

        :param position: position of the source that the peer follows.
        :param now: time on the monotonic clock.
        """
        fleet = self.fleet
        snapshot = None
        if self.route_table is not None and position.is_before(fleet.position):
            snapshot = SourceSnapshot(
                targets=[
                    _update_cold_time(view, now)
                    for view in fleet
                    # One in its grace period would stay for good at the peer,
                    # and one that is held would be used there at once.
                    if view.expires_at is None and not view.is_held
                ],
                evacuated_zones=sorted(
                    fleet.evacuated_zones - fleet.held_zones
                ),
                configuration=self.route_table.configuration,
                revision=fleet.revision,
                era=fleet.position.era,
            )
        return FleetView(
            revision=fleet.revision,
            era=fleet.position.era,
            source_age_ms=fleet.source.find_age(now) // _MS,
            snapshot=snapshot,
            is_source_stable=fleet.source.is_stable(now),
        )

    def apply_view(
        self,
        view: FleetView,
        peer: str,
        requested_at: timedelta,
        now: timedelta,
    ) -> None:
        """Apply the view of a peer, unless the source is reachable.

        :param view: view of the fleet that the peer sent.
        :param peer: address of the peer.
        :param requested_at: when the peer was asked, on the monotonic clock.
        :param now: time on the monotonic clock.
        """
        position = SourcePosition(view.era, view.revision)
        if (
            self.is_source_reachable
            or not view.revision
            or position.is_before(self.fleet.position)
        ):
            return
        if self.fleet.position.is_before(position):
            if view.snapshot is None:
                return
            self._peer_revision = view.revision
            # A peer that hears the source knows whether it was away.
            self._apply_snapshot(
                view.snapshot, now, may_return=not view.is_source_stable
            )
            self._recorder.log(
                EventCode.fleet_learned,
                peer=peer,
                target_count=len(view.snapshot.targets),
                evacuated_zones=view.snapshot.evacuated_zones,
                version=self.version,
                era=view.era,
                revision=view.revision,
                source_age_ms=view.source_age_ms,
                is_source_stable=view.is_source_stable,
            )
        confirmed_at = requested_at - view.source_age_ms * _MS
        self.fleet.confirm_by_peer(position, confirmed_at)

    def mark_cold(
        self,
        view: TargetView,
        service: Service | None,
        until: timedelta,
    ) -> None:
        """Limit the request rate of a cold target for some time.

        :param view: the target.
        :param service: its service, if the configuration has it.
        :param until: end of the limit, on the monotonic clock.
        """
        view.mark_cold(until, self._find_cold_limit(service))

    def _find_cold_limit(self, service: Service | None) -> float:
        """Return the requests per second that a cold target may get."""
        settings = self._settings
        rate = service.cold_requests_per_second if service else 0.0
        return rate * settings.cold_burst_ratio + settings.cold_allowance

    def _update_cold_limits(self) -> None:
        for view in self.fleet:
            if view.cold_rate_limit is not None:
                service = self.services.get(view.record.service)
                view.cold_rate_limit.change(self._find_cold_limit(service))

    def _end_grace_periods(self, now: timedelta) -> None:
        for name in self.fleet.drop_expired(now):
            self._recorder.log(
                EventCode.target_removed,
                target=name,
                is_back_expected=False,
            )
        for zone in self.fleet.end_restoration(now):
            self._recorder.log(
                EventCode.zone_returned,
                availability_zone=zone,
                revision=self.fleet.revision,
            )

    def _record_source_loss(self, change: SourceLost, now: timedelta) -> None:
        is_outage = change.is_outage
        if self.fleet.source.record_loss(now, is_outage=is_outage):
            reason = 'unreachable' if is_outage else 'connection'
            self._recorder.count('source_losses', reason)
            self._recorder.log(
                EventCode.source_lost,
                error=change.error,
                is_outage=is_outage,
                revision=self.fleet.revision,
            )

    def _apply_change(self, change: FleetChange, now: timedelta) -> None:
        if self._is_replay(change, now):
            return
        if isinstance(change, (TargetFound, TargetRemoved)):
            self._apply_target_change(change, now)
        elif isinstance(change, (ZoneEvacuated, ZoneReturned)):
            self._apply_zone_change(change)
        elif isinstance(change, ConfigurationRead):
            self._accept_configuration(change.configuration)

    def _is_replay(self, change: FleetChange, now: timedelta) -> bool:
        """Return whether a peer already reported this change or a later one."""
        if not isinstance(change, _INCREMENTAL_CHANGES):
            return False
        regained = self.fleet.source.regained_at or now
        return (
            change.revision <= self._peer_revision
            and now - regained < _REPLAY_WINDOW
        )

    def _apply_target_change(
        self,
        change: TargetFound | TargetRemoved,
        now: timedelta,
    ) -> None:
        if isinstance(change, TargetFound):
            self._put_target(change, now)
            return
        is_removed = self.fleet.remove(
            change.name, now, may_return=self.fleet.source.is_unstable(now)
        )
        self._log_removal(change.name, change.revision, is_removed=is_removed)

    def _apply_zone_change(self, change: ZoneEvacuated | ZoneReturned) -> None:
        if isinstance(change, ZoneEvacuated):
            self.fleet.evacuate(change.availability_zone)
            self._log_zone(EventCode.zone_evacuated, change)
        else:
            self.fleet.return_zone(change.availability_zone)
            self._log_zone(EventCode.zone_returned, change)

    def _apply_snapshot(
        self, change: SourceSnapshot, now: timedelta, *, may_return: bool
    ) -> None:
        if change.configuration is not None:
            self._accept_configuration(change.configuration)
        is_restored = self._is_restored(change)
        if is_restored:
            self._record_restoration(change)
        absent = self._list_absent(change)
        if is_restored or self.fleet.restored_until is not None:
            self.fleet.restore_all(change, now, is_new=is_restored)
        else:
            self.fleet.replace_all(change, now, may_return=may_return)
        self.fleet.position = SourcePosition(change.era, change.revision)
        for name in absent:
            self._log_removal(
                name, change.revision, is_removed=self.fleet.find(name) is None
            )
        for record in change.targets:
            view = self.fleet.find(record.name)
            if view is not None:
                self._mark_cold_record(view, now)
        self._recorder.log(
            EventCode.fleet_read,
            target_count=len(change.targets),
            evacuated_zones=change.evacuated_zones,
            era=change.era,
            revision=change.revision,
        )

    def _list_absent(self, snapshot: SourceSnapshot) -> list[str]:
        """Return the targets that are not yet known to be missing there."""
        present = {record.name for record in snapshot.targets}
        return [
            view.record.name
            for view in self.fleet
            if view.record.name not in present and view.expires_at is None
        ]

    def _log_removal(
        self, name: str, revision: int, *, is_removed: bool
    ) -> None:
        self._recorder.log(
            EventCode.target_removed,
            target=name,
            is_back_expected=not is_removed,
            revision=revision,
        )

    def _is_restored(self, change: SourceSnapshot) -> bool:
        """Return whether the source came back from an older copy."""
        known = self.fleet.position
        if change.era != known.era:
            return known.revision > 0
        return change.revision < known.revision

    def _record_restoration(self, change: SourceSnapshot) -> None:
        known = self.fleet.position
        self._recorder.count('source_losses', 'restored')
        self._recorder.log(
            EventCode.source_restored,
            era=change.era,
            revision=change.revision,
            earlier_era=known.era,
            earlier_revision=known.revision,
        )

    def _log_zone(
        self,
        code: EventCode,
        change: ZoneEvacuated | ZoneReturned,
    ) -> None:
        self._recorder.log(
            code,
            availability_zone=change.availability_zone,
            revision=change.revision,
        )

    def _put_target(self, change: TargetFound, now: timedelta) -> None:
        record = change.record
        known = self.fleet.find(record.name)
        was_draining = known is not None and known.record.is_draining
        self._mark_cold_record(self.fleet.put(record), now)
        code = EventCode.target_found
        if record.is_draining and not was_draining:
            code = EventCode.target_draining
        self._recorder.log(
            code,
            target=record.name,
            service=record.service,
            address=record.address,
            availability_zone=record.availability_zone,
            cold_ms=record.cold_ms,
            revision=change.revision,
        )

    def _mark_cold_record(self, view: TargetView, now: timedelta) -> None:
        cold_ms = view.record.cold_ms
        if cold_ms:
            service = self.services.get(view.record.service)
            self.mark_cold(view, service, now + cold_ms * _MS)

    def _accept_configuration(
        self,
        configuration: ServingConfiguration,
    ) -> None:
        # Answers of the source may arrive out of order; versions only increase.
        if self.route_table and configuration.version <= self.version:
            return
        self.route_table = RouteTable(configuration)
        self._update_cold_limits()
        self._recorder.log(
            EventCode.configuration_accepted,
            document='serving',
            version=configuration.version,
            peer=self._settings.source_address,
        )


def _update_cold_time(view: TargetView, now: timedelta) -> TargetRecord:
    """Return the record with the remaining cold time."""
    cold_ms = max((view.cold_until - now) // _MS, 0)
    return replace(view.record, cold_ms=cold_ms)
