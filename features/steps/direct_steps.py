"""Steps on requests through an entry that calls targets directly."""

import io
import re
from collections import deque
from datetime import timedelta
from typing import Any

import eliot
import gevent
from behave import given, then, when

from buckthornpond_platform_standins.clients import Client, ClientResponse
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    READ_PATH,
    STREAM_PATH,
    TENANT,
    LocalCluster,
    make_config,
)
from buckthornpond_platform_standins.server_responses import Behaviour
from buckthornpond_platform_standins.servers import ServerStandIn

_NOT_RUN_STATUSES = (408, 421, 429, 503)
_GET_LINE = 'GET /read/1 HTTP/1.1\r\n'
_AUTH = f'Host: {HOST}\r\nAuthorization: Token {API_KEY}\r\n'
_ID = 'X-Attempt-Id: aa\r\n'
_MALFORMED_BYTES = {
    'noise': b'\x00\x01\x02 noise\r\n\r\n',
    'a long head': f'{_GET_LINE}X: {"a" * 20000}\r\n\r\n'.encode(),
    'a long body': (
        f'POST /write/1 HTTP/1.1\r\n{_AUTH}{_ID}Content-Length: 5000000\r\n\r\n'
    ).encode()
    + b'a' * 5_000_000,
    'half a head': f'{_GET_LINE}Host: a'.encode(),
    'half a body': (
        f'POST /write/1 HTTP/1.1\r\n{_AUTH}{_ID}Content-Length: 9\r\n\r\nab'
    ).encode(),
    'two lengths': (
        f'POST /write/1 HTTP/1.1\r\n{_AUTH}{_ID}Content-Length: 2\r\n'
        'Content-Length: 3\r\n\r\nabc'
    ).encode(),
    'length and chunk': (
        f'POST /write/1 HTTP/1.1\r\n{_AUTH}{_ID}Content-Length: 2\r\n'
        'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
    ).encode(),
    'no attempt id': f'{_GET_LINE}{_AUTH}\r\n'.encode(),
    'a huge count': (
        f'{_GET_LINE}{_AUTH}{_ID}X-Deadline-Ms: {"9" * 5000}\r\n\r\n'
    ).encode(),
    'a wrong count': f'{_GET_LINE}{_AUTH}{_ID}X-Deadline-Ms: -1\r\n\r\n'.encode(),
}


class LogLines(list[bytes]):
    """File for the log of a scenario, which keeps the lines."""

    def write(self, line: bytes) -> None:
        """Append a line."""
        self.append(line)

    def flush(self) -> None:
        """Do nothing; lines are not buffered."""


def start_world(
    context: Any,
    app_count: int,
    llm_count: int,
    **changes: Any,
) -> LocalCluster:
    """Start a world with one entry.

    :param context: the scenario.
    :param app_count: servers of the plain service.
    :param llm_count: servers of the engine service.
    :param changes: settings of the entry that differ from the defaults.
    """
    cluster = LocalCluster()
    context.cluster = cluster
    context.fleet = cluster
    context.answers = []
    context.log_lines = LogLines()
    context.task_errors = io.StringIO()
    gevent.get_hub().exception_stream = context.task_errors
    eliot.to_file(context.log_lines)
    for _ in range(app_count):
        cluster.add_server('app')
    for _ in range(llm_count):
        cluster.add_server('llm')
    cluster.start(**changes)
    return cluster


@given('an entry before {apps:d} app servers and {llms:d} llm servers')
def start(context: Any, apps: int, llms: int) -> None:
    """Start an entry and the servers of each service."""
    start_world(context, apps, llms)


@given('the next {service:w} servers do: {behaviours}')
def plan(context: Any, service: str, behaviours: str) -> None:
    """Set the behaviour of the next requests to a service, in order."""
    # The servers share one queue, since any of them may be chosen first.
    queue = deque(Behaviour(name) for name in behaviours.split())
    for server in list_servers(context, service):
        server.behaviours = queue


