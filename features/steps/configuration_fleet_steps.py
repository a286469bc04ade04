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
    """Start a fleet in which one process can read the platform."""
    context.fleet = Fleet(
        entry_count=2,
        platform_readers=[name],
        # The versions of two peers end the hold earlier, so that the outcome
        # does not depend on the speed of the machine.
        startup_hold_ms=30_000,
    )
    context.fleet.__enter__()


@when('rules that drain {zone} are published as version {version:d}')
def publish_drain(context: Any, zone: str, version: int) -> None:
    """Publish rules with a draining zone."""
    context.fleet.rules = {
        'version': version,
        'draining_availability_zones': [zone],
    }
    context.fleet.publish()


@when('the service reverts to version 1')
def publish_backwards(context: Any) -> None:
    """Publish the first rules again."""
    context.fleet.rules = {'version': 1}
    context.fleet.publish()


@when('invalid rules are published as version {version:d}')
def publish_faults(context: Any, version: int) -> None:
    """Publish rules that violate the schema."""
    _publish_raw(context, version, b'{"version": "three", "unknown": 1}')


@when('a megabyte of invalid JSON is published as version {version:d}')
def publish_noise(context: Any, version: int) -> None:
    """Publish the largest value that the service holds."""
    _wait_for_metric(
        context,
        'rejected_documents_total{reason="rules"} 1',
        _find_reader_addresses(context),
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
    """Kill the stand-in of the platform."""
    context.fleet.platform.kill()


@when('every process is restarted in turn')
def restart_all(context: Any) -> None:
    """Kill and start each process when the preceding one is ready."""
    fleet = context.fleet
    context.restarted = []
    for process, address in fleet.administration_endpoints:
        log_offset = len(process.read_whole_log())
        process.kill()
        process.start()
        wait_listening(address)
        _wait_for_metric(context, 'rules_version 2', [address])
        context.restarted.append((process, log_offset))


@then('every process has rules version {version:d} in force')
def check_version(context: Any, version: int) -> None:
    """Wait until each process exports the version."""
    addresses = [
        address for _, address in context.fleet.administration_endpoints
    ]
    _wait_for_metric(context, f'rules_version {version}', addresses)


@then(
    'no process has had rules below version {version:d} in force '
    'after its restart'
)
def check_never_reverted(context: Any, version: int) -> None:
    """Check the acceptances that each process logged since its restart."""
    # Log lines are written asynchronously.
    wait_until(lambda: all(map(_list_rules, context.restarted)))
    for restarted in context.restarted:
        for event in _list_rules(restarted):
            assert event['version'] >= version, event


def _list_rules(restarted: tuple[Any, int]) -> list[dict[str, Any]]:
    """Return the log events of accepted rules since a restart."""
    process, log_offset = restarted
    lines = process.read_whole_log()[log_offset:].splitlines()
    events = [json.loads(line) for line in lines if line.startswith('{')]
    return [
        event
        for event in events
        if event.get('event') == 'configuration_accepted'
        and event['document'] == 'rules'
    ]


@then('each invalid document is rejected at most once by each process')
def check_rejections(context: Any) -> None:
    """Wait for the second rejection and for 20 more reads."""
    readers = _find_reader_addresses(context)
    metric = 'rejected_documents_total{reason="rules"} 2'
    _wait_for_metric(context, metric, readers)
    initial_count = _count_reads(context)
    wait_until(lambda: _count_reads(context) > initial_count + 20)
    _wait_for_metric(context, metric, readers)
    for _, address in context.fleet.administration_endpoints:
        exported = scrape(address)
        assert exported['rules_version'] == 2, exported
        assert exported.get(_REJECTED_RULES, 0) <= 2, exported


def _count_reads(context: Any) -> int:
    return call_json(context.fleet.platform_address, 'GET', '/count')


def _find_reader_addresses(context: Any) -> list[str]:
    """Return the administration addresses of agents that read."""
    return [
        address
        for _, address in context.fleet.administration_endpoints
        if scrape(address).get(_RULES_READS, 0) > 1
    ]


def _wait_for_metric(context: Any, metric: str, addresses: list[str]) -> None:
    for address in addresses:
        wait_exported(address, metric)
