"""Steps that inject process and network faults under load."""

import json
import random
import signal
from collections import Counter
from functools import partial
from typing import Any

from behave import given, then, when
from gevent import joinall, sleep, spawn

from buckthornpond_core.exceptions import TargetError
from buckthornpond_standins.callers import (
    CallerResult,
    call_completion,
    call_service,
)
from buckthornpond_standins.fleets import (
    CREDENTIAL,
    Fleet,
    call_json,
    find_free_address,
)
from buckthornpond_standins.relay import Relay
from buckthornpond_standins.scrapes import scrape
from features.specs.counts import report

_TIME_LIMIT_MS = 2500
_START_SPREAD_SECONDS = 2.0
_FAULT_DURATION_SECONDS = 3.0
_OUTPUT_TOKENS = 20
_GAUGES = (
    'held_requests',
    'held_attempts',
    'reserved_tokens',
    'held_body_bytes',
    'held_answer_bytes',
)


@given('a fleet for faults with a relay before each agent')
def start_fleet(context: Any) -> None:
    """Start a fleet that reaches each agent through a relay."""
    fleet = Fleet(engine_count=2, plain_count=2)
    context.fleet = fleet
    context.relays = []
    pairs = zip(fleet.instances, fleet.inventory['instances'], strict=True)
    for instance, entry in pairs:
        entry['agent_address'] = find_free_address()
        relay = Relay(entry['agent_address'], instance.agent_address)
        relay.start()
        context.relays.append(relay)
        context.add_cleanup(relay.stop)
    fleet.__enter__()


def _inject_fault(context: Any, fault: str) -> Any:
    """Inject a fault and return the function that repairs it."""
    fleet = context.fleet
    plain = fleet.plains[0].agent
    engine = fleet.engines[0].target
    relay = context.relays[len(fleet.engines)]
    if fault == 'an agent is killed':
        plain.kill()
        return plain.start
    if fault == 'an engine is killed':
        engine.kill()
        return engine.start
    if fault == 'the platform is killed':
        fleet.platform.kill()
        return fleet.platform.start
    if fault.startswith('a path'):
        (relay.cut if fault.endswith('cut') else relay.stall)()
        return relay.heal
    paused = plain if fault == 'an agent is paused' else engine
    paused.signal(signal.SIGSTOP)
    return partial(paused.signal, signal.SIGCONT)


@when(
    '{bookings:d} bookings and {streams:d} streams run with seed {seed:d} while {faults}',
)
def run_load(
    context: Any,
    bookings: int,
    streams: int,
    seed: int,
    faults: str,
) -> None:
    """Start callers at seeded times, inject and repair faults, and wait."""
    generator = random.Random(seed)
    callers = [
        spawn(
            _book, context, number, generator.uniform(0, _START_SPREAD_SECONDS)
        )
        for number in range(bookings)
    ]
    callers.extend(
        spawn(
            _stream,
            context,
            number,
            generator.uniform(0, _START_SPREAD_SECONDS),
        )
        for number in range(streams)
    )
    sleep(_START_SPREAD_SECONDS / 4)
    repairs = [_inject_fault(context, fault) for fault in faults.split(' and ')]
    sleep(_FAULT_DURATION_SECONDS)
    for repair in repairs:
        repair()
    joinall(callers)
    context.results = [caller.get() for caller in callers]
    outcomes = Counter(
        f'{result.kind.split()[0]} {result.outcome} {result.code}'.strip()
        for result in context.results
    )
    report(f'{faults}, seed {seed}: {dict(sorted(outcomes.items()))}')


def _choose_address(context: Any, number: int) -> str:
    addresses = context.fleet.entry_addresses
    return addresses[number % len(addresses)]


def _book(context: Any, number: int, delay_seconds: float) -> CallerResult:
    sleep(delay_seconds)
    is_keyed = number % 3 == 0
    return call_service(
        _choose_address(context, number),
        CREDENTIAL,
        kind=f'{"keyed" if is_keyed else "plain"} lot-{number}',
        path='/v1/services/lots/book',
        body=f'lot-{number}'.encode(),
        key=f'key-{number}' if is_keyed else '',
        time_limit_ms=_TIME_LIMIT_MS,
    )


def _stream(context: Any, number: int, delay_seconds: float) -> CallerResult:
    sleep(delay_seconds)
    return call_completion(
        _choose_address(context, number),
        CREDENTIAL,
        kind=f'stream {number}',
        prompt_tokens=1000,
        output_tokens=_OUTPUT_TOKENS,
        time_limit_ms=_TIME_LIMIT_MS,
    )


@then(
    'no request is lost, executed twice, truncated without an error or refused with a wrong outcome'
)
def check_outcomes(context: Any) -> None:
    """Compare the outcomes of callers with the targets' executions."""
    executions: Counter[str] = Counter()
    for instance in context.fleet.plains:
        address = instance.target_address
        executions.update(call_json(address, 'GET', '/executions'))
    violations = [
        f'{result.kind}: {result.outcome} {result.code}, ran {run_count} times'
        for result in context.results
        for run_count in [executions[result.kind.split()[1]]]
        if not _is_accurate(result, run_count)
    ]
    assert not violations, violations
    complete = [each for each in context.results if each.outcome == 'complete']
    assert len(complete) > len(context.results) / 4, len(complete)
    assert all(relay.relayed_bytes for relay in context.relays)


def _is_accurate(result: CallerResult, run_count: int) -> bool:
    if result.outcome in {'lost', 'truncated'} or run_count > 1:
        return False
    if result.kind.startswith('stream'):
        return True
    if result.outcome == 'complete':
        booked = json.loads(result.text)['booked']
        return run_count == 1 and booked == result.kind.split()[1]
    return result.outcome != 'not_run' or not run_count


@then('each caller has an answer within {margin:d} s after its time limit')
def check_times(context: Any, margin: int) -> None:
    """Compare the callers' own measurements with their time limit."""
    limit_seconds = _TIME_LIMIT_MS / 1000 + margin
    slow = [
        f'{result.kind}: {result.total_seconds:.1f} s'
        for result in context.results
        if result.total_seconds > limit_seconds
    ]
    assert not slow, slow


@then('no process holds a request, an attempt or memory any more')
def check_nothing_held(context: Any) -> None:
    """Wait until the gauges of each process and the engines' loads are 0."""
    fleet = context.fleet
    for _attempt in range(300):
        leaks = _find_leaks(fleet)
        if not leaks:
            return
        sleep(0.1)
    raise AssertionError(leaks)


def _find_leaks(fleet: Any) -> list[str]:
    leaks: list[str] = []
    try:
        for process, address in fleet.administration_endpoints:
            exported = scrape(address)
            leaks.extend(
                f'{process.name}: {gauge} {exported[gauge]}'
                for gauge in _GAUGES
                if exported.get(gauge)
            )
        for instance in fleet.engines:
            load = call_json(instance.target_address, 'GET', '/load')
            if load['running_count'] or load['held_tokens']:
                leaks.append(f'{instance.name}: {load}')
    except TargetError as error:
        leaks.append(str(error))
    return leaks
