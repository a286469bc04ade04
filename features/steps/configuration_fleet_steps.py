"""Steps that change the configuration of whole fleets."""

import json
from typing import Any

from behave import given, then, when

from buckthornpond_standins.fleets import (
    Fleet,
    call_json,
    call_text,
    wait_listening,
    wait_until,
)
from buckthornpond_standins.scrapes import scrape, wait_exported

_RULES_READS = 'platform_reads_total{reason="rules"}'
_REJECTED_RULES = 'rejected_documents_total{reason="rules"}'


@given('a fleet of which only {name} reaches the configuration service')
def start_cut_fleet(context: Any, name: str) -> None:
    """Start a fleet in which one process reads the platform."""
    context.fleet = Fleet(
        entry_count=2,
        platform_readers=[name],
        # Ends when two peers have answered, however slow the machine is.
        startup_hold_ms=30_000,
    )
    context.fleet.__enter__()


@when('rules that drain {zone} are published as version {version:d}')
def publish_drain(context: Any, zone: str, version: int) -> None:
    """Publish rules."""
    context.fleet.rules = {
        'version': version,
        'draining_availability_zones': [zone],
    }
    context.fleet.publish()


@when('the service goes back to version 1')
def publish_backwards(context: Any) -> None:
    """Publish the first rules again."""
    context.fleet.rules = {'version': 1}
    context.fleet.publish()


@when('rules with faults are published as version {version:d}')
def publish_faults(context: Any, version: int) -> None:
    """Publish rules that break their schema."""
    _publish_raw(context, version, b'{"version": "three", "unknown": 1}')


@when('a megabyte of noise is published as version {version:d}')
def publish_noise(context: Any, version: int) -> None:
    """Publish the largest value that the service holds."""
    _wait_metric(
        context, 'rejected_documents_total{reason="rules"} 1', _readers(context)
    )
    _publish_raw(context, version, b'[' * 1_048_576)


def _publish_raw(context: Any, version: int, content: bytes) -> None:
    call_text(
        context.fleet.platform_address,
        'PUT',
        '/v1/documents/rules',
        content,
        {'x-document-version': str(version)},
    )


@when('the configuration service is killed')
def kill_platform(context: Any) -> None:
    """End the stand-in of the platform."""
    context.fleet.platform.kill()


@when('every process is restarted in turn')
def restart_all(context: Any) -> None:
    """Kill and start each process after the one before is ready."""
    fleet = context.fleet
    context.restarted = []
    for process, address in fleet.administered:
        before = len(process.read_whole_log())
        process.kill()
        process.start()
        wait_listening(address)
        _wait_metric(context, 'rules_version 2', [address])
        context.restarted.append((process, before))


@then('every process has rules version {version:d} in force')
def check_version(context: Any, version: int) -> None:
    """Ask each process."""
    addresses = [address for _, address in context.fleet.administered]
    _wait_metric(context, f'rules_version {version}', addresses)


@then(
    'no process ever had rules below version {version:d} in force '
    'after its restart'
)
def check_never_reverted(context: Any, version: int) -> None:
    """Read what each process logged since its restart."""
    # Log lines are written a moment after the event.
    wait_until(lambda: all(map(_list_rules, context.restarted)))
    for restarted in context.restarted:
        for event in _list_rules(restarted):
            assert event['version'] >= version, event


def _list_rules(restarted: tuple[Any, int]) -> list[dict[str, Any]]:
    """Return acceptances of rules since the restart of a process."""
    process, before = restarted
    lines = process.read_whole_log()[before:].splitlines()
    events = [json.loads(line) for line in lines if line.startswith('{')]
    return [
        event
        for event in events
        if event.get('event') == 'configuration_accepted'
        and event['document'] == 'rules'
    ]


@then('each document with faults is rejected at most once by each process')
def check_rejections(context: Any) -> None:
    """Wait for the second rejection and for several more reads."""
    readers = _readers(context)
    metric = 'rejected_documents_total{reason="rules"} 2'
    _wait_metric(context, metric, readers)
    first = _count_reads(context)
    wait_until(lambda: _count_reads(context) > first + 20)
    _wait_metric(context, metric, readers)
    for _, address in context.fleet.administered:
        exported = scrape(address)
        assert exported['rules_version'] == 2, exported
        assert exported.get(_REJECTED_RULES, 0) <= 2, exported


def _count_reads(context: Any) -> int:
    return call_json(context.fleet.platform_address, 'GET', '/count')


def _readers(context: Any) -> list[str]:
    """Return the administration addresses of agents that read."""
    return [
        address
        for _, address in context.fleet.administered
        if scrape(address).get(_RULES_READS, 0) > 1
    ]


def _wait_metric(context: Any, metric: str, addresses: list[str]) -> None:
    for address in addresses:
        wait_exported(address, metric)
