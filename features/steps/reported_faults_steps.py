"""Steps that play the faults which operators of similar systems reported."""

import signal
import time
from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when
from gevent.socket import AF_INET, SOCK_STREAM, socket

from buckthornpond_core.exceptions import BuckthornpondError
from buckthornpond_platform_standins.clients import Client, ClientResponse
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    find_free_port,
    make_config,
    make_route,
)
from buckthornpond_platform_standins.processes import EntryProcess
from buckthornpond_platform_standins.relays import Relay, RelayFault
from buckthornpond_platform_standins.server_responses import Behaviour
from features.specs.process_worlds import ProcessWorld

_WRITE_PATH = '/write/1'
_PAUSE_SECONDS = 0.005
_CALLER_TIMEOUT = timedelta(seconds=20)
_READ_TIMEOUT_SECONDS = 8
_NEW_KEY = 'secret-2'
_FIRST_FRESH_HOST = 21
_KEPT_FIELDS = {'X_Token_Count': '100,40'}


class SentRequest:
    """Request of a caller during a planned stop."""

    __slots__ = ('attempt_id', 'is_answered', 'sent_at')

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id
        self.sent_at = time.monotonic()
        self.is_answered = False


def _connect(context: Any, key: str = API_KEY) -> Client:
    return Client(context.process.address, HOST, key)


def _list_runs(context: Any) -> dict[str, int]:
    runs: dict[str, int] = {}
    for server in context.cluster.servers:
        for attempt_id, count in server.run_counts.items():
            runs[attempt_id] = runs.get(attempt_id, 0) + count
    return runs


@given('its servers always do: {behaviour:w}')
def set_behaviour(context: Any, behaviour: str) -> None:
    """Let every server do the same for each request."""
    for server in context.cluster.servers:
        server.default_behaviour = Behaviour(behaviour)


@when('{count:d} writes are sent one after another')
def send_writes(context: Any, count: int) -> None:
    """Send writes that the entry forwards on kept connections."""
    client = _connect(context)
    context.responses = [
        client.fetch('POST', _WRITE_PATH) for _ in range(count)
    ]
    connection_count = context.cluster.servers[0].connection_count
    assert connection_count < count or count == 1, connection_count


@when('{count:d} writes are sent one after another with the same attempt ID')
def send_same_id(context: Any, count: int) -> None:
    """Send writes that a careless caller gives one attempt ID."""
    client = _connect(context)
    context.responses = [
        client.fetch('POST', _WRITE_PATH, X_Attempt_Id='same')
        for _ in range(count)
    ]


@then('each was answered 200')
def check_answered(context: Any) -> None:
    """Compare the statuses."""
    statuses = [response.status for response in context.responses]
    assert set(statuses) == {200}, statuses


@then('each was answered 200 with its own answer')
def check_own_answers(context: Any) -> None:
    """Compare each body with the request."""
    for response in context.responses:
        assert response.status == 200, (response.status, response.body)
    check_no_other_answer(context)


@then('none was answered with the answer of another')
def check_no_other_answer(context: Any) -> None:
    """Compare the bodies of successful answers with their requests."""
    for response in context.responses:
        if response.status == 200:
            expected = f'answer to {response.attempt_id}'.encode()
            assert response.body == expected, (expected, response.body)
        else:
            assert response.status == 502, response.status


@then('no write ran more than once')
def check_runs(context: Any) -> None:
    """Count the runs of each request."""
    assert max(_list_runs(context).values()) == 1


@when(
    'a stop signal comes while {count:d} callers send reads and writes on'
    ' kept connections'
)
def stop_under_load(context: Any, count: int) -> None:
    """Send requests without a pause from before the stop until the end."""
    context.sent_requests = []
    context.callers = [
        gevent.spawn(_send_until_end, context, number)
        for number in range(count)
    ]
    gevent.sleep(0.5)
    context.late_body = gevent.spawn(_send_late_body, context, 3.3)
    gevent.sleep(0.1)
    context.process.send_signal(signal.SIGTERM)


def _send_until_end(context: Any, number: int) -> None:
    client = _connect(context)
    method, path = ('POST', _WRITE_PATH) if number % 2 else ('GET', '/read/1')
    while context.process.is_running:
        try:
            response = client.send(method, path)
        except BuckthornpondError:
            # Closed before the request was written, or no longer listening.
            client.connection.close()
            gevent.sleep(_PAUSE_SECONDS)
            continue
        request = SentRequest(response.attempt_id)
        context.sent_requests.append(request)
        client.receive(response, method)
        request.is_answered = response.status > 0 and not response.error
        if response.error:
            client.connection.close()
        gevent.sleep(_PAUSE_SECONDS)


