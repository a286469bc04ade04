"""Steps for crowds of clients that do not behave."""

import resource
from datetime import timedelta
from pathlib import Path
from typing import Any

import gevent
import psutil
from behave import given, then, when
from gevent.socket import create_connection

from buckthornpond_core.exceptions import BuckthornpondError
from buckthornpond_platform_standins.clients import Client
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    READ_PATH,
    make_config,
    make_route,
)
from buckthornpond_platform_standins.processes import EntryProcess
from buckthornpond_standins.fleets import CREDENTIAL, Fleet
from features.specs.client_crowds import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    ClientCrowd,
    make_allowed_request,
)
from features.specs.counts import report
from features.specs.long_responses import LongResponseServer
from features.specs.process_worlds import ProcessWorld

_BYTES_PER_MB = 1_000_000
_KIBIBYTE = 1024
_AGENT_ENTRY_BODIES_BYTES = 16_777_216
# How long an ordinary client waits for an answer before it gives up.
_PATIENCE = timedelta(seconds=10)
# The time that an entry gives a client to send a body.
_ALLOWED_PATIENCE = timedelta(seconds=60)
_START_BYTES = 1000
_LONG_ROUTE_MS = 20_000
# Longer than a refused connection stays.
_LINGER_SECONDS = 0.6
_CLIENT_LIMITS = {
    'maxHeaderBytes': MAX_HEAD_BYTES,
    'maxBodyBytes': MAX_BODY_BYTES,
    'headerTimeoutMs': 10_000,
    'idleTimeoutMs': 15_000,
}
_RECEIVE_QUEUE_COLUMN = 4
_ADDRESS_COLUMN = 1


@given('an entry process on a machine of {memory:d} MB and {files:d} files')
def start_limited(context: Any, memory: int, files: int) -> None:
    """Start an entry before one app server."""
    cluster = ProcessWorld()
    context.cluster = cluster
    context.fleet = cluster
    cluster.add_server('app')
    cluster.configure(limits=_CLIENT_LIMITS)
    cluster.process = EntryProcess(cluster.store.address)
    context.process = cluster.process
    cluster.process.settings['limits'] = {
        'memoryMb': memory,
        'maxFds': files,
    }
    cluster.process.start()


@given('an entry with agents that has {files:d} files, and 16 MiB for bodies')
def start_with_agents(context: Any, files: int) -> None:
    """Start a fleet whose processes inherit the limit."""
    context.fleet = Fleet(
        engine_count=1,
        entry_count=1,
        entry_settings={'body_budget_bytes': _AGENT_ENTRY_BODIES_BYTES},
    )
    earlier, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (files, most))
    try:
        context.fleet.__enter__()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (earlier, most))


@when('{count:d} clients {shape}, at the entry with agents')
def send_to_agents(context: Any, count: int, shape: str) -> None:
    """Let all clients send at the same time."""
    _start_crowd(context, context.fleet.entry_addresses[0], count, shape)


@then('an ordinary request to the entry with agents is answered')
def check_agent_entry(context: Any) -> None:
    """Ask for the list of models on a new connection."""
    status = _send_read(
        context.fleet.entry_addresses[0],
        '/v1/models',
        Authorization=f'Bearer {CREDENTIAL}',
    )
    assert status == 200, status


@then('the entry with agents lives within {memory:d} MB')
def check_agent_usage(context: Any, memory: int) -> None:
    """Compare the most that the process has held with its machine."""
    process = context.fleet.entries[0]
    assert process.is_running, process.read_log_end()
    used_bytes = _read_peak_bytes(process.identifier) + _count_unread_bytes(
        context.fleet.entry_addresses[0]
    )
    report(f'{used_bytes / _BYTES_PER_MB:.1f} MB at the peak')
    assert used_bytes <= memory * _BYTES_PER_MB, used_bytes


@when('{count:d} clients {shape} and stay connected')
def send_crowd(context: Any, count: int, shape: str) -> None:
    """Let all clients send at the same time."""
    _start_crowd(context, context.process.address, count, shape)


@given('a service whose answers have {kibibytes:d} KiB')
def start_long_service(context: Any, kibibytes: int) -> None:
    """Add a service with a route of its own."""
    cluster = context.cluster
    server = LongResponseServer(kibibytes * _KIBIBYTE)
    cluster.peers.append(server)
    default = make_config(0)
    route = make_route('long', 'idempotent', 'long', timeoutMs=_LONG_ROUTE_MS)
    service = {'name': 'long', 'coldStartS': 0, 'coldPerS': 0}
    cluster.configure(
        limits=_CLIENT_LIMITS,
        routes=[*default['routes'], route],
        services=[*default['services'], service],
    )
    record = {**cluster.servers[0].entry(), 'service': 'long'}
    cluster.store.put('servers/i-long', {**record, 'address': server.address})
    wait_until(lambda: '"i-long"' in context.process.read_log())


