"""Steps for the entry as a process on the platform."""

import os
import signal
import subprocess
import tempfile
import time
from pathlib import Path
from typing import Any

import gevent
import yaml
from behave import given, then, when

from buckthornpond_core.event_codes import EventCode
from buckthornpond_platform_standins.clients import Client, ClientResponse
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    STREAM_PATH,
)
from buckthornpond_platform_standins.processes import (
    SETTINGS_PATH_VARIABLE,
    START_COMMAND,
    EntryProcess,
    try_fetch,
)
from features.specs.process_worlds import ProcessWorld

_READ_PATH = '/read/1'
# Mapped by the first import, long before the process is set up.
_FIRST_LIBRARY = 'greenlet'
_RELOAD_INTERVAL_SECONDS = 0.02


def ask_status(address: str, path: str) -> int:
    """Return the status of a health check, zero without a response."""
    return try_fetch(address, path).status


def _connect(context: Any) -> Client:
    return Client(context.process.address, HOST, API_KEY)


def _send_read(context: Any) -> ClientResponse:
    return _connect(context).fetch('GET', _READ_PATH)


@given('an entry process before {apps:d} app servers and {llms:d} llm servers')
def start_process(
    context: Any,
    apps: int,
    llms: int,
    *,
    logs_to_file: bool = True,
) -> None:
    """Start servers of each kind and an entry process."""
    cluster = ProcessWorld()
    context.cluster = cluster
    context.fleet = cluster
    context.answers = []
    for _ in range(apps):
        cluster.add_server('app')
    for _ in range(llms):
        cluster.add_server('llm')
    cluster.configure()
    cluster.process = EntryProcess(
        cluster.store.address,
        logs_to_file=logs_to_file,
    )
    context.process = cluster.process
    cluster.process.start()


@given(
    'an entry process before {apps:d} app servers and {llms:d} llm servers '
    'whose log output is not read'
)
def start_unread(context: Any, apps: int, llms: int) -> None:
    """Start a process whose log fills a pipe that is not read."""
    start_process(context, apps, llms, logs_to_file=False)


@when('a stream has begun and a stop signal comes')
def stop_in_stream(context: Any) -> None:
    """Send the signal between two events."""
    context.open_client = _connect(context)
    context.late_client = _connect(context)
    for client in (context.open_client, context.late_client):
        assert client.fetch('GET', _READ_PATH).status == 200
    context.stream_client = _connect(context)
    context.stream = context.stream_client.send(
        'POST',
        STREAM_PATH,
        X_Token_Count='100,40',
    )
    gevent.sleep(0.4)
    context.stopped_at = time.monotonic()
    context.process.send_signal(signal.SIGTERM)


@when('another one comes after {seconds:f} seconds')
def stop_again(context: Any, seconds: float) -> None:
    """Send the signal once more."""
    gevent.sleep(seconds)
    context.process.send_signal(signal.SIGTERM)


@when('a stream waits and SIGTERM and SIGINT come')
def interrupt_stop(context: Any) -> None:
    """Send two signals while a request is in flight."""
    context.stream_client = _connect(context)
    context.stream = context.stream_client.send(
        'POST', STREAM_PATH, X_Token_Count='100,40'
    )
    gevent.sleep(0.3)
    for number in (signal.SIGTERM, signal.SIGINT):
        context.process.send_signal(number)
        gevent.sleep(0.2)


@then('the caller of the stream has a final answer')
def check_final_answer(context: Any) -> None:
    """Read the refusal of the waiting stream."""
    context.stream_client.receive(context.stream, 'POST')
    assert context.stream.reason == 'answer_lost', context.stream.body
    assert not context.stream.error, context.stream.error


@when('the settings file changes and a reload signal comes')
def change_settings(context: Any) -> None:
    """Write changed settings and send SIGHUP."""
    context.process.settings['bounds']['retryBudgetRatio'] = 0.1
    context.process.settings_path.write_text(
        yaml.safe_dump(context.process.settings),
    )
    context.process.send_signal(signal.SIGHUP)


@when('the settings file becomes invalid')
def spoil_settings(context: Any) -> None:
    """Write invalid settings, without a signal."""
    context.process.settings_path.write_text('platform: 3\n')


@when('it is killed and started again')
def restart_process(context: Any) -> None:
    """Kill the process and start it again."""
    context.process.send_signal(signal.SIGKILL)
    context.process.process.wait()
    context.process.start()


@when(
    'it is killed and started again, with reload signals from its first '
    'imports on'
)
def restart_with_reloads(context: Any) -> None:
    """Send SIGHUP while the process imports its modules, until it is ready."""
    process = context.process
    process.send_signal(signal.SIGKILL)
    process.process.wait()
    process.launch()
    maps = Path(f'/proc/{process.process.pid}/maps')
    wait_until(lambda: _FIRST_LIBRARY in maps.read_text())
    while process.is_running and not process.is_ready():
        process.send_signal(signal.SIGHUP)
        gevent.sleep(_RELOAD_INTERVAL_SECONDS)


