"""Steps for a store that comes back from an older copy."""

from collections.abc import Callable
from datetime import timedelta
from types import MappingProxyType
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    READ_PATH,
    find_free_port,
    make_config,
    make_route,
)
from buckthornpond_platform_standins.relays import Relay
from buckthornpond_platform_standins.store import StoreFault, WaitingWatches
from features.specs.store_histories import StoreHistory, list_operations
from features.steps.direct_fleet_steps import (
    app_server,
    ask_reads,
    move_server,
)
from features.steps.direct_fuzz_steps import run_generated
from features.steps.direct_steps import start_world

_NEW_KEY = 'secret-2'
_ADDED_PATH = '/added/1'
# Longer than an entry takes to lose the store, ask a peer and apply its view.
_CHANGE_TIMEOUT = timedelta(seconds=6)
_PROBE_INTERVAL_SECONDS = 0.1
_PROBE_COUNT = 5
_OBJECTIVE_MS = 60_000
_UNRELATED_KEY = 'unrelated'


def _make_routes() -> list[Any]:
    """Return routes on which no server counts as slow."""
    routes = make_config(0)['routes']
    for route in routes:
        route['targetLatencyMs'] = _OBJECTIVE_MS
    return routes


def _add_route(context: Any) -> None:
    added = make_route('added', 'idempotent', 'app')
    context.cluster.configure(routes=[*_make_routes(), added])


def _withdraw_credential(context: Any) -> None:
    tenants = [{'name': 'north', 'apiKeys': [_NEW_KEY], 'priority': 1}]
    context.cluster.configure(routes=_make_routes(), tenants=tenants)


def _remove_server(context: Any) -> None:
    context.cluster.store.delete(f'servers/{app_server(context, 1).name}')


def _evacuate_zone(context: Any) -> None:
    context.cluster.store.put('op/evacuate/zone-a', {})


def _fetch_status(context: Any, number: int, path: str, key: str) -> int:
    client = context.cluster.connect(number - 1, key)
    status = client.fetch('GET', path).status
    client.connection.close()
    return status


def _serves_route(context: Any, number: int) -> bool:
    return _fetch_status(context, number, _ADDED_PATH, API_KEY) == 200


def _refuses_credential(context: Any, number: int) -> bool:
    statuses = [
        _fetch_status(context, number, READ_PATH, key)
        for key in (API_KEY, _NEW_KEY)
    ]
    return statuses == [401, 200]


def _uses_other_servers(context: Any, number: int) -> bool:
    ask_reads(context, _PROBE_COUNT, number - 1)
    is_served = set(context.statuses) == {200}
    return is_served and not app_server(context, 1).received


_WRITES: MappingProxyType[str, Callable[[Any], None]] = MappingProxyType(
    {
        'a route is added': _add_route,
        'a credential is withdrawn': _withdraw_credential,
        'a server leaves': _remove_server,
        'a zone is evacuated': _evacuate_zone,
    }
)
_CHECKS: MappingProxyType[str, Callable[[Any, int], bool]] = MappingProxyType(
    {
        'a route is added': _serves_route,
        'a credential is withdrawn': _refuses_credential,
        'a server leaves': _uses_other_servers,
        'a zone is evacuated': _uses_other_servers,
    }
)


def _count_changes(context: Any, count: int) -> None:
    for _ in range(count):
        context.cluster.store.put(_UNRELATED_KEY, {})


def _restore(context: Any, waiting_watches: WaitingWatches) -> None:
    store = context.cluster.store
    wait_until(lambda: store.waiting_count)
    _restore_at_once(context, waiting_watches)


def _restore_at_once(context: Any, waiting_watches: WaitingWatches) -> None:
    context.lost_revision = context.cluster.store.revision
    context.cluster.store.restore(context.copy, waiting_watches)


def _make_address() -> str:
    return f'127.0.0.1:{find_free_port()}'


def _start_entry(context: Any, peer_numbers: tuple[int, ...] = ()) -> None:
    """Start an entry that peers can query, once it is named or now."""
    number = len(context.cluster.entries) + 1
    addresses = context.exchange_addresses
    context.entry = context.cluster.start_entry(
        exchange_address=addresses.setdefault(number, _make_address()),
        peer_addresses=[
            addresses.setdefault(peer, _make_address()) for peer in peer_numbers
        ],
        **context.source_settings,
    )


def _start_behind_relay(
    context: Any, peer_numbers: tuple[int, ...] = ()
) -> None:
    context.exchange_addresses = {}
    context.relay = Relay(context.cluster.store.address)
    context.add_cleanup(context.relay.close)
    context.source_settings = {'source_address': context.relay.address}
    _start_entry(context, peer_numbers)
    context.source_settings = {}
    wait_until(context.entry.is_ready)


@given('an entry that prefers app server 1 of 3')
def start_preferring(context: Any) -> None:
    """Start an entry in the zone of one server; the others are elsewhere."""
    start_world(context, 3, 1)
    context.cluster.configure(routes=_make_routes())
    for number in (2, 3):
        move_server(context, number, 'zone', 'b')


@given('a second entry that is alone')
@given('a second entry that shares its view')
def start_second_behind_relay(context: Any) -> None:
    """Start an entry behind a relay to the store."""
    _start_behind_relay(context)


