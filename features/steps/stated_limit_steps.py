"""Steps on limits that targets state in their responses."""

import time
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_platform_standins.local_clusters import STREAM_PATH
from buckthornpond_platform_standins.servers import ServerStandIn
from features.steps.direct_steps import list_servers

_PAUSE_SECONDS = 0.05


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
