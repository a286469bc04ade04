"""Steps for settings that change while a process runs."""

import signal
import time
from contextlib import suppress
from datetime import timedelta
from typing import Any

import gevent
import msgspec
from behave import given, then, when

from buckthornpond_core._generated.hints import LoadHint
from buckthornpond_core._generated.serving import (
    DirectSettings,
    Placement,
    RequestMetadata,
)
from buckthornpond_core.exceptions import BuckthornpondError
from buckthornpond_core.serving.fleet import Fleet
from buckthornpond_core.serving.load_exchange import LoadExchange
from buckthornpond_platform.settings import SettingsTask, load_settings
from buckthornpond_platform_standins.clients import Client
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
)
from buckthornpond_platform_standins.processes import EntryProcess
from buckthornpond_platform_standins.relays import Relay, RelayFault
from buckthornpond_platform_standins.server_responses import Behaviour
from buckthornpond_platform_standins.store import StoreStandIn
from buckthornpond_runtime.metrics import Metrics
from features.specs.dispatchers import (
    PLAIN_SERVICE,
    make_dispatcher,
    make_targets,
)

_ENTRY_HOST = '127.0.0.12'
_PEER_HOST = '127.0.0.11'
_PEER_SEED = f'{_PEER_HOST}:1'
_GONE_SEEDS = ('127.0.0.98:1', '127.0.0.99:1')
_NEW_KEY = 'secret-2'
_POLL_SECONDS = 0.1
# Longer than the file is left unread without a signal.
_UNREAD_SECONDS = 2.5
_SEEDS = {'only seeds that are gone': _GONE_SEEDS, 'no seeds': ()}
_FIRST, _SECOND, _OTHER = '127.0.0.1:1', '127.0.0.2:1', '127.0.0.3:1'


class Receiver:
    """Keeps the settings that it gets."""

    def __init__(self) -> None:
        self.received: list[DirectSettings] = []

    def change_settings(self, settings: DirectSettings) -> None:
        """Keep the settings."""
        self.received.append(settings)


def _write_seeds(entry: EntryProcess) -> None:
    entry.settings['seeds'] = [_PEER_SEED]
    entry.write_settings()


@given('an entry process that knows {seeds}')
def prepare_entry(context: Any, seeds: str) -> None:
    """Prepare an entry process that reads the store through a relay."""
    cluster = context.cluster
    context.relay = Relay(cluster.store.address)
    cluster.peers.append(context.relay)
    context.entry_process = EntryProcess(
        context.relay.address,
        ip=_ENTRY_HOST,
        seeds=_SEEDS[seeds],
        exchange_port=context.exchange_port,
    )
    context.add_cleanup(context.entry_process.stop)


@when('its settings name the peer, {how}')
def change_seeds(context: Any, how: str) -> None:
    """Start the entry and change its seeds."""
    entry = context.entry_process
    entry.start()
    if how == 'after a time in which they are invalid':
        entry.settings_path.write_text('seeds: 3\n')
        gevent.sleep(_UNREAD_SECONDS)
    _write_seeds(entry)
    if how == 'and a reload signal comes':
        entry.send_signal(signal.SIGHUP)
    gevent.sleep(_UNREAD_SECONDS)


@when('the store turns it away while a key is withdrawn')
def withdraw_key(context: Any) -> None:
    """Cut the entry off from the store, then replace the key."""
    context.relay.set_fault(RelayFault.silence)
    tenants = [{'name': 'north', 'apiKeys': [_NEW_KEY], 'priority': 1}]
    context.cluster.configure(tenants=tenants)
    context.withdrawn_at = time.monotonic()


@then('it refuses the withdrawn key within {seconds:d} seconds of that')
def check_refused(context: Any, seconds: int) -> None:
    """Ask with the old key until it is refused."""
    statuses = []
    deadline = context.withdrawn_at + seconds
    while time.monotonic() < deadline and 401 not in statuses:
        client = Client(context.entry_process.address, HOST, API_KEY)
        with suppress(BuckthornpondError):
            statuses.append(client.fetch('GET', '/read/1').status)
        client.connection.close()
        gevent.sleep(_POLL_SECONDS)
    assert 401 in statuses, statuses


