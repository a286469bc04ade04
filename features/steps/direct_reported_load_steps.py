"""Steps for the load that targets report in their responses."""

from typing import Any

from behave import given, then, when
from msgspec.structs import replace

from buckthornpond_core._generated.serving import (
    AttemptReport,
    Placement,
    ReportedLoad,
    TargetFound,
)
from buckthornpond_platform.headers import PlatformCodec
from features.specs.dispatchers import make_admission

_FIRST = 'target-0'


def _end_first(context: Any, load: ReportedLoad, age_ms: int = 0) -> None:
    """Report the end of an attempt that was placed at the start."""
    context.dispatchers[0].end_attempt(
        make_admission(),
        Placement(
            target=_FIRST,
            address='10.0.0.0:80',
            service='app',
            started_ms=1,
        ),
        AttemptReport(
            target=_FIRST,
            outcome='answered',
            load=load,
            load_age_ms=age_ms,
        ),
        context.now,
    )


@when(
    'the first target answers and reports {running:d} running and {waiting:d}'
    ' waiting requests'
)
def report_load(context: Any, running: int, waiting: int) -> None:
    """End an attempt with a report that has just arrived."""
    _end_first(context, ReportedLoad(running, waiting))


@when(
    'an answer ends that reported {running:d} running requests {age:d} ms before'
)
def report_late(context: Any, running: int, age: int) -> None:
    """End an attempt with a report that arrived earlier."""
    _end_first(context, ReportedLoad(running, 0), age)


@when(
    'the first target restarts, and the answer of its former incarnation'
    ' reports {running:d} running requests'
)
def report_former(context: Any, running: int) -> None:
    """Replace the record, then end an attempt of the former incarnation."""
    record = replace(context.records[0], started_ms=2)
    context.dispatchers[0].apply(TargetFound(record, 3), context.now)
    _end_first(context, ReportedLoad(running, 0))


@then('the first target received some of the requests')
def check_some(context: Any) -> None:
    """Look for the first target among the placements."""
    targets = [found.target for _, found in context.placed]
    assert _FIRST in targets, targets


@then('the first target received none of the requests')
def check_none(context: Any) -> None:
    """Look for the first target among the placements."""
    targets = [found.target for _, found in context.placed]
    assert _FIRST not in targets, targets


@when('a response states the load "{text}"')
def read_load(context: Any, text: str) -> None:
    """Read the header fields of a response."""
    context.metadata = PlatformCodec().read_response(
        200, [('X-Server-Load', text)]
    )


@then('the stated load reads as {verdict}')
def check_verdict(context: Any, verdict: str) -> None:
    """Compare the number of requests, or that it could not be read."""
    metadata = context.metadata
    if verdict == 'malformed':
        assert metadata.load is None
        assert metadata.has_malformed_load
        return
    load = metadata.load
    assert load.running_count + load.waiting_count == int(verdict), load
    assert not metadata.has_malformed_load


@given(
    'app server 1 states the load "{first}" and app server 2 the load'
    ' "{second}"'
)
def state_loads(context: Any, first: str, second: str) -> None:
    """Let two servers state a load in each response."""
    servers = context.cluster.servers
    servers[0].statement_lines = [f'X-Server-Load: {first}']
    servers[1].statement_lines = [f'X-Server-Load: {second}']


@then('app server 1 received at most {count:d} reads')
def check_received(context: Any, count: int) -> None:
    """Count the requests at the server that states a high load."""
    received_count = len(context.cluster.servers[0].received)
    assert received_count <= count, received_count


@then('the entry counted malformed loads')
def check_counted(context: Any) -> None:
    """Look at the counter."""
    metrics = context.cluster.entries[0].metrics.render()
    assert 'malformed_messages_total{reason="target_load"}' in metrics, metrics
