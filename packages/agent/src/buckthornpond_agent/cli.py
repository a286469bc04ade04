"""Command line of the agent process."""

from datetime import timedelta

import click
from zmq import green as zmq

from buckthornpond_core._generated.settings import AgentSettings
from buckthornpond_core.admission.admission import AdmissionController
from buckthornpond_core.admission.forecasts import PrefillForecast
from buckthornpond_core.admission.limits import SlowStartLimit
from buckthornpond_core.admission.queueing import ShortestFirstOrder
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.keys.fencing_home import FencingKeyHome, KeyLimits
from buckthornpond_core.keys.key_clock import KeyClock
from buckthornpond_core.keys.keyed_attempts import KeyedAttempts
from buckthornpond_core.process_limits import AgentLimits
from buckthornpond_runtime.administration import AdministrationTask
from buckthornpond_runtime.assembly import ExchangeAssembly
from buckthornpond_runtime.clocks import SystemClock
from buckthornpond_runtime.commands import check_command, show_errors
from buckthornpond_runtime.logs import log_event, start_logging
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.processes import StopSignal, drain, new_incarnation
from buckthornpond_runtime.settings import load_settings
from buckthornpond_runtime.tasks import Supervisor
from buckthornpond_runtime.transports import AgentListenerTask, ZmqContext

from .orders import build_order_task
from .reports import LoadReportTask
from .tasks import AdmissionTask, BeginStop, EndAll

_STARTUP_PEER_COUNT = 2


@click.group()
def main() -> None:
    """Agent: admits and runs the attempts at one target instance."""


@main.command()
@click.argument('settings_file', type=click.Path())
@show_errors
def run(settings_file: str) -> None:
    """Run the agent with the settings of SETTINGS_FILE."""
    serve(load_settings(settings_file, AgentSettings))


main.add_command(check_command(AgentSettings))


def serve(settings: AgentSettings) -> None:
    """Serve until a stop signal, then drain.

    :param settings: settings of the process.
    """
    start_logging()
    clock = SystemClock()
    metrics = Metrics()
    incarnation = new_incarnation(settings.instance)
    configuration = Configuration()
    home = FencingKeyHome(
        instance=settings.instance,
        configuration=configuration,
        key_clock=KeyClock(clock.monotonic(), clock.utcnow()),
        limits=KeyLimits(
            fence_timeout=timedelta(milliseconds=settings.fence_timeout_ms),
            max_replay_bytes=settings.max_replay_bytes,
            replay_budget_bytes=settings.replay_budget_bytes,
        ),
    )
    admission = AdmissionController(
        instance=settings.instance,
        incarnation=incarnation,
        configuration=configuration,
        limits=AgentLimits(
            max_queued_count=settings.max_queued_count,
            body_budget_bytes=settings.body_budget_bytes,
            peer_timeout=timedelta(milliseconds=settings.peer_timeout_ms),
        ),
        limit=SlowStartLimit(cold_tokens=1, memory_tokens=1),
        order=ShortestFirstOrder(),
        keyed=KeyedAttempts(
            incarnation=incarnation,
            configuration=configuration,
            home=home,
            max_replay_bytes=settings.max_replay_bytes,
            recorder=metrics,
        ),
        recorder=metrics,
        forecast=PrefillForecast(),
    )
    assembly = ExchangeAssembly(
        settings.instance,
        settings.availability_zone,
        settings.platform,
        configuration,
        metrics=metrics,
        started=clock.monotonic(),
        startup_peer_count=_STARTUP_PEER_COUNT,
    )
    context: ZmqContext = zmq.Context()
    task = AdmissionTask(
        instance=settings.instance,
        admission=admission,
        configuration=configuration,
        clock=clock,
        exchange=assembly.exchange,
        max_frame_bytes=settings.max_frame_bytes,
        context=context,
        incarnation=incarnation,
        metrics=metrics,
    )
    peer_listener = AgentListenerTask(
        context,
        settings.listen_address,
        task.mailbox,
        metrics,
    )
    task.peer_listener = peer_listener.mailbox
    reports = LoadReportTask(
        timedelta(milliseconds=settings.load_poll_interval_ms),
        task.mailbox.send,
        metrics,
    )
    task.reports = reports.mailbox
    orders = build_order_task(settings, clock, metrics)
    task.orders = orders.mailbox
    administration = AdministrationTask(
        settings.administration_address,
        metrics,
        lambda: not admission.is_stopping,
    )
    metrics.add_gauge('held_attempts', lambda: admission.held_count)
    metrics.add_gauge('held_keys', lambda: home.key_count)
    metrics.add_gauge('replay_bytes', lambda: home.replay_bytes)
    metrics.add_gauge('held_body_bytes', lambda: admission.held_body_bytes)
    metrics.add_gauge('held_answer_bytes', lambda: task.held_answer_bytes)
    metrics.add_gauge('reserved_tokens', lambda: admission.reserved_tokens)
    stop = StopSignal(clock)
    supervisor = Supervisor()
    supervisor.start('admission', task.run)
    supervisor.start('port', peer_listener.run)
    supervisor.start('reports', reports.run)
    supervisor.start('orders', orders.run)
    assembly.start(supervisor, task.mailbox.send)
    supervisor.start('administration', administration.run)
    log_event(EventCode.process_started, incarnation=incarnation)
    stop.wait()
    task.mailbox.send(BeginStop())
    drain(
        stop,
        clock=clock,
        limit=timedelta(milliseconds=settings.drain_timeout_ms),
        held_count=lambda: admission.held_count,
        end_all=lambda: task.mailbox.send(EndAll()),
    )
