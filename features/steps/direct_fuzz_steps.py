"""Steps that feed generated input to the parsers of an entry."""

import base64
import itertools
import json
import tempfile
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
from behave import then, when
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st

from buckthornpond_core._generated.hints import LoadHint
from buckthornpond_core._generated.serving import CallerLimits, TargetRecord
from buckthornpond_core.exceptions import BuckthornpondError
from buckthornpond_core.serving.events import EventAssembler, StreamPosition
from buckthornpond_core.serving.fleet import Fleet
from buckthornpond_core.serving.load_exchange import LoadExchange
from buckthornpond_entry.direct.request_parsers import RequestParser
from buckthornpond_platform._generated.wire import Item
from buckthornpond_platform.headers import PlatformCodec
from buckthornpond_platform.records import read_configuration, read_target
from buckthornpond_platform.settings import load_settings
from buckthornpond_runtime.responses import HttpResponse
from features.specs.dispatchers import NullRecorder
from features.specs.endless_readers import (
    EndlessRequest,
    EndlessResponse,
    EndlessStream,
)

_LIMITS = CallerLimits()
_REQUEST_PARTS = st.sampled_from(
    [
        b'GET / HTTP/1.1\r\n',
        b'POST /a HTTP/1.1\r\n',
        b'Host: a\r\n',
        b'Content-Length: 3\r\n',
        b'Content-Length: -1\r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'Connection: upgrade\r\nUpgrade: x\r\n',
        b'\r\n',
        b'3\r\nabc\r\n',
        b'0\r\n\r\n',
        b'abc',
    ],
)
_RESPONSE_PARTS = st.sampled_from(
    [
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 100 Continue\r\n\r\n',
        b'HTTP/1.1 999 X\r\n',
        b'Content-Length: 3\r\n',
        b'Transfer-Encoding: chunked\r\n',
        b'X-Attempt-Id: a\r\n',
        b'\r\n',
        b'3\r\nabc\r\n',
        b'0\r\n\r\n',
        b'abc',
    ],
)
_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(
                [
                    'address',
                    'born',
                    'engine',
                    'limits',
                    'routes',
                    'service',
                    'services',
                    'slots',
                    'state',
                    'version',
                    'zone',
                ],
            ),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


def run_generated(
    count: int,
    strategy: Any,
    check: Callable[[Any], None],
) -> None:
    """Run a check on generated values, which are the same in each run."""

    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
    )
    @generate(strategy)
    def run(example: Any) -> None:
        check(example)

    run()


def _read_request(parts: list[bytes]) -> None:
    parser = RequestParser(lambda request: None, 'caller')
    for part in parts:
        parser.feed(part, _LIMITS)


def _read_response(parts: list[bytes]) -> None:
    response = HttpResponse('GET')
    for part in parts:
        response.feed(part)
        response.take(100)


def _make_item(document: Any) -> Item:
    content = document
    if not isinstance(document, bytes):
        content = json.dumps(document).encode()
    return Item('servers/x', base64.b64encode(content).decode(), 1)


def _read_server(document: Any) -> None:
    read_target(_make_item(document), 'x')


def _read_config(document: Any) -> None:
    read_configuration(_make_item(document))


def _read_fields(fields: list[tuple[str, str]]) -> None:
    codec = PlatformCodec()
    codec.read_request('GET', '/', fields)
    codec.read_response(200, fields)


def _read_settings(document: Any) -> None:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'local.yaml'
        path.write_text(json.dumps(document))
        load_settings(str(path), 0)


