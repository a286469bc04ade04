"""Start and drain of an entry process that calls targets directly."""

import os
import random
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any, Protocol

import gevent
from gevent.socket import IPPROTO_TCP, TCP_NODELAY

from buckthornpond_core._generated.serving import DirectSettings
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.serving.codec import RequestCodec
from buckthornpond_core.serving.dispatcher import Dispatcher
from buckthornpond_core.serving.planned_stops import PlannedStop
from buckthornpond_core.types import Clock
from buckthornpond_runtime.administration import AdministrationTask
from buckthornpond_runtime.logs import flush_logs, log_event, start_logging
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.paced_sockets import pace_reads
from buckthornpond_runtime.processes import StopSignal, new_incarnation
from buckthornpond_runtime.task_servers import TaskServer
from buckthornpond_runtime.tasks import Inbox, Supervisor

from .callers import CallerTask
from .dispatch import DispatchMessage, DispatchTask
from .fleet_sharing import FleetViewEndpoint
from .frontend import FrontendState
from .hints import HintTask
from .pools import ResizablePool

_LISTEN_BACKLOG = 1024
_DRAIN_POLL_SECONDS = 0.05
# Between two polls, what has arrived at a socket is read.
_MIN_QUIET_COUNT = 3
_MS = timedelta(milliseconds=1)
_MAX_LOGGED_ARRIVALS = 16


class FleetSource(Protocol):
    """Source of the fleet and its configuration."""

    def run(self, inbox: Inbox[DispatchMessage]) -> None:
        """Read changes until the process ends.

        :param inbox: receives each change of the fleet and the configuration.
        """


class CallerListener:
    """Owns the listening socket for callers.

    :param address: IP number and port.
    :param frontend: state that all caller tasks share.
    """

    __slots__ = ('_connections', '_frontend', '_server')

    def __init__(
        self,
        address: str,
        frontend: FrontendState,
    ) -> None:
        host, port = address.rsplit(':', 1)
        self._frontend = frontend
        self._connections = ResizablePool(frontend.places.most_count)
        self._server = TaskServer(
            (host, int(port)),
            self._serve,
            backlog=_LISTEN_BACKLOG,
            spawn=self._connections,
        )

    def resize(self) -> None:
        """Adopt a changed number of places; open connections stay."""
        self._connections.resize(self._frontend.places.most_count)

    def run(self) -> None:
        """Accept connections until the process ends."""
        self._server.serve_forever()

    def _serve(self, accepted: Any, peer: tuple[str, int]) -> None:
        connection = pace_reads(accepted)
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self._frontend.make_room()
        task = CallerTask(connection, f'{peer[0]}:{peer[1]}', self._frontend)
        try:
            task.run()
        except Exception as error:
            # A crash ends this connection only, not the process.
            log_event(
                EventCode.request_crashed,
                path=f'{peer[0]}:{peer[1]}',
                error=repr(error),
            )


