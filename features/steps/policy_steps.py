"""Steps that compare policies under load, on a fake clock."""

from collections.abc import Iterable
from typing import Any

from behave import given, then, when

from buckthornpond_standins.experiments import (
    COSTS,
    PolicyResult,
    compare,
    quantile,
    slowdowns,
)
from buckthornpond_standins.mixes import LONG_TOKENS, MIXES, SHORT_TOKENS
from buckthornpond_standins.overload import measure_goodput
from buckthornpond_standins.policies import POLICIES, SHIPPED
from buckthornpond_standins.records import RequestRecord

_LOAD_SECONDS = 60.0
_P99 = 0.99


@given(
    'the load of {mix} at {percent:d} percent of capacity with seeds 0 to {last:d}'
)
def choose_load(context: Any, mix: str, percent: int, last: int) -> None:
    """Set the load that all runs share."""
    context.mix = next(each for each in MIXES if each.name == mix)
    context.load = percent / 100
    context.seeds = range(last + 1)
    context.results = {}


@when('it runs with and without long prompts under {policy}')
def run_policy(context: Any, policy: str) -> None:
    """Run the load under one set of policies."""
    name = SHIPPED if policy == 'the shipped policies' else policy
    context.results[name] = compare(
        context.mix,
        [POLICIES[name]],
        load=context.load,
        seeds=context.seeds,
        duration_seconds=_LOAD_SECONDS,
        report=str,
    )[0]


@then(
    'the p99 slowdown of short prompts under the shipped policies is within {bound:g} of the load without long prompts'
)
def check_slowdown(context: Any, bound: float) -> None:
    """Compare the runs with and without long prompts."""
    result = context.results[SHIPPED]
    context.bound = bound * short_p99(result.records_without_long)
    p99_slowdown = short_p99(result.records)
    assert p99_slowdown <= context.bound, (p99_slowdown, context.bound)


@then('under {policy} it is beyond that bound')
def check_baseline(context: Any, policy: str) -> None:
    """Check that the bound detects a naive policy."""
    p99_slowdown = short_p99(context.results[policy].records)
    assert p99_slowdown > context.bound, (p99_slowdown, context.bound)


@then('no short prompt is refused or late under the shipped policies')
def check_short(context: Any) -> None:
    """Check the outcome of each short prompt."""
    check_outcomes(context.results[SHIPPED], 0, SHORT_TOKENS)


@then('every long prompt that an engine can hold finishes in time')
def check_long(context: Any) -> None:
    """Check the outcome of each long prompt."""
    highest = COSTS.memory_tokens - 1000
    check_outcomes(context.results[SHIPPED], LONG_TOKENS, highest)


def short_p99(records: Iterable[RequestRecord]) -> float:
    """Return the 99th percentile of the slowdown of short prompts."""
    return quantile(slowdowns(records, 0, SHORT_TOKENS), _P99)


def check_outcomes(result: PolicyResult, lowest: int, highest: int) -> None:
    """Check that each prompt of a length bucket got a complete response."""
    outcomes = [
        record.outcome
        for record in result.records
        if lowest <= record.arrival.submission.prompt_tokens < highest
    ]
    assert outcomes
    incomplete = [outcome for outcome in outcomes if outcome != 'complete']
    assert not incomplete, incomplete


@when('goodput is measured at 100 and 200 percent under {policy}')
def run_goodput(context: Any, policy: str) -> None:
    """Run one set of policies at and above capacity."""
    name = SHIPPED if policy == 'the shipped policies' else policy
    context.results[name] = measure_goodput(
        context.mix,
        [POLICIES[name]],
        seeds=context.seeds,
        duration_seconds=_LOAD_SECONDS,
        loads=(1.0, 2.0),
        report=str,
    )


@then(
    'goodput at 200 percent under the shipped policies is at least that at 100 percent'
)
def check_goodput(context: Any) -> None:
    """Compare the goodput, in requests per second, at both loads."""
    at_capacity, above = context.results[SHIPPED]
    assert above.good_per_second >= at_capacity.good_per_second


@then('under {policy} goodput falls')
def check_naive_goodput(context: Any, policy: str) -> None:
    """Check that the comparison detects a naive policy."""
    at_capacity, above = context.results[policy]
    assert above.good_per_second < at_capacity.good_per_second


@then(
    'at most {bound:d} percent of the requests under the shipped policies fail late'
)
def check_late(context: Any, bound: int) -> None:
    """Check the percentage of requests that were accepted and failed late."""
    assert context.results[SHIPPED][1].late_percent <= bound


@then(
    'no short prompt is refused or late at 200 percent under the shipped policies'
)
def check_short_above(context: Any) -> None:
    """Check the outcome of each short prompt."""
    assert context.results[SHIPPED][1].good_percent(0, SHORT_TOKENS) == 100
