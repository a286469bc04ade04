"""Steps that drive whole fleets of separate processes."""

import json
import signal
from collections import Counter
from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_runtime.connections import HttpCall
from buckthornpond_standins.caller_groups import (
    find_incomplete,
    start_bookings,
    start_completions,
)
from buckthornpond_standins.fleets import (
    CREDENTIAL,
    Fleet,
    call_json,
    wait_until,
)
from buckthornpond_standins.scrapes import wait_exported


@given(
    'a fleet with {engines:d} engines, {plains:d} plain service and {entries:d} entries'
)
def start_fleet(context: Any, engines: int, plains: int, entries: int) -> None:
    """Start every process and wait until the entries are ready."""
    context.fleet = Fleet(
        engine_count=engines,
        plain_count=plains,
        entry_count=entries,
        engine_arguments=['--time-scale', '0.2'],
    )
    context.fleet.__enter__()
    context.greenlets = []


@when(
    '{count:d} callers stream completions of {tokens:d} tokens through every entry'
)
def stream_completions(context: Any, count: int, tokens: int) -> None:
    """Start callers on the entries in turn."""
    context.greenlets += start_completions(
        context.fleet.entry_addresses,
        count,
        kind='short',
        prompt_tokens=tokens,
        output_tokens=20,
    )


@when('{count:d} callers book lots through every entry')
def book_lots(context: Any, count: int) -> None:
    """Book each lot once, after the retry window of the agents' start."""
    context.greenlets += start_bookings(
        context.fleet.entry_addresses,
        count,
        delay_seconds=1.5,
    )
    context.lot_count = count


@when(
    '{count:d} callers stream completions of {tokens:d} tokens and an agent is killed'
)
def stream_and_kill(context: Any, count: int, tokens: int) -> None:
    """Kill one agent while the prompts are in prefill."""
    stream_completions(context, count, tokens)
    gevent.sleep(0.3)
    context.fleet.engines[0].agent.signal(signal.SIGKILL)


@when('a caller hangs up in the middle of a stream')
def hang_up(context: Any) -> None:
    """Read a few events of a long answer and close the connection."""
    body = json.dumps(
        {
            'model': 'model-a',
            'prompt': 'x' * 4000,
            'max_tokens': 5000,
            'stream': True,
        },
    )
    call = HttpCall(context.fleet.entry_addresses[0], timedelta(seconds=20))
    call.send(
        'POST',
        '/v1/completions',
        body.encode(),
        {'authorization': f'Bearer {CREDENTIAL}'},
    )
    for _event in range(5):
        assert call.read_event()
    call.close()


@then('every caller has a whole answer')
def check_whole(context: Any) -> None:
    """Check every result."""
    incomplete = find_incomplete(context.greenlets)
    assert not incomplete, incomplete


@then('no caller has a truncated answer taken for a whole one')
def check_not_truncated(context: Any) -> None:
    """Check that no stream ended without its last event or an error."""
    gevent.joinall(context.greenlets)
    outcomes = [greenlet.value.outcome for greenlet in context.greenlets]
    assert 'truncated' not in outcomes, outcomes


@then('every caller has an answer or an honest refusal')
def check_answered(context: Any) -> None:
    """Check that no caller was left without an answer."""
    outcomes = [greenlet.value.outcome for greenlet in context.greenlets]
    assert 'lost' not in outcomes, outcomes


@then('every lot was booked exactly once')
def check_lots(context: Any) -> None:
    """Ask every plain service what it ran."""
    executions: Counter[str] = Counter()
    for instance in context.fleet.plains:
        address = instance.target_address
        executions.update(call_json(address, 'GET', '/executions'))
    wanted = {f'lot-{number}': 1 for number in range(context.lot_count)}
    assert executions == wanted, executions


@then('the engine holds no token')
def check_engine_free(context: Any) -> None:
    """Ask the engine what it holds."""
    address = context.fleet.engines[0].target_address
    wait_until(lambda: call_json(address, 'GET', '/load')['held_tokens'] == 0)


@then('the agent holds no reservation')
def check_agent_free(context: Any) -> None:
    """Ask the agent what it has reserved."""
    address = context.fleet.engines[0].administration_address
    wait_exported(address, 'reserved_tokens 0')
