"""Steps for placement on a fake clock."""

from collections import Counter
from datetime import timedelta
from typing import Any

from behave import given, then, when

from buckthornpond_core._generated.serving import (
    AttemptReport,
    Placement,
    PlacementFailure,
    TargetFound,
)
from buckthornpond_core.serving.dispatcher import Dispatcher
from buckthornpond_core.serving.engine_load import EngineLoad
from features.specs.dispatchers import (
    ENGINE_SERVICE,
    PLAIN_SERVICE,
    SHORT_TOKENS,
    count_peer_attempts,
    end,
    make_admission,
    make_dispatcher,
    make_targets,
    place,
    send_hint,
    start_dispatchers,
)


@given('a dispatcher before {count:d} engines')
@given('{entries:d} dispatchers before {count:d} engines')
def given_engines(context: Any, count: int, entries: int = 1) -> None:
    """Start dispatchers that all know each other."""
    start_dispatchers(context, entries, make_targets(ENGINE_SERVICE, count))
    for dispatcher in context.dispatchers:
        for other in context.dispatchers:
            dispatcher.load_exchange.seeds += (other.load_exchange.address,)


@given(
    '{entries:d} dispatchers before {count:d} engines with the first as their '
    'only seed'
)
def given_one_seed(context: Any, entries: int, count: int) -> None:
    """Start dispatchers that know only one seed."""
    start_dispatchers(context, entries, make_targets(ENGINE_SERVICE, count))


@given(
    'a dispatcher before {count:d} engines of which the first is cold for '
    '{seconds:d} seconds'
)
def given_cold(context: Any, count: int, seconds: int) -> None:
    """Start a dispatcher with one cold engine."""
    start_dispatchers(
        context,
        1,
        make_targets(ENGINE_SERVICE, count, cold_ms=seconds * 1000),
    )


@given('a dispatcher before {count:d} plain targets')
def given_plain(context: Any, count: int) -> None:
    """Start a dispatcher with a plain service."""
    start_dispatchers(context, 1, make_targets(PLAIN_SERVICE, count))


@when('{count:d} short prompts have begun to decode')
def decode_short(context: Any, count: int) -> None:
    """Place short prompts that all begin to answer."""
    for _ in range(count):
        admission, found = place(context, SHORT_TOKENS)
        context.now += timedelta(milliseconds=60)
        context.dispatchers[0].record_first_byte(
            admission.metadata.attempt_id,
            found,
        )


@when('a prompt of {tokens:d} tokens is placed')
def place_long(context: Any, tokens: int) -> None:
    """Place a long prompt."""
    context.short_targets = {found.target for _, found in context.placed}
    context.long_placement = place(context, tokens)[1]


@when('the first places a prompt of {tokens:d} tokens')
def place_at_first(context: Any, tokens: int) -> None:
    """Place a long prompt at the first dispatcher."""
    context.first = place(context, tokens)
    context.prefill_targets = {
        context.first[1].target,
        *(
            record.name
            for record in context.records
            if record.address in context.first[1].helper_addresses
        ),
    }
    context.placed.clear()


@when('it sends a hint to the second')
def send_to_second(context: Any) -> None:
    """Send the next hint."""
    send_hint(context, 0)


@when('the second places {count:d} short prompts')
def place_at_second(context: Any, count: int) -> None:
    """Place short prompts at the second dispatcher."""
    for _ in range(count):
        place(context, SHORT_TOKENS, 1)


@when('the second places a prompt of {tokens:d} tokens')
def place_long_at_second(context: Any, tokens: int) -> None:
    """Place a long prompt at the second dispatcher."""
    context.long_placement = place(context, tokens, 1)[1]


@then('its prefill runs on engines that do not prefill the other')
def check_separate(context: Any) -> None:
    """Compare the engines of both long prompts."""
    names = {record.address: record.name for record in context.records}
    targets = {names[each] for each in context.long_placement.helper_addresses}
    targets.add(context.long_placement.target)
    assert not targets & context.prefill_targets, (
        targets,
        context.prefill_targets,
    )


@then(
    '{prefill_ms:d} ms of additional prefill beside the first count as a loss '
    'at both'
)
def check_added_loss(context: Any, prefill_ms: int) -> None:
    """Add prefill at an engine that prefills only a part of the first."""
    address = context.first[1].helper_addresses[0]
    for dispatcher in context.dispatchers:
        load = _engine_load(dispatcher, address, context.now)
        assert load.added_loss(prefill_ms) > 1, load.added_loss(prefill_ms)
        assert load.added_loss(10) < 1, load.added_loss(10)


