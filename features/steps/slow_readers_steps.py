"""Steps with callers that read nothing."""

from typing import Any

from behave import given, then, when

from buckthornpond_standins.callers import call_completion
from buckthornpond_standins.fleets import (
    CREDENTIAL,
    Fleet,
    call_json,
    wait_until,
)
from buckthornpond_standins.idle_readers import start_idle_readers
from buckthornpond_standins.kernel_queues import count_queued_bytes
from buckthornpond_standins.scrapes import scrape

_PADDING_BYTES = 1000
_FRAME_BYTES = 4096
_CHUNK_OVERHEAD_BYTES = 64
_AGENT_READ_BUFFER_BYTES = 65_536
_HELD_GAUGES = (
    'held_requests',
    'held_attempts',
    'held_body_bytes',
    'held_answer_bytes',
    'reserved_tokens',
)


@given(
    'a fleet with stream windows of {window_bytes:d} bytes and a time limit of {time_limit_ms:d} ms'
)
def start_fleet_with_small_buffers(
    context: Any, window_bytes: int, time_limit_ms: int
) -> None:
    """Start an entry, an agent and an engine with small buffers."""
    context.window_bytes = window_bytes
    context.time_limit_ms = time_limit_ms
    context.fleet = Fleet(
        engine_count=1,
        plain_count=0,
        entry_count=1,
        engine_arguments=[
            f'--padding-bytes={_PADDING_BYTES}',
            '--time-scale=0.1',
        ],
        entry_settings={
            'stream_window_bytes': window_bytes,
            'send_buffer_bytes': 4096,
        },
        agent_settings={'max_frame_bytes': _FRAME_BYTES},
    )
    context.fleet.__enter__()


@when('{count:d} callers ask for a stream of {size:d} bytes and read nothing')
def start_unread_streams(context: Any, count: int, size: int) -> None:
    """Start callers and wait until their windows are nearly full."""
    fleet = context.fleet
    context.reader_count = count
    context.readers = start_idle_readers(
        fleet.entry_addresses[0],
        count,
        output_tokens=size // _PADDING_BYTES,
        time_limit_ms=context.time_limit_ms,
    )
    # The charged bytes approach the limit from below.
    wait_until(
        lambda: (
            _scrape_entry(context)['held_answer_bytes']
            >= count * context.window_bytes * 3 // 4
        ),
    )


@then('each process holds no more than {count:d} windows and frames')
def check_held_bytes(context: Any, count: int) -> None:
    """Compare the gauges of the entry and the agent with their limits."""
    frame_bytes = _FRAME_BYTES + _CHUNK_OVERHEAD_BYTES
    limit_bytes = count * (context.window_bytes + frame_bytes)
    entry = _scrape_entry(context)
    assert entry['held_requests'] == count, entry
    assert entry['held_answer_bytes'] <= limit_bytes, entry
    agent = _scrape_agent(context)
    read_bytes = count * (_AGENT_READ_BUFFER_BYTES + _FRAME_BYTES)
    assert agent['held_answer_bytes'] <= read_bytes, agent


@then('a caller that reads gets a complete response meanwhile')
def check_reading_caller(context: Any) -> None:
    """Request a short stream while the others are blocked."""
    response = call_completion(
        context.fleet.entry_addresses[0],
        CREDENTIAL,
        kind='normal',
        prompt_tokens=10,
        output_tokens=20,
    )
    assert response.outcome == 'complete', (response.outcome, response.code)


@then('after the deadline no process and no kernel buffer holds data for them')
def check_all_released(context: Any) -> None:
    """Wait until gauges, engine and socket buffers are empty."""
    fleet = context.fleet
    engine_address = fleet.engines[0].target_address

    def is_released() -> bool:
        exported = {**_scrape_entry(context), **_scrape_agent(context)}
        held = [exported[name] for name in _HELD_GAUGES]
        held.append(_scrape_entry(context)['held_body_bytes'])
        held.append(_scrape_entry(context)['held_answer_bytes'])
        load = call_json(engine_address, 'GET', '/load')
        held.append(load['running_count'])
        held.append(count_queued_bytes(fleet.entry_addresses[0]).sent)
        return not any(held)

    wait_until(is_released)


@then('no idle reader received a stream that looks complete')
def check_streams_cut_off(context: Any) -> None:
    """Read the rest of each response and check that it is cut off."""
    for reader in context.readers:
        received = reader.read_rest()
        assert received.startswith(b'HTTP/1.1 200'), received[:100]
        assert b'[DONE]' not in received
        assert not received.endswith(b'\r\n0\r\n\r\n')
        reader.close()


def _scrape_entry(context: Any) -> dict[str, float]:
    return scrape(context.fleet.entry_administration_addresses[0])


def _scrape_agent(context: Any) -> dict[str, float]:
    return scrape(context.fleet.engines[0].administration_address)
