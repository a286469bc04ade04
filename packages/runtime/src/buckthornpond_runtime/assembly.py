"""Assembly of the document exchange, shared by entry and agent."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial

from buckthornpond_core._generated.events import DocumentReadResult
from buckthornpond_core._generated.messages import DocumentName
from buckthornpond_core._generated.settings import PlatformSettings
from buckthornpond_core.configuration.dissemination import (
    Dissemination,
    StartupHold,
)
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.configuration.readers import (
    RankedReaders,
    ReaderLimits,
    ReadSchedule,
)

from .documents import DocumentExchange
from .metrics import Metrics
from .platforms import PlatformTask
from .tasks import Supervisor


class ExchangeAssembly:
    """Builds the document exchange of a process and its platform readers.

    :param instance: instance of this process.
    :param availability_zone: its zone.
    :param settings: addresses and timeouts of the platform.
    :param configuration: the configuration in force.
    :param metrics: counters of the process.
    :param started: start time of the process on the monotonic clock.
    :param startup_peer_count: peers whose replies end the start-up hold.
    """

    __slots__ = ('_metrics', '_settings', 'exchange')

    def __init__(
        self,
        instance: str,
        availability_zone: str,
        settings: PlatformSettings,
        configuration: Configuration,
        *,
        metrics: Metrics,
        started: timedelta,
        startup_peer_count: int,
    ) -> None:
        self._settings = settings
        self._metrics = metrics
        for name in DocumentName:
            metrics.add_gauge(
                f'{name}_version',
                partial(_read_version, configuration, name),
            )
        hold = timedelta(milliseconds=settings.startup_hold_ms)
        limits = _make_limits(settings)
        self.exchange = DocumentExchange(
            configuration=configuration,
            dissemination=Dissemination(
                configuration,
                StartupHold(started + hold, startup_peer_count),
                metrics,
            ),
            schedule=ReadSchedule(
                RankedReaders(
                    instance,
                    availability_zone,
                    configuration,
                    limits,
                ),
                limits,
                configuration,
            ),
            metrics=metrics,
        )

    def start(
        self,
        supervisor: Supervisor,
        report: Callable[[DocumentReadResult], None],
    ) -> None:
        """Start one reading task for each document of the platform.

        :param supervisor: starts tasks.
        :param report: passes results to the task that owns the exchange.
        """
        for name in DocumentName:
            task = PlatformTask(name, self._settings, report, self._metrics)
            self.exchange.readers[name] = task.mailbox
            supervisor.start(f'platform {name}', task.run)


def _make_limits(settings: PlatformSettings) -> ReaderLimits:
    return ReaderLimits(
        poll_interval=timedelta(milliseconds=settings.poll_interval_ms),
        watch_timeout=timedelta(milliseconds=settings.watch_ms),
        takeover_delay=timedelta(milliseconds=settings.takeover_ms),
        readers_per_zone=settings.readers_per_zone,
    )


def _read_version(configuration: Configuration, name: DocumentName) -> float:
    return configuration.stamps[name].version
