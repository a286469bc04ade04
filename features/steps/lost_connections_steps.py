"""Steps for connections to the store that are lost while it is sound."""

import time
from collections.abc import Callable
from datetime import timedelta
from types import MappingProxyType
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_core._generated.serving import (
    FleetView,
    SourceLost,
    SourceSnapshot,
)
from buckthornpond_core.serving.source_availability import SourceAvailability
from buckthornpond_core.serving.source_contacts import (
    BATCH_DELAY,
    SourceContact,
    SourceFailure,
)
from buckthornpond_platform_standins.clients import Client
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    READ_PATH,
    make_config,
)
from buckthornpond_platform_standins.store import StoreFault
from features.steps.direct_fleet_steps import app_server

_UNRELATED_KEY = 'op/other'
_NEW_KEY = 'secret-2'
_REFUSAL_SECONDS = 0.5
_READ_COUNT = 30
_READ_INTERVAL_SECONDS = 0.01
_PEER = 'entry-9:1'
_PEER_AGE_MS = 100
_PEER_INTERVAL = timedelta(milliseconds=500)
_PROBE_WAIT = timedelta(milliseconds=1)


class LargestDraws:
    """Random source that draws the largest number each time."""

    def random(self) -> float:
        """Return the upper end of the range."""
        return 1.0


def _cut(context: Any) -> None:
    context.cluster.store.drop_connections()


def _refuse(context: Any) -> None:
    store = context.cluster.store
    store.trouble = StoreFault.many
    store.put(_UNRELATED_KEY, {})
    gevent.spawn_later(_REFUSAL_SECONDS, _end_refusals, context)


def _end_refusals(context: Any) -> None:
    context.cluster.store.trouble = StoreFault.none


def _silence(context: Any) -> None:
    context.cluster.store.silence_connections()


def _silence_after_change(context: Any) -> None:
    store = context.cluster.store
    store.put(_UNRELATED_KEY, {})
    wait_until(lambda: not store.waiting_count)
    # The answer is on its way to the entry.
    gevent.sleep(_READ_INTERVAL_SECONDS)
    store.silence_connections()


def _silence_while_pages_are_read(context: Any) -> None:
    """Drop the history, and fall silent before the first page is sent."""
    store = context.cluster.store
    store.page_size = 1
    store.after_next_page = store.silence_connections
    store.revision += 1
    store.compact_history()
    wait_until(lambda: store.after_next_page is None)


_LOSSES: MappingProxyType[str, Callable[[Any], None]] = MappingProxyType(
    {
        'are cut': _cut,
        'are refused as too many': _refuse,
        'go silent during a watch': _silence,
        'go silent right after a change': _silence_after_change,
        'go silent while pages are read': _silence_while_pages_are_read,
    }
)


def _leave(context: Any) -> None:
    context.cluster.store.delete(f'servers/{app_server(context, 1).name}')


def _leave_unseen(context: Any) -> None:
    """Remove the record so that no watch tells of it."""
    store = context.cluster.store
    store._items.pop(f'servers/{app_server(context, 1).name}')
    store.revision += 1
    store.compact_history()


def _drain(context: Any) -> None:
    context.cluster.register(app_server(context, 1), state='draining')


def _withdraw_key(context: Any) -> None:
    tenants = [{'name': 'north', 'apiKeys': [_NEW_KEY], 'priority': 1}]
    context.cluster.configure(tenants=tenants)


def _drop_route(context: Any) -> None:
    context.cluster.configure(routes=make_config(0)['routes'][1:])


_CHANGES: MappingProxyType[str, Callable[[Any], None]] = MappingProxyType(
    {
        'app server 1 drains': _drain,
        'app server 1 leaves': _leave,
        'app server 1 leaves unseen': _leave_unseen,
        'the key is withdrawn': _withdraw_key,
        'the read route is dropped': _drop_route,
    }
)


@when('its open connections to the store {loss}')
def lose_connections(context: Any, loss: str) -> None:
    """Lose the connections while the entry watches the store."""
    store = context.cluster.store
    wait_until(lambda: store.waiting_count)
    _LOSSES[loss](context)
    context.times = {'loss': time.monotonic()}


@when('{seconds:f} seconds after that, {change}')
def change_later(context: Any, change: str, seconds: float) -> None:
    """Write a change some time after the loss."""
    gevent.sleep(seconds)
    _CHANGES[change](context)
    context.times['change'] = time.monotonic()


@then(
    'reads {seconds:f} seconds after the {event} are handled accordingly: {change}'
)
def check_in_time(
    context: Any, seconds: float, event: str, change: str
) -> None:
    """Send reads and look at their servers and statuses."""
    due = context.times[event] + seconds
    gevent.sleep(max(due - time.monotonic(), 0))
    for server in context.cluster.servers:
        server.received.clear()
    client = Client(context.process.address, HOST, API_KEY)
    statuses = set()
    for _ in range(_READ_COUNT):
        statuses.add(client.fetch('GET', READ_PATH).status)
        gevent.sleep(_READ_INTERVAL_SECONDS)
    if change.startswith('app server 1'):
        assert statuses == {200}, statuses
        assert not app_server(context, 1).received
    else:
        assert 200 not in statuses, statuses


