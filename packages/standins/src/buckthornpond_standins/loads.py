"""Load from callers that note when each token arrives."""

import json
import time
from datetime import timedelta
from typing import Any

import gevent
import msgspec

from buckthornpond_core.exceptions import TargetError
from buckthornpond_runtime.connections import HttpCall

_CALL_TIMEOUT = timedelta(seconds=60)
_MS = 1000
_DONE = b'data: [DONE]'


class LoadShape(msgspec.Struct):
    """What a load process sends.

    :param addresses: entries or engines, used in turn.
    :param credential: the organisation's credential.
    :param caller_count: requests in flight.
    :param request_count: requests of each caller, one after the other.
    :param prompt_tokens: length of each prompt.
    :param output_tokens: tokens asked for.
    """

    addresses: list[str]
    credential: str
    caller_count: int
    request_count: int
    prompt_tokens: int = 50
    output_tokens: int = 50


class LoadResult(msgspec.Struct):
    """What the callers of one load process saw."""

    first_ms: list[float] = msgspec.field(default_factory=list)
    gap_ms: list[float] = msgspec.field(default_factory=list)
    complete_count: int = 0
    failed_count: int = 0
    wall_seconds: float = 0
    processor_seconds: float = 0


def merge_result(found: LoadResult, other: LoadResult) -> None:
    """Add the result of another process or round.

    :param found: the result that grows.
    :param other: the result to add.
    """
    found.first_ms.extend(other.first_ms)
    found.gap_ms.extend(other.gap_ms)
    found.complete_count += other.complete_count
    found.failed_count += other.failed_count
    found.wall_seconds = max(found.wall_seconds, other.wall_seconds)
    found.processor_seconds += other.processor_seconds


def run_load(shape: LoadShape) -> LoadResult:
    """Send the load and return what the callers saw.

    :param shape: what to send.
    """
    found = LoadResult()
    begun = time.monotonic()
    begun_processor = time.process_time()
    body = _render_body(shape)
    gevent.joinall(
        [
            gevent.spawn(_run_caller, shape, number, body, found)
            for number in range(shape.caller_count)
        ],
    )
    found.wall_seconds = time.monotonic() - begun
    found.processor_seconds = time.process_time() - begun_processor
    return found


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
    found: LoadResult,
) -> None:
    address = shape.addresses[number % len(shape.addresses)]
    headers = {
        'authorization': f'Bearer {shape.credential}',
        'content-type': 'application/json',
    }
    for _ in range(shape.request_count):
        call = HttpCall(address, _CALL_TIMEOUT)
        try:
            _run_request(call, body, headers, found)
        except TargetError:
            found.failed_count += 1
        finally:
            call.close()


def _run_request(
    call: HttpCall,
    body: bytes,
    headers: dict[str, str],
    found: LoadResult,
) -> None:
    begun = time.monotonic()
    call.send('POST', '/v1/completions', body, headers)
    previous = 0.0
    event = call.read_event()
    while event and not event.startswith(_DONE):
        now = time.monotonic()
        if previous:
            found.gap_ms.append((now - previous) * _MS)
        else:
            found.first_ms.append((now - begun) * _MS)
        previous = now
        event = call.read_event()
    if event:
        found.complete_count += 1
    else:
        found.failed_count += 1
