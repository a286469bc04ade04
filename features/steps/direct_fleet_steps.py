"""Steps for an entry that follows the fleet and its configuration."""

from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_platform_standins.listening import Listener, wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    make_config,
    make_route,
)
from buckthornpond_platform_standins.servers import ServerStandIn
from buckthornpond_platform_standins.store import StoreFault, StoreStandIn

_READ_PATH = '/read/1'
_PROBE_INTERVAL_SECONDS = 0.05
_RECORDS = {
    'bytes that are no JSON': lambda server: b'\xff{',
    'no state': lambda server: {
        name: field for name, field in server.entry().items() if name != 'state'
    },
    'an unknown state': lambda server: server.entry(state='leaving-soon'),
    'a number as its address': lambda server: server.entry(address=17),
}


def app_server(context: Any, number: int) -> ServerStandIn:
    """Return an app server by its number, counted from 1."""
    found = [
        server for server in context.cluster.servers if server.service == 'app'
    ]
    return found[number - 1]


def ask_reads(context: Any, count: int, number: int = 0) -> None:
    """Send reads on one connection and keep the statuses."""
    for server in context.cluster.servers:
        server.received.clear()
    client = context.cluster.connect(number)
    context.statuses = [
        client.fetch('GET', _READ_PATH).status for _ in range(count)
    ]


@given('app server {number:d} is in {zone:w}-{letter:w}')
def move_server(context: Any, number: int, zone: str, letter: str) -> None:
    """Register a server in another zone."""
    server = app_server(context, number)
    server.zone = f'{zone}-{letter}'
    context.cluster.register(server)
    context.cluster.wait_until_synced()


@given('the store returns {count:d} items per page')
def shorten_pages(context: Any, count: int) -> None:
    """Limit the items per page of the store."""
    context.cluster.store.page_size = count


@given('a store without a configuration')
def empty_store(context: Any) -> None:
    """Replace the store by an empty one."""
    context.cluster.store.close()
    context.cluster.store = StoreStandIn()


@given('zone-b is in another region than zone-a')
def set_regions(context: Any) -> None:
    """Start an entry whose settings name two regions."""
    context.cluster.start_entry(
        region_by_zone={'zone-a': 'north', 'zone-b': 'south'},
    )
    context.number = 1
    context.cluster.wait_until_synced(1)


@when('app server {number:d} drains')
def drain(context: Any, number: int) -> None:
    """Let a server report that it drains."""
    context.cluster.register(app_server(context, number), state='draining')
    context.cluster.wait_until_synced()


@when('the record of app server {number:d} is removed')
def remove(context: Any, number: int) -> None:
    """Remove the record of a server."""
    name = app_server(context, number).name
    context.cluster.store.delete(f'servers/{name}')
    context.cluster.wait_until_synced()


@when('zone-b is evacuated')
def evacuate(context: Any) -> None:
    """Let operators evacuate a zone."""
    context.cluster.store.put('op/evacuate/zone-b', {})
    context.cluster.wait_until_synced()


@when('the evacuation of zone-b ends')
def end_evacuation(context: Any) -> None:
    """Let operators end the evacuation of a zone."""
    context.cluster.store.delete('op/evacuate/zone-b')
    context.cluster.wait_until_synced()


@when('a server of another service takes the address of app server 1')
def reuse_address(context: Any) -> None:
    """Start another server at an address that is still registered."""
    old = app_server(context, 1)
    port = int(old.address.rpartition(':')[2])
    old.close()
    context.other_server = ServerStandIn('other')
    context.other_server._listener = Listener(context.other_server._serve, port)


@when('{count:d} reads are requested')
def fetch(context: Any, count: int) -> None:
    """Send reads to the entry."""
    ask_reads(context, count, getattr(context, 'number', 0))


@when('{count:d} reads are requested at the second entry')
def ask_second(context: Any, count: int) -> None:
    """Send reads to the second entry."""
    ask_reads(context, count, 1)


@when('a route is added under version {version:d}')
def add_route(context: Any, version: int) -> None:
    """Write a configuration with one more route."""
    routes = make_config(0)['routes']
    routes.append(make_route('added', 'idempotent', 'app'))
    context.cluster.version = version - 1
    context.cluster.configure(routes=routes)
    context.cluster.wait_until_synced()


@when('the store reverts to version {version:d} without it')
def revert_configuration(context: Any, version: int) -> None:
    """Write an older configuration."""
    context.cluster.version = version - 1
    context.cluster.configure()
    context.cluster.wait_until_synced()


