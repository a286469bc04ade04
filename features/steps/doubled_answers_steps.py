"""Steps on servers that send each answer twice."""

import re
from contextlib import suppress
from typing import Any

from behave import given, then, when
from hypothesis import strategies as st

from buckthornpond_platform_standins.clients import ClientResponse
from buckthornpond_platform_standins.doubled_responses import Doubling, Framing
from buckthornpond_platform_standins.local_clusters import (
    READ_PATH,
    STREAM_PATH,
    WRITE_PATH,
)
from buckthornpond_platform_standins.server_responses import render_body
from buckthornpond_runtime.responses import (
    HttpResponse,
    MalformedResponseError,
)
from features.steps.direct_fuzz_steps import run_generated, split_content
from features.steps.direct_steps import count_runs

_LATE = 'before the next'
_READ = 'read'
_WRITE = 'write'
_STREAM = 'stream'
# Status line, and fields that name an attempt among others.
_FURTHER_HEAD = re.compile(
    rb'HTTP/1\.1 200 OK[^\r\n]*\r\n'
    rb'(?:[\w-]+:[^\r\n]*\r\n)*X-Attempt-Id:[^\r\n]*\r\n'
    rb'(?:[\w-]+:[^\r\n]*\r\n)*\r\n'
)
# Status line, and fields that go on to the end.
_UNFINISHED_HEAD = re.compile(
    rb'HTTP/1\.1 200 OK[^\r\n]*\r\n(?:[\w-]+:[^\r\n]*\r\n)*[^\n]*\Z'
)
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


_POSITIONS = st.lists(st.integers(0, 999), max_size=6)
_MESSAGE_PARTS = st.lists(
    st.sampled_from(
        (
            b'HTTP/1.1 200 OK',
            b'HTTP/1.',
            b'HT',
            b'\r\n',
            b'\r',
            b'\n',
            b'Server: a',
            b'data: b\n\n',
            b': ',
            b'X-Attempt-Id: a',
        )
    ),
    max_size=12,
)


def _names_attempt(_: int, fields: list[tuple[str, str]]) -> bool:
    return any(name == 'X-Attempt-Id' for name, _ in fields)


def receive(
    content: bytes, positions: list[int], received: bytearray
) -> HttpResponse:
    """Feed a response in parts; what is passed on goes to ``received``.

    :param content: bytes of the response.
    :param positions: where they are split.
    :param received: is given the body bytes that are passed on.
    """
    response = HttpResponse('GET', is_further=_names_attempt)
    for part in split_content(content, positions):
        if part:
            response.feed(part)
        received += response.take(len(content))
    response.feed(b'')
    received += response.take(len(content))
    return response


@when(
    '{count:d} answers without a length and a second one are split at random'
    ' positions'
)
def split_doubled(context: Any, count: int) -> None:
    """Feed a response and its copy in parts."""
    head = b'HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\n\r\n'

    def check(example: tuple[list[bytes], list[int]]) -> None:
        body = b''.join(example[0])
        received = bytearray()
        try:
            receive(head + body + head + body, example[1], received)
        except MalformedResponseError:
            assert body.startswith(bytes(received)), (body, received)
            return
        raise AssertionError((body, received))

    run_generated(count, st.tuples(_MESSAGE_PARTS, _POSITIONS), check)
    context.is_checked = True


@when(
    '{count:d} answers without a length hold parts of other messages, and end'
    ' in no head'
)
def pass_on_messages(context: Any, count: int) -> None:
    """Feed responses that hold anything but a head that names an attempt."""
    head = b'HTTP/1.1 200 OK\r\n\r\n'

    def check(example: tuple[list[bytes], list[int]]) -> None:
        body = b''.join(example[0])
        if _FURTHER_HEAD.search(body):
            return
        received = bytearray()
        if _UNFINISHED_HEAD.search(body):
            # It may be that of another answer, which broke off.
            with suppress(MalformedResponseError):
                receive(head + body, example[1], received)
                raise AssertionError((body, received))
            return
        receive(head + body, example[1], received)
        assert bytes(received) == body, (body, received)

    run_generated(count, st.tuples(_MESSAGE_PARTS, _POSITIONS), check)
    context.is_checked = True


@then('each was given up, with nothing passed on but bytes of the first')
@then('each was passed on whole')
def check_split(context: Any) -> None:
    """Check that the previous step compared the bytes."""
    assert context.is_checked