def _send_late_body(context: Any, pause_seconds: float) -> int:
    """Send a body in small parts; return the status of its answer."""
    host, port = context.process.address.rsplit(':', 1)
    with socket(AF_INET, SOCK_STREAM) as connection:
        connection.connect((host, int(port)))
        connection.sendall(
            f'POST {_WRITE_PATH} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Attempt-Id: late\r\nAuthorization: Token {API_KEY}\r\n'
            'Content-Length: 12\r\n\r\n'.encode()
        )
        for _ in range(11):
            gevent.sleep(pause_seconds / 11)
            connection.sendall(b'a')
        connection.sendall(b'a')
        connection.settimeout(_READ_TIMEOUT_SECONDS)
        received = connection.recv(65_536)
    return int(received.split(b' ')[1]) if received else 0


@when(
    'a caller begins a body before the stop and ends it {seconds:f} seconds later'
)
def note_late_body(context: Any, seconds: float) -> None:
    """Note when the process ends; the body is being sent since the stop."""
    wait_until(lambda: not context.process.is_running)
    context.stopped_at = time.monotonic()
    gevent.joinall(context.callers)


@given("the routes' time limit is {limit_ms:d} ms from now on")
def extend_time_limits(context: Any, limit_ms: int) -> None:
    """Write a configuration with other time limits."""
    routes = make_config(0)['routes']
    for route in routes:
        route['timeoutMs'] = limit_ms
    _configure(context, routes)


@when(
    'a stop signal comes and {count:d} callers send a write each in the'
    ' {seconds:d} seconds after it'
)
def write_after_stop(context: Any, count: int, seconds: int) -> None:
    """Send writes on connections that were opened before the stop."""
    clients = [_connect(context) for _ in range(count)]
    for each in clients:
        each.connection.connect(_CALLER_TIMEOUT)
    gevent.sleep(0.1)
    context.process.send_signal(signal.SIGTERM)
    context.stop_signal_at = time.monotonic()
    context.writes = [
        gevent.spawn_later(seconds * number / count, _write_once, client)
        for number, client in enumerate(clients)
    ]
    wait_until(lambda: not context.process.is_running)
    gevent.joinall(context.writes)


def _write_once(client: Client) -> tuple[float, ClientResponse]:
    sent_at = time.monotonic()
    response = client.send('POST', _WRITE_PATH)
    client.receive(response, 'POST')
    return sent_at, response


@then('each write got an answer')
def check_writes_answered(context: Any) -> None:
    """Check the responses, also of those that were running at the end."""
    for task in context.writes:
        sent_at, response = task.value
        age = sent_at - context.stop_signal_at
        assert response.status and not response.error, (age, response.error)


@then('no write that a server ran was answered as not run')
def check_writes_true(context: Any) -> None:
    """Compare the statuses with the runs."""
    runs = _list_runs(context)
    responses = [task.value[1] for task in context.writes]
    assert any(each.attempt_id in runs for each in responses)
    for response in responses:
        is_refusal = response.status in {408, 421, 429, 503}
        assert is_refusal != (response.attempt_id in runs), response.status


@then('the writes of the last {seconds:d} seconds reached no server')
def check_late_writes(context: Any, seconds: int) -> None:
    """Compare the latest writes with the runs."""
    runs = _list_runs(context)
    last_sent_at = max(task.value[0] for task in context.writes)
    late = [
        task.value[1].attempt_id
        for task in context.writes
        if task.value[0] > last_sent_at - seconds
    ]
    assert late
    assert not set(late) & set(runs)


@then(
    'no request sent more than {seconds:f} seconds before the end lacks an'
    ' answer'
)
def check_unanswered(context: Any, seconds: float) -> None:
    """Look for requests that were cut off."""
    cut = [
        context.stopped_at - each.sent_at
        for each in context.sent_requests
        if not each.is_answered
    ]
    assert len(context.sent_requests) > 100
    assert all(before_end <= seconds for before_end in cut), cut


@then('no server ran a request that lacks an answer')
def check_ran_unanswered(context: Any) -> None:
    """Compare the runs with the answers."""
    runs = _list_runs(context)
    cut = {
        each.attempt_id
        for each in context.sent_requests
        if not each.is_answered
    }
    assert not cut & set(runs), cut & set(runs)