@when('credentials are changed under version {version:d}')
def change_credentials(context: Any, version: int) -> None:
    """Write a configuration with another key."""
    context.cluster.version = version - 1
    tenants = [{'name': 'north', 'apiKeys': ['secret-2'], 'priority': 1}]
    context.cluster.configure(tenants=tenants)
    context.cluster.wait_until_synced()


@when('the store drops its history after app server 1 has left')
def drop_history(context: Any) -> None:
    """Delete a record in such a way that the watch misses it."""
    store = context.cluster.store
    name = app_server(context, 1).name
    store._items.pop(f'servers/{name}')
    store.revision += 1
    store.compact_history()
    context.cluster.wait_until_synced()
    fleet = context.cluster.entries[0].dispatcher.fleet
    wait_until(lambda: fleet.find(name) is None)


@when('a second entry starts')
def start_second(context: Any) -> None:
    """Start another entry and wait until it is ready."""
    entry = context.cluster.start_entry()
    wait_until(entry.is_ready)


@when('a second entry starts before the store has a configuration')
def start_early(context: Any) -> None:
    """Start an entry while the store is empty."""
    context.entry = context.cluster.start_entry()
    gevent.sleep(0.2)


@when('the configuration is written')
def write(context: Any) -> None:
    """Write the configuration that the entry waits for."""
    context.cluster.configure()
    context.cluster.add_server('app')


@when('the store is {trouble:w} for {seconds:f} seconds')
def trouble_store(context: Any, trouble: str, seconds: float) -> None:
    """Make the store faulty for some time, and send reads meanwhile."""
    store = context.cluster.store
    store.trouble = StoreFault(trouble)
    store.drop_connections()
    client = context.cluster.connect()
    context.statuses = []
    end = context.cluster.clock.monotonic().total_seconds() + seconds
    while context.cluster.clock.monotonic().total_seconds() < end:
        context.statuses.append(client.fetch('GET', _READ_PATH).status)
        gevent.sleep(_PROBE_INTERVAL_SECONDS)


@when('the store recovers')
def restore_store(context: Any) -> None:
    """Let the store answer normally again."""
    context.cluster.store.trouble = StoreFault.none
    context.cluster.store.drop_connections()
    context.cluster.store.put('op/other', {})
    context.cluster.wait_until_synced()


@when(
    'the store is {trouble:w} for 2.5 seconds and loses the record of app '
    'server 1'
)
def expire_record(context: Any, trouble: str) -> None:
    """Let a lease expire during an outage of the store."""
    trouble_store(context, trouble, 2.5)
    name = app_server(context, 1).name
    context.cluster.store.delete(f'servers/{name}')
    context.cluster.store.trouble = StoreFault.none
    context.cluster.wait_until_synced()
    context.store_returned_at = context.cluster.clock.monotonic()


@when('app server 1 registers again after {seconds:d} seconds')
def register_again(context: Any, seconds: int) -> None:
    """Write the record again."""
    gevent.sleep(seconds)
    context.cluster.register(app_server(context, 1))
    context.cluster.wait_until_synced()


@when('app server 1 registers {kind}')
def register_badly(context: Any, kind: str) -> None:
    """Write a record that cannot be used."""
    server = app_server(context, 1)
    context.cluster.store.put(f'servers/{server.name}', _RECORDS[kind](server))
    context.cluster.wait_until_synced()


@when('a configuration that cannot be read is written')
def write_badly(context: Any) -> None:
    """Write a configuration that is not valid JSON."""
    context.cluster.store.put('op/config', b'{"version": 99')
    context.cluster.wait_until_synced()


@when('the read route is allowed in the region of zone-a only')
def set_home(context: Any) -> None:
    """Write a configuration with an allowed region."""
    routes = make_config(0)['routes']
    routes[0]['allowedRegions'] = ['north']
    context.cluster.configure(routes=routes)
    context.cluster.wait_until_synced(1)


@when('the read route is split 9 to 1 between app and other')
def split(context: Any) -> None:
    """Write a configuration with a split route."""
    routes = make_config(0)['routes']
    routes[0].pop('service')
    routes[0]['trafficSplit'] = [
        {'service': 'app', 'weight': 9},
        {'service': 'other', 'weight': 1},
    ]
    services = [{'name': 'app'}, {'name': 'other'}]
    context.cluster.add_server('other')
    context.cluster.configure(routes=routes, services=services)
    context.cluster.wait_until_synced()