@when('the settings file names another address for callers')
def change_address(context: Any) -> None:
    """Change the address at which the process listens."""
    process = context.process
    listen = {'frontend': '127.0.0.1:9', 'ready': process.ready_address}
    process.settings['listen'] = listen
    process.write_settings()


@then('event E631 is logged and says that {name:w} needs a restart')
def check_postponed(context: Any, name: str) -> None:
    """Wait for the event of the reload."""
    wait_until(
        lambda: any(
            event['event'] == 'settings_read'
            and event['needs_restart'] == [name]
            for event in context.process.read_events()
        ),
    )


@given('a settings file that was read and has changed since')
def prepare_file(context: Any) -> None:
    """Read the file of an entry, then write other seeds."""
    entry = EntryProcess('127.0.0.1:1', seeds=_GONE_SEEDS)
    context.add_cleanup(entry.stop)
    entry.write_settings()
    context.path = str(entry.settings_path)
    context.loaded = load_settings(context.path, 0)
    _write_seeds(entry)


@when('the task that watches it starts')
def start_task(context: Any) -> None:
    """Start the task without a signal."""
    context.receiver = Receiver()
    task = SettingsTask(context.path, 0, context.loaded, [context.receiver])
    greenlet = gevent.spawn(task.run)
    context.add_cleanup(greenlet.kill)


@then('the changed settings are in force within {seconds:d} seconds')
def check_received(context: Any, seconds: int) -> None:
    """Wait until the task has passed them on."""
    wait_until(lambda: bool(context.receiver.received), seconds)
    seeds = context.receiver.received[0].peer_addresses
    assert [each.partition(':')[0] for each in seeds] == [_PEER_HOST], seeds


def _change_settings(context: Any, **changes: Any) -> None:
    cluster = context.cluster
    settings = msgspec.structs.replace(cluster.settings[0], **changes)
    cluster.settings[0] = settings
    cluster.entries[0].change_settings(settings)
    cluster.sources[0].change_settings(settings)
    gevent.sleep(_POLL_SECONDS)


@when('its settings name another store, in which app server 1 drains')
def change_store(context: Any) -> None:
    """Give the entry the address of a copy of the store."""
    cluster = context.cluster
    other = StoreStandIn()
    context.add_cleanup(other.close)
    other.restore(cluster.store.take_copy())
    server = cluster.servers[0]
    other.put(f'servers/{server.name}', server.entry(state='draining'))
    _change_settings(context, source_address=other.address)


@then('app server 1 is draining within {seconds:d} seconds')
def check_draining(context: Any, seconds: int) -> None:
    """Wait until the entry knows it."""
    name = context.cluster.servers[0].name
    fleet = context.cluster.entries[0].dispatcher.fleet
    wait_until(lambda: fleet.find(name).record.is_draining, seconds)


@when('its settings allow {count:d} bytes of memory')
def change_memory(context: Any, count: int) -> None:
    """Change the memory limit."""
    _change_settings(context, memory_bytes=count)


@then('a write of {count:d} bytes is answered {status:d}')
def check_write(context: Any, count: int, status: int) -> None:
    """Send a body and compare the status."""
    client = context.cluster.connect()
    response = client.fetch('POST', '/write/1', body=bytes(count))
    client.connection.close()
    assert response.status == status, response.status


@when('its settings allow {count:d} descriptors')
def change_descriptors(context: Any, count: int) -> None:
    """Change the limit of descriptors, of which callers get half."""
    _change_settings(context, descriptor_count=count)


@given('servers that hang')
def let_hang(context: Any) -> None:
    """Let each server run its requests until their connections close."""
    context.hanging = []
    for server in context.cluster.servers:
        server.default_behaviour = Behaviour.hang


@then(
    '{running:d} of {count:d} requests on connections of their own run at once'
)
def check_connections(context: Any, running: int, count: int) -> None:
    """Send requests that do not end, and count those that servers run."""
    for _ in range(count - len(context.hanging)):
        client = context.cluster.connect()
        client.send('GET', '/read/1')
        context.hanging.append(client)
    gevent.sleep(1)
    found = _count_running(context)
    assert found == running, found


@when('their connections close')
def close_connections(context: Any) -> None:
    """Close all connections, so that the next ones are new."""
    for client in context.hanging:
        client.connection.close()
    context.hanging = []
    wait_until(lambda: not _count_running(context))


