"""Steps on the links that an entry keeps."""

from datetime import timedelta
from typing import Any

import msgspec
from behave import given, then, when
from configuration_steps import build_configuration
from drain_steps import make_agent

from buckthornpond_core._generated.inventory import Service, TargetKind
from buckthornpond_core._generated.messages import (
    ConfigurationVersion,
    Heartbeat,
    Hint,
    TargetPhase,
)
from buckthornpond_core.routing.agent_directory import AgentDirectory
from buckthornpond_core.routing.heartbeats import HeartbeatTiming
from buckthornpond_core.routing.subsets import LinkPlan, ZoneSubset
from buckthornpond_runtime.codecs import decode_message, encode_message
from buckthornpond_standins.fleets import Fleet


def _build_service(context: Any, count: int) -> None:
    names = [f'engine-{number}' for number in range(count)]
    context.configuration = build_configuration(names)
    context.service = Service(
        name='model',
        kind=TargetKind.engine,
        instances=names,
    )
    context.configuration.services = {'model': context.service}


@when(
    '{entries:d} entries choose subsets of {size:d} among {count:d} '
    'instances in 3 zones'
)
def choose_subsets(context: Any, entries: int, size: int, count: int) -> None:
    """Choose the subset of each entry."""
    _build_service(context, count)
    context.policies = [
        ZoneSubset(f'entry-{number}', size) for number in range(entries)
    ]
    context.subsets = _choose_all(context)


def _choose_all(context: Any) -> list[list[str]]:
    return [
        list(policy.choose(context.service, context.configuration))
        for policy in context.policies
    ]


@then('each entry has {count:d} instances')
def check_sizes(context: Any, count: int) -> None:
    """Count distinct instances."""
    sizes = {len(set(subset)) for subset in context.subsets}
    assert sizes == {count}, sizes


@then('each entry has {count:d} instances of each zone')
def check_zones(context: Any, count: int) -> None:
    """Count the instances of each zone in each subset."""
    instances = context.configuration.instances
    for subset in context.subsets:
        zones = [instances[name].availability_zone for name in subset]
        assert {zones.count(zone) for zone in zones} == {count}, zones


@then('at most 1 in {share:d} instances is in no subset')
def check_coverage(context: Any, share: int) -> None:
    """Count the instances that no entry chose."""
    chosen = {name for subset in context.subsets for name in subset}
    missing_count = len(context.service.instances) - len(chosen)
    assert missing_count * share <= len(context.service.instances)


@then('a second choice is the same')
def check_same_choice(context: Any) -> None:
    """Choose again."""
    assert _choose_all(context) == context.subsets


@when('an instance is removed from a service of {count:d} instances')
def remove_instance(context: Any, count: int) -> None:
    """Choose with and without one instance."""
    _build_service(context, count)
    context.policies = [ZoneSubset(f'entry-{each}', 48) for each in range(50)]
    context.before = _choose_all(context)
    context.service.instances.remove(context.before[0][0])
    context.subsets = _choose_all(context)


@then('each of 50 entries replaces at most 1 instance')
def check_moves(context: Any) -> None:
    """Compare the subsets."""
    moved = [
        len(set(before) - set(after))
        for before, after in zip(context.before, context.subsets, strict=True)
    ]
    assert max(moved) == 1, moved


@given('an entry with a subset of {size:d} among {count:d} instances')
def make_directory(context: Any, size: int, count: int) -> None:
    """Build the directory of one entry."""
    _build_service(context, count)
    plan = LinkPlan(
        ZoneSubset('entry-0', size),
        context.configuration,
        timedelta(seconds=60),
    )
    timing = HeartbeatTiming(peer_timeout=timedelta(seconds=2))
    context.directory = AgentDirectory(plan, timing)
    context.directory.update_links((), timedelta(0))
    assert len(context.directory.linked_instances) == size


