"""Steps for entries that share their view of the fleet."""

from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when
from gevent.socket import create_connection, socket

from buckthornpond_core._generated.serving import SourceLost, TargetRemoved
from buckthornpond_core.serving.source_positions import SourcePosition
from buckthornpond_entry.direct.requests import CallerRequest
from buckthornpond_platform_standins.listening import Listener, wait_until
from buckthornpond_platform_standins.local_clusters import (
    find_free_port,
    make_config,
    make_route,
)
from buckthornpond_platform_standins.relays import Relay, RelayFault
from features.specs.dispatchers import (
    PLAIN_SERVICE,
    make_dispatcher,
    make_targets,
)
from features.steps.direct_fleet_steps import (
    app_server,
    ask_reads,
    check_all,
    check_logged,
)
from features.steps.direct_steps import start_world

_ANSWERS = {
    'sends bad bytes': b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\xc1\xc1\xc1',
    'sends another map': (
        b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n\x81\xa3old\x01'
    ),
    'refuses': b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n',
    'cuts its answer': b'HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n\x80',
}


def _exchange_address() -> str:
    return f'127.0.0.1:{find_free_port()}'


def _start_second(context: Any, peer: str) -> None:
    context.entry = context.cluster.start_entry(
        source_address=context.relay.address,
        exchange_address=_exchange_address(),
        peer_addresses=[peer],
    )


def _first_address(context: Any) -> str:
    return context.cluster.settings[0].exchange_address


def _add_relay(context: Any) -> None:
    if not hasattr(context, 'relay'):
        context.relay = Relay(context.cluster.store.address)
        context.add_cleanup(context.relay.close)


@given(
    'an entry before {apps:d} app servers and {llms:d} llm servers that shares '
    'its view'
)
def start_sharing(context: Any, apps: int, llms: int) -> None:
    """Start an entry that peers can query."""
    start_world(context, apps, llms, exchange_address=_exchange_address())


@given('a second entry that knows the first')
@when('a second entry starts that knows the first')
def start_with_first(context: Any) -> None:
    """Start an entry behind a relay to the store."""
    _add_relay(context)
    _start_second(context, _first_address(context))
    if context.relay.active_fault is RelayFault.none:
        wait_until(context.entry.is_ready)


@when('a second entry starts that knows a peer which {fault}')
def start_with_faulty(context: Any, fault: str) -> None:
    """Start an entry whose only peer is faulty."""
    if fault == 'is not running':
        _start_second(context, _exchange_address())
        return

    def answer(connection: socket, request: CallerRequest) -> bool:
        connection.sendall(_ANSWERS[fault])
        return False

    listener = Listener(answer)
    context.add_cleanup(listener.close)
    _start_second(context, listener.address)


@given('the second entry cannot reach the store')
@when('the second entry cannot reach the store')
def disconnect_store(context: Any) -> None:
    """Let the relay drop all traffic to the store."""
    _add_relay(context)
    context.relay.set_fault(RelayFault.silence)


@when('the second entry can reach the store again')
def reconnect_store(context: Any) -> None:
    """Let the relay forward all traffic again."""
    context.relay.set_fault(RelayFault.none)


@when('a route is added and credentials are changed')
def change_configuration(context: Any) -> None:
    """Write a configuration that the second entry cannot read."""
    routes = [
        *make_config(0)['routes'],
        make_route('added', 'idempotent', 'app'),
    ]
    tenants = [{'name': 'north', 'apiKeys': ['secret-2'], 'priority': 1}]
    context.cluster.configure(routes=routes, tenants=tenants)
    context.cluster.wait_until_synced()
    context.key = 'secret-2'