@given("the routes' time limit is {limit_ms:d} ms")
def limit_routes(context: Any, limit_ms: int) -> None:
    """Write a configuration with shorter time limits."""
    routes = make_config(0)['routes']
    for route in routes:
        route['timeoutMs'] = limit_ms
    context.cluster.configure(routes=routes)
    context.cluster.wait_until_synced()


@given('llm servers send {count:d} events')
def write_many(context: Any, count: int) -> None:
    """Set the number of events of each stream."""
    for server in list_servers(context, 'llm'):
        server.event_count = count


@when('a caller posts {length:d} bytes to {path}')
def post(context: Any, length: int, path: str) -> None:
    """Send a request that may run only once."""
    context.body = bytes(number % 251 for number in range(length))
    _time_request(
        context,
        lambda client: client.fetch(
            'POST',
            path,
            body=context.body,
            X_Tenant='forged',
            X_Helpers='10.0.0.1:1',
            X_Deadline_Ms='2500',
        ),
    )


@when('a caller gets {path:S}')
def ask_read(context: Any, path: str) -> None:
    """Send a request that may be retried."""
    _time_request(context, lambda client: client.fetch('GET', path))


@when('a caller gets {path:S} with {limit_ms:d} ms')
def ask_read_within(context: Any, path: str, limit_ms: int) -> None:
    """Send a request that may be retried, with a time limit."""
    _time_request(
        context,
        lambda client: client.fetch('GET', path, X_Deadline_Ms=f'{limit_ms}'),
    )


@when('a caller with credential "{key}" gets {path:S}')
def ask_read_as(context: Any, key: str, path: str) -> None:
    """Send a request that may be retried, with another credential."""
    client = context.cluster.connect(key=key)
    context.answers.append(client.fetch('GET', path))


@when('a caller gets {path:S} {count:d} times')
def ask_reads_in_turn(context: Any, path: str, count: int) -> None:
    """Send requests in sequence on one connection."""
    client = context.cluster.connect()
    context.answers = [client.fetch('GET', path) for _ in range(count)]


@when('a caller streams {path:S}')
def stream(context: Any, path: str) -> None:
    """Request a stream."""
    _time_request(context, lambda client: _stream(client, path))


@when('a caller streams {path:S} after event {number:d}')
def resume(context: Any, path: str, number: int) -> None:
    """Request the events of a stream after a given one."""
    _time_request(
        context,
        lambda client: _stream(client, path, Last_Event_Id=f'{number}'),
    )


@when('a caller streams {path:S} and disconnects after {seconds:f} seconds')
def leave(context: Any, path: str, seconds: float) -> None:
    """Request a stream and close the connection."""
    client = context.cluster.connect()
    client.send('POST', path, X_Token_Count='100,40')
    gevent.sleep(seconds)
    client.connection.close()


@when('a caller streams {path:S} and reads nothing for {seconds:d} seconds')
def read_nothing(context: Any, path: str, seconds: int) -> None:
    """Request a stream and do not read the response."""
    context.client = context.cluster.connect()
    context.client.send('POST', path, X_Token_Count='100,40')
    gevent.sleep(seconds)


@when('a caller sends two requests at once')
def pipeline(context: Any) -> None:
    """Send the second request before the first response."""
    client = context.cluster.connect()
    context.answers = [client.send('GET', '/read/1')]
    context.answers.append(client.send('GET', '/read/2'))
    for answer in context.answers:
        client.receive(answer)


@when('a caller sends malformed bytes: {name}')
def send_bytes(context: Any, name: str) -> None:
    """Send bytes that are no valid request."""
    client = context.cluster.connect()
    connection = client.connection
    connection.connect(timedelta(seconds=5))
    sender = gevent.spawn(
        _send_until_closed, connection, _MALFORMED_BYTES[name]
    )
    context.bad = ClientResponse('aa')
    client.receive(context.bad)
    sender.kill()