class DirectEntry:
    """Entry process that calls targets directly.

    :param settings: settings of the process.
    :param codec: reads and writes the header fields.
    :param clock: source of time.
    """

    __slots__ = (
        '_clock',
        '_dispatch',
        '_frontend',
        '_listener',
        '_settings',
        '_supervisor',
        'dispatcher',
        'metrics',
    )

    def __init__(
        self,
        settings: DirectSettings,
        codec: RequestCodec,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self.metrics = Metrics()
        self._supervisor = Supervisor()
        self._listener: CallerListener | None = None
        self.dispatcher = Dispatcher(
            settings,
            random.Random(),
            self.metrics,
        )
        self._dispatch = DispatchTask(
            self.dispatcher,
            clock,
            self.metrics,
        )
        self._frontend = FrontendState(
            dispatch=self._dispatch,
            codec=codec,
            clock=clock,
            metrics=self.metrics,
            memory_bytes=settings.memory_bytes,
            descriptor_count=settings.descriptor_count,
        )

    def change_settings(self, settings: DirectSettings) -> None:
        """Apply new settings; the name and the own addresses stay.

        :param settings: the validated settings.
        """
        self._settings = settings
        self._frontend.limit_resources(
            settings.memory_bytes, settings.descriptor_count
        )
        if self._listener is not None:
            self._listener.resize()
        self._dispatch.mailbox.send(settings)

    def run(self, source: FleetSource) -> None:
        """Serve until a stop signal, then drain and exit.

        :param source: reads the fleet and its configuration.
        """
        stop = StopSignal(self._clock)
        self._set_up_monitoring()
        log_event(
            EventCode.process_started,
            incarnation=new_incarnation(self._settings.instance),
        )
        self.start_tasks(source)
        signalled_at = stop.wait()
        self._drain(
            stop, PlannedStop(signalled_at, self._settings.grace_ms * _MS)
        )

    def start_tasks(self, source: FleetSource) -> None:
        """Start the tasks of the entry.

        :param source: reads the fleet and its configuration.
        """
        self._start('dispatch', self._dispatch.run)
        self._start('source', partial(source.run, self._dispatch.mailbox))
        self._start_administration()
        self._start_peer_tasks()
        self._start_listener()

    def stop_tasks(self) -> None:
        """Cancel all tasks without draining."""
        self._supervisor.stop()

    def is_ready(self) -> bool:
        """Return whether load balancers may send new requests."""
        return self._dispatch.is_ready and not self._frontend.is_stopping

    def _start(self, name: str, run: Callable[[], None]) -> None:
        self._supervisor.start(name, run)

    def _start_peer_tasks(self) -> None:
        address = self._settings.exchange_address
        if not address:
            return
        endpoint = FleetViewEndpoint(self._dispatch.mailbox)
        self._start(
            'fleet pages',
            endpoint.make_task(address, self.metrics).run,
        )
        self._start('peers', self._dispatch.peer_task.run)
        task = HintTask(
            address,
            self._dispatch.mailbox,
            self.metrics,
            self._dispatch.hint_due,
            self._clock,
        )
        self._start('hint receiver', task.receive)
        self._start('hint sender', task.run)

    def _start_listener(self) -> None:
        listener = CallerListener(
            self._settings.listen_address,
            self._frontend,
        )
        self._listener = listener
        self._start('front', listener.run)

    def _start_administration(self) -> None:
        addresses = {
            self._settings.administration_address,
            self._settings.metrics_address,
        }
        for address in addresses - {''}:
            task = AdministrationTask(address, self.metrics, self.is_ready)
            self._start(f'administration {address}', task.run)

    def _set_up_monitoring(self) -> None:
        start_logging(self.metrics)
        self.metrics.add_gauge(
            'held_requests',
            lambda: self._frontend.held_count,
        )
        self.metrics.add_gauge(
            'held_body_bytes',
            lambda: self._frontend.held_body_bytes,
        )
        self.metrics.add_gauge(
            'held_request_bytes',
            lambda: self._frontend.request_budget.held_bytes,
        )
        self.metrics.add_gauge(
            'held_response_bytes',
            lambda: self._frontend.response_budget.held_bytes,
        )
        self.metrics.add_gauge(
            'idle_connections',
            lambda: self._dispatch.idle_connection_count,
        )
        self.metrics.add_gauge(
            'quarantined_part_sets',
            lambda: self._dispatch.quarantine_count,
        )

    def _end_held_requests(self, limit: timedelta) -> None:
        """Let each caller that still waits get a final answer."""
        for connection in tuple(self._frontend.connections):
            connection.announce_end()
        end = self._clock.monotonic() + limit
        while self._frontend.held_count and self._clock.monotonic() < end:
            gevent.sleep(_DRAIN_POLL_SECONDS)

    def _drain(self, stop: StopSignal, schedule: PlannedStop) -> None:
        frontend = self._frontend
        frontend.stop = schedule
        log_event(
            EventCode.stop_begun,
            held_count=frontend.held_count,
            since_signal_ms=self._since_signal_ms(schedule),
        )
        self._await_requests(stop, schedule)
        if frontend.held_count:
            self._log_cut(schedule)
            self._end_held_requests(schedule.final_answer_time)
        log_event(EventCode.process_stopped)
        flush_logs()
        os._exit(0)

    def _await_requests(self, stop: StopSignal, schedule: PlannedStop) -> None:
        """Return once no caller waits after the notice, or time is up."""
        frontend = self._frontend
        quiet_count = 0
        is_notice_over = False
        while not stop.ends_at_once and quiet_count < _MIN_QUIET_COUNT:
            now = self._clock.monotonic()
            if now >= schedule.ends_at:
                return
            if now >= schedule.notice_ends_at:
                if not is_notice_over:
                    is_notice_over = True
                    self._log_notice_end(schedule)
                quiet_count += 1
                if frontend.has_open_requests:
                    quiet_count = 0
            gevent.sleep(_DRAIN_POLL_SECONDS)

    def _since_signal_ms(self, schedule: PlannedStop) -> int:
        return (self._clock.monotonic() - schedule.signalled_at) // _MS

    def _log_notice_end(self, schedule: PlannedStop) -> None:
        log_event(
            EventCode.stop_notice_ended,
            since_signal_ms=self._since_signal_ms(schedule),
            held_count=self._frontend.held_count,
        )

    def _log_cut(self, schedule: PlannedStop) -> None:
        arrivals = self._frontend.list_arrivals()[-_MAX_LOGGED_ARRIVALS:]
        log_event(
            EventCode.stop_cut_short,
            held_count=self._frontend.held_count,
            arrivals_ms=[
                (each - schedule.signalled_at) // _MS for each in arrivals
            ],
        )
