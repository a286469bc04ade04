"""Steps on targets that fall silent without closing a connection."""

import time
from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import (
    STREAM_PATH,
    WRITE_PATH,
)
from buckthornpond_runtime.connections import HttpConnection
from features.steps.direct_steps import list_servers


@given('app servers answer after {seconds:f} seconds')
def delay_answers(context: Any, seconds: float) -> None:
    """Delay the answers of the plain service."""
    for server in list_servers(context, 'app'):
        server.delay_seconds = seconds


@when('the target of a write falls silent while it runs it')
def post_to_silent_target(context: Any) -> None:
    """Silence the target once it runs the request; its answer still leaves."""
    _send_and_silence(context, 'app', WRITE_PATH, body=b'a')


@when(
    'a caller streams a prompt of {tokens:d} tokens and its engine falls silent'
)
def stream_from_silent_engine(context: Any, tokens: int) -> None:
    """Silence the engine once it runs the request."""
    _send_and_silence(context, 'llm', STREAM_PATH, X_Token_Count=f'{tokens},40')


def _send_and_silence(
    context: Any, service: str, path: str, **fields: Any
) -> None:
    client = context.cluster.connect()
    sent_at = time.monotonic()
    response = client.send('POST', path, **fields)
    servers = list_servers(context, service)
    wait_until(lambda: any(each.run_counts for each in servers))
    next(each for each in servers if each.run_counts).fall_silent()
    client.receive(response, 'POST')
    context.seconds = time.monotonic() - sent_at
    context.answers.append(response)
    client.connection.close()


@given('an open connection to an app server that sends nothing')
def connect_idle(context: Any) -> None:
    """Connect without a request."""
    server = list_servers(context, 'app')[0]
    context.connection = HttpConnection(server.address)
    context.connection.connect(timedelta(seconds=10))
    context.add_cleanup(context.connection.close)


@then('a check for input returns without waiting, and finds none')
def check_no_wait(context: Any) -> None:
    """Let the check run up to its first wait."""
    check = gevent.spawn(context.connection.has_input)
    gevent.sleep(0)
    assert check.ready()
    assert check.value is False
