"""Steps on what targets say of themselves."""

import time
from datetime import timedelta
from typing import Any

import gevent
import msgspec
from behave import given, then, when

from buckthornpond_core._generated.serving import (
    Placement,
    TargetFound,
    TargetRemoved,
    TargetStatement,
)
from buckthornpond_platform.statements import read_statement
from buckthornpond_platform_standins.local_clusters import READ_PATH
from buckthornpond_platform_standins.server_responses import Behaviour
from buckthornpond_platform_standins.servers import ServerStandIn
from features.specs.dispatchers import (
    PLAIN_SERVICE,
    make_dispatcher,
    make_targets,
)
from features.steps.direct_steps import list_servers

_SECOND = timedelta(seconds=1)
_MS = timedelta(milliseconds=1)
_PAUSE_SECONDS = 0.02
_AT_ONCE_SECONDS = 0.3
_BACKOFF_SECONDS = 2.0
_NOTICE_SECONDS = 0.5
_MAX_BACKOFF_COUNT = 2
_FIRST_READ_COUNT = 8


def _find_app(context: Any, number: int) -> ServerStandIn:
    return list_servers(context, PLAIN_SERVICE)[number - 1]


def _read_until(context: Any, end: float) -> None:
    client = context.cluster.connect()
    while time.monotonic() < end:
        sent_at = time.monotonic()
        response = client.fetch('GET', READ_PATH)
        context.answers.append(response)
        context.waits.append(time.monotonic() - sent_at)
        gevent.sleep(_PAUSE_SECONDS)


def _read(context: Any, count: int, seconds: int) -> None:
    context.answers = []
    context.waits = []
    end = time.monotonic() + seconds
    callers = [gevent.spawn(_read_until, context, end) for _ in range(count)]
    gevent.joinall(callers, raise_error=True)


@given('app server {number:d} sheds all requests')
def shed_all(context: Any, number: int) -> None:
    """Let a server refuse each request."""
    _find_app(context, number).default_behaviour = Behaviour.shed


@when(
    'app server {number:d} states "{line}" and {count:d} callers read for '
    '{seconds:d} seconds'
)
def state_and_read(
    context: Any, number: int, line: str, count: int, seconds: int
) -> None:
    """Add header fields, which slashes separate, to all responses."""
    _find_app(context, number).statement_lines = line.split(' / ')
    _read(context, count, seconds)


@when(
    'another app server is registered and {count:d} callers read for '
    '{seconds:d} seconds'
)
def register_and_read(context: Any, count: int, seconds: int) -> None:
    """Start a further server."""
    context.cluster.add_server(PLAIN_SERVICE)
    context.cluster.wait_until_synced()
    _read(context, count, seconds)


@when(
    'app server {number:d} starts anew and {count:d} callers read for '
    '{seconds:d} seconds'
)
def restart_and_read(
    context: Any, number: int, count: int, seconds: int
) -> None:
    """Register a new start under the same name and address."""
    server = _find_app(context, number)
    server.statement_lines = []
    server.received.clear()
    context.cluster.register(server, born=999)
    context.cluster.wait_until_synced()
    _read(context, count, seconds)


@then(
    'app server {number:d} got nothing later than {seconds:f} seconds after '
    'its first answer'
)
def check_left_alone(context: Any, number: int, seconds: float) -> None:
    """Compare the times of all requests with that of the first."""
    times = [each.at_seconds for each in _find_app(context, number).received]
    assert times
    late = [at - times[0] for at in times if at > times[0] + seconds]
    assert not late, (len(late), late[:3])


@then('app server {number:d} got more than {count:d} requests')
def check_used(context: Any, number: int, count: int) -> None:
    """Count the requests of a server."""
    assert len(_find_app(context, number).received) > count


@then('every read was answered 200')
def check_answered(context: Any) -> None:
    """Look at each response."""
    found = {(each.status, each.reason) for each in context.answers}
    assert found == {(200, '')}, found


@then('each read after the first ones was refused at once as "{reason}"')
def check_refused(context: Any, reason: str) -> None:
    """Look at the responses once the word of the server is known."""
    found = {
        (each.status, each.reason)
        for each in context.answers[_FIRST_READ_COUNT:]
    }
    assert found == {(503, reason)}, found
    assert max(context.waits) < _AT_ONCE_SECONDS, max(context.waits)


@then('each read was refused at once, with different times to return')
def check_all_refused(context: Any) -> None:
    """Look at status, Retry-After and waiting time of each response."""
    assert {each.status for each in context.answers} == {503}
    delays = {each.fields['retry-after'] for each in context.answers}
    assert len(delays) > len(context.answers) // 2, delays
    assert max(context.waits) < _AT_ONCE_SECONDS, max(context.waits)


@then(
    'app server {number:d} got at most {count:d} requests between half a '
    'second and 2 seconds after each refusal'
)
def check_backoff(context: Any, number: int, count: int) -> None:
    """Count the requests in the time for which it wanted none."""
    times = [each.at_seconds for each in _find_app(context, number).received]
    assert times
    for refused_at in times:
        begin = refused_at + _NOTICE_SECONDS
        end = refused_at + _BACKOFF_SECONDS
        found = [at for at in times if begin < at < end]
        assert len(found) <= count, (refused_at, len(found))


