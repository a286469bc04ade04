"""Steps that drive complete fleets of separate processes."""

import json
import signal
from collections import Counter
from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_runtime.calls import HttpCall
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
    """Start callers that use the entries in turn."""
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


@when('a caller disconnects in the middle of a stream')
def disconnect_caller(context: Any) -> None:
    """Read a few events of a long response and close the connection."""
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
def check_all_complete(context: Any) -> None:
    """Check that no result is incomplete."""
    incomplete = find_incomplete(context.greenlets)
    assert not incomplete, incomplete


@then('no caller has a truncated response without an error')
def check_not_truncated(context: Any) -> None:
    """Check that no stream ended without its last event or an error."""
    gevent.joinall(context.greenlets)
    outcomes = [greenlet.value.outcome for greenlet in context.greenlets]
    assert 'truncated' not in outcomes, outcomes


@then('every caller has a response or a refusal')
def check_none_lost(context: Any) -> None:
    """Check that no caller was left without a response."""
    outcomes = [greenlet.value.outcome for greenlet in context.greenlets]
    assert 'lost' not in outcomes, outcomes


@then('every lot was booked exactly once')
def check_bookings(context: Any) -> None:
    """Compare the executions of all plain services with the bookings."""
    executions: Counter[str] = Counter()
    for instance in context.fleet.plains:
        address = instance.target_address
        executions.update(call_json(address, 'GET', '/executions'))
    wanted = {f'lot-{number}': 1 for number in range(context.lot_count)}
    assert executions == wanted, executions


@then('the engine holds no tokens')
def check_engine_tokens(context: Any) -> None:
    """Wait until the engine reports no held tokens."""
    address = context.fleet.engines[0].target_address
    wait_until(lambda: call_json(address, 'GET', '/load')['held_tokens'] == 0)


@then('the agent holds no reservations')
def check_agent_reservations(context: Any) -> None:
    """Wait until the agent exports no reserved tokens."""
    address = context.fleet.engines[0].administration_address
    wait_exported(address, 'reserved_tokens 0')
