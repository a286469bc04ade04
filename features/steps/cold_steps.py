"""Steps for targets that become cold under load, on a fake clock."""

from functools import partial
from typing import Any

from behave import given, then, when

from buckthornpond_standins.bench import DecisionBench
from buckthornpond_standins.experiments import COSTS, LONG_SHARE
from buckthornpond_standins.mixes import Mix, generate_load
from buckthornpond_standins.models import EngineModel
from buckthornpond_standins.policies import POLICIES, SHIPPED

_LOAD_SECONDS = 60.0
_RESTARTED_INSTANCE = 'engine-0'
_COOLED_INSTANCE = 'engine-1'


@given(
    '{entries:d} entries before {targets:d} targets at {percent:d} percent of capacity, seed {seed:d}'
)
def choose_fleet(
    context: Any,
    entries: int,
    targets: int,
    percent: int,
    seed: int,
) -> None:
    """Generate the load of the fleet."""
    context.mix = Mix(
        'cold',
        target_count=targets,
        entry_count=entries,
        large_count=2,
        large_share=0.6,
    )
    context.seed = seed
    context.arrivals = generate_load(
        context.mix,
        tokens_per_second=percent
        / 100
        * targets
        * COSTS.prefill_tokens_per_second,
        memory_tokens=COSTS.memory_tokens,
        duration_seconds=_LOAD_SECONDS,
        long_share=LONG_SHARE,
        seed=seed,
    )


@given('one target that has just started')
def restart_one_target(context: Any) -> None:
    """Restart one target before the load."""
    context.prepare = _restart


@given('one target that turns cold in the middle of the load')
def cool_one_target(context: Any) -> None:
    """Make one target cold in the middle of the load."""
    context.prepare = _schedule_cool_down


@when('the load runs under {policy}')
def run_load(context: Any, policy: str) -> None:
    """Run the load under one set of policies."""
    name = SHIPPED if policy == 'the shipped policies' else policy
    context.bench = DecisionBench(
        context.mix,
        COSTS,
        POLICIES[name],
        seed=context.seed,
    )
    context.prepare(context.bench)
    context.bench.run(context.arrivals)


@then('the fresh target crashed')
def check_overrun(context: Any) -> None:
    """Check that a fixed limit overloads the target."""
    assert _find_engine(context, _RESTARTED_INSTANCE).crash_count > 0


@then(
    'the fresh target never held more than its cold limit and is warm at the end'
)
def check_cold_tokens(context: Any) -> None:
    """Check the tokens that the engine held while it was cold."""
    engine = _find_engine(context, _RESTARTED_INSTANCE)
    assert 0 < engine.peak_cold_tokens <= COSTS.cold_tokens
    assert engine.crash_count == 0
    assert engine.is_warm


@then('the cold target crashed repeatedly')
def check_repeated_crashes(context: Any) -> None:
    """Check that a fixed limit overloads the target."""
    assert _find_engine(context, _COOLED_INSTANCE).crash_count > 1


@then('the cold target crashed at most once and is warm at the end')
def check_single_crash(context: Any) -> None:
    """Check that the agent detected the cold target and let it warm up."""
    engine = _find_engine(context, _COOLED_INSTANCE)
    assert engine.crash_count <= 1
    assert engine.is_warm


def _find_engine(context: Any, name: str) -> EngineModel:
    engine: EngineModel = context.bench.agents[name].engine
    return engine


def _restart(bench: DecisionBench) -> None:
    bench.restart_instance(_RESTARTED_INSTANCE)


def _schedule_cool_down(bench: DecisionBench) -> None:
    cool_down = partial(_cool_down, bench)
    bench.schedule(_LOAD_SECONDS / 2, cool_down)


def _cool_down(bench: DecisionBench) -> None:
    bench.agents[_COOLED_INSTANCE].engine.cool_down()
