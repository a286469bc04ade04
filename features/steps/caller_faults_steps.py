"""Steps with malformed and slow requests of callers."""

import json
import re
from collections.abc import Callable, Iterator
from typing import Any

from behave import given, then, when
from gevent import Timeout, joinall, sleep, socket, spawn

from buckthornpond_standins.fleets import (
    CREDENTIAL,
    Fleet,
    call_json,
    call_text,
    wait_until,
)
from buckthornpond_standins.scrapes import wait_exported

_AUTH_LINE = f'Authorization: Bearer {CREDENTIAL}\r\n'
_ACCEPT = 'POST /v1/services/lots/accept HTTP/1.1\r\n'
_COMPLETE = 'POST /v1/completions HTTP/1.1\r\n'
_RESPONSE_TIMEOUT_SECONDS = 20


def _make_post(
    body: bytes,
    request_line: str = _COMPLETE,
    extra_lines: str = '',
) -> list[bytes]:
    lines = (
        f'{request_line}{_AUTH_LINE}{extra_lines}'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return [lines.encode('latin-1') + body]


def _generate_slowly(text: str) -> Iterator[bytes]:
    yield text.encode()
    for _letter in range(100):
        sleep(0.1)
        yield b'y'


_NESTED_BODY = b'{"model":"model-a","prompt":%b1%b}' % (
    b'[' * 9999,
    b']' * 9999,
)
_REQUESTS: dict[str, Callable[[], Any]] = {
    'garbage': lambda: [b'\x00\xff\x01 nonsense\r\n\r\n'],
    'long request line': lambda: [b'GET /%b HTTP/1.1\r\n' % (b'x' * 9000)],
    'long head': lambda: [
        _ACCEPT.encode(),
        b'X-A: b\r\n' * 20,
        b'X: %b' % (b'y' * 70000),
    ],
    'truncated head': lambda: [f'{_ACCEPT}{_AUTH_LINE}'.encode(), b''],
    'slow head': lambda: [_ACCEPT.encode()],
    'dripping head': lambda: _generate_slowly(f'{_ACCEPT}X: '),
    'no credential': lambda: [f'{_COMPLETE}\r\n'.encode()],
    'wrong credential': lambda: [
        f'{_COMPLETE}Authorization: Bearer wrong\r\n\r\n'.encode(),
    ],
    'odd credential': lambda: [
        f'{_COMPLETE}Authorization: Bearer \xff\x01\r\n\r\n'.encode('latin-1'),
    ],
    'unknown path': lambda: [
        f'GET /nowhere HTTP/1.1\r\n{_AUTH_LINE}\r\n'.encode()
    ],
    'wrong method': lambda: [
        f'DELETE /v1/completions HTTP/1.1\r\n{_AUTH_LINE}\r\n'.encode(),
    ],
    'unknown service': lambda: _make_post(
        b'x',
        'POST /v1/services/none/x HTTP/1.1\r\n',
    ),
    'chunked body': lambda: [
        f'{_ACCEPT}{_AUTH_LINE}Transfer-Encoding: chunked\r\n\r\n'
        '5\r\nhello\r\n0\r\n\r\n'.encode(),
    ],
    'negative length': lambda: [
        f'{_ACCEPT}{_AUTH_LINE}Content-Length: -5\r\n\r\nhello'.encode(),
    ],
    'word for length': lambda: [
        f'{_ACCEPT}{_AUTH_LINE}Content-Length: five\r\n\r\nhello'.encode(),
    ],
    'oversized body': lambda: _make_post(b'x' * 70000, _ACCEPT),
    'endless body': lambda: [
        f'{_ACCEPT}{_AUTH_LINE}Content-Length: 99999999999\r\n\r\n'.encode(),
    ],
    'truncated body': lambda: [
        f'{_ACCEPT}{_AUTH_LINE}Content-Length: 10\r\n\r\nhello'.encode(),
        b'',
    ],
    'slow body': lambda: [
        f'{_ACCEPT}{_AUTH_LINE}Content-Length: 10\r\n\r\nhello'.encode(),
    ],
    'deep nesting': lambda: _make_post(_NESTED_BODY),
    'wrong types': lambda: _make_post(b'{"model": 5, "prompt": "x"}'),
    'not an object': lambda: _make_post(b'[1, 2]'),
    'odd time limit': lambda: _make_post(
        b'whole',
        _ACCEPT,
        'X-Request-Timeout-Ms: -1\r\n',
    ),
    'long idempotency key': lambda: _make_post(
        b'whole',
        _ACCEPT,
        f'Idempotency-Key: {"k" * 300}\r\n',
    ),
    'control byte in path': lambda: _make_post(
        b'whole',
        'POST /v1/services/lots/a\x07\x80 HTTP/1.1\r\n',
    ),
    'idle connection': list,
}


def _send_and_receive(address: str, parts: Any) -> bytes:
    """Send parts and return the responses; an empty part ends the sending."""
    host, port = address.rsplit(':', 1)
    connection = socket.create_connection((host, int(port)), 5)
    writer = spawn(_send_parts, connection, parts)
    received = bytearray()
    try:
        with Timeout(_RESPONSE_TIMEOUT_SECONDS, exception=False):
            while block := connection.recv(65536):
                received += block
            return bytes(received)
    except OSError:
        return bytes(received)
    finally:
        writer.kill()
        connection.close()
    return b'open %b' % received


def _send_parts(connection: Any, parts: Any) -> None:
    try:
        for part in parts:
            if part:
                connection.sendall(part)
            else:
                connection.shutdown(1)
    except OSError:
        return


def _read_status(response: bytes) -> str:
    if not response:
        return 'closed'
    return response.split(b' ', 2)[1].decode()


@given(
    'an entry with a head timeout of {timeout_ms:d} ms and bodies of at most {max_bytes:d} bytes',
)
def start_bounded_entry(context: Any, timeout_ms: int, max_bytes: int) -> None:
    """Start a small fleet whose entry has low limits."""
    context.fleet = Fleet(
        engine_count=1,
        entry_count=1,
        entry_settings={
            'header_timeout_ms': timeout_ms,
            'max_body_bytes': max_bytes,
        },
    )
    context.fleet.__enter__()


@then('each faulty request gets the listed response')
def check_faulty_requests(context: Any) -> None:
    """Send every request of the table and compare the statuses."""
    address = context.fleet.entry_addresses[0]
    greenlets = {
        row['request']: spawn(
            _send_and_receive,
            address,
            _REQUESTS[row['request']](),
        )
        for row in context.table
    }
    joinall(list(greenlets.values()))
    wrong = [
        f'{row["request"]}: {greenlets[row["request"]].value[:300]!r}'
        for row in context.table
        if _read_status(greenlets[row['request']].value) != row['answer']
    ]
    assert not wrong, '\n'.join(wrong)


@then('2 pipelined requests get 2 responses in order')
def check_pipelining(context: Any) -> None:
    """Send two requests in one packet."""
    first = _make_post(b'whole', _ACCEPT)[0]
    second = _make_post(
        b'{"model":"none","prompt":"x"}',
        extra_lines='Connection: close\r\n',
    )[0]
    response = _send_and_receive(
        context.fleet.entry_addresses[0], [first + second]
    )
    statuses = re.findall(rb'HTTP/1\.1 (\d+)', response)
    assert statuses == [b'200', b'404'], response


@then('an encoded path reaches the target as it was sent')
def check_encoded_path(context: Any) -> None:
    """Book through a path with encoded spaces and line breaks."""
    request_line = (
        'POST /v1/services/lots/a%20b%0d%0aX:%20y?c=%20d HTTP/1.1\r\n'
    )
    extra_lines = 'Connection: close\r\n'
    response = _send_and_receive(
        context.fleet.entry_addresses[0],
        _make_post(b'whole', request_line, extra_lines),
    )
    assert _read_status(response) == '200', response


@then('the entry holds no requests and no body bytes')
def check_entry_empty(context: Any) -> None:
    """Wait until the gauges of the entry are zero."""
    address = context.fleet.entry_administration_addresses[0]

    for gauge in ('held_requests 0', 'held_body_bytes 0'):
        wait_exported(address, gauge)


@then('the entry counted closed connections for "{first}" and "{second}"')
def check_closed_counters(context: Any, first: str, second: str) -> None:
    """Check that the entry exports both counters."""
    address = context.fleet.entry_administration_addresses[0]
    text = call_text(address, 'GET', '/metrics')
    for reason in (first, second):
        assert f'closed_connections_total{{reason="{reason}"}}' in text, text


@then('no executed request has a body other than "{wanted}"')
def check_executed_bodies(context: Any, wanted: str) -> None:
    """Compare the bodies that the plain service executed."""
    address = context.fleet.plains[0].target_address
    executions = call_json(address, 'GET', '/executions')
    assert set(executions) == {wanted}, executions


@given('a fleet with one busy engine and queued requests')
def start_busy_engine(context: Any) -> None:
    """Fill the engine with one long request and queue five more."""
    context.fleet = Fleet(engine_count=1, entry_count=1)
    engine = context.fleet.inventory['instances'][0]
    engine['target']['concurrency_count'] = 1
    context.fleet.__enter__()
    body = json.dumps(
        {'model': 'model-a', 'prompt': 'x' * 40, 'max_tokens': 40000},
    )
    context.callers = []
    for _number in range(6):
        host, port = context.fleet.entry_addresses[0].rsplit(':', 1)
        caller = socket.create_connection((host, int(port)), 5)
        caller.sendall(_make_post(body.encode())[0])
        context.callers.append(caller)
    _wait_for_gauge(context, 'entry', 'held_requests 6')
    _wait_for_gauge(context, 'agent', 'held_attempts 6')
    address = context.fleet.engines[0].target_address
    wait_until(lambda: call_json(address, 'GET', '/load')['running_count'] == 1)


@when('the callers of the queued requests disconnect')
def disconnect_queued(context: Any) -> None:
    """Close all connections except the first."""
    for caller in context.callers[1:]:
        caller.close()


@then('the {process} holds only the running request')
def check_only_running(context: Any, process: str) -> None:
    """Wait until the gauge of the process shows one request."""
    gauge = 'held_requests 1' if process == 'entry' else 'held_attempts 1'
    _wait_for_gauge(context, process, gauge)


def _wait_for_gauge(context: Any, process: str, gauge: str) -> None:
    fleet = context.fleet
    address = fleet.entry_administration_addresses[0]
    if process == 'agent':
        address = fleet.engines[0].administration_address
    wait_exported(address, gauge)
