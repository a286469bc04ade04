"""Steps on orders, with a model of two successive agents in one slot.

The successor starts after the predecessor has exited, because the listening
address is exclusive. An order of the predecessor may still be in flight;
with "late orders" it may arrive at any time.
"""

from collections.abc import Iterator
from datetime import UTC, datetime, timedelta
from typing import Any, NamedTuple, TypeAlias

from behave import given, then, when
from minicheck import Protocol, check_safety

from buckthornpond_core._generated.events import DesiredState
from buckthornpond_core._generated.platform import (
    Order,
    OrderKind,
    OrderReport,
)
from buckthornpond_core.orders import (
    CountingFencingNumbers,
    EpochFencingNumbers,
    OrderLimits,
    OrderPlanner,
)
from buckthornpond_standins.fleets import call_json, wait_until
from buckthornpond_standins.orders import OrderLog
from buckthornpond_standins.records import CountingRecorder

_LIMITS = OrderLimits(
    pause=timedelta(seconds=6),
    confirmation_delay=timedelta(seconds=1),
    max_order_age=timedelta(seconds=4),
)
_MAX_ORDERS = 2

Transition: TypeAlias = tuple[Any, ...]


class Case:
    """Assumptions of one exploration."""

    __slots__ = (
        'has_late_orders',
        'is_clock_set_back',
        'is_checking',
        'restarts_numbers',
    )

    def __init__(self, target: str, text: str) -> None:
        self.is_checking = target == 'checks'
        self.has_late_orders = 'late' in text
        self.is_clock_set_back = 'went back' in text
        self.restarts_numbers = 'start again' in text


class State(NamedTuple):
    """State of the agents, the orders in flight and the orders applied."""

    agent: int = 1
    order_counts: tuple[int, int] = (0, 0)
    in_flight: tuple[tuple[int, int], ...] = ()
    applied: tuple[tuple[int, int], ...] = ()

    @property
    def book(self) -> OrderLog:
        """Return the target's order book with the applied orders."""
        return _make_book(self.applied, is_checking=True)


def _make_book(
    applied: tuple[tuple[int, int], ...],
    *,
    is_checking: bool,
) -> OrderLog:
    book = OrderLog(is_checking=False)
    for number, version in applied:
        book.take(_make_order(number, version))
    book._is_checking = is_checking
    return book


def _make_order(number: int, version: int) -> Order:
    return Order(
        kind=OrderKind.load_model,
        fencing_number=number,
        model_version=str(version),
    )


def _make_start_time(agent: int, case: Case) -> datetime:
    seconds = 10 - agent if case.is_clock_set_back else 10 + agent
    return datetime.fromtimestamp(seconds, tz=UTC)


def _next_number(state: State, case: Case, highest: int) -> int:
    numbers = (
        CountingFencingNumbers()
        if case.restarts_numbers
        else EpochFencingNumbers(_make_start_time(state.agent, case))
    )
    number = 0
    for _ in range(1 + state.order_counts[state.agent - 1]):
        number = numbers.take_next(highest)
    return number


def _send_order(state: State, case: Case) -> State:
    book = _make_book(state.applied, is_checking=case.is_checking)
    highest = book.report().highest_fencing_number
    number = _next_number(state, case, highest)
    counts = list(state.order_counts)
    counts[state.agent - 1] += 1
    return state._replace(
        order_counts=tuple(counts),
        in_flight=(*state.in_flight, (number, state.agent)),
    )


def _may_send_order(state: State, case: Case) -> bool:
    if state.applied and state.applied[-1][1] == state.agent:
        return False
    if any(each[1] == state.agent for each in state.in_flight):
        return False
    if state.agent == 1:
        # The predecessor sends a limited number; the successor does not stop.
        return state.order_counts[0] < _MAX_ORDERS
    return case.has_late_orders or not state.in_flight


def find_steps(state: State, case: Case) -> Iterator[tuple[str, State]]:
    """Return the label of each possible step with its next state."""
    if _may_send_order(state, case):
        yield f'give {state.agent}', _send_order(state, case)
    if state.agent == 1:
        yield 'restart', state._replace(agent=2)
    for order in state.in_flight:
        in_flight = tuple(each for each in state.in_flight if each != order)
        yield f'lose {order}', state._replace(in_flight=in_flight)
        book = _make_book(state.applied, is_checking=case.is_checking)
        applied = state.applied
        if book.take(_make_order(*order)):
            applied = (*applied, order)
        yield (
            f'deliver {order}',
            state._replace(in_flight=in_flight, applied=applied),
        )


def _is_in_order(found: dict[str, Any]) -> bool:
    versions = [version for _, version in found['applied']]
    return versions == sorted(versions)