_FIELD_NAMES = st.sampled_from(
    [
        'X-Attempt-Id',
        'X-Deadline-Ms',
        'X-Token-Count',
        'X-Length-Hint',
        'Authorization',
        'Last-Event-Id',
        'X-Cold-Start-Ms',
        'At-Server',
        'X-Server-Load',
    ],
)
_HUGE_NUMBER = '9' * 5000
_WRITTEN_NUMBERS = st.integers().map(str)
_NUMBERS = _WRITTEN_NUMBERS | st.just(_HUGE_NUMBER) | st.text(max_size=9)
_REQUESTS = st.lists(_REQUEST_PARTS | st.binary(max_size=20), max_size=8)
_RESPONSES = st.lists(_RESPONSE_PARTS | st.binary(max_size=20), max_size=8)
_FIELDS = st.lists(st.tuples(_FIELD_NAMES, _NUMBERS), max_size=6)
_VALUES = _JSON | st.binary(max_size=30)
_READERS: dict[str, Any] = {
    "callers' requests": (_REQUESTS, _read_request),
    "targets' answers": (_RESPONSES, _read_response),
    'server entries': (_VALUES, _read_server),
    'configurations': (_VALUES, _read_config),
    'header fields': (_FIELDS, _read_fields),
    'settings files': (_JSON, _read_settings),
}


@when('{count:d} inputs are given to the reader of {source}')
def feed(context: Any, count: int, source: str) -> None:
    """Feed generated inputs; errors of other types fail the step."""
    strategy, read = _READERS[source]
    context.counts = {'read': 0, 'refused': 0}

    def check(example: Any) -> None:
        try:
            read(example)
        except BuckthornpondError:
            context.counts['refused'] += 1
        else:
            context.counts['read'] += 1

    run_generated(count, strategy, check)


@then('each is accepted or rejected with an error of this project')
def check_only_project_errors(context: Any) -> None:
    """Check the count; any other error failed the previous step."""
    assert sum(context.counts.values()) >= 100, context.counts


_ENDLESS_BLOCK_BYTES = 65_536
_ENDLESS_BLOCK_COUNT = 80
_KIBIBYTE = 1024
_EVENT_PARTS = st.sampled_from(
    [b'id: 1\n', b'data: a\n', b': a\n', b'\n', b'data: a\n\n', b'a'],
)
_EVENTS = st.lists(_EVENT_PARTS, max_size=4)


_ENDLESS_READERS: dict[str, Any] = {
    "callers' requests": (_REQUESTS, _REQUEST_PARTS, EndlessRequest),
    "targets' answers": (_RESPONSES, _RESPONSE_PARTS, EndlessResponse),
    'event streams': (_EVENTS, _EVENT_PARTS, EndlessStream),
}


