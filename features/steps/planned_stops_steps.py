"""Steps that stop processes with signals."""

import json
import signal
from datetime import timedelta
from functools import partial
from typing import Any

from behave import given, then, when
from gevent import joinall, sleep, spawn

from buckthornpond_core.exceptions import TargetError
from buckthornpond_runtime.calls import HttpCall
from buckthornpond_standins.caller_groups import (
    find_incomplete,
    start_completions,
)
from buckthornpond_standins.callers import call_completion
from buckthornpond_standins.fleets import (
    CREDENTIAL,
    Fleet,
    call_json,
    call_text,
    wait_until,
)
from buckthornpond_standins.scrapes import is_exported, scrape, wait_exported

_EXIT_TIMEOUT_SECONDS = 30


@given('a fleet for stops with {engines:d} engines and {entries:d} entries')
def start_fleet(context: Any, engines: int, entries: int) -> None:
    """Start a fleet whose entries have a short notice period."""
    context.fleet = Fleet(
        engine_count=engines,
        entry_count=entries,
        engine_arguments=['--time-scale', '0.5'],
        entry_settings={'notice_period_ms': 1000},
    )
    context.fleet.__enter__()
    context.callers = []


@given('the engine runs one request at a time')
def limit_concurrency(context: Any) -> None:
    """Publish an inventory with a concurrency of one."""
    inventory = context.fleet.inventory
    inventory['instances'][0]['target']['concurrency_count'] = 1
    inventory['version'] += 1
    context.fleet.publish()
    address = context.fleet.engines[0].administration_address
    line = 'accepted_documents_total{reason="inventory"} 2'
    wait_exported(address, line)


@when('{count:d} callers stream responses through every entry')
def stream_answers(context: Any, count: int) -> None:
    """Start callers that use the entries in turn."""
    context.callers = start_completions(
        context.fleet.entry_addresses,
        count,
        kind='caller',
        prompt_tokens=1000,
        output_tokens=100,
    )


@when(
    '{count:d} callers request unstreamed responses within {limit:d} ms, the first one running',
)
def start_whole_calls(context: Any, count: int, limit: int) -> None:
    """Start each caller once the agent holds the attempt before it."""
    engine = context.fleet.engines[0].target_address
    agent = context.fleet.engines[0].administration_address
    for number in range(count):
        context.callers.append(spawn(_call_unstreamed, context, limit))
        gauge_line = f'held_attempts {number + 1}'
        wait_until(partial(is_exported, agent, gauge_line))
    wait_until(
        lambda: call_json(engine, 'GET', '/load')['running_count'] == 1,
    )


def _call_unstreamed(context: Any, limit_ms: int) -> dict[str, Any]:
    body = {'model': 'model-a', 'prompt': 'x' * 400, 'max_tokens': 100_000}
    headers = {
        'authorization': f'Bearer {CREDENTIAL}',
        'x-request-timeout-ms': str(limit_ms),
    }
    call = HttpCall(context.fleet.entry_addresses[0], timedelta(seconds=90))
    try:
        call.send('POST', '/v1/completions', json.dumps(body).encode(), headers)
        return json.loads(call.read_block(1 << 20))
    except TargetError as error:
        return {'code': error.step, 'outcome': 'lost'}
    finally:
        call.close()


@when('the agent of the first engine gets {names} while it streams')
def stop_agent(context: Any, names: str) -> None:
    """Signal the agent once its engine runs a request."""
    engine = context.fleet.engines[0]
    wait_until(
        lambda: call_json(engine.target_address, 'GET', '/load')[
            'running_count'
        ],
    )
    context.stopped = engine.agent
    _send_signals(context.stopped, names)


@when('the first entry gets {names} while it streams')
def stop_entry(context: Any, names: str) -> None:
    """Signal the entry once it holds requests."""
    address = context.fleet.entry_administration_addresses[0]
    wait_until(lambda: scrape(address)['held_requests'] > 0)
    context.stopped = context.fleet.entries[0]
    _send_signals(context.stopped, names)


def _send_signals(process: Any, names: str) -> None:
    for name in names.split():
        process.signal(signal.Signals[name])
        sleep(0.2)


@then('that process ends with exit code {code:d}')
def check_exit(context: Any, code: int) -> None:
    """Wait for the callers and the exit of the process."""
    joinall(context.callers)
    assert context.stopped.wait(_EXIT_TIMEOUT_SECONDS) == code


@then('no response was truncated')
def check_not_cut(context: Any) -> None:
    """Check that every response is complete."""
    incomplete = find_incomplete(context.callers)
    assert not incomplete, incomplete


@then('its readiness check fails while it still serves a new caller')
def check_notice_period(context: Any) -> None:
    """Query the readiness of the stopping entry and send it a request."""
    address = context.fleet.entry_administration_addresses[0]
    assert call_text(address, 'GET', '/readyz') == 'not ready\n'
    result = call_completion(
        context.fleet.entry_addresses[0],
        CREDENTIAL,
        kind='late',
        prompt_tokens=10,
        output_tokens=1,
    )
    assert result.outcome == 'complete', (result.outcome, result.code)


@then(
    'the running request is refused as outcome_unknown and the queued one as not_run',
)
def check_outcomes(context: Any) -> None:
    """Check the outcomes of both refusals."""
    outcomes = [caller.get()['outcome'] for caller in context.callers]
    assert outcomes == ['outcome_unknown', 'not_run'], [
        caller.value for caller in context.callers
    ]


@then('every request is refused as entry_stopping')
def check_stopping_code(context: Any) -> None:
    """Check the codes of the refusals."""
    codes = [caller.get()['code'] for caller in context.callers]
    assert set(codes) == {'entry_stopping'}, codes


@then('the engine executed {count:d} request')
def check_executed(context: Any, count: int) -> None:
    """Check the engine's count of executed requests."""
    address = context.fleet.engines[0].target_address
    assert call_json(address, 'GET', '/load')['executed_count'] == count
