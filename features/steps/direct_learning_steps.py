"""Steps for an entry that learns the fleet from peers, without sockets."""

import time
from datetime import timedelta
from typing import Any
from unittest.mock import patch

import msgspec
from behave import given, then, when
from hypothesis import strategies as st

from buckthornpond_core._generated.serving import (
    FleetView,
    PlacementFailure,
    RequestMetadata,
    SourceConfirmed,
    SourceLost,
    SourceSnapshot,
    TargetFound,
    ZoneReturned,
)
from buckthornpond_core.serving.dispatcher import Dispatcher
from buckthornpond_core.serving.source_positions import SourcePosition
from buckthornpond_platform_standins.local_clusters import HOST
from buckthornpond_runtime.clocks import SystemClock
from features.specs.dispatchers import place
from features.steps.direct_fuzz_steps import run_generated

_PEER = 'entry-9:1'


def _dispatcher(context: Any) -> Dispatcher:
    return context.dispatchers[0]


@when('the store is {state:w}')
def set_store(context: Any, state: str) -> None:
    """Report an answer or a loss of the store."""
    change: SourceLost | SourceConfirmed = SourceConfirmed(2)
    if state == 'lost':
        change = SourceLost('no answer')
    _dispatcher(context).apply(change, context.now)


@when(
    'a peer at revision {revision:d} reports that the first target drains and '
    'zone-b is evacuated'
)
def report_drain(context: Any, revision: int) -> None:
    """Apply the view of a peer with a drain and an evacuation."""
    records = [msgspec.structs.replace(each) for each in context.records]
    records[0].is_draining = True
    _apply_peer_view(context, revision, records, ['zone-b'])


@given('the store has sent version {version:d}')
def apply_store_version(context: Any, version: int) -> None:
    """Apply a snapshot of the store with a configuration."""
    _dispatcher(context).apply(
        SourceSnapshot(
            context.records, [], _configuration(context, version), 3
        ),
        context.now,
    )


@when('a peer at revision {revision:d} sends version {version:d}')
def apply_peer_version(context: Any, revision: int, version: int) -> None:
    """Apply the view of a peer with a configuration."""
    _apply_peer_view(context, revision, context.records, [], version)


def _configuration(context: Any, version: int) -> Any:
    route_table = _dispatcher(context).route_table
    assert route_table is not None
    return msgspec.structs.replace(route_table.configuration, version=version)


def _apply_peer_view(
    context: Any,
    revision: int,
    records: Any,
    zones: list[str],
    version: int = 1,
) -> None:
    snapshot = SourceSnapshot(
        records, zones, _configuration(context, version), revision
    )
    view = FleetView(revision, 100, snapshot)
    _dispatcher(context).follower.apply_view(
        view, _PEER, context.now, context.now
    )


@when(
    "the store reports the first target's record at revision {found:d} and "
    "zone-b's return at revision {returned:d}"
)
def report_changes(context: Any, found: int, returned: int) -> None:
    """Report changes of a target and of a zone."""
    dispatcher = _dispatcher(context)
    dispatcher.apply(TargetFound(context.records[0], found), context.now)
    dispatcher.apply(ZoneReturned('zone-b', returned), context.now)


@then('the first target receives nothing for {seconds:f} seconds')
def check_nothing(context: Any, seconds: float) -> None:
    """Place requests for some time and check their targets."""
    assert 'target-0' not in _place_requests(context, seconds)


@then('the first target receives requests again')
def check_again(context: Any) -> None:
    """Place requests and check that the target is among theirs."""
    assert 'target-0' in _place_requests(context, 0.4)


def _place_requests(context: Any, seconds: float) -> set[str]:
    found = set()
    for _ in range(round(seconds * 20)):
        context.now += timedelta(milliseconds=50)
        found.add(place(context, 0, path='/read/1')[1].target)
    return found


@then('zone-b is {state} evacuated')
def check_zone(context: Any, state: str) -> None:
    """Check whether the dispatcher knows that the zone is evacuated."""
    is_evacuated = 'zone-b' in _dispatcher(context).fleet.evacuated_zones
    assert is_evacuated == (state == 'still')


@then('nothing was learned')
def check_unlearned(context: Any) -> None:
    """Check that the target and the zone are as before."""
    fleet = _dispatcher(context).fleet
    assert not fleet.evacuated_zones
    assert not any(view.record.is_draining for view in fleet)
    assert fleet.revision <= 2


