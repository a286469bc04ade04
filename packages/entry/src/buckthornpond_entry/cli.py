"""Command line of the entry process."""

import random
from datetime import timedelta

import click

from buckthornpond_core._generated.settings import EntrySettings
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.process_limits import RouterLimits
from buckthornpond_core.routing.placement import LeastPrefillPlacement
from buckthornpond_core.routing.retries import RetryBudget
from buckthornpond_core.routing.router import Router
from buckthornpond_runtime.administration import AdministrationTask
from buckthornpond_runtime.assembly import ExchangeAssembly
from buckthornpond_runtime.clocks import SystemClock
from buckthornpond_runtime.commands import check_command, show_errors
from buckthornpond_runtime.logs import log_event, start_logging
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.processes import StopSignal, drain, new_incarnation
from buckthornpond_runtime.settings import load_settings
from buckthornpond_runtime.tasks import Supervisor

from .frontend import FrontendState, build_application
from .links import build_agent_directory
from .listeners import CallerListener
from .tasks import EndAll, RouterTask

_MAX_SAVED_RETRIES = 100
_STARTUP_PEER_COUNT = 2


@click.group()
def main() -> None:
    """Entry instance: accepts requests and places them on targets."""


@main.command()
@click.argument('settings_file', type=click.Path())
@show_errors
def run(settings_file: str) -> None:
    """Run the entry with the settings of SETTINGS_FILE."""
    serve(load_settings(settings_file, EntrySettings))


main.add_command(check_command(EntrySettings))


def serve(settings: EntrySettings) -> None:
    """Serve until a stop signal, then drain the requests in flight.

    :param settings: settings of the process.
    """
    start_logging()
    clock = SystemClock()
    metrics = Metrics()
    incarnation = new_incarnation(settings.instance)
    configuration = Configuration()
    router = Router(
        incarnation=incarnation,
        configuration=configuration,
        limits=RouterLimits(
            max_held_requests=settings.max_held_requests,
            max_attempts=settings.max_attempts,
            stream_window_bytes=settings.stream_window_bytes,
            peer_timeout=timedelta(milliseconds=settings.peer_timeout_ms),
        ),
        placement=LeastPrefillPlacement(),
        budget=RetryBudget(settings.retry_budget_percent, _MAX_SAVED_RETRIES),
        random=random.Random(),
        recorder=metrics,
        agents=build_agent_directory(settings, configuration),
    )
    assembly = ExchangeAssembly(
        settings.instance,
        settings.availability_zone,
        settings.platform,
        configuration,
        metrics=metrics,
        started=clock.monotonic(),
        startup_peer_count=min(
            _STARTUP_PEER_COUNT,
            len(settings.peer_addresses),
        ),
    )
    router_task = RouterTask(
        router=router,
        configuration=configuration,
        clock=clock,
        metrics=metrics,
        document_exchange=assembly.exchange,
        incarnation=incarnation,
        peer_addresses=settings.peer_addresses,
        heartbeat_interval=timedelta(
            milliseconds=settings.heartbeat_interval_ms,
        ),
    )
    frontend = FrontendState(
        settings=settings,
        configuration=configuration,
        router=router_task,
        clock=clock,
        metrics=metrics,
    )
    listener = CallerListener(
        settings.listen_address,
        build_application(frontend),
        head_timeout_seconds=settings.header_timeout_ms / 1000,
        send_buffer_bytes=settings.send_buffer_bytes,
        metrics=metrics,
        max_connections=settings.max_connections,
    )
    administration = AdministrationTask(
        settings.administration_address,
        metrics,
        lambda: router.open_agent_count > 0 and not listener.is_stopping,
    )
    metrics.add_gauge('open_agents', lambda: router.open_agent_count)
    metrics.add_gauge('held_requests', lambda: router.held_count)
    metrics.add_gauge(
        'held_body_bytes', lambda: frontend.memory_budget.held_bytes
    )
    metrics.add_gauge(
        'held_answer_bytes',
        lambda: router_task.held_answer_bytes,
    )
    stop = StopSignal(clock)
    supervisor = Supervisor()
    supervisor.start('router', router_task.run)
    assembly.start(supervisor, router_task.mailbox.send)
    supervisor.start('administration', administration.run)
    supervisor.start('front', listener.serve_forever)
    log_event(EventCode.process_started, incarnation=incarnation)
    stop.wait()
    listener.is_stopping = True
    # Lets the load balancer see the failed health check before the entry
    # refuses requests.
    stop.wait_for_interrupt(settings.notice_period_ms / 1000)
    frontend.is_stopping = True
    drain(
        stop,
        clock=clock,
        limit=timedelta(milliseconds=settings.drain_timeout_ms),
        held_count=lambda: listener.active_count,
        end_all=lambda: router_task.mailbox.send(EndAll()),
    )
