"""Steps on the overhead of the agent and of messages."""

import re
import subprocess
import sys
from typing import Any

from behave import given, then, when

from buckthornpond_core._generated.messages import (
    Chunk,
    ConfigurationVersion,
    Heartbeat,
    Hint,
    TargetPhase,
)
from buckthornpond_core.credits import CreditMeter, charge_bytes
from buckthornpond_core.exceptions import MalformedMessageError
from buckthornpond_runtime.batches import build_batches, split_frames
from buckthornpond_runtime.codecs import decode_message, encode_message
from buckthornpond_runtime.responses import (
    HttpResponse,
    MalformedResponseError,
)

_RESPONSES = {
    'length': b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole',
    'chunked': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
    b'2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n',
    'until closed': b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nwhole',
    'interim first': b'HTTP/1.1 102 Processing\r\n\r\n'
    b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole',
    'no body': b'HTTP/1.1 204 No Content\r\n\r\n',
    'length cut short': b'HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwhole',
    'chunked cut short': b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'
    b'\r\n5\r\nwhole\r\n',
    'head cut short': b'HTTP/1.1 200 OK\r\ncontent-le',
    'not http': b'\x00\x01 nonsense\r\n\r\n',
}
_STREAM_HEAD = b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n'
_EVENT_END = b'\n\n'
_FRAME_BYTES = 16_384


@when("the agent's program is imported in a separate process")
def import_agent(context: Any) -> None:
    """List the modules loaded by an import of the agent."""
    script = 'import sys, buckthornpond_agent.cli; print(*sys.modules)'
    done = subprocess.run(
        [sys.executable, '-c', script],
        capture_output=True,
        text=True,
        check=True,
    )
    context.modules = set(done.stdout.split())


@then('none of these modules is loaded: "{names}"')
def check_modules(context: Any, names: str) -> None:
    """Check that the modules were not loaded."""
    assert 'buckthornpond_agent.cli' in context.modules
    found = context.modules.intersection(names.split(', '))
    assert not found, found


@when('a response of kind "{kind}" arrives byte by byte')
def feed_response(context: Any, kind: str) -> None:
    """Feed one byte at a time, then the end of the connection."""
    response = HttpResponse('GET')
    context.result = 'malformed'
    try:
        for byte in _RESPONSES[kind]:
            response.feed(bytes([byte]))
        response.feed(b'')
    except MalformedResponseError:
        return
    assert response.is_complete
    context.result = response.take(100).decode() or 'nothing'


@then('the result is "{result}"')
def check_result(context: Any, result: str) -> None:
    """Compare the body of the response."""
    assert context.result == result, context.result


@given('a response that streams events')
def start_stream(context: Any) -> None:
    """Feed the response head."""
    context.response = HttpResponse('POST')
    context.response.feed(_STREAM_HEAD)
    assert context.response.is_head_complete


@when('{count:d} event arrives')
def feed_event(context: Any, count: int) -> None:
    """Feed complete events."""
    context.response.feed(b'data: a\n\n' * count)


@when('{count:d} events and half of one arrive')
def feed_events(context: Any, count: int) -> None:
    """Feed complete events and the start of another."""
    context.response.feed(b'data: b\n\n' * count)
    context.response.feed(b'data: c')


@then('the next frame holds {count:d} event')
@then('the next frame holds {count:d} events')
def check_frame(context: Any, count: int) -> None:
    """Count the events of one frame."""
    frame = context.response.take_events(_FRAME_BYTES)
    assert frame.endswith(_EVENT_END), frame
    assert frame.count(_EVENT_END) == count, frame


@then('no complete event is left')
def check_empty(context: Any) -> None:
    """Check that a partial event is not returned."""
    assert context.response.take_events(_FRAME_BYTES) == b''


@when('{count:d} events of 100 bytes arrive for frames of {limit:d} bytes')
def feed_many(context: Any, count: int, limit: int) -> None:
    """Complete the partial event and feed many more."""
    context.response.feed(_EVENT_END)
    assert context.response.take_event() == b'data: c\n\n'
    events = [
        f'data: {number:03}'.encode().ljust(98, b'x') + _EVENT_END
        for number in range(count)
    ]
    context.response.feed(b''.join(events))
    context.frames = []
    while frame := context.response.take_events(limit):
        context.frames.append(frame)