def _engine_load(
    dispatcher: Dispatcher,
    address: str,
    now: timedelta,
) -> EngineLoad:
    view = dispatcher.fleet.find_address(address)
    assert view is not None
    route_table = dispatcher.route_table
    costs = route_table.services[ENGINE_SERVICE].engine if route_table else None
    assert costs is not None
    return EngineLoad(costs, view.all_attempts, now)


@when('{seconds:d} seconds pass')
def pass_time(context: Any, seconds: int) -> None:
    """Let time pass without a hint."""
    context.now += timedelta(seconds=seconds)
    for dispatcher in context.dispatchers:
        dispatcher.drop_silent_peers(context.now)


@when('it ends, and the hints arrive out of order')
def deliver_out_of_order(context: Any) -> None:
    """Deliver the older of two hints last."""
    first, second = context.dispatchers
    older = first.load_exchange.make_hint(first.fleet, context.now)
    end(context, context.first, 'answered')
    newer = first.load_exchange.make_hint(first.fleet, context.now)
    second.load_exchange.apply_hint(newer, second.fleet, context.now)
    second.load_exchange.apply_hint(older, second.fleet, context.now)


@when('the first restarts and sends a hint to the second')
def restart(context: Any) -> None:
    """Replace the first dispatcher by a new one."""
    restarted = make_dispatcher(0, [], context.records, context.now)
    restarted.load_exchange.incarnation += 1
    restarted.load_exchange.seeds = ('entry-1:1',)
    context.dispatchers[0] = restarted
    send_hint(context, 0, is_full=True)


@when('every entry sends a full hint, {count:d} times')
def exchange_hints(context: Any, count: int) -> None:
    """Let all dispatchers send full hints in turn."""
    for _ in range(count):
        for number, _ in enumerate(context.dispatchers):
            send_hint(context, number, is_full=True)


@when('the first target fails {count:d} times')
def report_failures(context: Any, count: int) -> None:
    """Report failures of one target."""
    for _ in range(count):
        _report_first(context, 'failed')


@when('the first target does not answer')
def report_silence(context: Any) -> None:
    """Report that one target does not answer."""
    _report_first(context, 'silent')


@when('another target answers at the address of the first')
def report_moved(context: Any) -> None:
    """Report that another target uses the address."""
    _report_first(context, 'moved')


@when('{count:d} requests are placed one after the other')
def place_many(context: Any, count: int) -> None:
    """Place requests that are answered at once."""
    for _ in range(count):
        placed = place(context, 0, path='/read/1')
        end(context, placed, 'answered')
        context.now += timedelta(milliseconds=20)


@when('{count:d} short prompts are placed within {seconds:d} seconds')
def place_evenly(context: Any, count: int, seconds: int) -> None:
    """Place short prompts at an even pace."""
    for _ in range(count):
        placed = place(context, SHORT_TOKENS)
        end(context, placed, 'answered')
        context.now += timedelta(seconds=seconds) / count


@when('{count:d} requests each ask for a retry')
def ask_retries(context: Any, count: int) -> None:
    """Ask for a retry after each first attempt."""
    dispatcher = context.dispatchers[0]
    context.retries = 0
    for _ in range(count):
        admission, found = place(context, 0, path='/read/1')
        retried = dispatcher.place(
            admission,
            (found.target,),
            context.now,
            is_repeat=True,
        )
        if isinstance(retried, PlacementFailure):
            assert retried.reason == 'retry_budget_exhausted'
        else:
            context.retries += 1


@then('they are on at most {count:d} engines')
def check_packed(context: Any, count: int) -> None:
    """Count the engines of the short answers."""
    assert len({found.target for _, found in context.placed}) <= count


@then('its prefill runs on engines that decode no short answer')
def check_apart_from_short(context: Any) -> None:
    """Compare the engines of the long prompt with those of short answers."""
    names = {record.address: record.name for record in context.records}
    targets = {context.long_placement.target}
    targets.update(
        names[each] for each in context.long_placement.helper_addresses
    )
    assert not targets & context.short_targets, (
        targets,
        context.short_targets,
    )


@then('on more than {count:d} engines')
def check_spread(context: Any, count: int) -> None:
    """Count the engines that prefill the long prompt."""
    assert len(context.long_placement.helper_addresses) + 1 > count


@then('no engine has more than {count:d} of them')
def check_full(context: Any, count: int) -> None:
    """Count the short prompts of each engine."""
    targets = [found.target for _, found in context.placed]
    assert max(targets.count(name) for name in set(targets)) <= count, targets