@then('the body that came late was answered')
def check_late_body(context: Any) -> None:
    """Check the status of the request whose body was slow."""
    status = context.late_body.get(timeout=_READ_TIMEOUT_SECONDS)
    assert status in {200, 503}, status


@when('a caller reads a stream on the {route} route')
def read_stream(context: Any, route: str) -> None:
    """Read a stream to its end."""
    _add_once_only_route(context)
    context.started_at = time.monotonic()
    context.stream = _connect(context).fetch(
        'POST', f'/{route}/1', **_KEPT_FIELDS
    )
    context.stream_seconds = time.monotonic() - context.started_at


def _add_once_only_route(context: Any) -> None:
    routes = [
        *make_config(0)['routes'],
        make_route('once-only', 'streaming', 'llm', timeoutMs=6000),
    ]
    for route in routes:
        if route['name'] == 'stream':
            route['timeoutMs'] = 9000
    _configure(context, routes)


def _configure(context: Any, routes: list[Any]) -> None:
    context.cluster.configure(routes=routes)
    version = context.cluster.version
    wait_until(
        lambda: any(
            event['event'] == 'configuration_accepted'
            and event['version'] == version
            for event in context.process.read_events()
        ),
    )


@when(
    'a caller reads a stream on the {route} route while the records of all'
    ' servers {change}'
)
def read_during_change(context: Any, route: str, change: str) -> None:
    """Change the records after the first event."""
    _add_once_only_route(context)
    client = _connect(context)
    context.stream = client.send('POST', f'/{route}/1', **_KEPT_FIELDS)
    servers = context.cluster.servers
    wait_until(lambda: any(server.streamed_bytes for server in servers))
    cluster = context.cluster
    for server in cluster.servers:
        if change == 'disappear':
            cluster.store.delete(f'servers/{server.name}')
        elif change == 'drain':
            cluster.register(server, state='draining')
        else:
            cluster.register(server, born=2, sequence=1)
    client.receive(context.stream, 'POST')


@then('the stream has events {first:d} to {last:d} and its end')
def check_stream(context: Any, first: int, last: int) -> None:
    """Compare the events, each of which comes once."""
    assert context.stream.is_stream_of(first, last), context.stream.body
    assert not context.stream.error, context.stream.error


@then('the stream is incomplete')
def check_incomplete(context: Any) -> None:
    """Check that the caller can tell."""
    assert context.stream.error, context.stream.body


@then('it took at most {seconds:f} seconds')
def check_time(context: Any, seconds: float) -> None:
    """Compare the time of the stream."""
    assert context.stream_seconds <= seconds, context.stream_seconds


@then('{low:d} servers ran it')
def check_run_count(context: Any, low: int) -> None:
    """Count the runs at all servers."""
    assert _list_runs(context)[context.stream.attempt_id] == low


@then('{low:d} to {high:d} servers ran it')
def check_run_range(context: Any, low: int, high: int) -> None:
    """Count the runs at all servers."""
    assert low <= _list_runs(context)[context.stream.attempt_id] <= high


@when('a caller with HTTP/{version} {action}')
def send_as_version(context: Any, version: str, action: str) -> None:
    """Send a request on a plain socket and read to the end."""
    host, port = context.process.address.rsplit(':', 1)
    path = '/stream/1' if action == 'reads a stream' else _WRITE_PATH
    context.has_reset = False
    context.received = b''
    with socket(AF_INET, SOCK_STREAM) as connection:
        connection.connect((host, int(port)))
        connection.sendall(
            f'POST {path} HTTP/{version}\r\nHost: {HOST}\r\n'
            f'X-Attempt-Id: 1\r\nAuthorization: Token {API_KEY}\r\n'
            'X-Token-Count: 100,40\r\nContent-Length: 0\r\n\r\n'.encode()
        )
        connection.settimeout(_READ_TIMEOUT_SECONDS)
        try:
            _receive_all(context, connection)
        except ConnectionResetError:
            context.has_reset = True


def _receive_all(context: Any, connection: socket) -> None:
    while True:
        received = connection.recv(65_536)
        if not received:
            return
        context.received += received


