"""Callers that send one request and check the complete response."""

import json
import time
from datetime import timedelta

from buckthornpond_core.exceptions import TargetError
from buckthornpond_runtime.calls import HttpCall

_CHARACTERS_PER_TOKEN = 4
_CALL_TIMEOUT = timedelta(seconds=120)


class CallerResult:
    """Outcome and times of one request of a caller.

    :param kind: label of the request.
    """

    __slots__ = (
        'code',
        'first_token_seconds',
        'kind',
        'outcome',
        'status_code',
        'text',
        'total_seconds',
        'word_count',
    )

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.outcome = 'lost'
        self.code = ''
        self.status_code = 0
        self.first_token_seconds = 0.0
        self.total_seconds = 0.0
        self.word_count = 0
        self.text = ''


def call_completion(
    address: str,
    credential: str,
    *,
    kind: str,
    prompt_tokens: int,
    output_tokens: int,
    time_limit_ms: int = 60_000,
    model: str = 'model-a',
) -> CallerResult:
    """Stream one completion and check that it is complete.

    :param address: IP address and port of an entry or an engine.
    :param credential: the organisation's credential.
    :param kind: label for the result.
    :param prompt_tokens: length of the prompt in tokens.
    :param output_tokens: requested number of tokens.
    :param time_limit_ms: time limit of the request.
    :param model: name of the model.
    """
    result = CallerResult(kind)
    body = json.dumps(
        {
            'model': model,
            'prompt': 'abc ' * (prompt_tokens * _CHARACTERS_PER_TOKEN // 4),
            'max_tokens': output_tokens,
            'stream': True,
        },
    ).encode()
    headers = {
        'authorization': f'Bearer {credential}',
        'content-type': 'application/json',
        'x-request-timeout-ms': str(time_limit_ms),
    }
    started_seconds = time.monotonic()
    call = HttpCall(address, _CALL_TIMEOUT)
    try:
        call.send('POST', '/v1/completions', body, headers)
        result.status_code = call.response.status_code
        if result.status_code == 200:
            _read_stream(call, result, output_tokens, started_seconds)
        else:
            _read_problem(call, result)
    except TargetError as error:
        result.outcome = 'lost'
        result.code = error.step
    finally:
        call.close()
    result.total_seconds = time.monotonic() - started_seconds
    return result


def call_service(
    address: str,
    credential: str,
    *,
    kind: str,
    path: str,
    body: bytes,
    key: str = '',
    time_limit_ms: int = 10_000,
) -> CallerResult:
    """Send one call to a plain service.

    :param address: IP address and port of an entry.
    :param credential: the organisation's credential.
    :param kind: label for the result.
    :param path: path that contains the name of the service.
    :param body: request body.
    :param key: idempotency key, if any.
    :param time_limit_ms: time limit of the request.
    """
    result = CallerResult(kind)
    headers = {
        'authorization': f'Bearer {credential}',
        'x-request-timeout-ms': str(time_limit_ms),
    }
    if key:
        headers['idempotency-key'] = key
    started_seconds = time.monotonic()
    call = HttpCall(address, _CALL_TIMEOUT)
    try:
        call.send('POST', path, body, headers)
        result.status_code = call.response.status_code
        result.first_token_seconds = time.monotonic() - started_seconds
        if result.status_code == 200:
            result.text = call.read_block(1 << 30).decode()
            result.outcome = 'complete'
        else:
            _read_problem(call, result)
    except TargetError as error:
        result.code = error.step
    finally:
        call.close()
    result.total_seconds = time.monotonic() - started_seconds
    return result


def _read_stream(
    call: HttpCall,
    result: CallerResult,
    output_tokens: int,
    started_seconds: float,
) -> None:
    result.outcome = 'truncated'
    while True:
        event = call.read_event()
        if not event:
            return
        if not result.word_count:
            result.first_token_seconds = time.monotonic() - started_seconds
        if event.startswith(b'event: error'):
            problem = json.loads(event.split(b'data: ', 1)[1])
            result.outcome = 'failed'
            result.code = problem['code']
            return
        if event.startswith(b'data: [DONE]'):
            if result.word_count == output_tokens:
                result.outcome = 'complete'
            return
        word = json.loads(event[len(b'data: ') :])['choices'][0]['text']
        if word == f'w{result.word_count} ':
            result.word_count += 1


def _read_problem(call: HttpCall, result: CallerResult) -> None:
    problem = json.loads(call.read_block(1 << 20))
    result.outcome = problem['outcome']
    result.code = problem['code']
