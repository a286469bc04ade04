"""Steps on answers that break off or belong to an earlier request."""

import json
from collections import deque
from typing import Any

from behave import given, then, when
from gevent.socket import create_connection

from buckthornpond_platform_standins.clients import ClientResponse
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    STREAM_PATH,
    WRITE_PATH,
)
from buckthornpond_platform_standins.server_responses import (
    Behaviour,
    render_event,
)
from features.steps.direct_steps import count_runs, list_servers

# Longer than the head that the servers cut.
_MAX_HEAD_BYTES = 160
_TOKEN_COUNT = '100,40'
_RAW_ATTEMPT_ID = 'raw'
_READ_BYTES = 65_536
_READ_TIMEOUT_SECONDS = 8


@given('the {service:w} servers refuse once and then always do: {behaviour:w}')
def refuse_first(context: Any, service: str, behaviour: str) -> None:
    """Let each server refuse the first request that it receives."""
    for server in list_servers(context, service):
        server.behaviours = deque((Behaviour.shed,))
        server.default_behaviour = Behaviour(behaviour)


@then('{count:d} answers are {status:d}')
def check_status_count(context: Any, count: int, status: int) -> None:
    """Count the answers with a status."""
    statuses = [answer.status for answer in context.answers]
    assert statuses.count(status) == count, statuses


@then('the {service:w} servers accepted at least {count:d} connections')
def check_connections(context: Any, service: str, count: int) -> None:
    """Count the connections that servers of a service accepted."""
    servers = list_servers(context, service)
    accepted = [server.connection_count for server in servers]
    assert sum(accepted) >= count, accepted


@given('servers that stop inside the head of each answer')
def cut_heads(context: Any) -> None:
    """Let every server break off inside the head."""
    for server in context.cluster.servers:
        server.default_behaviour = Behaviour.cut_head


@when('{count:d} times a caller posts {length:d} bytes to {path:S}')
def post_in_turn(context: Any, length: int, path: str, count: int) -> None:
    """Send requests that may run once."""
    client = context.cluster.connect()
    for _ in range(count):
        answer = client.fetch('POST', path, body=bytes(length))
        context.answers.append(answer)


@when('for each number of bytes a caller {verb:w}')
def send_for_each(context: Any, verb: str) -> None:
    """Send a request for each place at which a head can be cut."""
    for head_bytes in range(_MAX_HEAD_BYTES):
        for server in context.cluster.servers:
            server.head_bytes = head_bytes
        context.answers.append(_send(context, verb))


def _send(context: Any, verb: str) -> ClientResponse:
    client = context.cluster.connect()
    if verb == 'posts':
        return client.fetch('POST', WRITE_PATH, body=b'a')
    return client.fetch('POST', STREAM_PATH, X_Token_Count=_TOKEN_COUNT)


@then('the log of the request says: {text}')
def check_attempts_logged(context: Any, text: str) -> None:
    """Look for a text in the summaries of the attempts."""
    attempt_id = context.answers[-1].attempt_id
    events = map(json.loads, b''.join(context.log_lines).splitlines())
    summaries = [
        summary
        for event in events
        if event.get('request') == attempt_id
        for summary in event.get('attempts', ())
    ]
    assert any(text in summary for summary in summaries), summaries


@then('{count:d} {service:w} servers ran it')
def check_run_count(context: Any, count: int, service: str) -> None:
    """Count the runs of the last request."""
    attempt_id = context.answers[-1].attempt_id
    assert count_runs(context)[attempt_id] == count, count_runs(context)


@when('a caller with HTTP/{version:S} streams {path:S} and keeps all bytes')
def keep_bytes(context: Any, version: str, path: str) -> None:
    """Send a request and read until the entry closes the connection."""
    lines = [
        f'POST {path} HTTP/{version}',
        f'Host: {HOST}',
        f'Authorization: Token {API_KEY}',
        f'X-Attempt-Id: {_RAW_ATTEMPT_ID}',
        f'X-Token-Count: {_TOKEN_COUNT}',
        'Content-Length: 0',
        'Connection: close',
    ]
    host, port = context.cluster.addresses[0].split(':')
    connection = create_connection((host, int(port)), _READ_TIMEOUT_SECONDS)
    connection.sendall('\r\n'.join([*lines, '', '']).encode())
    context.raw = bytearray()
    context.is_reset = False
    try:
        while received := connection.recv(_READ_BYTES):
            context.raw += received
    except ConnectionResetError:
        context.is_reset = True
    connection.close()


@then('these are one head and the events {first:d} to {last:d}, without an end')
def check_bytes(context: Any, first: int, last: int) -> None:
    """Take the head and the chunk framing away and compare the rest."""
    head, _, rest = bytes(context.raw).partition(b'\r\n\r\n')
    is_chunked = b'chunked' in head
    events = rest
    if is_chunked:
        # Size and content of each chunk, and an empty piece behind the last.
        pieces = rest.split(b'\r\n')
        assert pieces[-1] == b'', rest
        assert b'0' not in pieces[:-1:2], rest
        events = b''.join(pieces[1::2])
    else:
        # Only a reset tells such a caller that there is no end.
        assert context.is_reset
    expected = b''.join(
        render_event(number, _RAW_ATTEMPT_ID)
        for number in range(first, last + 1)
    )
    assert events == expected, rest


@then('no answer was a success')
def check_no_success(context: Any) -> None:
    """Check the statuses of all answers."""
    statuses = {answer.status for answer in context.answers}
    assert len(context.answers) == _MAX_HEAD_BYTES
    assert statuses <= {502, 503}, statuses
    assert 502 in statuses, statuses
