"""Steps for stores and peers whose answers come slowly."""

from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when
from gevent.server import StreamServer

from buckthornpond_core.exceptions import TargetError
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    LocalCluster,
    make_config,
    make_route,
)
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.fetches import FetchLimits

_BODY_BYTES = 1_000_000
_INTERVAL_SECONDS = 0.1
_ROUTE_COUNT = 4000


@given(
    'a store that sends {count:d} bytes each 0.1 s and holds a configuration of'
    ' 1 MB'
)
def start_store(context: Any, count: int) -> None:
    """Start the store with a server and many routes."""
    context.cluster = LocalCluster()
    context.fleet = context.cluster
    context.cluster.add_server('app')
    routes = [
        make_route(f'route-{number}', 'idempotent', 'app')
        for number in range(_ROUTE_COUNT)
    ]
    routes.extend(make_config(1)['routes'])
    context.cluster.configure(routes=routes)
    store = context.cluster.store
    assert len(store.render_response('/kv-range')) > _BODY_BYTES
    store.piece_bytes = count


@when('an entry starts before it')
def start_entry(context: Any) -> None:
    """Start the entry in this process."""
    context.entry = context.cluster.start_entry()


@then('it is ready within {seconds:d} seconds, after one read of the store')
def check_ready(context: Any, seconds: int) -> None:
    """Wait until it is ready; a watch may have followed the read."""
    wait_until(context.entry.is_ready, seconds)
    assert context.cluster.store.call_count <= 2


@given('an exchange of a body of 1 MB that brings {count:d} bytes each 0.1 s')
def start_peer(context: Any, count: int) -> None:
    """Start a peer that sends the body in parts."""
    context.part_count = 0

    def answer(connection: Any, peer: Any) -> None:
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % _BODY_BYTES
        )
        for start in range(0, _BODY_BYTES, count):
            connection.sendall(bytes(min(count, _BODY_BYTES - start)))
            context.part_count += 1
            gevent.sleep(_INTERVAL_SECONDS)

    server = StreamServer(('127.0.0.1', 0), answer)
    server.start()
    context.add_cleanup(server.stop)
    context.address = f'127.0.0.1:{server.server_port}'


@when(
    'it is fetched with a time limit of {seconds:g} s for progress of'
    ' {count:d} bytes'
)
def fetch_body(context: Any, seconds: float, count: int) -> None:
    """Fetch the body."""
    connection = HttpConnection(context.address)
    connection.connect(timedelta(seconds=1))
    limits = FetchLimits(timedelta(seconds=seconds), 2 * _BODY_BYTES, count)
    context.error = ''
    try:
        response = connection.fetch('GET', b'', 'read', limits)
    except TargetError as error:
        context.error = error.message
    else:
        context.content = response.content
    connection.close()


@then('it is complete')
def check_complete(context: Any) -> None:
    """Check that all bytes came, without an error."""
    assert not context.error, context.error
    assert len(context.content) == _BODY_BYTES


@then('it fails as not complete in time, after {count:d} parts at most')
def check_stalled(context: Any, count: int) -> None:
    """Check that the fetch ended long before the body."""
    assert 'response not complete in time' in context.error, context.error
    assert context.part_count <= count, context.part_count