@then('all are answered')
def check_all(context: Any) -> None:
    """Check that every read was answered with 200."""
    assert set(context.statuses) == {200}, context.statuses


@then('reads are answered during the outage')
def check_meanwhile(context: Any) -> None:
    """Check the reads during the outage."""
    assert len(context.statuses) > 10
    check_all(context)


@then('app server {number:d} received none of them')
def check_none(context: Any, number: int) -> None:
    """Check that a server received nothing."""
    assert not app_server(context, number).received


@then('app server {number:d} received some of them')
def check_some(context: Any, number: int) -> None:
    """Check that a server received requests."""
    assert app_server(context, number).received


@then('every app server received some of them')
def check_every(context: Any) -> None:
    """Check that all app servers received requests."""
    for server in context.cluster.servers:
        assert server.received or server.service != 'app'


@then('other received between {low:d} and {high:d} of them')
def check_share(context: Any, low: int, high: int) -> None:
    """Check the share of the other service."""
    server = context.cluster.servers[-1]
    assert low <= len(server.received) <= high, len(server.received)


@then('no request ran at the wrong service')
def check_no_wrong_service(context: Any) -> None:
    """Check that the server of the other service ran nothing."""
    assert not context.other_server.run_counts
    context.other_server.close()


@then('the added route is served')
def check_added(context: Any) -> None:
    """Send a request on the added route."""
    answer = context.cluster.connect().fetch('GET', '/added/1')
    assert answer.status == 200, answer.status


@then('the old credential is refused and the new one is served')
def check_credentials(context: Any) -> None:
    """Send a request with either key."""
    old = context.cluster.connect(key=API_KEY).fetch('GET', _READ_PATH)
    new = context.cluster.connect(key='secret-2').fetch('GET', _READ_PATH)
    assert (old.status, new.status) == (401, 200), (old.status, new.status)


@then('the entry stays ready')
def check_ready(context: Any) -> None:
    """Check the readiness that a load balancer sees."""
    assert context.cluster.entries[0].is_ready()


@then('app server 1 receives reads for {seconds:f} more seconds')
def check_grace(context: Any, seconds: float) -> None:
    """Check that a target with an expired record is not dropped at once."""
    elapsed = context.cluster.clock.monotonic() - context.store_returned_at
    assert elapsed.total_seconds() < seconds
    ask_reads(context, 30)
    check_some(context, 1)


@then('app server 1 receives none after {seconds:f} seconds')
def check_gone(context: Any, seconds: float) -> None:
    """Check that a target whose record is still missing is dropped."""
    gevent.sleep(seconds)
    ask_reads(context, 30)
    check_none(context, 1)


@then('app server 1 receives reads after {seconds:f} seconds')
def check_kept(context: Any, seconds: float) -> None:
    """Check that a target that registered again is kept."""
    gevent.sleep(seconds)
    ask_reads(context, 30)
    check_some(context, 1)


@then('an unknown route is answered {status:d}')
def check_unknown(context: Any, status: int) -> None:
    """Send a request on a route that may have been added meanwhile."""
    answer = context.cluster.connect().fetch('GET', '/newer/1')
    assert answer.status == status, answer.status


@then('an unknown credential is answered {status:d}')
def check_unknown_key(context: Any, status: int) -> None:
    """Send a request with a key that may have been added meanwhile."""
    answer = context.cluster.connect(key='newer').fetch('GET', _READ_PATH)
    assert answer.status == status, answer.status


@then('it is not ready and answers {status:d} with a Retry-After field')
def check_early(context: Any, status: int) -> None:
    """Send a request to an entry without a configuration."""
    assert not context.entry.is_ready()
    answer = context.cluster.connect(1).fetch('GET', _READ_PATH)
    assert answer.status == status, answer.status
    assert float(answer.fields['retry-after']) > 0


@then('it becomes ready')
def check_becomes_ready(context: Any) -> None:
    """Wait for the entry."""
    wait_until(context.entry.is_ready)
    assert context.cluster.connect(1).fetch('GET', _READ_PATH).status == 200


@then('event {code:w} is logged')
@then('events {code:w} and {other:w} are logged')
def check_logged(context: Any, code: str, other: str = '') -> None:
    """Look for events among the log lines."""
    written = b''.join(context.log_lines).decode()
    for wanted in filter(None, (code, other)):
        assert f'"message_type":"{wanted}"' in written.replace(': ', ':')