@when('a process starts with {kind}')
def start_with_bad_settings(context: Any, kind: str) -> None:
    """Start a process with invalid settings and wait for its exit."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'local.yaml'
        entry = EntryProcess('127.0.0.1:1')
        if kind == 'no YAML':
            path.write_text('a: [')
        elif kind == 'no store':
            entry.settings.pop('platform')
        elif kind == 'a text as a zone':
            entry.settings['zones'] = 'zone-a'
        if kind in {'no store', 'a text as a zone'}:
            path.write_text(yaml.safe_dump(entry.settings))
        environment = {**os.environ, SETTINGS_PATH_VARIABLE: str(path)}
        if kind == 'no path':
            environment.pop(SETTINGS_PATH_VARIABLE)
        context.done = subprocess.run(
            [*START_COMMAND, 'run'],
            env=environment,
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )
        entry.stop()


@when('{count:d} reads are sent on {connections:d} connections')
def send_many_reads(context: Any, count: int, connections: int) -> None:
    """Send reads on several connections concurrently."""
    context.begun = time.monotonic()
    jobs = [
        gevent.spawn(_send_reads, context, count // connections)
        for _ in range(connections)
    ]
    gevent.joinall(jobs)
    context.statuses = [status for job in jobs for status in job.value]


@then('it is ready, and serves a read')
def check_serves(context: Any) -> None:
    """Check readiness and send a read."""
    assert ask_status(context.process.ready_address, '/readyz') == 200
    assert _send_read(context).status == 200


@then('its metrics count the request')
def check_metrics(context: Any) -> None:
    """Read the metrics at both addresses."""
    for address in (
        context.process.ready_address,
        f'127.0.0.1:{context.process.metrics_port}',
    ):
        text = try_fetch(address, '/metrics').body.decode()
        assert 'buckthornpond_requests_total{reason="200"} 1' in text, text
        assert 'buckthornpond_request_time_ms{kind="whole"' in text, text


@then('each of its log lines is JSON with the number of its event')
def check_log(context: Any) -> None:
    """Compare the number and the name of each logged event."""
    wait_until(
        lambda: any(
            event['event'] == 'request_answered'
            for event in context.process.read_events()
        ),
    )
    for event in context.process.read_events():
        assert EventCode(int(event['message_type'][1:])).name == event['event']


@then('it is not ready within {seconds:f} seconds')
def check_unready(context: Any, seconds: float) -> None:
    """Wait until the readiness check of the load balancers fails."""
    wait_until(
        lambda: ask_status(context.process.ready_address, '/readyz') == 503,
        seconds,
    )


@then('a request on an open connection is answered with Connection: close')
def check_open(context: Any) -> None:
    """Send a read on a connection that was opened before the signal."""
    response = context.open_client.fetch('GET', _READ_PATH)
    assert response.status == 200
    assert response.fields['connection'] == 'close'


@then('the stream is complete')
def check_stream(context: Any) -> None:
    """Read the stream to its end."""
    context.stream_client.receive(context.stream, 'POST')
    assert not context.stream.error, context.stream.error
    assert context.stream.is_stream_of(1, 4), context.stream.body


@then(
    'a request {seconds:f} seconds after the signal is refused or its '
    'connection closed, and no server receives it'
)
def check_late(context: Any, seconds: float) -> None:
    """Send a read on an open connection after the notice period."""
    gevent.sleep(max(context.stopped_at + seconds - time.monotonic(), 0))
    before = sum(len(each.received) for each in context.cluster.servers)
    try:
        status = context.late_client.fetch('GET', _READ_PATH).status
    except Exception:
        status = 0
    after = sum(len(each.received) for each in context.cluster.servers)
    assert status in {0, 503}, status
    assert after == before


@then('the process ends with code {code:d} within {seconds:d} seconds')
def check_exit(context: Any, code: int, seconds: int) -> None:
    """Wait for the exit of the process."""
    process = context.process.process
    wait_until(lambda: process.poll() is not None, seconds)
    assert process.returncode == code, process.returncode


@then('event E631 is logged as {verdict:w}')
def check_settings_read(context: Any, verdict: str) -> None:
    """Wait for the event with the result of reading the settings."""
    wanted = verdict == 'valid'
    wait_until(
        lambda: any(
            event['event'] == 'settings_read' and event['is_valid'] is wanted
            for event in context.process.read_events()
        ),
    )


@then('it exits with code {code:d} and its error contains {word}')
def check_error(context: Any, code: int, word: str) -> None:
    """Check exit code and error output."""
    assert context.done.returncode == code, context.done
    assert word in context.done.stderr, context.done.stderr
    assert 'Traceback' not in context.done.stderr, context.done.stderr


@then('all are answered within {seconds:d} seconds')
def check_fast(context: Any, seconds: int) -> None:
    """Check the statuses and the time."""
    assert set(context.statuses) == {200}
    assert time.monotonic() - context.begun < seconds


@then('its metrics show dropped log lines')
def check_dropped(context: Any) -> None:
    """Wait for the counter of dropped lines."""
    address = context.process.ready_address
    wait_until(
        lambda: (
            b'log_lines_dropped_total' in try_fetch(address, '/metrics').body
        ),
    )


def _send_reads(context: Any, count: int) -> list[int]:
    client = _connect(context)
    return [client.fetch('GET', _READ_PATH).status for _ in range(count)]