@when('the tasks of the entry are cancelled while a read runs')
def cancel_tasks(context: Any) -> None:
    """Cancel the tasks once a server runs the request."""
    client = context.cluster.connect()
    answer = client.send('GET', READ_PATH)
    wait_until(lambda: count_runs(context))
    context.cluster.entries[0].stop_tasks()
    client.receive(answer)
    context.answers.append(answer)


@when('the app servers close their idle connections')
def drop(context: Any) -> None:
    """Close the idle connections at the servers."""
    for server in list_servers(context, 'app'):
        server.drop_connections()
    gevent.sleep(0.05)


@then('the answer is {status:d}')
def check_status(context: Any, status: int) -> None:
    """Check the status of the last response."""
    answer = context.answers[-1]
    assert answer.status == status, (answer.status, answer.error, answer.body)


@then("the answer is {status:d} with the target's body and signature")
def check_answer(context: Any, status: int) -> None:
    """Compare the last response with what the servers send."""
    check_status(context, status)
    answer = context.answers[-1]
    assert answer.body == f'answer to {answer.attempt_id}'.encode()
    assert answer.fields['x-server-signature']


@then('the target got the same method, path and body')
def check_request(context: Any) -> None:
    """Compare the forwarded request with the sent one."""
    received = _last_received(context)
    assert received.method == 'POST'
    assert received.path == '/write/1/2f?a=b'
    assert received.body == context.body


@then(
    "the target got the organisation, its own name and at most the caller's "
    'time',
)
def check_added(context: Any) -> None:
    """Check the header fields that the entry sets."""
    fields = _last_received(context).fields
    names = {server.name for server in context.cluster.servers}
    assert fields['x-tenant'] == TENANT
    assert fields['x-expect-instance'] in names
    assert 0 < int(fields['x-deadline-ms']) <= 2500


@then(
    'the target got neither the credential nor headers that only the system '
    'sets',
)
def check_removed(context: Any) -> None:
    """Check that internal header fields are not forwarded."""
    fields = _last_received(context).fields
    assert 'authorization' not in fields
    assert 'x-helpers' not in fields


@then('no request ran more than once')
def check_once(context: Any) -> None:
    """Count the runs of each request over all targets."""
    assert max(count_runs(context).values(), default=0) <= 1


@then('no request ran on more than {count:d} targets')
def check_runs(context: Any, count: int) -> None:
    """Count the runs of each request over all targets."""
    run_counts = count_runs(context)
    assert max(run_counts.values(), default=0) <= count, run_counts


@then('a status that states that the request did not run is true')
def check_promise(context: Any) -> None:
    """Check that requests refused as not run did not run."""
    run_counts = count_runs(context)
    for answer in context.answers:
        if answer.status in _NOT_RUN_STATUSES:
            assert not run_counts.get(answer.attempt_id), answer.status
            assert float(answer.fields['retry-after']) > 0


@then('the caller has events {first:d} to {last:d} once each, and the end')
def check_events(context: Any, first: int, last: int) -> None:
    """Check the events of the last response."""
    answer = context.answers[-1]
    assert not answer.error, answer.error
    assert answer.status == 200, answer.status
    padding = list_servers(context, 'llm')[0].event_padding
    assert answer.is_stream_of(first, last, padding), answer.body


@then('the signature is that of the first target that answered')
def check_signature(context: Any) -> None:
    """Check that the stream kept the head of its first target."""
    signature = context.answers[-1].fields['x-server-signature']
    ran = [
        server.name
        for server in list_servers(context, 'llm')
        if context.answers[-1].attempt_id in server.run_counts
    ]
    assert signature.rpartition('.')[2] in ran


@then('the answer is incomplete')
def check_cut(context: Any) -> None:
    """Check that the caller detects the incomplete response."""
    assert context.answers[-1].error


@then('each answer belongs to its request')
def check_own(context: Any) -> None:
    """Compare each response with its request."""
    for answer in context.answers:
        assert answer.body == f'answer to {answer.attempt_id}'.encode(), (
            answer.status,
            answer.body,
        )