def _count_running(context: Any) -> int:
    return sum(
        sum(server.run_counts.values()) - server.abandoned_count
        for server in context.cluster.servers
    )


@given('llm server 1 is cold')
def make_cold(context: Any) -> None:
    """Register a server with remaining cold time."""
    cluster = context.cluster
    server = next(each for each in cluster.servers if each.service == 'llm')
    cluster.register(server, coldRemainingMs=60_000)
    cluster.wait_until_synced()
    context.cold_server = server


@when('its settings allow {count:d} requests at a cold target')
def change_allowance(context: Any, count: int) -> None:
    """Change the allowance of cold targets."""
    _change_settings(context, cold_allowance=count)


@then('the limit of llm server 1 is {count:d} and its share')
def check_limit(context: Any, count: int) -> None:
    """Compare the limit with the allowance and the rate of the service."""
    dispatcher = context.cluster.entries[0].dispatcher
    view = dispatcher.fleet.find(context.cold_server.name)
    service = dispatcher.follower.services['llm']
    ratio = context.cluster.settings[0].cold_burst_ratio
    wanted = count + ratio * service.cold_requests_per_second
    assert view.cold_rate_limit.requests_per_second == wanted


@given('a load exchange that has heard one of its two seeds')
def make_exchange(context: Any) -> None:
    """Let one of two seeds send a hint."""
    context.now = timedelta(seconds=10)
    context.exchange = LoadExchange('own:1', 1, [_FIRST, _SECOND], Metrics())
    context.exchange.count_entries(timedelta())
    hint = LoadHint(
        sender=_FIRST,
        incarnation=1,
        sequence=1,
        is_full=True,
        targets=[],
        members=[],
    )
    context.exchange.apply_hint(hint, Fleet(), context.now)


@when('its seeds change to the one that it has heard')
def change_to_known(context: Any) -> None:
    """Keep only the seed that is a peer."""
    context.exchange.change_seeds([_FIRST], context.now)


@when('its seeds change to one that it has not heard')
def change_to_unknown(context: Any) -> None:
    """Add a seed that nobody named before."""
    context.exchange.change_seeds([_FIRST, _OTHER], context.now)


@then('it counts {count:d} entries')
def check_count(context: Any, count: int) -> None:
    """Compare the number of live entries, zero while it is unknown."""
    found = context.exchange.count_entries(context.now)
    assert found == count, found


@then('it counts {count:d} entries {seconds:g} seconds later')
def check_later_count(context: Any, count: int, seconds: float) -> None:
    """Compare the number of live entries after some time."""
    context.now += timedelta(seconds=seconds)
    check_count(context, count)


@given('a dispatcher that has spent its retry budget')
def spend_budget(context: Any) -> None:
    """Place repeats of one request until none is allowed."""
    context.now = timedelta(seconds=20)
    context.dispatcher = make_dispatcher(
        1, [], make_targets(PLAIN_SERVICE, 2), context.now
    )
    metadata = RequestMetadata(
        attempt_id='r-1',
        host_name=HOST,
        method='GET',
        path='/read/1',
        credential=API_KEY,
    )
    context.admission = context.dispatcher.admit(metadata, context.now)
    while _allows_retry(context):
        context.now += timedelta(milliseconds=1)


def _allows_retry(context: Any) -> bool:
    placed = context.dispatcher.place(
        context.admission, (), context.now, is_repeat=True
    )
    return isinstance(placed, Placement)


@when('its settings are read again unchanged')
def reload_settings(context: Any) -> None:
    """Give the dispatcher the settings that it has."""
    dispatcher = context.dispatcher
    dispatcher.change_settings(dispatcher._settings, context.now)


@when('its settings allow a retry for each request')
def change_ratio(context: Any) -> None:
    """Give the dispatcher a ratio that allows one more."""
    dispatcher = context.dispatcher
    settings = msgspec.structs.replace(
        dispatcher._settings, retry_budget_ratio=100.0
    )
    dispatcher.change_settings(settings, context.now)


@then('it allows {verdict} retry')
def check_retry(context: Any, verdict: str) -> None:
    """Place one more repeat."""
    assert _allows_retry(context) is (verdict == 'a')
