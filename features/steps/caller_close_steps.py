"""Steps with callers that close their connections early."""

from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_platform_standins.clients import Client
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    READ_PATH,
    STREAM_PATH,
    WRITE_PATH,
    make_config,
    make_route,
)
from buckthornpond_platform_standins.server_responses import Behaviour

_READ = ('GET', READ_PATH)
# Methods and paths of what a caller sends at once.
_REQUESTS = MappingProxyType(
    {
        'a read': (_READ,),
        'a write': (('POST', WRITE_PATH),),
        'a stream': (('POST', STREAM_PATH),),
        'two reads': (_READ, _READ),
    }
)
_MS_PER_SECOND = 1000
_ROUTE_LIMIT_MS = 60_000
_SETTLE_SECONDS = 0.5
# Route without a server, whose requests the entry refuses.
_MARKER = 'marker'


def _connect(context: Any) -> Client:
    return Client(context.process.address, HOST, API_KEY)


def _ask_marker(context: Any) -> int:
    client = _connect(context)
    status = client.fetch('GET', f'/{_MARKER}/1').status
    client.connection.close()
    return status


def _count_running(context: Any) -> int:
    return sum(
        sum(server.run_counts.values()) - server.abandoned_count
        for server in context.cluster.servers
    )


@given('all servers hang, and routes wait a minute for them')
def let_hang(context: Any) -> None:
    """Let the servers run each request until its connection closes."""
    for server in context.cluster.servers:
        server.default_behaviour = Behaviour.hang
    routes = make_config(0)['routes']
    for route in routes:
        route['timeoutMs'] = _ROUTE_LIMIT_MS
        route['targetLatencyMs'] = _ROUTE_LIMIT_MS
    routes.append(make_route(_MARKER, 'idempotent', 'none'))
    context.cluster.configure(routes=routes)
    wait_until(lambda: _ask_marker(context) != HTTPStatus.NOT_FOUND)


@when('{count:d} callers send {request} and close after {delay_ms:d} ms')
def send_and_close(
    context: Any, count: int, request: str, delay_ms: int
) -> None:
    """Send requests on new connections, one after the other."""
    for _ in range(count):
        client = _connect(context)
        for method, path in _REQUESTS[request]:
            client.send(method, path, X_Token_Count='100,40')
        if delay_ms:
            gevent.sleep(delay_ms / _MS_PER_SECOND)
        client.connection.close()
    # Answered once the entry has accepted the connections before.
    _ask_marker(context)
    gevent.sleep(_SETTLE_SECONDS)


@then('at most {count:d} of the requests go on at the servers')
def check_given_up(context: Any, count: int) -> None:
    """Wait until the servers have given up all but a few."""
    try:
        wait_until(lambda: _count_running(context) <= count)
    except TimeoutError:
        raise AssertionError(_count_running(context)) from None
