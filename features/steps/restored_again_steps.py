"""Steps on what happens within the time after a restore."""

from typing import Any

from behave import when
from msgspec.structs import replace

from buckthornpond_core._generated.serving import (
    FleetView,
    SourceConfirmed,
    SourceSnapshot,
    TargetRemoved,
)
from buckthornpond_core.serving.dispatcher import Dispatcher

_COPY_REVISION = 3


def _dispatcher(context: Any) -> Dispatcher:
    return context.dispatchers[0]


def _make_copy(context: Any, era: int) -> SourceSnapshot:
    route_table = _dispatcher(context).route_table
    assert route_table is not None
    return SourceSnapshot(
        [
            replace(context.records[0]),
            replace(context.records[1], availability_zone='zone-c'),
        ],
        [],
        route_table.configuration,
        _COPY_REVISION,
        era,
    )


@when('a peer of the new era tells what the copy holds')
def tell_copy(context: Any) -> None:
    """Apply the view of a peer that has read the copy."""
    copy = _make_copy(context, 1)
    view = FleetView(
        revision=_COPY_REVISION, era=1, source_age_ms=0, snapshot=copy
    )
    _dispatcher(context).follower.apply_view(
        view, 'peer', context.now, context.now
    )


@when('the store comes back in a second new era with a copy from before')
def restore_again(context: Any) -> None:
    """Apply what is read from the copy of a second restore."""
    _dispatcher(context).apply(_make_copy(context, 2), context.now)


@when('the store of the second new era reports nothing new')
def confirm_second(context: Any) -> None:
    """Apply an answer without changes."""
    _dispatcher(context).apply(SourceConfirmed(_COPY_REVISION, 2), context.now)


@when('the store of the old era answers again')
def confirm_old(context: Any) -> None:
    """Apply an answer without changes of the first era."""
    _dispatcher(context).apply(SourceConfirmed(2, 0), context.now)


@when('the store of the old era reports that the first target left')
def remove_in_old_era(context: Any) -> None:
    """Apply the removal of the first target."""
    change = TargetRemoved(context.records[0].name, 8)
    _dispatcher(context).apply(change, context.now)
