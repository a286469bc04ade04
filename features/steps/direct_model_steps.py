"""Steps on models of resources shared without coordination."""

from datetime import timedelta
from typing import Any

from behave import then, when

from buckthornpond_core.serving.budgets import (
    ColdRateLimit,
    WindowedRetryBudget,
)
from features.specs.cold_shares import ShareGuards, ShareSpecification
from features.specs.tickets import TicketGuards, TicketSpecification
from features.steps.key_model_steps import explore, get_property_verdict

_MAX_STATES = 200_000
_MS = timedelta(milliseconds=1)


@when('the specification of tickets is explored')
def explore_tickets(context: Any) -> None:
    """Explore every state."""
    explore(context, TicketSpecification().protocol(), _MAX_STATES)


@when('the specification of tickets is explored without "{guard}"')
def explore_ticket_variant(context: Any, guard: str) -> None:
    """Explore a variant that lacks one rule."""
    guards = TicketGuards()._replace(**{guard: False})
    explore(context, TicketSpecification(guards).protocol(), _MAX_STATES)


@when('the specification of shares is explored')
def explore_shares(context: Any) -> None:
    """Explore every state."""
    explore(context, ShareSpecification().protocol(), _MAX_STATES)


@when('the specification of shares is explored without "{guard}"')
def explore_share_variant(context: Any, guard: str) -> None:
    """Explore a variant that lacks one rule."""
    guards = ShareGuards()._replace(**{guard: False})
    explore(context, ShareSpecification(guards).protocol(), _MAX_STATES)


@then('it holds in every state')
def check_holds(context: Any) -> None:
    """Check that the property holds in the explored states."""
    verdict = get_property_verdict(context)
    assert verdict['holds'], verdict
    assert context.found['reachable_states'] > 50


@then('the checker finds a counterexample')
def check_fails(context: Any) -> None:
    """Check that the property of the variant fails."""
    verdict = get_property_verdict(context)
    assert not verdict['holds'], verdict


@when(
    '{count:d} entries send as fast as allowed to a target limited to '
    '{limit:d} requests a second'
)
def send_cold(context: Any, count: int, limit: int) -> None:
    """Send with the implemented limit of each entry on a fake clock."""
    rate_limits = [ColdRateLimit(limit) for _ in range(count)]
    context.sent = []
    for now_ms in range(0, 5000, 5):
        now = now_ms * _MS
        for number, rate_limit in enumerate(rate_limits):
            if rate_limit.has_room(now):
                rate_limit.record(now)
                context.sent.append((now_ms, number))


@then('no second has more than {limit:d} requests')
def check_borne(context: Any, limit: int) -> None:
    """Count the requests in a sliding window of a second."""
    times = [now_ms for now_ms, _ in context.sent]
    for begin in range(0, 4000, 5):
        found = sum(begin <= now_ms < begin + 1000 for now_ms in times)
        assert found <= limit, (begin, found)


@then('each entry sent at least {count:d} requests in 5 seconds')
def check_sent(context: Any, count: int) -> None:
    """Check that each entry uses its share."""
    for number in range(32):
        sent = sum(each == number for _, each in context.sent)
        assert sent >= count, (number, sent)


@when(
    'entries with {count:d} requests in {seconds:d} seconds retry as often '
    'as allowed'
)
def repeat(context: Any, count: int, seconds: int) -> None:
    """Retry with the budgets of three entries on a fake clock."""
    budgets = [
        WindowedRetryBudget(0.2, timedelta(seconds=10)) for _ in range(3)
    ]
    context.requests = []
    context.retries = []
    step_ms = seconds * 1000 // count
    for number in range(count):
        now_ms = number * step_ms
        budget = budgets[number % 3]
        budget.record_request(now_ms * _MS)
        context.requests.append(now_ms)
        while budget.allow_retry(now_ms * _MS):
            context.retries.append(now_ms)


@then(
    'no window of {seconds:d} seconds has more retries than a fifth of its '
    'requests and {reserve:d} an entry'
)
def check_repeats(context: Any, seconds: int, reserve: int) -> None:
    """Compare requests and retries in a sliding window."""
    window = seconds * 1000
    assert context.retries
    for end in range(0, max(context.requests) + window, 250):
        retries = sum(end - window <= at < end for at in context.retries)
        requests = sum(end - window <= at < end for at in context.requests)
        assert retries <= requests / 5 + reserve * 3, (end, retries, requests)
