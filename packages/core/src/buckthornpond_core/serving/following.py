"""How an entry follows the fleet and its configuration."""

from datetime import timedelta
from typing import TypeAlias

from .._generated.serving import (
    ConfigurationRead,
    DirectSettings,
    Service,
    ServingConfiguration,
    SourceConfirmed,
    SourceLost,
    SourceSnapshot,
    TargetFound,
    TargetGone,
    ZoneEvacuated,
    ZoneReturned,
)
from ..journal import EventCode
from ..types import Recorder
from .fleet import Fleet, TargetView
from .routes import RouteTable

FleetChange: TypeAlias = (
    ConfigurationRead
    | SourceConfirmed
    | SourceLost
    | SourceSnapshot
    | TargetFound
    | TargetGone
    | ZoneEvacuated
    | ZoneReturned
)


class FleetFollower:
    """Applies what the source of the fleet says.

    :param settings: settings of the process.
    :param recorder: receives counters and log events.
    """

    __slots__ = ('_recorder', 'fleet', 'settings', 'table')

    def __init__(self, settings: DirectSettings, recorder: Recorder) -> None:
        self.fleet = Fleet()
        self.table: RouteTable | None = None
        self.settings = settings
        self._recorder = recorder

    @property
    def version(self) -> int:
        """Return the version in force, nought before the first."""
        return self.table.configuration.version if self.table else 0

    @property
    def services(self) -> dict[str, Service]:
        """Return the services of the configuration in force."""
        return self.table.services if self.table else {}

    def apply(self, change: FleetChange, now: timedelta) -> None:
        """Take what the source of the fleet says.

        :param change: one message of the source.
        :param now: time on the monotonic clock.
        """
        if isinstance(change, SourceLost):
            self._lose_source(change, now)
            return
        if self.fleet.confirm(change.revision, now):
            self._recorder.log(
                EventCode.source_regained,
                revision=change.revision,
            )
        self._take(change, now)
        for name in self.fleet.forget_gone(now):
            self._recorder.log(
                EventCode.target_removed,
                target=name,
                is_back_expected=False,
            )

    def mark_cold(
        self,
        view: TargetView,
        service: Service | None,
        until: timedelta,
    ) -> None:
        """Send little to a target for some time.

        :param view: the target.
        :param service: its service, if the configuration has it.
        :param until: end of the time, on the monotonic clock.
        """
        rate = service.cold_requests_per_second if service else 0.0
        allowed = (
            rate * self.settings.cold_burst_ratio + self.settings.cold_allowance
        )
        self.fleet.mark_cold(view, service, until, allowed)

    def _lose_source(self, change: SourceLost, now: timedelta) -> None:
        if self.fleet.lose_source(now):
            self._recorder.count('source_losses', 'unreachable')
            self._recorder.log(
                EventCode.source_lost,
                error=change.error,
                revision=self.fleet.revision,
            )

    def _take(self, change: FleetChange, now: timedelta) -> None:
        if isinstance(change, (TargetFound, TargetGone)):
            self._take_target(change, now)
        elif isinstance(change, (ZoneEvacuated, ZoneReturned)):
            self._take_zone(change)
        elif isinstance(change, ConfigurationRead):
            self._accept(change.configuration)
        elif isinstance(change, SourceSnapshot):
            self._take_snapshot(change, now)

    def _take_target(
        self,
        change: TargetFound | TargetGone,
        now: timedelta,
    ) -> None:
        if isinstance(change, TargetFound):
            self._put(change, now)
            return
        is_removed = self.fleet.remove(change.name, now)
        self._recorder.log(
            EventCode.target_removed,
            target=change.name,
            is_back_expected=not is_removed,
            revision=change.revision,
        )

    def _take_zone(self, change: ZoneEvacuated | ZoneReturned) -> None:
        zones = self.fleet.evacuated_zones
        if isinstance(change, ZoneEvacuated):
            zones.add(change.availability_zone)
            self._log_zone(EventCode.zone_evacuated, change)
        else:
            zones.discard(change.availability_zone)
            self._log_zone(EventCode.zone_returned, change)

    def _take_snapshot(self, change: SourceSnapshot, now: timedelta) -> None:
        if change.configuration is not None:
            self._accept(change.configuration)
        self.fleet.replace_all(change, self.services, now)
        self._recorder.log(
            EventCode.fleet_read,
            target_count=len(change.targets),
            evacuated_zones=change.evacuated_zones,
            revision=change.revision,
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

    def _put(self, change: TargetFound, now: timedelta) -> None:
        record = change.record
        known = self.fleet.find(record.name)
        was_draining = known is not None and known.record.is_draining
        service = self.services.get(record.service)
        view = self.fleet.put(record, service, now)
        if record.cold_ms:
            self.mark_cold(view, service, view.cold_until)
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

    def _accept(self, configuration: ServingConfiguration) -> None:
        # Versions only rise, whatever order answers of the source come in.
        if self.table and configuration.version <= self.version:
            return
        self.table = RouteTable(configuration)
        self._recorder.log(
            EventCode.configuration_accepted,
            document='serving',
            version=configuration.version,
            peer=self.settings.source_address,
        )
