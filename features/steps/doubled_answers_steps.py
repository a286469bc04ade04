"""Steps on servers that send each answer twice."""

from typing import Any

from behave import given, then, when

from buckthornpond_platform_standins.clients import ClientResponse
from buckthornpond_platform_standins.doubled_responses import Doubling, Framing
from buckthornpond_platform_standins.local_clusters import (
    READ_PATH,
    STREAM_PATH,
    WRITE_PATH,
)
from buckthornpond_platform_standins.server_responses import render_body
from features.steps.direct_steps import count_runs

_LATE = 'before the next'
_READ = 'read'
_WRITE = 'write'
_STREAM = 'stream'
_STREAM_FIELDS = {'X_Token_Count': '100,40'}


@given(
    'servers that send each answer with {first:w} and again {when} with'
    ' {second:w}'
)
def answer_twice(context: Any, first: str, when: str, second: str) -> None:
    """Let every server send its answers twice."""
    for server in context.cluster.servers:
        server.doubling = Doubling(
            Framing(first), Framing(second), is_late=when == _LATE
        )


@when('{count:d} times a caller reads, writes and streams')
def send_each_kind(context: Any, count: int) -> None:
    """Send requests of each kind in turn, on one connection."""
    client = context.cluster.connect()
    context.exchanged = []
    for _ in range(count):
        context.exchanged += [
            (_READ, client.fetch('GET', READ_PATH)),
            (_WRITE, client.fetch('POST', WRITE_PATH)),
            (_STREAM, client.fetch('POST', STREAM_PATH, **_STREAM_FIELDS)),
        ]


@then('each answer is 200 and the whole answer to its request')
def check_all_own(context: Any) -> None:
    """Check the status and every byte of all answers."""
    for kind, answer in context.exchanged:
        assert answer.status == 200, (kind, answer.status, answer.body)
        assert is_whole_answer(kind, answer), (kind, answer.body, answer.error)


@then('no answer is 200 without being the whole answer to its request')
def check_successes(context: Any) -> None:
    """Check every byte of the complete successes."""
    for kind, answer in context.exchanged:
        if answer.status == 200 and not answer.error:
            assert is_whole_answer(kind, answer), (kind, answer.body)


@then('each write ran at most once')
def check_write_runs(context: Any) -> None:
    """Count the runs of each write."""
    run_counts = count_runs(context)
    for kind, answer in context.exchanged:
        if kind == _WRITE:
            assert run_counts[answer.attempt_id] <= 1, run_counts


def is_whole_answer(kind: str, answer: ClientResponse) -> bool:
    """Return whether a body is what the server sends for the request."""
    if answer.error:
        return False
    if kind == _STREAM:
        return answer.is_stream_of(1, 4)
    return answer.body == render_body(answer.attempt_id)