@then('its answer is not a complete success')
def check_not_complete(context: Any) -> None:
    """Check that the status, the framing or a reset shows the failure."""
    head, _, body = context.received.partition(b'\r\n\r\n')
    is_success = head.split(b' ')[1:2] == [b'200']
    if not is_success or context.has_reset:
        return
    assert b'chunked' in head.lower(), context.received
    assert not body.endswith(b'0\r\n\r\n'), body


@given(
    'an entry process before {apps:d} app servers and {llms:d} llm servers'
    ' that serves as a peer'
)
def start_peer(context: Any, apps: int, llms: int) -> None:
    """Start an entry process that tells others what it knows."""
    cluster = ProcessWorld()
    context.cluster = cluster
    context.fleet = cluster
    for _ in range(apps):
        cluster.add_server('app')
    for _ in range(llms):
        cluster.add_server('llm')
    cluster.configure()
    context.exchange_port = find_free_port()
    context.relays = {}
    context.peer_processes = {}
    _start_peer(context, '127.0.0.11')


def _start_peer(
    context: Any, ip: str, seeds: tuple[str, ...] = ()
) -> EntryProcess:
    relay = Relay(context.cluster.store.address)
    process = EntryProcess(
        relay.address,
        ip=ip,
        seeds=[f'{seed}:1' for seed in seeds],
        exchange_port=context.exchange_port,
    )
    context.relays[ip] = relay
    context.peer_processes[ip] = process
    context.add_cleanup(relay.close)
    context.add_cleanup(process.stop)
    if not seeds:
        process.start()
    return process


@given(
    'a second peer process that lost the store before a key was withdrawn'
    ' and a server left'
)
def start_old_peer(context: Any) -> None:
    """Cut a second entry off, then change configuration and fleet."""
    cluster = context.cluster
    _start_peer(context, '127.0.0.12')
    context.relays['127.0.0.12'].set_fault(RelayFault.silence)
    tenants = [{'name': 'north', 'apiKeys': [_NEW_KEY], 'priority': 1}]
    cluster.configure(tenants=tenants)
    context.left_server = cluster.servers[0]
    cluster.store.delete(f'servers/{context.left_server.name}')
    peer = context.peer_processes['127.0.0.11']
    client = Client(peer.address, HOST, API_KEY)
    wait_until(lambda: client.fetch('GET', '/read/1').status == 401)
    wait_until(lambda: _has_removed(peer, context.left_server.name))


def _has_removed(process: EntryProcess, target: str) -> bool:
    return any(
        event['event'] == 'target_removed'
        and event['target'] == target
        and not event['is_back_expected']
        for event in process.read_events()
    )


@when(
    'the store is away and {count:d} entry processes start that know both peers'
)
def start_fresh(context: Any, count: int) -> None:
    """Start entries that hear nobody but their peers."""
    peers = tuple(context.peer_processes)
    context.relays[peers[0]].set_fault(RelayFault.silence)
    context.left_server.received.clear()
    context.fresh_processes = []
    for number in range(count):
        ip = f'127.0.0.{_FIRST_FRESH_HOST + number}'
        process = _start_peer(context, ip, peers)
        context.relays[ip].set_fault(RelayFault.silence)
        process.launch()
        context.fresh_processes.append(process)
    context.old_key_statuses = []
    for process in context.fresh_processes:
        _use_old_key_until_ready(context, process)


def _use_old_key_until_ready(context: Any, process: EntryProcess) -> None:
    client = Client(process.address, HOST, API_KEY)

    def probe() -> bool:
        try:
            response = client.fetch('GET', '/read/1')
        except BuckthornpondError:
            # It does not listen yet.
            return False
        context.old_key_statuses.append(response.status)
        return process.is_ready()

    wait_until(probe)
    context.old_key_statuses.append(client.fetch('GET', '/read/1').status)


@then('they refuse the withdrawn key and serve the new one')
def check_keys(context: Any) -> None:
    """Check every answer since the processes listened."""
    assert set(context.old_key_statuses) <= {401, 503}, context.old_key_statuses
    for process in context.fresh_processes:
        client = Client(process.address, HOST, _NEW_KEY)
        assert client.fetch('GET', '/read/1').status == 200


@then('the server that left receives nothing')
def check_left_server(context: Any) -> None:
    """Send reads and look at the server that is no longer listed."""
    for process in context.fresh_processes:
        client = Client(process.address, HOST, _NEW_KEY)
        statuses = {client.fetch('GET', '/read/1').status for _ in range(10)}
        assert statuses == {200}, statuses
    assert not context.left_server.received