@then(
    'no frame is longer than {limit:d} bytes and all {count:d} events come in order'
)
def check_frames(context: Any, limit: int, count: int) -> None:
    """Check the size limit and the order."""
    assert max(map(len, context.frames)) <= limit
    assert len(context.frames) < count
    found = re.findall(rb'data: (\d+)x', b''.join(context.frames))
    assert [int(number) for number in found] == list(range(count)), found


@given(
    'an answer of {chunks:d} chunks of {length:d} bytes and a window of {window:d} bytes'
)
def plan_answer(context: Any, chunks: int, length: int, window: int) -> None:
    """Record the size of the response and of the window."""
    context.chunk_count = chunks
    context.payload = bytes(length)
    context.window = window


@when('the caller takes the chunks that the window admits')
def take_chunks(context: Any) -> None:
    """Send while credit is left, as an agent does, and return credits."""
    meter = CreditMeter(context.window)
    credit = context.window
    context.sent_count = 0
    context.return_count = 0
    while credit > 0 and context.sent_count < context.chunk_count:
        in_flight = 0
        while credit > 0 and context.sent_count < context.chunk_count:
            credit -= charge_bytes(context.payload)
            context.sent_count += 1
            in_flight += 1
        returned = [meter.take(context.payload) for _ in range(in_flight)]
        credit += sum(returned)
        context.return_count += sum(amount > 0 for amount in returned)


@then(
    'the whole answer was sent and at most {most:d} messages returned credits'
)
def check_credits(context: Any, most: int) -> None:
    """Check that the stream did not stall and credits were batched."""
    assert context.sent_count == context.chunk_count, context.sent_count
    assert context.return_count <= most, context.return_count


@given('{count:d} chunks of {length:d} bytes and one of {body:d} bytes wait')
def plan_messages(context: Any, count: int, length: int, body: int) -> None:
    """Build the messages, with the long one in the middle."""
    context.messages = [
        Chunk(attempt_id='a', sequence_number=number, payload=bytes(length))
        for number in range(count)
    ]
    long_message = Chunk(
        attempt_id='long',
        sequence_number=0,
        payload=bytes(body),
    )
    context.messages.insert(count // 2, long_message)


@when('they are batched')
def batch_messages(context: Any) -> None:
    """Build the batches."""
    context.batches = build_batches(context.messages)


@then('every message is unpacked once and in order')
def check_order(context: Any) -> None:
    """Split and decode every batch."""
    found = [
        decode_message(frames, 'peer')
        for batch in context.batches
        for frames in split_frames(batch.frames, 'peer')
    ]
    assert found == context.messages


@then('no batch exceeds {limit:d} bytes by more than one message')
def check_bound(context: Any, limit: int) -> None:
    """Check each batch without its last message."""
    for batch in context.batches:
        last = sum(map(len, batch.frames[-2:]))
        assert batch.length_bytes - last < limit


@then('there are at most {count:d} batches')
def check_batches(context: Any, count: int) -> None:
    """Count the batches."""
    assert len(context.batches) <= count, len(context.batches)


@then('a batch with a frame missing is malformed')
def check_missing(context: Any) -> None:
    """Omit the last frame of a batch."""
    frames = context.batches[0].frames[:-1]
    try:
        list(split_frames(frames, 'peer'))
    except MalformedMessageError:
        return
    raise AssertionError('incomplete batch was accepted')


@given('a heartbeat and a hint with the longest counts of the target size')
def build_control(context: Any) -> None:
    """Build both with the versions of a year and a full target."""
    version = ConfigurationVersion(
        inventory_version=5_000_000,
        rules_version=5_000_000,
    )
    incarnation = f'engine-09999.{"f" * 16}'
    heartbeat = Heartbeat(
        sender_incarnation=incarnation,
        configuration=version,
    )
    hint = Hint(
        agent_incarnation=incarnation,
        phase=TargetPhase.draining,
        running_count=256,
        queued_count=128,
        queued_tokens=128_000_000,
        free_tokens=1_000_000,
        limit_tokens=1_000_000,
        configuration=version,
    )
    context.control_bytes = sum(
        sum(map(len, encode_message(message))) for message in (heartbeat, hint)
    )


@when('{count:d} entries exchange them every {interval:d} ms')
def exchange_control(context: Any, count: int, interval: int) -> None:
    """Calculate the bytes per second."""
    context.control_rate = context.control_bytes * count * 1000 / interval


@then('they take at most {limit:d} bytes a second')
def check_control(context: Any, limit: int) -> None:
    """Compare with the budget."""
    assert context.control_rate <= limit, context.control_rate