@when('{count:d} inputs that never end are given to the reader of {source}')
def feed_endless(context: Any, count: int, source: str) -> None:
    """Feed generated input, then one part again and again."""
    first_parts, repeated_part, make_reader = _ENDLESS_READERS[source]
    context.most_held_bytes = 0
    context.rejected_count = 0

    def check(example: tuple[list[bytes], bytes]) -> None:
        prefix, part = example
        reader = make_reader()
        block = part * (_ENDLESS_BLOCK_BYTES // len(part))
        blocks = [b''.join(prefix) or part]
        blocks.extend(itertools.repeat(block, _ENDLESS_BLOCK_COUNT))
        try:
            for received in blocks:
                reader.feed(received)
                context.most_held_bytes = max(
                    context.most_held_bytes, reader.held_bytes
                )
        except BuckthornpondError:
            context.rejected_count += 1

    run_generated(count, st.tuples(first_parts, repeated_part), check)


@then(
    'the reader held at most {kibibytes:d} KiB, and rejected at least'
    ' {rejected:d}'
)
def check_held(context: Any, kibibytes: int, rejected: int) -> None:
    """Compare what was held with the limits."""
    held_bytes = context.most_held_bytes
    assert held_bytes <= kibibytes * _KIBIBYTE, held_bytes
    assert context.rejected_count >= rejected, context.rejected_count


_SMALL = st.integers(0, 99)
_ATTEMPT_HINT = st.tuples(_SMALL, _SMALL, _SMALL, _SMALL, st.booleans())
_TARGET_HINT = st.tuples(
    st.sampled_from(['a', 'b']),
    st.lists(_ATTEMPT_HINT, max_size=3),
)
_HINTS = st.tuples(
    st.text(max_size=4),
    _SMALL,
    _SMALL,
    st.booleans(),
    st.lists(_TARGET_HINT, max_size=3),
    st.lists(st.text(max_size=3), max_size=3),
)


@when('the load exchange receives {count:d} datagrams')
def feed_hints(context: Any, count: int) -> None:
    """Feed random bytes and hints with generated fields."""
    context.fleet_seen = Fleet()
    now = timedelta(seconds=1)
    record = TargetRecord('a', 'llm', '1.1.1.1:1', 'zone-a')
    context.fleet_seen.put(record)
    load_exchange = LoadExchange('me:1', 1, [], NullRecorder())

    def check(example: Any) -> None:
        datagram = example
        if not isinstance(example, bytes):
            datagram = msgspec.msgpack.encode(example)
        try:
            hint = msgspec.msgpack.decode(datagram, type=LoadHint)
        except msgspec.DecodeError:
            return
        load_exchange.apply_hint(hint, context.fleet_seen, now)

    run_generated(count, _HINTS | st.binary(max_size=30), check)


@then('no target was added or removed')
def check_hints(context: Any) -> None:
    """Compare the names of the targets."""
    assert list(context.fleet_seen.list_names()) == ['a']


def _make_stream(count: int) -> tuple[bytes, list[bytes]]:
    events = [
        f'id: {number}\ndata: {"x" * (number % 7)}\n\n'.encode()
        for number in range(1, count + 1)
    ]
    return b''.join(events), events


def split_content(content: bytes, positions: list[int]) -> list[bytes]:
    """Return the parts of a content between some positions."""
    ends = sorted({position % (len(content) + 1) for position in positions})
    starts = [0, *ends]
    return [
        content[start:end]
        for start, end in zip(starts, [*ends, len(content)], strict=True)
    ]


_SPLIT_STREAMS = st.tuples(
    st.integers(1, 9),
    st.lists(st.integers(0, 400), max_size=6),
)


@when('{count:d} streams are split at random positions')
def cut_streams(context: Any, count: int) -> None:
    """Feed each stream in parts and compare the events."""

    def check(example: tuple[int, list[int]]) -> None:
        content, events = _make_stream(example[0])
        stream_position = StreamPosition()
        assembler = EventAssembler(stream_position)
        passed = [
            assembler.feed(part) for part in split_content(content, example[1])
        ]
        for part in passed:
            assert part.endswith(b'\n\n') or not part
        assert b''.join(passed) == content
        assert not assembler.has_partial_event
        assert stream_position.last_event_id == f'{len(events)}'

    run_generated(count, _SPLIT_STREAMS, check)
    context.is_checked = True


@when(
    '{count:d} streams break at random positions and resume at another target',
)
def break_streams(context: Any, count: int) -> None:
    """Break each stream and resume it, with one event repeated."""

    def check(example: tuple[int, list[int]]) -> None:
        content, events = _make_stream(example[0])
        stream_position = StreamPosition()
        assembler = EventAssembler(stream_position)
        position = hash(tuple(example[1])) % (len(content) + 1)
        passed = assembler.feed(content[:position])
        known = int(stream_position.last_event_id or 0)
        assembler = EventAssembler(stream_position, is_resumed=bool(passed))
        # A target may repeat the last event when it resumes a stream.
        rest = b''.join(events[max(known - 1, 0) :])
        parts = [
            assembler.feed(part) for part in split_content(rest, example[1])
        ]
        assert passed + b''.join(parts) == content

    run_generated(count, _SPLIT_STREAMS, check)
    context.is_checked = True


@then('each delivers its events complete and in order')
def check_streams(context: Any) -> None:
    """Check that the previous step compared the events."""
    assert context.is_checked