@when('a link to the home of a key outside its subset is demanded')
def demand_home(context: Any) -> None:
    """Demand a link to an instance that has none."""
    linked = context.directory.linked_instances
    context.home = next(
        name for name in context.service.instances if name not in linked
    )
    context.directory.request_link(context.home)


@then('it is linked after {seconds:d} seconds')
def check_linked(context: Any, seconds: int) -> None:
    """Update the links at that time."""
    context.directory.update_links((), timedelta(seconds=seconds))
    assert context.home in context.directory.linked_instances


@then('it is not linked after {seconds:d} seconds')
def check_not_linked(context: Any, seconds: int) -> None:
    """Update the links at that time."""
    context.directory.update_links((), timedelta(seconds=seconds))
    assert context.home not in context.directory.linked_instances


@given('a fleet whose entries have subsets of 1 instance')
def start_subset_fleet(context: Any) -> None:
    """Start an entry that links to one of three plain instances."""
    context.fleet = Fleet(
        engine_count=1,
        plain_count=3,
        entry_count=1,
        entry_settings={'subset_size': 1},
        open_agent_count=2,
    )
    context.fleet.__enter__()
    context.greenlets = []


@then(
    '{links:d} links within {budget:d} bytes a second '
    'send a heartbeat each {ms:d} ms'
)
def check_pace(context: Any, links: int, budget: int, ms: int) -> None:
    """Compare the interval, and bound the timeout from below."""
    timing = HeartbeatTiming(
        interval=timedelta(milliseconds=500),
        budget_bytes=budget,
        peer_timeout=timedelta(seconds=2),
    )
    found = timing.find_interval(links) // timedelta(milliseconds=1)
    assert found == ms, found
    assert timing.find_timeout(links) >= 4 * timedelta(milliseconds=ms)


@then(
    'an entry that announced {ms:d} ms is not unresponsive '
    'after {seconds:d} seconds'
)
def check_announced(context: Any, ms: int, seconds: int) -> None:
    """Send one heartbeat to an agent with a short timeout."""
    make_agent(context)
    admission = context.admission
    admission._limits.peer_timeout = timedelta(seconds=2)
    now = timedelta(seconds=10)
    heartbeat = _make_heartbeat()
    heartbeat.interval_ms = ms
    admission.receive('entry', heartbeat, now)
    admission.tick(now + timedelta(seconds=seconds))
    assert admission.held_count == 3
    admission.tick(now + timedelta(milliseconds=4 * ms + 1))
    assert 'entry' not in admission._entries


def _make_version() -> ConfigurationVersion:
    return ConfigurationVersion(
        inventory_version=13_000,
        rules_version=13_000,
        leaving_version=120,
        digest=0xDEADBEEF,
        read_age_ms=1500,
    )


def _make_heartbeat() -> Heartbeat:
    return Heartbeat(
        sender_incarnation='entry-1234.0123456789abcdef',
        configuration=_make_version(),
        interval_ms=500,
    )


@then('a heartbeat and its hint take at most {limit:d} bytes together')
def check_message_bytes(context: Any, limit: int) -> None:
    """Encode both messages."""
    hint = Hint(
        agent_incarnation='engine-1234.0123456789abcdef',
        phase=TargetPhase.warm,
        running_count=12,
        queued_count=3,
        queued_tokens=120_000,
        free_tokens=200_000,
        limit_tokens=600_000,
        configuration=_make_version(),
    )
    frames = [*encode_message(_make_heartbeat()), *encode_message(hint)]
    length_bytes = sum(len(frame) for frame in frames)
    assert length_bytes <= limit, length_bytes


@then('a message without its last field is still decoded')
def check_older_message(context: Any) -> None:
    """Decode a heartbeat of a process that lacks the last field."""
    kind, content = encode_message(_make_heartbeat())
    fields = msgspec.msgpack.decode(content)
    shorter = msgspec.msgpack.encode(fields[:-1])
    found = decode_message([kind, shorter], 'peer')
    assert isinstance(found, Heartbeat)
    assert found.interval_ms == 0