@given('a second entry that shares its view and knows the third')
def start_second_with_peer(context: Any) -> None:
    """Start an entry behind a relay, whose peer does not run yet."""
    _start_behind_relay(context, (3,))


@when('a third entry starts that shares its view')
def start_third(context: Any) -> None:
    """Start an entry that peers can query."""
    _start_entry(context)
    wait_until(context.entry.is_ready)


@when('a third entry starts that knows the second')
def start_third_with_peer(context: Any) -> None:
    """Start an entry that can query the second."""
    _start_entry(context, (2,))
    wait_until(context.entry.is_ready)


@when('a fourth entry starts that knows entries {first:d} and {second:d}')
def start_fourth(context: Any, first: int, second: int) -> None:
    """Start an entry that can query two peers."""
    _start_entry(context, (first, second))
    wait_until(context.entry.is_ready)


@given('the store names no era')
def hide_era(context: Any) -> None:
    """Let the store answer as platforms of an earlier version do."""
    context.cluster.store.names_era = False


@given('the store is copied and counts {count:d} changes more')
def copy_store(context: Any, count: int) -> None:
    """Copy the store; the later changes concern neither fleet nor routes."""
    context.copy = context.cluster.store.take_copy()
    _count_changes(context, count)
    for number, _ in enumerate(context.cluster.entries):
        context.cluster.wait_until_synced(number)


@given('the store is copied while the record of app server 1 is missing')
def copy_without_record(context: Any) -> None:
    """Copy the store, in which the server then registers."""
    _remove_server(context)
    copy_store(context, 0)
    context.cluster.register(app_server(context, 1))
    context.cluster.wait_until_synced()


@when('the store comes back from its copy')
def restore(context: Any) -> None:
    """Restore the store, which cuts the watches that wait."""
    _restore(context, WaitingWatches.cut)


@when('the store comes back from its copy, and waiting watches are {watches:w}')
def restore_with_watches(context: Any, watches: str) -> None:
    """Restore the store."""
    _restore(context, WaitingWatches(watches))


@when(
    'the store comes back after the next page, and it is written that {change}'
)
def restore_between_pages(context: Any, change: str) -> None:
    """Restore the store as soon as it has sent a part of its items."""

    def restore_and_write() -> None:
        _restore_at_once(context, WaitingWatches.gone)
        _WRITES[change](context)
        count_past(context)

    context.cluster.store.after_next_page = restore_and_write


@when('it is written that {change}')
def write_change(context: Any, change: str) -> None:
    """Write a change to the store."""
    _WRITES[change](context)


@when('the store counts past all its earlier changes')
def count_past(context: Any) -> None:
    """Let the revision pass those that were lost."""
    missing_count = context.lost_revision - context.cluster.store.revision
    _count_changes(context, missing_count + 1)


@when('the store answers nobody')
def stop_answers(context: Any) -> None:
    """Let the store refuse every call."""
    context.cluster.store.trouble = StoreFault.busy
    context.cluster.store.drop_connections()


@then('entry {number:d} serves accordingly: {change}')
def check_in_force(context: Any, number: int, change: str) -> None:
    """Send requests until the change is in force."""
    clock = context.cluster.clock
    end = clock.monotonic() + _CHANGE_TIMEOUT
    while not _CHECKS[change](context, number):
        assert clock.monotonic() < end, change
        gevent.sleep(_PROBE_INTERVAL_SECONDS)


@then('entry {number:d} goes on so for {seconds:d} seconds: {change}')
def check_stays(context: Any, number: int, seconds: int, change: str) -> None:
    """Check again and again that a change is in force."""
    _check_all_the_while(
        context, seconds, lambda: _CHECKS[change](context, number)
    )


@then('app server 1 receives reads all the while for {seconds:f} seconds')
def check_in_use(context: Any, seconds: float) -> None:
    """Check again and again that a server receives requests."""
    _check_all_the_while(
        context, seconds, lambda: not _uses_other_servers(context, 1)
    )


def _check_all_the_while(
    context: Any, seconds: float, check: Callable[[], bool]
) -> None:
    clock = context.cluster.clock
    end = clock.monotonic() + timedelta(seconds=seconds)
    while clock.monotonic() < end:
        assert check()
        gevent.sleep(_PROBE_INTERVAL_SECONDS)


@when('{count:d} generated histories of a store run, {kind}')
def run_histories(context: Any, count: int, kind: str) -> None:
    """Follow a store through generated writes, restores, cuts and reads."""
    has_restores = kind == 'with restores'
    names_era = kind != 'without restores, with no era'
    context.history_count = 0

    def check(operations: Any) -> None:
        context.history_count += 1
        history = StoreHistory(operations, names_era=names_era)
        try:
            history.run()
        finally:
            history.close()
        if history.differences:
            context.failed_histories.append((operations, history.differences))

    context.failed_histories = []
    run_generated(count, list_operations(has_restores=has_restores), check)


@then(
    "each follower ended with the store's state and never took an older "
    'configuration'
)
def check_histories(context: Any) -> None:
    """Report how many histories failed, and the shortest of them."""
    assert context.history_count
    shortest = min(
        context.failed_histories, key=lambda each: len(str(each)), default=''
    )
    assert not context.failed_histories, (
        len(context.failed_histories),
        context.history_count,
        shortest,
    )