@then('version {version:d} is in force')
def check_version(context: Any, version: int) -> None:
    """Check the version of the configuration in force."""
    assert _dispatcher(context).configuration_version == version


@when('a peer that the store answered {age_ms:d} ms ago reports no change')
def confirm_by_peer(context: Any, age_ms: int) -> None:
    """Let a peer confirm the revision."""
    dispatcher = _dispatcher(context)
    view = FleetView(dispatcher.fleet.revision, age_ms, None)
    dispatcher.follower.apply_view(view, _PEER, context.now, context.now)


@then('an unknown route is refused as "{reason}"')
def check_reason(context: Any, reason: str) -> None:
    """Send a request on a route that the configuration lacks."""
    metadata = RequestMetadata('r-1', HOST, 'GET', '/newer/1', '')
    found = _dispatcher(context).admit(metadata, context.now)
    assert isinstance(found, PlacementFailure)
    assert found.reason == reason, found.reason


@then('{seconds:d} seconds later it is refused as "{reason}"')
def check_reason_later(context: Any, seconds: int, reason: str) -> None:
    """Send the request again when the confirmation is old."""
    context.now += timedelta(seconds=seconds)
    check_reason(context, reason)


@given('the clock of a machine that was suspended for {seconds:d} seconds')
def suspend(context: Any, seconds: int) -> None:
    """Advance only the boot clock, not the steady clock."""
    steady = SystemClock().monotonic().total_seconds()
    context.suspended_seconds = 0
    patches = (
        patch.object(time, 'monotonic', lambda: steady),
        patch.object(
            time,
            'clock_gettime',
            lambda clock: (
                steady
                + context.suspended_seconds * (clock == time.CLOCK_BOOTTIME)
            ),
        ),
    )
    for each in patches:
        each.start()
        context.add_cleanup(each.stop)
    context.suspension_seconds = seconds


@when('the store answered just before')
def suspend_after_answer(context: Any) -> None:
    """Suspend the machine right after an answer of the store."""
    clock = SystemClock()
    _dispatcher(context).apply(SourceConfirmed(2), clock.monotonic())
    context.suspended_seconds = context.suspension_seconds
    context.now = clock.monotonic()


_SMALL_INTEGERS = st.integers(0, 9)
_RECORDS = st.fixed_dictionaries(
    {
        'name': st.sampled_from(['target-0', 'target-1', 'x']),
        'service': st.sampled_from(['app', 'llm', '']),
        'address': st.sampled_from(['10.0.0.0:80', '']),
        'availability_zone': st.sampled_from(['zone-a', '']),
    },
    optional={
        'started_ms': _SMALL_INTEGERS,
        'cold_ms': _SMALL_INTEGERS,
        'is_draining': st.booleans(),
    },
)
_SNAPSHOTS = st.fixed_dictionaries(
    {
        'targets': st.lists(_RECORDS, max_size=3),
        'evacuated_zones': st.lists(st.text(max_size=3), max_size=2),
        'configuration': st.none()
        | st.fixed_dictionaries({'version': _SMALL_INTEGERS}),
        'revision': _SMALL_INTEGERS,
    },
)
_VIEWS = st.fixed_dictionaries(
    {
        'revision': _SMALL_INTEGERS,
        'source_age_ms': _SMALL_INTEGERS,
        'snapshot': st.none() | _SNAPSHOTS | _SMALL_INTEGERS,
    },
)


@when('{count:d} views reach it while the store is lost')
def feed_views(context: Any, count: int) -> None:
    """Decode generated bytes and views, and apply each valid one."""
    dispatcher = _dispatcher(context)
    dispatcher.apply(SourceLost('no answer'), context.now)
    context.states = []

    def check(example: Any) -> None:
        encoded = example
        if not isinstance(example, bytes):
            encoded = msgspec.msgpack.encode(example)
        try:
            view = msgspec.msgpack.decode(encoded, type=FleetView)
        except msgspec.MsgspecError:
            return
        dispatcher.follower.apply_view(view, _PEER, context.now, context.now)
        context.states.append(
            (dispatcher.fleet.revision, dispatcher.configuration_version),
        )
        dispatcher.follower.make_view(SourcePosition(), context.now)

    run_generated(count, _VIEWS | st.binary(max_size=30), check)


@then('revision and version never fell')
def check_rise(context: Any) -> None:
    """Check that revision and version never decreased."""
    assert context.states
    for number in (0, 1):
        found = [each[number] for each in context.states]
        assert found == sorted(found)
    highest = context.states[-1][0]
    assert highest == 9, highest