@given('a contact with a source')
def make_contact(context: Any) -> None:
    """Start a contact whose delays are the longest ones."""
    context.contact = SourceContact(LargestDraws())
    context.is_away = False
    # Time since the last answer.
    context.elapsed = timedelta()


@when('its calls end as {outcomes}')
def end_calls(context: Any, outcomes: str) -> None:
    """Record the outcomes of some calls."""
    for outcome in outcomes.split(', '):
        _end_call(context, outcome)


def _end_call(context: Any, outcome: str) -> None:
    contact = context.contact
    failures = {
        'lost': SourceFailure.no_answer,
        'limited': SourceFailure.rate_limited,
        'unavailable': SourceFailure.unavailable,
    }
    failure = failures.get(outcome)
    if failure is not None:
        context.is_away = contact.record_failure(failure)
        context.delay = contact.take_retry_delay(failure)
        return
    has_changed = outcome == 'changed'
    contact.record_watch(has_changed=has_changed)
    context.elapsed = BATCH_DELAY if has_changed else timedelta()
    context.is_away = False


@when('its next call gets no answer')
def lose_next_call(context: Any) -> None:
    """Let the next call run into its time limit."""
    timing = context.contact.find_watch_timing()
    context.elapsed += timing.wait + timing.answer_time
    _end_call(context, 'lost')


@then('the source is taken to be {state:w}')
def check_state(context: Any, state: str) -> None:
    """Compare what the last outcome tells of the source."""
    assert context.is_away is (state == 'away')


@then('a new call is sent within {seconds:f} seconds of the last answer')
def check_new_call(context: Any, seconds: float) -> None:
    """Add the delay, and check that the source has not to wait for a change."""
    assert not context.is_away
    assert (context.elapsed + context.delay).total_seconds() <= seconds
    assert context.contact.find_watch_timing().wait <= _PROBE_WAIT


@then('the next call is sent after {seconds:f} seconds or more')
def check_delay(context: Any, seconds: float) -> None:
    """Check the last delay."""
    assert context.delay.total_seconds() >= seconds


@when('a call to the store is lost')
def lose_call(context: Any) -> None:
    """Report a lost call that is no outage."""
    context.dispatchers[0].apply(
        SourceLost('no answer', is_outage=False), context.now
    )


@when('the store lists everything but the first target')
def list_others(context: Any) -> None:
    """Apply a read of the store that lacks the first target."""
    context.dispatchers[0].apply(_make_snapshot(context), context.now)


@when('a peer that hears the store tells that the first target left')
def tell_removal(context: Any) -> None:
    """Apply the view of a peer that hears the store."""
    _apply_view(context, revision=8, is_source_stable=True)


@when(
    'a peer that lost the store of late tells for {seconds:d} seconds that the '
    'first target is missing'
)
def tell_repeatedly(context: Any, seconds: int) -> None:
    """Apply a newer view of the peer each half second."""
    end = context.now + timedelta(seconds=seconds)
    revision = 8
    while context.now < end:
        _apply_view(context, revision=revision, is_source_stable=False)
        revision += 1
        context.now += _PEER_INTERVAL


def _make_snapshot(context: Any, revision: int = 8) -> SourceSnapshot:
    route_table = context.dispatchers[0].route_table
    return SourceSnapshot(
        context.records[1:], [], route_table.configuration, revision
    )


def _apply_view(context: Any, *, revision: int, is_source_stable: bool) -> None:
    view = FleetView(
        revision,
        _PEER_AGE_MS,
        _make_snapshot(context, revision),
        is_source_stable=is_source_stable,
    )
    context.dispatchers[0].follower.apply_view(
        view, _PEER, context.now, context.now
    )


@given('an entry that has heard the source for {seconds:d} seconds')
def hear_source(context: Any, seconds: int) -> None:
    """Record a first answer some time ago."""
    context.now = timedelta(seconds=100 + seconds)
    context.source = SourceAvailability()
    context.source.record_answer(timedelta(seconds=100))


@when('the source {event}')
def record_source_event(context: Any, event: str) -> None:
    """Record the loss, if any, and the answer to it."""
    source = context.source
    if event != 'goes on to answer':
        is_outage = event.startswith('is away')
        source.record_loss(context.now, is_outage=is_outage)
    if event.endswith(('answer', 'answers')):
        source.record_answer(context.now)


@then('the entry {verdict} that it was not away')
def check_statement(context: Any, verdict: str) -> None:
    """Compare what the entry would tell another one."""
    assert context.source.is_stable(context.now) is (verdict == 'says')
