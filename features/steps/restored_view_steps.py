"""Steps on a store that comes back older, without sockets."""

from typing import Any

from behave import given, then, when
from msgspec.structs import replace

from buckthornpond_core._generated.serving import (
    SourceConfirmed,
    SourceSnapshot,
    TargetFound,
    TargetRemoved,
    ZoneEvacuated,
)
from buckthornpond_core.serving.dispatcher import Dispatcher
from buckthornpond_core.serving.fleet_follower import FleetChange

_ERA = 1
_COPY_REVISION = 3
_LATER_REVISION = 8
_LATER_START_MS = 2


def _dispatcher(context: Any) -> Dispatcher:
    return context.dispatchers[0]


def _make_change(context: Any, text: str) -> FleetChange:
    record = context.records[0]
    revision = _LATER_REVISION
    if text == 'the first target left':
        return TargetRemoved(record.name, revision)
    if text == 'its zone is evacuated':
        return ZoneEvacuated(record.availability_zone, revision)
    if text == 'the first target starts anew':
        restarted = replace(record, started_ms=_LATER_START_MS)
        return TargetFound(restarted, revision)
    assert text == 'the first target drains', text
    return TargetFound(replace(record, is_draining=True), revision)


@given('the store has reported that {text}')
@when('the store of the new era reports that {text}')
def report(context: Any, text: str) -> None:
    """Apply a change that the store reports."""
    # The second target is in another zone, so that it can always be used.
    other = replace(context.records[1], availability_zone='zone-b')
    _dispatcher(context).apply(TargetFound(other, 2), context.now)
    _dispatcher(context).apply(_make_change(context, text), context.now)


@when('the store comes back in a new era with a copy from before')
def restore(context: Any, era: int = _ERA) -> None:
    """Apply what is read from the copy."""
    route_table = _dispatcher(context).route_table
    assert route_table is not None
    other = replace(context.records[1], availability_zone='zone-c')
    snapshot = SourceSnapshot(
        [replace(context.records[0]), other],
        [],
        route_table.configuration,
        _COPY_REVISION,
        era,
    )
    _dispatcher(context).apply(snapshot, context.now)


@when('a store that names no era comes back with a copy from before')
def restore_without_era(context: Any) -> None:
    """Apply a copy at a lower revision."""
    restore(context, 0)


@when('the store of the new era reports nothing new')
def confirm(context: Any) -> None:
    """Apply an answer without changes."""
    revision = _dispatcher(context).fleet.revision
    _dispatcher(context).apply(SourceConfirmed(revision, _ERA), context.now)


@then('the first target is known with its later start')
def check_start(context: Any) -> None:
    """Compare the start of the target."""
    view = _dispatcher(context).fleet.find(context.records[0].name)
    assert view is not None
    assert view.record.started_ms == _LATER_START_MS, view.record