@then('the connection to the target is closed within {seconds:f} seconds')
def check_freed(context: Any, seconds: float) -> None:
    """Wait until a server detects the closed connection."""
    wait_until(
        lambda: any(
            server.abandoned_count for server in list_servers(context, 'llm')
        ),
        seconds,
    )


@then('the entry has no attempt in flight')
def check_nothing_held(context: Any) -> None:
    """Wait until no attempt is in flight."""
    fleet = context.cluster.entries[0].dispatcher.fleet
    wait_until(lambda: not any(view.attempts for view in fleet), 2)


@then('it arrived after {low:f} to {high:f} seconds')
def check_time(context: Any, low: float, high: float) -> None:
    """Check the duration of the last request."""
    assert low <= context.seconds <= high, context.seconds


@then('the last target got less time than the first')
def check_left(context: Any) -> None:
    """Compare the time limits of both attempts."""
    limits = [
        int(received.fields['x-deadline-ms'])
        for server in list_servers(context, 'app')
        for received in server.received
    ]
    assert len(limits) == 2, limits
    assert max(limits) <= 900, limits
    assert max(limits) - min(limits) >= 100, limits


@then('no target got a request')
def check_none(context: Any) -> None:
    """Check that the entry forwarded no request."""
    assert not any(server.received for server in context.cluster.servers)


@then('the refusal is {status:d}')
def check_first_line(context: Any, status: int) -> None:
    """Check the refusal of malformed bytes."""
    assert context.bad.status == status, (
        context.bad.status,
        context.bad.error,
        context.bad.body,
    )


@then('both are answered in order')
def check_pipeline(context: Any) -> None:
    """Check that responses are in the order of the requests."""
    for answer in context.answers:
        assert answer.body == f'answer to {answer.attempt_id}'.encode()


@then('the entry has read less than {size:d} MB of the answer')
def check_held(context: Any, size: int) -> None:
    """Check how much the server sent before flow control stopped it."""
    server = next(
        server for server in list_servers(context, 'llm') if server.received
    )
    assert server.streamed_bytes < size * 1_000_000, server.streamed_bytes
    assert server.streamed_bytes, 'nothing was written'
    context.client.connection.close()


@then('the app servers saw at most {count:d} connections')
def check_connections(context: Any, count: int) -> None:
    """Count the connections that the entry opened."""
    opened = sum(
        server.connection_count for server in list_servers(context, 'app')
    )
    assert opened <= count, opened


@then('no task of the entry failed')
def check_tasks(context: Any) -> None:
    """Check that no greenlet ended with an unhandled error."""
    gevent.sleep(0.1)
    errors = context.task_errors.getvalue()
    assert not errors, errors


def _time_request(context: Any, fetch: Any) -> None:
    started = context.cluster.clock.monotonic()
    context.answers.append(fetch(context.cluster.connect()))
    elapsed = context.cluster.clock.monotonic() - started
    context.seconds = elapsed.total_seconds()


def _stream(client: Client, path: str = STREAM_PATH, **fields: str) -> Any:
    return client.fetch('POST', path, X_Token_Count='100,40', **fields)


def list_servers(context: Any, service: str) -> list[ServerStandIn]:
    return [
        server
        for server in context.cluster.servers
        if server.service == service
    ]


def _last_received(context: Any) -> Any:
    found = [
        received
        for server in context.cluster.servers
        for received in server.received
    ]
    return max(found, key=lambda received: received.at_seconds)


def count_runs(context: Any) -> dict[str, int]:
    run_counts: dict[str, int] = {}
    for server in context.cluster.servers:
        for attempt_id, count in server.run_counts.items():
            run_counts[attempt_id] = run_counts.get(attempt_id, 0) + count
    return run_counts


def _send_until_closed(connection: Any, content: bytes) -> None:
    # The entry may refuse and close before it has received everything.
    try:
        connection.send(content)
    except Exception as error:
        assert re.search('reset|pipe|closed|connected', str(error), re.I), error