@then('the entry counted {some} malformed statements of "{name}"')
def check_counted(context: Any, some: str, name: str) -> None:
    """Look at the counter."""
    metrics = context.cluster.entries[0].metrics.render()
    counter = f'malformed_messages_total{{reason="target_{name}"}}'
    assert (counter in metrics) == (some == 'some'), metrics


@when('a response {status:d} states "{line}"')
def read_lines(context: Any, status: int, line: str) -> None:
    """Decode header fields, which slashes separate."""
    fields = []
    for text in line.split(' / '):
        name, _, content = text.partition(':')
        fields.append((name, content))
    context.statement = read_statement(status, fields)


@then(
    'it says: leaving {leaving:w}, backoff {backoff:d} ms, malformed '
    '"{malformed}"'
)
@then('it says: leaving {leaving:w}, backoff {backoff:d} ms, malformed ""')
def check_statement(
    context: Any, leaving: str, backoff: int, malformed: str = ''
) -> None:
    """Compare each part of the statement."""
    statement = context.statement
    assert statement.is_leaving == (leaving == 'yes'), statement
    assert statement.backoff_ms == backoff, statement
    assert statement.malformed_fields == malformed.split(), statement


@given('{count:d} entries that know 1 target')
def start_entries(context: Any, count: int) -> None:
    """Start dispatchers that know each other and a target."""
    context.now = timedelta(seconds=100)
    addresses = [f'entry-{number}:1' for number in range(count)]
    targets = make_targets(PLAIN_SERVICE, 1)
    context.target = targets[0]
    context.dispatchers = [
        make_dispatcher(number, addresses, targets, context.now)
        for number in range(count)
    ]


def _hear(context: Any, number: int, statement: TargetStatement) -> None:
    target = context.target
    placement = Placement(
        target.name, '', PLAIN_SERVICE, started_ms=target.started_ms
    )
    context.dispatchers[number - 1].statements.record(
        placement, statement, context.now
    )


@when('entry {number:d} hears that the target leaves')
def hear_leaving(context: Any, number: int) -> None:
    """Let a response say so."""
    _hear(context, number, TargetStatement(None, is_leaving=True))


@when(
    'entry {number:d} hears that the target wants nothing for {duration:d} ms'
)
def hear_backoff(context: Any, number: int, duration: int) -> None:
    """Let a response say so."""
    _hear(context, number, TargetStatement(None, backoff_ms=duration))


@when(
    'entry {number:d} hears that the target takes {limit:d} requests a second'
)
def hear_limit(context: Any, number: int, limit: int) -> None:
    """Let a response say so, and use up the burst."""
    _hear(context, number, TargetStatement(limit))
    dispatcher = context.dispatchers[number - 1]
    view = dispatcher.fleet.find(context.target.name)
    while dispatcher.statements.may_send(view, context.now):
        dispatcher.statements.record_request(view)


@when('the target is removed and listed again with the same start')
def relist(context: Any) -> None:
    """Remove the record and write it again."""
    dispatcher = context.dispatchers[0]
    dispatcher.apply(TargetRemoved(context.target.name, 3), context.now)
    assert dispatcher.fleet.find(context.target.name) is None
    dispatcher.apply(TargetFound(context.target, 4), context.now)


@when('the target starts again')
def start_again(context: Any) -> None:
    """Write the record of a new start."""
    context.target = msgspec.structs.replace(
        context.target, started_ms=context.target.started_ms + 1
    )
    for dispatcher in context.dispatchers:
        dispatcher.apply(TargetFound(context.target, 5), context.now)


@when('the entries exchange hints')
def exchange_hints(context: Any) -> None:
    """Deliver one full hint of each entry to all others."""
    context.now += 2 * _SECOND
    for sender in context.dispatchers:
        hint = sender.load_exchange.make_hint(sender.fleet, context.now)
        sender.statements.fill_hint(hint, context.now)
        for other in context.dispatchers:
            if other.load_exchange.apply_hint(hint, other.fleet, context.now):
                other.statements.apply_hint(hint, context.now)


def _may_send(context: Any, number: int, now: timedelta) -> bool:
    dispatcher = context.dispatchers[number - 1]
    view = dispatcher.fleet.find(context.target.name)
    return bool(dispatcher.statements.may_send(view, now))


@then('entry {number:d} may not send to it')
def check_bound(context: Any, number: int) -> None:
    """Ask the entry."""
    assert not _may_send(context, number, context.now)


@then('{which:w} entry may send to it')
def check_each(context: Any, which: str) -> None:
    """Ask each entry."""
    for number in range(1, len(context.dispatchers) + 1):
        found = _may_send(context, number, context.now)
        assert found == (which == 'every'), number


@then(
    'entry {number:d} may send to it again {seconds:d} seconds later, and not '
    'before'
)
def check_end(context: Any, number: int, seconds: int) -> None:
    """Ask the entry right before and after."""
    end = context.now + seconds * _SECOND
    assert not _may_send(context, number, end - _MS)
    assert _may_send(context, number, end)
