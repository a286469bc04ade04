"""Steps on limits that targets state in their responses."""

import time
from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_core._generated.serving import Placement, TargetStatement
from buckthornpond_platform_standins.local_clusters import STREAM_PATH
from buckthornpond_platform_standins.servers import ServerStandIn
from features.specs.counts import report
from features.specs.dispatchers import (
    ENGINE_SERVICE,
    make_dispatcher,
    make_targets,
)
from features.specs.limited_fleets import LimitedFleet
from features.steps.direct_steps import list_servers

_PAUSE_SECONDS = 0.05
_FAULT_INTERVAL = timedelta(milliseconds=700)


def _find_engine(context: Any, number: int) -> ServerStandIn:
    return list_servers(context, 'llm')[number - 1]


@given('llm server {number:d} states "{line}"')
def state_line(context: Any, number: int, line: str) -> None:
    """Add a header field to each response of a server."""
    _find_engine(context, number).statement_lines = [line]


@when('llm server {number:d} states nothing')
def state_nothing(context: Any, number: int) -> None:
    """Remove the header field from later responses of a server."""
    _find_engine(context, number).statement_lines = []


@when('{count:d} callers stream for {seconds:d} seconds')
def stream_for_a_while(context: Any, count: int, seconds: int) -> None:
    """Let callers send one short stream after another."""
    context.waits = []
    end = time.monotonic() + seconds
    callers = [gevent.spawn(_stream_until, context, end) for _ in range(count)]
    gevent.joinall(callers, raise_error=True)


def _stream_until(context: Any, end: float) -> None:
    client = context.cluster.connect()
    while time.monotonic() < end:
        sent_at = time.monotonic()
        response = client.fetch('POST', STREAM_PATH, X_Token_Count='3000,40')
        context.answers.append(response)
        context.waits.append(time.monotonic() - sent_at)
        gevent.sleep(_PAUSE_SECONDS)


@then('llm server {number:d} got at most {limit:d} requests in any 4 seconds')
def check_window(context: Any, number: int, limit: int) -> None:
    """Count the requests in a sliding window, after the first half second."""
    times = [each.at_seconds for each in _find_engine(context, number).received]
    bound = [at for at in times if at > times[0] + 0.5]
    assert bound
    for begin in bound:
        count = sum(begin <= at < begin + 4 for at in bound)
        assert count <= limit, count


@then(
    'llm server {number:d} got more than {least:d} requests in the last second'
)
def check_last_second(context: Any, number: int, least: int) -> None:
    """Count the latest requests of a server."""
    times = [each.at_seconds for each in _find_engine(context, number).received]
    count = sum(at > time.monotonic() - 1 for at in times)
    assert count > least, count


@then('every stream was answered 200')
def check_all_answered(context: Any) -> None:
    """Check that nobody was refused."""
    statuses = {(each.status, each.reason) for each in context.answers}
    assert statuses == {(200, '')}, statuses


@then(
    'each stream was answered 200 or refused within {seconds:f} seconds as '
    '"{reason}"'
)
def check_refused_at_once(context: Any, seconds: float, reason: str) -> None:
    """Check the reasons of refusals and how long callers waited for them."""
    found = {(each.status, each.reason) for each in context.answers}
    assert found == {(200, ''), (503, reason)}, found
    for response, wait in zip(context.answers, context.waits, strict=True):
        assert response.status == 200 or wait < seconds, wait


@then(
    'the refusals name different times to return, {seconds:d} seconds at most'
)
def check_retry_after(context: Any, seconds: int) -> None:
    """Look at Retry-After of the refusals."""
    delays = [
        float(each.fields['retry-after'])
        for each in context.answers
        if each.status == 503
    ]
    assert len(set(delays)) > len(delays) // 2, delays
    assert all(0 < delay <= seconds for delay in delays), delays


@when('llm server {number:d} states "{line}"')
def change_lines(context: Any, number: int, line: str) -> None:
    """Replace the header fields, which slashes separate."""
    _find_engine(context, number).statement_lines = line.split(' / ')


@when('llm server {number:d} starts again and states nothing')
def start_again(context: Any, number: int) -> None:
    """Register a new start at the same address under the same name."""
    engine = _find_engine(context, number)
    engine.statement_lines = []
    context.cluster.register(engine, born=999)
    context.cluster.wait_until_synced()


