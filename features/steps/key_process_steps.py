"""Steps that kill and pause homes of keys in a running fleet."""

import signal
from datetime import UTC, datetime
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_core.routing.placement import join_key, rank_homes
from buckthornpond_standins.callers import CallerResult, call_service
from buckthornpond_standins.fleets import (
    CREDENTIAL,
    Fleet,
    Instance,
    call_json,
    wait_until,
)
from features.specs.key_histories import make_time_key

_NAMES = ['plain-0', 'plain-1']
_WINDOW_MS = 60_000


def accept_lot(
    context: Any,
    entry: int,
    *,
    key: str,
    time_limit_ms: int = 10_000,
) -> CallerResult:
    """Send a request to accept a lot through an entry."""
    return call_service(
        context.fleet.entry_addresses[entry],
        CREDENTIAL,
        kind='lot',
        path='/v1/services/lots/accept',
        body=b'lot',
        key=key,
        time_limit_ms=time_limit_ms,
    )


def make_key(home: str, number: int = 0) -> str:
    """Return a new UUIDv7 key that has this home."""
    while True:
        number += 1
        key = make_time_key(datetime.now(UTC), number)
        if rank_homes(join_key('lots', 'gate', key), _NAMES)[0] == home:
            return key


def count_runs(context: Any) -> int:
    """Return the number of runs of the lot at all targets."""
    found = [
        call_json(instance.target_address, 'GET', '/executions')
        for instance in context.fleet.plains
    ]
    return sum(each.get('lot', 0) for each in found)


def find_home(context: Any) -> Instance:
    """Return the instance that is the home of the key."""
    home: Instance = context.fleet.plains[0]
    return home


@given('a fleet with two homes of keys')
def start_homes(context: Any) -> None:
    """Start two plain services with a long retry window."""
    context.fleet = Fleet(
        engine_count=0,
        plain_count=2,
        entry_count=2,
        retry_window_ms=_WINDOW_MS,
        plain_arguments=['--delay-ms', '1000'],
    )
    context.fleet.__enter__()
    context.key = make_key('plain-0')
    context.results = []


@when('a lot is being accepted through the first entry and its home is killed')
def kill_home(context: Any) -> None:
    """Kill and restart the agent once its target runs the lot."""
    first = gevent.spawn(accept_lot, context, 0, key=context.key)
    wait_until(lambda: count_runs(context) == 1)
    agent = find_home(context).agent
    agent.signal(signal.SIGKILL)
    agent.wait(5)
    agent.start()
    context.results.append(first.get())


@when('the same key is retried through the second entry until it is refused')
def retry_refused(context: Any) -> None:
    """Retry until the restarted home refuses the key."""

    def is_refused() -> bool:
        context.results.append(accept_lot(context, 1, key=context.key))
        return bool(context.results[-1].code == 'key_unknown')

    wait_until(is_refused)


@then('no caller was told that the lot was accepted or that it was not run')
def check_outcomes(context: Any) -> None:
    """Check the outcomes of all requests so far."""
    outcomes = {result.outcome for result in context.results}
    assert outcomes == {'outcome_unknown'}, outcomes


@then('the lot ran once')
def check_one_run(context: Any) -> None:
    """Check the runs that the targets report."""
    runs = count_runs(context)
    assert runs == 1, runs


@then('a new UUIDv7 key runs at the restarted home')
def check_new_key(context: Any) -> None:
    """Use a key that was created after the restart."""
    result = accept_lot(context, 1, key=make_key('plain-0', 1000))
    assert result.outcome == 'complete', result.code


@when('the home of a lot is paused and a lot is sent through the first entry')
def pause_home(context: Any) -> None:
    """Send a lot whose home does not read it until it resumes."""
    find_home(context).agent.signal(signal.SIGSTOP)
    context.results.append(
        accept_lot(context, 0, key=context.key, time_limit_ms=1000),
    )
    assert context.results[-1].outcome == 'outcome_unknown'


@when('the service moves to the other instance')
def move_service(context: Any) -> None:
    """Publish an inventory in which only the other instance serves."""
    fleet = context.fleet
    fleet.inventory['version'] += 1
    for service in fleet.inventory['services']:
        if service['name'] == 'lots':
            service['instances'] = ['plain-1']
    fleet.publish()


@then('a retry through the second entry is refused as "{reason}"')
def check_unreachable(context: Any, reason: str) -> None:
    """Retry until the new home refuses, as the old one does not reply."""

    def is_refused() -> bool:
        result = accept_lot(context, 1, key=context.key, time_limit_ms=15_000)
        context.results.append(result)
        return result.code == reason

    wait_until(is_refused)
    assert count_runs(context) == 0


@when('the home resumes')
def resume_home(context: Any) -> None:
    """Resume the paused agent."""
    find_home(context).agent.signal(signal.SIGCONT)


@when('the same key is retried through the second entry until it is answered')
def retry_answered(context: Any) -> None:
    """Retry until a home runs the key or reports that it has run."""

    def is_answered() -> bool:
        result = accept_lot(context, 1, key=context.key)
        return result.outcome == 'complete' or result.code == 'key_done'

    wait_until(is_answered)
