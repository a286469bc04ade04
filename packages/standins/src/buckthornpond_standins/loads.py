"""Load generator that records when each token arrives."""

import json
import time
from datetime import timedelta
from typing import Any

import gevent
import msgspec

from buckthornpond_core.exceptions import TargetError
from buckthornpond_runtime.calls import HttpCall

_CALL_TIMEOUT = timedelta(seconds=60)
_MS_PER_SECOND = 1000
_DONE_EVENT = b'data: [DONE]'


class LoadShape(msgspec.Struct):
    """Load that one load process sends.

    :param addresses: entries or engines, assigned to callers in turn.
    :param credential: the organisation's credential.
    :param caller_count: concurrent callers, each with one request in flight.
    :param request_count: sequential requests of each caller.
    :param prompt_tokens: length of each prompt.
    :param output_tokens: tokens requested from each stream.
    """

    addresses: list[str]
    credential: str
    caller_count: int
    request_count: int
    prompt_tokens: int = 50
    output_tokens: int = 50


class LoadResult(msgspec.Struct):
    """Latencies and outcomes that the callers of one load process measured."""

    first_ms: list[float] = msgspec.field(default_factory=list)
    gap_ms: list[float] = msgspec.field(default_factory=list)
    complete_count: int = 0
    failed_count: int = 0
    wall_seconds: float = 0
    processor_seconds: float = 0


def merge_result(result: LoadResult, other: LoadResult) -> None:
    """Add the result of another process or round.

    :param result: the result to update.
    :param other: the result to add.
    """
    result.first_ms.extend(other.first_ms)
    result.gap_ms.extend(other.gap_ms)
    result.complete_count += other.complete_count
    result.failed_count += other.failed_count
    result.wall_seconds = max(result.wall_seconds, other.wall_seconds)
    result.processor_seconds += other.processor_seconds


def run_load(shape: LoadShape) -> LoadResult:
    """Send the load and return the measurements of the callers.

    :param shape: load to send.
    """
    result = LoadResult()
    started_at = time.monotonic()
    processor_started_at = time.process_time()
    body = _render_body(shape)
    gevent.joinall(
        [
            gevent.spawn(_run_caller, shape, number, body, result)
            for number in range(shape.caller_count)
        ],
    )
    result.wall_seconds = time.monotonic() - started_at
    result.processor_seconds = time.process_time() - processor_started_at
    return result


def _render_body(shape: LoadShape) -> bytes:
    document: dict[str, Any] = {
        'model': 'model-a',
        'prompt': 'abc ' * shape.prompt_tokens,
        'max_tokens': shape.output_tokens,
        'stream': True,
    }
    return json.dumps(document).encode()


def _run_caller(
    shape: LoadShape,
    number: int,
    body: bytes,
    result: LoadResult,
) -> None:
    address = shape.addresses[number % len(shape.addresses)]
    headers = {
        'authorization': f'Bearer {shape.credential}',
        'content-type': 'application/json',
    }
    for _ in range(shape.request_count):
        call = HttpCall(address, _CALL_TIMEOUT)
        try:
            _run_request(call, body, headers, result)
        except TargetError:
            result.failed_count += 1
        finally:
            call.close()


def _run_request(
    call: HttpCall,
    body: bytes,
    headers: dict[str, str],
    result: LoadResult,
) -> None:
    started_at = time.monotonic()
    call.send('POST', '/v1/completions', body, headers)
    previous_at = 0.0
    event = call.read_event()
    while event and not event.startswith(_DONE_EVENT):
        received_at = time.monotonic()
        if previous_at:
            result.gap_ms.append((received_at - previous_at) * _MS_PER_SECOND)
        else:
            result.first_ms.append((received_at - started_at) * _MS_PER_SECOND)
        previous_at = received_at
        event = call.read_event()
    if event:
        result.complete_count += 1
    else:
        result.failed_count += 1
