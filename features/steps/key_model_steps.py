"""Steps that explore the specifications of keys and outcome queries."""

from typing import Any

from behave import then, when
from minicheck import check_safety

from features.specs.counts import only, report
from features.specs.key_simulation import (
    KeySimulation,
    compare_all_steps,
    compare_random_walks,
)
from features.specs.key_specification import Bounds, Guards, KeySpecification
from features.specs.naive_key_homes import ForgetfulKeyHome
from features.specs.outcome_queries import OutcomeGuards, OutcomeSpecification

_MAX_STATES = 300_000
_MAX_VARIANT_STATES = 100_000
_SEED = 20260


def explore(context: Any, protocol: Any, max_states: int) -> None:
    """Explore a model and report how many states it has."""
    context.found = check_safety(protocol, max_states=max_states)
    report(f'{protocol.name}: {context.found["reachable_states"]} states')


def get_property_verdict(context: Any) -> dict[str, Any]:
    """Return the checker's verdict on the only property of the model."""
    verdict: dict[str, Any] = only(list(context.found['properties'].values()))
    return verdict


@when(
    'the specification of keys is explored with {versions:d} versions and {restarts:d} restarts'
)
def explore_keys(context: Any, versions: int, restarts: int) -> None:
    """Explore every state."""
    bounds = Bounds(versions=versions, restarts=restarts)
    explore(context, KeySpecification(bounds=bounds).protocol(), _MAX_STATES)


@then('every state was explored and the key runs at most once')
@then('every state was explored and "not run" is true')
def check_holds(context: Any) -> None:
    """Check that the exploration was exhaustive and the property holds."""
    assert context.found['exhaustive']
    assert get_property_verdict(context)['holds'] is True, context.found


@when(
    'the specification of keys is explored with {versions:d} versions, {restarts:d} restarts and without "{guard}"'
)
def explore_unguarded(
    context: Any,
    versions: int,
    restarts: int,
    guard: str,
) -> None:
    """Explore the variant that lacks one guard."""
    specification = KeySpecification(
        Guards(**{guard: False}),
        Bounds(versions=versions, restarts=restarts),
    )
    explore(context, specification.protocol(), _MAX_VARIANT_STATES)


@then('the checker finds a state in which the key ran twice')
@then('the checker finds a false "not run"')
def check_counterexample(context: Any) -> None:
    """Check that there is a counterexample."""
    verdict = get_property_verdict(context)
    assert verdict['holds'] is False, context.found
    labels = [step['label'] for step in verdict['counterexample'][1:]]
    report(f'counterexample of {len(labels)} steps: {labels}')


@when(
    'the implementation is run along every step with {versions:d} versions and no restart'
)
def drive_all(context: Any, versions: int) -> None:
    """Compare the implementation with the specification on every step."""
    bounds = Bounds(versions=versions, restarts=0)
    states, steps = compare_all_steps(KeySpecification(bounds=bounds))
    report(f'{states} states, {steps} steps compared')
    context.step_count = steps


@when(
    'the implementation is run along {walks:d} walks of {length:d} steps with {versions:d} versions and {restarts:d} restarts'
)
def drive_walks(
    context: Any,
    walks: int,
    length: int,
    versions: int,
    restarts: int,
) -> None:
    """Compare the implementation with the specification on random walks."""
    bounds = Bounds(versions=versions, attempts=3, restarts=restarts)
    context.step_count = compare_random_walks(
        KeySpecification(bounds=bounds),
        walks=walks,
        length=length,
        seed=_SEED,
    )
    report(f'{context.step_count} steps compared, seed {_SEED}')


@then('no step differs')
def check_no_difference(context: Any) -> None:
    """Check that the comparison, which raised nothing, covered many steps."""
    assert context.step_count > 10_000, context.step_count


class ForgetfulSimulation(KeySimulation):
    """Simulation whose homes request and record no fences."""

    def __init__(self) -> None:
        super().__init__()
        for driver in self.homes:
            driver.home = ForgetfulKeyHome()


@when('homes without fences are run along the same walks')
def drive_forgetful(context: Any) -> None:
    """Record the first difference."""
    context.difference = ''
    try:
        compare_random_walks(
            KeySpecification(bounds=Bounds(versions=3, attempts=3, restarts=2)),
            walks=100,
            length=30,
            seed=_SEED,
            make_simulation=ForgetfulSimulation,
        )
    except AssertionError as error:
        context.difference = str(error)


@then('a step differs')
def check_difference_found(context: Any) -> None:
    """Check that the comparison found a difference."""
    assert context.difference
    report(f'difference found: {context.difference}')


@when('the specification of outcome queries is explored')
def explore_outcome_queries(context: Any) -> None:
    """Explore every state."""
    explore(context, OutcomeSpecification().protocol(), _MAX_STATES)


@when('the specification of outcome queries is explored without "{guard}"')
def explore_unguarded_queries(context: Any, guard: str) -> None:
    """Explore the variant that lacks one guard."""
    specification = OutcomeSpecification(OutcomeGuards(**{guard: False}))
    explore(context, specification.protocol(), _MAX_VARIANT_STATES)