@when('{count:d} clients {shape} at the {listener} listener')
def send_aside(context: Any, count: int, shape: str, listener: str) -> None:
    """Let all clients send to a listener for others than callers."""
    process = context.process
    addresses = {
        'readiness': process.ready_address,
        'metrics': f'127.0.0.1:{process.metrics_port}',
        'exchange': f'127.0.0.1:{process.settings["internalPorts"][0]}',
    }
    context.listener_address = addresses[listener]
    _start_crowd(context, context.listener_address, count, shape)


@then('an ordinary request for {path} is answered there')
def check_aside(context: Any, path: str) -> None:
    """Send one request on a new connection."""
    response = _send_read(context.listener_address, path)
    assert response == 200, response


@then('the process lives within its memory and its files')
def check_usage(context: Any) -> None:
    """Compare the most that the process has held with its settings."""
    assert context.process.is_running
    limits = context.process.settings['limits']
    process_id = context.process.process.pid
    peak_bytes = _read_peak_bytes(process_id)
    unread_bytes = _count_unread_bytes(context.process.address)
    files = psutil.Process(process_id).num_fds()
    report(
        f'{peak_bytes / _BYTES_PER_MB:.1f} MB at the peak,'
        f' {unread_bytes / _BYTES_PER_MB:.1f} MB unread, {files} files'
    )
    used_bytes = peak_bytes + unread_bytes
    assert used_bytes <= limits['memoryMb'] * _BYTES_PER_MB, used_bytes
    assert files <= limits['maxFds'], files


@then('an ordinary request of another client is answered')
def check_answered(context: Any) -> None:
    """Send one request on a new connection."""
    response = _send_read(context.process.address, READ_PATH)
    assert response == 200, response


@when('the clients close their connections')
def close_crowd(context: Any) -> None:
    """Close all at once."""
    context.crowd.close()


@when('a client sends a request of {count:d} {kind}')
def send_allowed(context: Any, count: int, kind: str) -> None:
    """Send it whole and read the start of the answer."""
    host, port = context.process.address.rsplit(':', 1)
    with create_connection(
        (host, int(port)), _ALLOWED_PATIENCE.total_seconds()
    ) as connection:
        connection.sendall(make_allowed_request(kind, count))
        context.start = connection.recv(_START_BYTES)


@when('a client sends a request without an ID and {count:d} bytes behind it')
def send_without_id(context: Any, count: int) -> None:
    """Send a request that is refused, go on, and read afterwards."""
    host, port = context.process.address.rsplit(':', 1)
    with create_connection(
        (host, int(port)), _ALLOWED_PATIENCE.total_seconds()
    ) as connection:
        connection.sendall(b'GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n')
        connection.sendall(bytes(count))
        context.start = connection.recv(_START_BYTES)


@then('the entry logs no crash')
def check_no_crash(context: Any) -> None:
    """Look for the event once the entry has closed the connection."""
    wait_until(lambda: 'caller_rejected' in context.process.read_log())
    gevent.sleep(_LINGER_SECONDS)
    assert 'request_crashed' not in context.process.read_log()


@then('it is answered with {status:d}')
def check_status(context: Any, status: int) -> None:
    """Compare the status line."""
    assert context.start.startswith(b'HTTP/1.1 %d ' % status), context.start


def _start_crowd(context: Any, address: str, count: int, shape: str) -> None:
    context.crowd = ClientCrowd(address, count, shape)
    context.add_cleanup(context.crowd.close)
    context.crowd.send()


def _send_read(address: str, path: str, **fields: str) -> int | str:
    """Return the status, or why there is none."""
    client = Client(address, HOST, '' if fields else API_KEY)
    expired = TimeoutError(f'no answer within {_PATIENCE}')
    try:
        with gevent.Timeout(_PATIENCE.total_seconds(), expired):
            response = client.fetch('GET', path, **fields)
    except (BuckthornpondError, TimeoutError) as error:
        return str(error)
    finally:
        client.connection.close()
    return response.status or response.error


def _read_peak_bytes(process_id: int) -> int:
    """Return the most resident memory that a process has had."""
    lines = Path(f'/proc/{process_id}/status').read_text().splitlines()
    peak = next(line for line in lines if line.startswith('VmHWM:'))
    return int(peak.split()[1]) * _KIBIBYTE


def _count_unread_bytes(address: str) -> int:
    """Return the bytes that the kernel holds for the readers of a port."""
    port = f'{int(address.rpartition(":")[2]):04X}'
    total_bytes = 0
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        columns = line.split()
        if columns[_ADDRESS_COLUMN].endswith(f':{port}'):
            queues = columns[_RECEIVE_QUEUE_COLUMN]
            total_bytes += int(queues.partition(':')[2], 16)
    return total_bytes
