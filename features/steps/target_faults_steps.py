"""Steps on faulty targets and malformed messages between processes."""

import random
from datetime import timedelta
from typing import Any

from behave import given, then, when
from gevent import joinall, sleep, socket, spawn
from zmq import green as zmq

from buckthornpond_agent.calls import CallTask
from buckthornpond_core._generated.messages import (
    Attempt,
    Chunk,
)
from buckthornpond_runtime.calls import HttpCall
from buckthornpond_runtime.codecs import encode_message
from buckthornpond_standins.callers import call_service
from buckthornpond_standins.fleets import (
    CREDENTIAL,
    Fleet,
    wait_listening,
)
from buckthornpond_standins.scrapes import wait_exported
from features.specs.attempts import make_attempt

_TIME_LIMIT_MS = 1500


@given(
    'a fleet whose plain service violates the protocol, with responses of at most {max_response_bytes:d} bytes',
)
def start_faulty_fleet(context: Any, max_response_bytes: int) -> None:
    """Replace the target of the plain service by a faulty one."""
    context.fleet = Fleet(
        engine_count=0,
        entry_count=1,
        entry_settings={'max_response_bytes': max_response_bytes},
    )
    context.fleet.inventory['services'] = context.fleet.inventory['services'][
        1:
    ]
    context.fleet.__enter__()
    plain = context.fleet.plains[0]
    plain.target.kill()
    plain.target = context.fleet.make_process(
        'faulty',
        ['buckthornpond_standins', 'faulty', plain.target_address],
    )
    plain.target.start()
    wait_listening(plain.target_address)


def _call_faulty_target(address: str, name: str) -> tuple[int, bytes]:
    path = f'/v1/services/lots/{name.replace(" ", "%20")}'
    headers = {
        'authorization': f'Bearer {CREDENTIAL}',
        'x-request-timeout-ms': str(_TIME_LIMIT_MS),
    }
    call = HttpCall(address, timedelta(seconds=20))
    try:
        call.send('POST', path, b'', headers)
        return call.response.status_code, call.read_block(1 << 20)
    finally:
        call.close()


@then('each response leads to the expected status, code and outcome')
def check_broken_answers(context: Any) -> None:
    """Request every response of the table."""
    address = context.fleet.entry_addresses[0]
    greenlets = {
        row['answer']: spawn(_call_faulty_target, address, row['answer'])
        for row in context.table
    }
    joinall(list(greenlets.values()))
    mismatches = []
    for row in context.table:
        status, content = greenlets[row['answer']].value
        expected_fields = (
            f'"code":"{row["code"]}"',
            f'"outcome":"{row["outcome"]}"',
        )
        matches = str(status) == row['status']
        if row['code']:
            matches &= all(part.encode() in content for part in expected_fields)
        if not matches:
            mismatches.append(f'{row["answer"]}: {status} {content[:300]!r}')
    assert not mismatches, '\n'.join(mismatches)


@then('the agent holds no attempt and the entry holds no body bytes')
def check_all_empty(context: Any) -> None:
    """Read the gauges of both processes."""
    fleet = context.fleet
    wait_exported(fleet.instances[0].administration_address, 'held_attempts 0')
    wait_exported(fleet.entry_administration_addresses[0], 'held_body_bytes 0')


def _build_invalid_attempt(remaining_ms: int) -> Attempt:
    return make_attempt(
        'a',
        method='P\u20ac',
        path='/\u20ac\r\n',
        remaining_ms=remaining_ms,
    )


@when(
    "raw bytes, malformed frames, unexpected kinds, extreme numbers and huge messages reach an agent's port",
)
def send_garbage(context: Any) -> None:
    """Send messages that no entry sends."""
    context.port = context.fleet.plains[0].agent_address
    host, port = context.port.rsplit(':', 1)
    for raw in (
        b'GET / HTTP/1.1\r\n\r\n',
        b'\x00' * 4096,
        random.Random(7).randbytes(64),
    ):
        connection = socket.create_connection((host, int(port)), 5)
        connection.sendall(raw)
        connection.close()
    _send_malformed_messages(context.port)


def _send_malformed_messages(address: str) -> None:
    zmq_context = zmq.Context()
    dealer = zmq_context.socket(zmq.DEALER)
    dealer.setsockopt(zmq.LINGER, 1000)
    dealer.connect(f'tcp://{address}')
    for frames in _build_malformed_messages():
        dealer.send_multipart(frames)
    huge = zmq_context.socket(zmq.DEALER)
    huge.setsockopt(zmq.LINGER, 0)
    huge.connect(f'tcp://{address}')
    huge.send(b'x' * 80_000_000)
    sleep(0.5)
    for each in (dealer, huge):
        each.close()
    zmq_context.term()


def _build_malformed_messages() -> list[list[bytes]]:
    unexpected_message = Chunk(attempt_id='a', sequence_number=0, payload=b'x')
    return [
        [b''],
        [b'a', b'b', b'c'],
        [b'Attempt', b'\xc1'],
        [b'Attempt', encode_message(unexpected_message)[1]],
        [b'Nothing', b''],
        encode_message(unexpected_message),
        encode_message(_build_invalid_attempt(2**63)),
        encode_message(_build_invalid_attempt(1000)),
    ]


@then(
    'the agent keeps running and has counted malformed and unexpected messages'
)
def check_counted(context: Any) -> None:
    """Read the agent's counters."""
    plain = context.fleet.plains[0]
    for reason in (
        'malformed_messages_total{reason="entry"} 6',
        'unexpected_messages_total{reason="Chunk"} 1',
        'refusals_total{reason="stale_incarnation"} 1',
    ):
        wait_exported(plain.administration_address, reason)
    assert plain.agent.is_running


@then('a booking through that agent succeeds')
def check_booking(context: Any) -> None:
    """Book one lot."""
    result = call_service(
        context.fleet.entry_addresses[0],
        CREDENTIAL,
        kind='lot',
        path='/v1/services/lots/accept',
        body=b'lot',
    )
    assert result.outcome == 'complete', (result.code, result.outcome)


@when('a call to a target is cancelled before its greenlet first runs')
def cancel_at_once(context: Any) -> None:
    """Start and cancel a call without a switch of greenlets."""
    context.reports = []
    call = CallTask(
        _build_invalid_attempt(1000),
        '127.0.0.1:9',
        timedelta(seconds=1),
        1024,
        context.reports.append,
    )
    call.start()
    call.cancel()


@then('its task reports the end of the call with nothing sent')
def check_end_reported(context: Any) -> None:
    """Let the greenlets run and read the report."""
    for _turn in range(10):
        sleep(0)
    call_ends = [(each.error, each.is_sent) for each in context.reports]
    assert call_ends == [('cancelled', False)], call_ends
