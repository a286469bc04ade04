"""Steps that drain availability zones and instances."""

import signal
from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_core._generated.events import CallEnded, CallStarted
from buckthornpond_core._generated.inventory import (
    Instance,
    Inventory,
    Rules,
    Service,
    Target,
    TargetKind,
)
from buckthornpond_core._generated.messages import (
    Accepted,
    Final,
    Outcome,
    Refused,
)
from buckthornpond_core.admission.admission import (
    AdmissionController,
    AgentLimits,
)
from buckthornpond_core.admission.limits import FixedLimit
from buckthornpond_core.admission.queueing import FifoOrder
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.effects import SendToPeer
from buckthornpond_standins.fleets import call_json
from buckthornpond_standins.keyed import build_keyed_attempts
from buckthornpond_standins.records import CountingRecorder
from buckthornpond_standins.scrapes import wait_exported
from features.specs.attempts import make_attempt

_NOW = timedelta(seconds=10)


@given('an agent that runs one attempt and queues two')
def make_agent(context: Any) -> None:
    """Build the admission of an agent whose target runs one attempt."""
    context.configuration = Configuration()
    context.configuration.accept_inventory(_build_inventory(), b'1')
    context.admission = AdmissionController(
        instance='engine-0',
        incarnation='agent',
        configuration=context.configuration,
        limits=AgentLimits(
            max_queued_count=10,
            peer_timeout=timedelta(hours=1),
        ),
        limit=FixedLimit(1000),
        order=FifoOrder(),
        keyed=build_keyed_attempts(
            'engine-0',
            context.configuration,
            started=timedelta(0),
            recorder=CountingRecorder(),
        ),
        recorder=CountingRecorder(),
    )
    context.admission.apply_configuration(_NOW)
    for number in range(3):
        _send_attempt(context, f'attempt-{number}')
    assert context.admission.held_count == 3


def _build_inventory() -> Inventory:
    target = Target(
        address='127.0.0.1:2',
        memory_tokens=1000,
        concurrency_count=1,
    )
    return Inventory(
        version=1,
        availability_zones=['zone-0'],
        instances=[
            Instance(
                name='engine-0',
                availability_zone='zone-0',
                agent_address='127.0.0.1:1',
                target=target,
            ),
        ],
        services=[
            Service(
                name='model',
                kind=TargetKind.engine,
                instances=['engine-0'],
            ),
        ],
        organisations=[],
    )


def _send_attempt(context: Any, attempt_id: str) -> list[Any]:
    attempt = make_attempt(
        attempt_id,
        service='model',
        is_idempotent=True,
        is_stream=True,
        prompt_tokens=10,
        output_tokens=10,
        configuration=context.configuration.version,
    )
    effects = context.admission.receive('entry', attempt, _NOW)
    return _get_messages(effects)


def _get_messages(effects: list[Any]) -> list[Any]:
    return [each.message for each in effects if isinstance(each, SendToPeer)]


@when('its availability zone is drained')
def drain_zone(context: Any) -> None:
    """Accept rules that drain the zone."""
    rules = Rules(version=1, draining_availability_zones=['zone-0'])
    _accept_rules(context, rules)


@when('its availability zone is no longer drained')
def end_drain(context: Any) -> None:
    """Accept rules that drain nothing."""
    _accept_rules(context, Rules(version=2))


def _accept_rules(context: Any, rules: Rules) -> None:
    context.configuration.accept_rules(rules, f'{rules.version}'.encode())
    _apply_configuration(context)


def _apply_configuration(context: Any) -> None:
    context.admission.apply_configuration(_NOW)
    context.messages = _get_messages(context.admission.tick(_NOW))


@when('the platform lists its instance as leaving')
def list_leaving(context: Any) -> None:
    """Accept a list of leaving instances with this one."""
    context.configuration.accept_leaving(['engine-0'], 1, b'["engine-0"]')
    _apply_configuration(context)


@when('the platform lists no instance as leaving')
def list_no_leaving_instance(context: Any) -> None:
    """Accept an empty list of leaving instances."""
    context.configuration.accept_leaving([], 1, b'[]')
    _apply_configuration(context)


@then('the queued attempts are refused as not run for {reason}')
def check_queued_refused(context: Any, reason: str) -> None:
    """Check both refusals, and that one attempt is left."""
    refusals = [
        (each.attempt_id, each.reason, each.outcome)
        for each in context.messages
        if isinstance(each, Refused)
    ]
    assert refusals == [
        ('attempt-1', reason, Outcome.not_run),
        ('attempt-2', reason, Outcome.not_run),
    ], refusals
    assert context.admission.held_count == 1


@then('the running attempt completes its response')
def check_running_completes(context: Any) -> None:
    """End the target call and check that the entry gets a Final."""
    started = CallStarted(
        attempt_id='attempt-0',
        status_code=200,
        content_type='text/event-stream',
    )
    ended = CallEnded(attempt_id='attempt-0', error='', is_sent=True)
    context.admission.handle_call_message(started, _NOW)
    replies = _get_messages(context.admission.handle_call_message(ended, _NOW))
    assert isinstance(replies[0], Final), replies


@then('a new attempt is refused as not run for {reason}')
def check_refused(context: Any, reason: str) -> None:
    """Send another attempt and check its refusal."""
    reply = _send_attempt(context, 'attempt-9')[0]
    assert isinstance(reply, Refused), reply
    assert (reply.reason, reply.outcome) == (reason, Outcome.not_run)


@then('a new attempt is accepted')
def check_accepted(context: Any) -> None:
    """Send another attempt and check its acceptance."""
    replies = _send_attempt(context, 'attempt-10')
    assert isinstance(replies[0], Accepted), replies


@when('{zone} is drained while {name} is paused')
def drain_during_freeze(context: Any, zone: str, name: str) -> None:
    """Pause an entry, drain the zone in all other processes, then resume."""
    fleet = context.fleet
    gevent.joinall(context.greenlets)
    paused = next(each for each in fleet.entries if each.name == name)
    paused.signal(signal.SIGSTOP)
    fleet.rules = {
        'version': 2,
        'draining_availability_zones': [zone],
    }
    fleet.publish()
    for process, address in fleet.administration_endpoints:
        if process is not paused:
            wait_exported(address, 'rules_version 2')
    context.drained_engine = next(
        each for each in fleet.engines if each.zone == zone
    )
    context.started_count = _count_started(context)
    paused.signal(signal.SIGCONT)


@when('{zone} is returned')
def end_fleet_drain(context: Any, zone: str) -> None:
    """Publish rules that drain nothing."""
    context.fleet.rules = {'version': 3}
    context.fleet.publish()
    for _, address in context.fleet.administration_endpoints:
        wait_exported(address, 'rules_version 3')
    context.fleet.wait_ready()


def _count_started(context: Any) -> int:
    load = call_json(context.drained_engine.target_address, 'GET', '/load')
    return load['executed_count']


@then('{name} has started no request since it was drained')
def check_nothing_started(context: Any, name: str) -> None:
    """Compare the engine's count of requests with that at the drain."""
    assert context.drained_engine.name == name
    assert _count_started(context) == context.started_count


@then('{name} has started requests since it was returned')
def check_something_started(context: Any, name: str) -> None:
    """Compare the engine's count of requests with that at the drain."""
    assert _count_started(context) > context.started_count, name