@then('none is on an engine that prefills the long prompt')
def check_avoided(context: Any) -> None:
    """Compare the placements of the two dispatchers."""
    assert len(context.prefill_targets) < len(context.records)
    for _, found in context.placed:
        assert found.target not in context.prefill_targets, (
            context.prefill_targets
        )


@then('all are placed')
def check_placed(context: Any) -> None:
    """Check that requests were placed."""
    assert context.placed


@then('the second knows no load')
def check_no_load(context: Any) -> None:
    """Check that no attempts of peers are known."""
    assert not count_peer_attempts(context.dispatchers[1])


@then('the second knows no load and no peer')
def check_no_peer(context: Any) -> None:
    """Check that neither load nor peers are known."""
    check_no_load(context)
    assert not context.dispatchers[1].load_exchange.peers


@then('every entry knows all others')
def check_members(context: Any) -> None:
    """Check the peers of each dispatcher."""
    for dispatcher in context.dispatchers:
        known = set(dispatcher.load_exchange.peers)
        assert len(known) == len(context.dispatchers) - 1, known


@then('the first target received at most {count:d} of them')
@then('the first engine received at most {count:d} of them')
def check_few(context: Any, count: int) -> None:
    """Count the requests of the first target."""
    targets = [found.target for _, found in context.placed]
    assert targets.count('target-0') <= count, targets.count('target-0')


@then('it receives nothing for {seconds:f} seconds')
def check_paused(context: Any, seconds: float) -> None:
    """Place requests while the pause lasts."""
    until = context.now + timedelta(seconds=seconds)
    while context.now < until:
        placed = place(context, 0, path='/read/1')
        end(context, placed, 'answered')
        assert placed[1].target != 'target-0'
        context.now += timedelta(milliseconds=50)


@then('it receives requests again after {seconds:d} seconds')
def check_used_again(context: Any, seconds: int) -> None:
    """Place requests after the pause."""
    context.now += timedelta(seconds=seconds)
    context.placed.clear()
    place_many(context, 20)
    assert any(found.target == 'target-0' for _, found in context.placed)


@when('all but the first target drain')
def drain_others(context: Any) -> None:
    """Let all targets but one drain."""
    for record in context.records[1:]:
        record.is_draining = True
        context.dispatchers[0].apply(TargetFound(record, 3), context.now)
    context.placed.clear()


@then('at least {count:d} targets received some of them')
def check_all_used(context: Any, count: int) -> None:
    """Count the targets that received requests."""
    found = {found.target for _, found in context.placed}
    assert len(found) >= count, len(found)


@then('the first target received all {count:d} of them')
def check_only(context: Any, count: int) -> None:
    """Check that the only remaining target was used."""
    targets = [found.target for _, found in context.placed]
    assert targets == ['target-0' for _ in range(count)], targets


@then('at most {count:d} retries are placed')
def check_retries(context: Any, count: int) -> None:
    """Count the retries."""
    assert 0 < context.retries <= count, context.retries


def _report_first(context: Any, outcome: str) -> None:
    context.dispatchers[0].end_attempt(
        make_admission(),
        Placement(target='target-0', address='10.0.0.0:80', service='app'),
        AttemptReport(target='target-0', outcome=outcome, load=None),
        context.now,
    )


@given(
    '{entries:d} dispatchers before {count:d} engines that have just started'
)
def given_just_started(context: Any, entries: int, count: int) -> None:
    """Start dispatchers that have received no hints."""
    start_dispatchers(context, entries, make_targets(ENGINE_SERVICE, count))
    context.dispatchers = [
        make_dispatcher(
            number,
            ['entry-0:1', 'entry-1:1'],
            context.records,
            context.now,
            timedelta(),
        )
        for number in range(entries)
    ]


@when('each places {count:d} short prompts before any receives a hint')
def place_each(context: Any, count: int) -> None:
    """Place short prompts that begin to answer at every dispatcher."""
    for _ in range(count):
        for number, dispatcher in enumerate(context.dispatchers):
            admission, found = place(context, SHORT_TOKENS, number)
            dispatcher.record_first_byte(admission.metadata.attempt_id, found)


@when('the first places {count:d} short prompts that begin to decode')
def place_short_at_first(context: Any, count: int) -> None:
    """Place short prompts at the first dispatcher."""
    decode_short(context, count)


@then('no engine has more short prompts than its {count:d} slots')
def check_slots(context: Any, count: int) -> None:
    """Count the short prompts on each engine."""
    counts = Counter(found.target for _, found in context.placed)
    assert max(counts.values()) <= count, counts