@when('the first entry is queried for {page}')
def query_page(context: Any, page: str) -> None:
    """Send a query to the first entry."""
    host, port = _first_address(context).rsplit(':', 1)
    with create_connection((host, int(port))) as connection:
        connection.sendall(f'GET {page} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
        context.first_line = connection.recv(1000).split(b'\r\n')[0].decode()


@then('it answers with {status:d}')
def check_page(context: Any, status: int) -> None:
    """Check the status of the answer."""
    assert f' {status} ' in context.first_line, context.first_line


@then('it becomes ready within {seconds:d} seconds')
def check_ready_within(context: Any, seconds: int) -> None:
    """Wait until the second entry is ready."""
    wait_until(context.entry.is_ready, seconds)


@then('the second entry is not ready')
def check_not_ready(context: Any) -> None:
    """Check that the second entry learned no fleet."""
    assert not context.entry.is_ready()


@then('event {code:w} is logged within {seconds:d} seconds')
def check_logged_within(context: Any, code: str, seconds: int) -> None:
    """Wait for an event among the log lines."""
    wait_until(lambda: _is_logged(context, code), seconds)
    check_logged(context, code)


@then(
    'event {code:w} is logged before the second entry calls the store more '
    'than {count:d} times'
)
def check_logged_early(context: Any, code: str, count: int) -> None:
    """Wait for an event or for one call too many, each on a new connection."""
    relay = context.relay
    wait_until(
        lambda: _is_logged(context, code) or relay.connection_count > count
    )
    check_logged(context, code)
    assert relay.connection_count <= count, relay.connection_count


def _is_logged(context: Any, code: str) -> bool:
    wanted = f'"message_type":"{code}"'.encode()
    written = b''.join(context.log_lines).replace(b': ', b':')
    return wanted in written


def _read_at_second(context: Any, count: int) -> None:
    for server in context.cluster.servers:
        server.received.clear()
    key = getattr(context, 'key', None)
    if key is None:
        ask_reads(context, count, 1)
        return
    client = context.cluster.connect(1, key)
    context.statuses = [
        client.fetch('GET', '/added/1').status for _ in range(count)
    ]


@then('{count:d} reads at the second entry are all answered')
def check_reads(context: Any, count: int) -> None:
    """Send reads to the second entry."""
    _read_at_second(context, count)
    check_all(context)


@then('app server 1 receives none of {count:d} reads at the second entry')
def check_drained(context: Any, count: int) -> None:
    """Check that a draining server receives nothing."""
    _read_at_second(context, count)
    check_all(context)
    assert not app_server(context, 1).received


@then('an unknown route at the second entry is answered {status:d}')
def check_unknown(context: Any, status: int) -> None:
    """Send a request on a route that no configuration has."""
    answer = context.cluster.connect(1).fetch('GET', '/newer/1')
    assert answer.status == status, answer.status


@then(
    'the second entry serves the added route with the new credential within '
    '{seconds:d} seconds'
)
def check_added(context: Any, seconds: int) -> None:
    """Send requests until the new configuration is in force."""

    def is_served() -> bool:
        gevent.sleep(0.05)
        client = context.cluster.connect(1, context.key)
        return client.fetch('GET', '/added/1').status == 200

    wait_until(is_served, seconds)


def _send_reads(context: Any, number: int) -> None:
    client = context.cluster.connect(number)
    try:
        while True:
            client.fetch('GET', '/read/1')
            gevent.sleep(0.1)
    finally:
        client.connection.close()


@when(
    'two more entries start that know the first, and callers keep all of them '
    'busy'
)
def start_busy(context: Any) -> None:
    """Start two entries, and send reads to all entries without pause."""
    for _ in range(2):
        entry = context.cluster.start_entry(
            exchange_address=_exchange_address(),
            peer_addresses=[_first_address(context)],
        )
        wait_until(entry.is_ready)
    context.callers = [
        gevent.spawn(_send_reads, context, number)
        for number, _ in enumerate(context.cluster.entries)
    ]


@then('the two know each other within {seconds:d} seconds')
def check_discovered(context: Any, seconds: int) -> None:
    """Wait until each of the two knows the other."""
    second, third = (
        each.dispatcher.load_exchange for each in context.cluster.entries[1:]
    )

    def are_known() -> bool:
        return third.address in second.peers and second.address in third.peers

    try:
        wait_until(are_known, seconds)
    finally:
        gevent.killall(context.callers)


@given("an entry without its source that heard of a target's removal")
def make_entry_in_grace(context: Any) -> None:
    """Remove a target while the source is lost, so that it stays for a while."""
    context.now = timedelta(seconds=100)
    targets = make_targets(PLAIN_SERVICE, 2)
    context.dispatchers = [
        make_dispatcher(0, [], targets, context.now),
        make_dispatcher(1, [], [], context.now),
    ]
    for dispatcher in context.dispatchers:
        dispatcher.apply(SourceLost('away'), context.now)
    context.dropped = targets[0].name
    context.dispatchers[0].apply(TargetRemoved(context.dropped, 9), context.now)
    assert context.dispatchers[0].fleet.find(context.dropped) is not None


@when('a fresh entry learns its view')
def learn_view(context: Any) -> None:
    """Apply the view of the first entry at the second one."""
    old, fresh = context.dispatchers
    view = old.follower.make_view(SourcePosition(), context.now)
    fresh.follower.apply_view(view, 'peer', context.now, context.now)


@then('the fresh entry does not know that target')
def check_dropped_unknown(context: Any) -> None:
    """Look for the targets of the view."""
    fleet = context.dispatchers[1].fleet
    assert [view.record.name for view in fleet] == ['target-1']
