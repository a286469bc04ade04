"""Steps for weighted fair queueing between organisations."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Any

from behave import given, step, then, when

from buckthornpond_core.admission.fairness import FairOrder
from buckthornpond_core.admission.queueing import ShortestFirstOrder
from buckthornpond_core.configuration.documents import Configuration
from features.specs.fair_histories import check_histories
from features.specs.fair_targets import (
    TOKENS_PER_SECOND,
    RequestSource,
    SerialTarget,
    accept_organisation_order,
    accept_weights,
)


@given('organisations with weights {text}')
def choose_weights(context: Any, text: str) -> None:
    """Create a configuration with the weights."""
    context.configuration = Configuration()
    context.sources = []
    context.window_start = 0
    _accept_inventory(context, text)


@when('an inventory with weights {text} is accepted')
def change_weights(context: Any, text: str) -> None:
    """Accept a newer inventory and compare only the starts after it."""
    context.window_start = len(context.target.starts)
    _accept_inventory(context, text)


@given('rules that list {names}')
def choose_organisation_order(context: Any, names: str) -> None:
    """Accept rules with the order of organisations."""
    accept_organisation_order(context.configuration, names.split(', '))


@given(
    "{name} sends requests of up to {tokens:d} tokens at twice the target's speed, seed {seed:d}"
)
def add_overloading_source(
    context: Any, name: str, tokens: int, seed: int
) -> None:
    """Add an organisation that sends twice the capacity of the target."""
    tokens_per_second = 2 * TOKENS_PER_SECOND
    context.sources.append((name, tokens, tokens_per_second, seed))


@given('{name} sends a request of {tokens:d} tokens at half its share')
def add_light_source(context: Any, name: str, tokens: int) -> None:
    """Add an organisation that sends half of its share."""
    tokens_per_second = _share_of(context, name) * TOKENS_PER_SECOND / 2
    context.sources.append((name, tokens, tokens_per_second))


@step('{name} keeps requests of up to {tokens:d} tokens waiting, seed {seed:d}')
def add_backlogged_source(
    context: Any, name: str, tokens: int, seed: int
) -> None:
    """Add an organisation that always has waiting requests."""
    source = name, tokens, 0, seed
    context.sources.append(source)
    if 'target' in context:
        context.window_start = len(context.target.starts)
        context.target.sources.append(RequestSource(*source))


@when('the target runs {count:d} requests under the fair order')
def run_fair(context: Any, count: int) -> None:
    """Run the load under the fair order."""
    order = FairOrder(ShortestFirstOrder(), context.configuration)
    context.target = SerialTarget(order)
    _run(context, count)
    assert order.tracked_count <= len(context.sources)


@when('the target runs {count:d} requests under the order without fairness')
def run_unfair(context: Any, count: int) -> None:
    """Run the load under the inner order alone."""
    context.target = SerialTarget(ShortestFirstOrder())
    _run(context, count)


@when('the target runs {count:d} more requests')
def run_more(context: Any, count: int) -> None:
    """Continue the run under the same order."""
    context.target.run(count)


@when('the rules list no organisation and the target runs {count:d} requests')
def run_unlisted(context: Any, count: int) -> None:
    """Run the load without listed organisations."""
    accept_organisation_order(context.configuration, [])
    run_fair(context, count)


@then('{name} waits no longer than its share allows')
def check_waits(context: Any, name: str) -> None:
    """Compare the end of each request with the bound by its share."""
    assert _count_late(context, name) == 0


@then('{name} waits longer than that')
def check_waits_exceed_share(context: Any, name: str) -> None:
    """Check that the bound detects an order without fairness."""
    assert _count_late(context, name) > 0


@then('{one} and {other} stay within one largest request of their shares')
def check_shares(context: Any, one: str, other: str) -> None:
    """Compare the started tokens divided by weight at each start."""
    check_shares_within(context, one, other, 1)


@then(
    '{one} and {other} stay within {count:d} largest requests of their shares'
)
def check_shares_within(
    context: Any,
    one: str,
    other: str,
    count: int,
) -> None:
    """Compare the started tokens divided by weight at each start."""
    gap = max(_iterate_gaps(context, one, other))
    assert gap <= count * _largest_weighted_tokens(context, one, other), gap


@then('{one} and {other} do not stay within that')
def check_unfair(context: Any, one: str, other: str) -> None:
    """Check that the bound detects an order without fairness."""
    gap = max(_iterate_gaps(context, one, other))
    assert gap > _largest_weighted_tokens(context, one, other), gap


@then('each request of {name} is the next to start')
def check_first(context: Any, name: str) -> None:
    """Check that no other request starts while one of them waits."""
    overtakers = list(_count_overtakers(context, name))
    assert overtakers
    assert not any(overtakers), overtakers


@then('a request of {name} is not the next to start')
def check_not_first(context: Any, name: str) -> None:
    """Check that the organisation comes first only by the rules."""
    assert any(_count_overtakers(context, name))


@then(
    'generated arrivals, starts and withdrawals stay within the bound of start-time fair queueing'
)
def check_generated(context: Any) -> None:
    """Check generated histories of the fair order."""
    check_histories(
        lambda configuration: FairOrder(ShortestFirstOrder(), configuration)
    )


@then('the order without fairness exceeds it')
def check_generated_unfair(context: Any) -> None:
    """Check that the bound detects an order without fairness."""
    try:
        check_histories(lambda _: ShortestFirstOrder())
    except AssertionError:
        return
    raise AssertionError(
        'no generated history exceeded the bound of fair queueing'
    )


def _accept_inventory(context: Any, text: str) -> None:
    pairs = (part.split() for part in text.split(', '))
    context.weights = {name: int(weight) for name, weight in pairs}
    accept_weights(context.configuration, context.weights)


def _run(context: Any, count: int) -> None:
    context.target.sources = [
        RequestSource(*source) for source in context.sources
    ]
    context.target.run(count)


def _share_of(context: Any, name: str) -> float:
    return context.weights[name] / sum(context.weights.values())


def _largest_weighted_tokens(context: Any, *names: str) -> float:
    return max(
        source[1] / context.weights[source[0]]
        for source in context.sources
        if source[0] in names
    )


def _count_late(context: Any, name: str) -> int:
    """Count requests that ended later than the bound by their share.

    The bound adds a request that runs on arrival and one that ties with it.
    """
    target = context.target
    tokens = next(each[1] for each in context.sources if each[0] == name)
    others = max(each[1] for each in context.sources if each[0] != name)
    bound = (tokens / _share_of(context, name) + 2 * others) / TOKENS_PER_SECOND
    own = [
        (started, queued)
        for started, queued in target.starts
        if queued.attempt.organisation == name
    ]
    own.extend(
        (target.now, queued)
        for queued in target.waiting
        if queued.attempt.organisation == name
    )
    assert own
    return sum(
        started + timedelta(seconds=queued.total_tokens / TOKENS_PER_SECOND)
        > queued.arrival + timedelta(seconds=bound)
        for started, queued in own
    )


def _iterate_gaps(context: Any, one: str, other: str) -> Iterator[float]:
    started = {one: 0.0, other: 0.0}
    for _, queued in context.target.starts[context.window_start :]:
        name = queued.attempt.organisation
        started[name] += queued.total_tokens / context.weights[name]
        yield abs(started[one] - started[other])


def _count_overtakers(context: Any, name: str) -> Iterator[int]:
    starts = context.target.starts
    for started, queued in starts:
        if queued.attempt.organisation == name:
            yield sum(
                queued.arrival <= other_started < started
                for other_started, _ in starts
            )