@when(
    'orders of two successive agents to a target that {target:w} '
    'fencing numbers are explored {text}'
)
def explore(context: Any, target: str, text: str) -> None:
    """Explore all states of the model."""
    context.case = Case(target, text)

    def expand(state: Transition) -> list[tuple[str, Transition]]:
        return [
            (label, tuple(found))
            for label, found in find_steps(State(*state), context.case)
            if max(found.order_counts) <= 2 * _MAX_ORDERS
        ]

    def is_reconciled(found: dict[str, Any]) -> bool:
        state = State(**found)
        is_at_rest = state.agent == 2 and not state.in_flight
        can_go_on = _may_send_order(state, context.case)
        is_spent = state.order_counts[1] >= 2 * _MAX_ORDERS
        is_right = bool(state.applied) and state.applied[-1][1] == 2
        is_refused = is_spent and _is_next_refused(state, context.case)
        return not is_at_rest or is_right or (can_go_on and not is_refused)

    model = Protocol(
        name='orders',
        candidate=False,
        fields=State._fields,
        initial=_make_initial(context.case),
        transitions=expand,
        invariants={'in order': _is_in_order, 'at rest': is_reconciled},
    )
    report = check_safety(model)
    assert report['exhaustive']
    context.found = report['properties']


def _make_initial(case: Case) -> Transition:
    # A predecessor that counted from 1 has sent several orders already.
    applied = ((2 * _MAX_ORDERS + 1, 1),) if case.restarts_numbers else ()
    return tuple(State(applied=applied))


def _is_next_refused(state: State, case: Case) -> bool:
    given = _send_order(state, case).in_flight[-1]
    book = _make_book(state.applied, is_checking=case.is_checking)
    return not book.take(_make_order(*given))


@then('no old order takes effect after a newer one')
def check_in_order(context: Any) -> None:
    """Check the invariant."""
    assert context.found['in order']['holds'] is True, context.found


@then('an old order takes effect after a newer one')
def check_out_of_order(context: Any) -> None:
    """Check that the exploration finds the late order."""
    assert context.found['in order']['holds'] is False


@then('the newest desired version is in force at rest')
def check_at_rest(context: Any) -> None:
    """Check the invariant."""
    assert context.found['at rest']['holds'] is True, context.found


@then('the newest desired version is not in force at rest')
def check_not_at_rest(context: Any) -> None:
    """Check that the exploration finds the fault of the baseline."""
    assert context.found['at rest']['holds'] is False


def _make_planner() -> OrderPlanner:
    planner = OrderPlanner(
        EpochFencingNumbers(datetime(2030, 1, 1, tzinfo=UTC)),
        _LIMITS,
        timedelta(0),
        CountingRecorder(),
    )
    planner.desired_state = DesiredState(target_address='', model_version='m1')
    return planner


def _run_planner(context: Any, seconds: int) -> None:
    for _ in range(seconds):
        context.now += timedelta(seconds=1)
        context.planner.tick(context.now)


def _plan(context: Any) -> Order | None:
    return context.planner.plan(OrderReport(model_version=''), context.now)


@given('an agent that may send orders')
def start_long_ago(context: Any) -> None:
    """Run the planner for 10 seconds and record a heartbeat."""
    start_now(context)
    _run_planner(context, 10)
    context.planner.confirm(context.now)
    assert _plan(context) is not None


@given('an agent that has just started')
def start_now(context: Any) -> None:
    """Start the planner at time 0."""
    context.now = timedelta(0)
    context.resumed = timedelta(0)
    context.planner = _make_planner()


@when('it is paused for {seconds:d} seconds')
def pause(context: Any, seconds: int) -> None:
    """Let time pass without a tick."""
    context.now += timedelta(seconds=seconds)
    context.resumed = context.now


@when('a heartbeat arrives {seconds:d} seconds after the {event:w}')
def hear_entry(context: Any, seconds: int, event: str) -> None:
    """Run the planner until then and record a heartbeat."""
    wanted = context.resumed + timedelta(seconds=seconds)
    _run_planner(context, (wanted - context.now) // timedelta(seconds=1))
    context.planner.confirm(context.now)


@then('it sends no order')
def check_no_order(context: Any) -> None:
    """Check that the planner returns no order."""
    assert _plan(context) is None


@then('it sends an order')
def check_order(context: Any) -> None:
    """Check that the planner returns an order."""
    assert _plan(context) is not None


@when('model version {version} is published for the engine')
def publish_model(context: Any, version: str) -> None:
    """Publish an inventory with the model version."""
    inventory = context.fleet.inventory
    inventory['version'] += 1
    inventory['services'][0]['model_version'] = version
    context.fleet.publish()


@then('the engine has model version {version}')
def check_model(context: Any, version: str) -> None:
    """Read the report of the engine until it has the version."""
    address = context.fleet.engines[0].target_address

    def check() -> bool:
        report = call_json(address, 'GET', '/v1/orders')
        context.numbers = [
            *getattr(context, 'numbers', []),
            report['highest_fencing_number'],
        ]
        return report['model_version'] == version

    wait_until(check)


@when('the agent of the engine is killed and started again')
def restart_agent(context: Any) -> None:
    """Kill the process and start it in the same slot."""
    context.first_number = context.numbers[-1]
    agent = context.fleet.engines[0].agent
    agent.kill()
    agent.start()


@then('its fencing number has increased')
def check_number(context: Any) -> None:
    """Compare the numbers of both agents."""
    assert context.first_number > 0, context.numbers
    assert context.numbers[-1] > context.first_number, context.numbers