@then('the entry counted {some} malformed limits')
def check_counted(context: Any, some: str) -> None:
    """Look at the counter."""
    metrics = context.cluster.entries[0].metrics.render()
    counter = 'malformed_messages_total{reason="target_limit"}'
    assert (counter in metrics) == (some == 'some'), metrics


@given(
    '{count:d} entries before {targets:d} targets that state {limit:f} '
    'requests a second'
)
def make_limited_fleet(
    context: Any, count: int, targets: int, limit: float
) -> None:
    """Make entries that know each other."""
    context.limit = limit
    context.target_count = targets
    context.limited_fleet = LimitedFleet(count, limit, targets, count)


@given('each entry uses every target')
def use_every_target(context: Any) -> None:
    """Let each entry divide the limit as if few others lived."""
    context.limited_fleet.choose_everyone()


@when(
    'they send as fast as allowed for {seconds:d} seconds while entries '
    '{faults}'
)
def send_to_limited(context: Any, seconds: int, faults: str) -> None:
    """Send on a fake clock, with a fault each 0.7 s or none."""
    interval = None if 'stay' in faults else _FAULT_INTERVAL
    context.limited_fleet.run(seconds, interval)
    context.seconds = seconds
    report(
        f'{faults}, limit {context.limit}: at most '
        f'{context.limited_fleet.most_count} in 4 s, '
        f'{context.limited_fleet.sent_count} sent'
    )


def _allowed_count(context: Any) -> int:
    return int(1.5 * 4 * context.limit) + 5


@then(
    'no target gets more in 4 seconds than one and a half times its limit and '
    '5 requests'
)
def check_limit_kept(context: Any) -> None:
    """Compare the most in a sliding window."""
    most = context.limited_fleet.most_count
    assert most <= _allowed_count(context), most


@then(
    'some target gets more in 4 seconds than one and a half times its limit '
    'and 5 requests'
)
def check_limit_exceeded(context: Any) -> None:
    """Check that the variant exceeds the limit."""
    most = context.limited_fleet.most_count
    assert most > _allowed_count(context), most


@then('the targets get at least {least:f} of their limits on average')
def check_limit_used(context: Any, least: float) -> None:
    """Check that callers are served as far as the limits allow."""
    taken = context.limited_fleet.sent_count / context.target_count
    wanted = context.limit * context.seconds * least
    assert taken >= wanted, (taken, wanted)


@given('{count:d} entries that exchange hints before 1 limited target')
def make_hinting_entries(context: Any, count: int) -> None:
    """Start dispatchers that know each other."""
    context.now = timedelta(seconds=100)
    addresses = [f'entry-{number}:1' for number in range(count)]
    targets = make_targets(ENGINE_SERVICE, 1)
    context.target = targets[0].name
    context.dispatchers = [
        make_dispatcher(number, addresses, targets, context.now)
        for number in range(count)
    ]


def _hear(context: Any, number: int, limit: float | None) -> None:
    context.now += timedelta(seconds=1)
    dispatcher = context.dispatchers[number]
    statement = None
    if limit is not None:
        statement = TargetStatement(limit)
    placement = Placement(context.target, '', ENGINE_SERVICE, started_ms=1)
    dispatcher.statements.record(placement, statement, context.now)
    load_exchange = dispatcher.load_exchange
    hint = load_exchange.make_hint(dispatcher.fleet, context.now)
    dispatcher.statements.fill_hint(hint, context.now)
    for other in context.dispatchers:
        if other.load_exchange.apply_hint(hint, other.fleet, context.now):
            other.statements.apply_hint(hint, context.now)


@when('the first entry hears of a limit')
def hear_limit(context: Any) -> None:
    """Let a response state a limit."""
    _hear(context, 0, 2.0)


@when('the second entry hears that it ended')
def hear_end(context: Any) -> None:
    """Let a response state no limit."""
    _hear(context, 1, None)


@then('every entry knows the limit')
def check_all_limited(context: Any) -> None:
    """Look at each entry's view."""
    for dispatcher in context.dispatchers:
        assert dispatcher.fleet.find(context.target).terms.is_limited


@then('no entry knows a limit')
def check_none_limited(context: Any) -> None:
    """Look at each entry's view."""
    for dispatcher in context.dispatchers:
        assert not dispatcher.fleet.find(context.target).terms.is_limited
