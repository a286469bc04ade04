"""Steps that run generated histories through the decision classes."""

from collections import Counter
from typing import Any

from behave import then, when
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from buckthornpond_core._generated.messages import Final, Refused
from features.specs.lossy_network import LossyNetwork, find_faults, find_leaks

_SUBMIT = st.tuples(
    st.just('submit'),
    st.integers(0, 1),
    st.sampled_from(['keyed', 'plain', 'model']),
    st.sampled_from([1, 400, 1000]),
    st.sampled_from([50, 3000, 8000, 8000]),
)
_STEP = st.one_of(
    _SUBMIT,
    st.tuples(st.just('deliver'), st.integers(1, 8)),
    st.tuples(st.just('deliver'), st.just(50)),
    st.tuples(st.just('advance'), st.sampled_from([1, 3, 25])),
    st.tuples(st.just('heartbeat')),
    st.tuples(st.just('serve'), st.integers(0, 1), st.integers(0, 3)),
    st.tuples(st.just('read'), st.integers(0, 20)),
    st.tuples(st.just('hang_up'), st.integers(0, 20)),
    st.tuples(st.just('cut'), st.integers(0, 1), st.integers(0, 1)),
    st.tuples(st.just('freeze'), st.integers(0, 1)),
    st.tuples(st.just('restart_agent'), st.integers(0, 1)),
    st.tuples(st.just('kill_entry'), st.integers(0, 1)),
    st.tuples(st.just('begin_stop'), st.integers(0, 1)),
)


def _classify_ending(ending: Final | Refused) -> str:
    return 'whole' if isinstance(ending, Final) else ending.outcome.value


def _run_step(network: LossyNetwork, step: Any) -> None:
    name, *parameters = step
    if name == 'submit':
        entry, kind, tokens, time_limit_ms = parameters
        network.submit(
            entry,
            is_keyed=kind == 'keyed',
            is_idempotent=kind == 'model',
            tokens=tokens,
            time_limit_ms=time_limit_ms,
        )
    elif name == 'freeze':
        network.is_frozen[parameters[0]] ^= True
    elif name == 'begin_stop':
        network.begin_stop(parameters[0])
    else:
        getattr(network, name)(*parameters)


@when(
    '{count:d} histories of up to {length:d} steps run through 2 entries and 2 agents',
)
def run_histories(context: Any, count: int, length: int) -> None:
    """Generate histories, run each to its end and check it."""
    context.history_count = 0
    context.submission_count = 0
    context.endings = Counter()

    @settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.lists(_SUBMIT, min_size=2, max_size=6),
        st.lists(_STEP, min_size=10, max_size=length),
    )
    def check(submits: Any, steps: Any) -> None:
        network = LossyNetwork()
        for step in [*submits, *steps]:
            _run_step(network, step)
        network.settle()
        found = [*find_leaks(network), *find_faults(network)]
        assert not found, (found, submits, steps)
        context.history_count += 1
        context.submission_count += len(network.callers)
        for caller in network.callers:
            context.endings.update(map(_classify_ending, caller.endings))

    check()
    context.expected_count = count


@then(
    'each of them releases everything and each caller gets one correct ending',
)
def check_count(context: Any) -> None:
    """Check the number of histories and that every kind of ending occurs."""
    assert context.history_count >= context.expected_count
    assert context.submission_count > context.history_count
    expected = {'whole', 'not_run', 'outcome_unknown'}
    assert set(context.endings) == expected, context.endings
    assert context.endings['whole'] > context.history_count / 2


@when('a history runs through an agent that does not release reservations')
def run_leaky(context: Any) -> None:
    """Run one request through an agent whose release does nothing."""
    network = LossyNetwork(agent_count=1)
    ledger = network.agents[0].admission._reservations  # noqa: SLF001
    leaky = type(
        'LeakyLedger', (type(ledger),), {'release': _release_nothing}
    )()
    network.agents[0].admission._reservations = leaky  # noqa: SLF001
    _run_step(network, ('submit', 0, 'model', 400, 5000))
    network.settle()
    context.leaks = find_leaks(network)


def _release_nothing(ledger: Any, attempt_id: str) -> int:
    return 0


@then('the check reports that the agent holds tokens')
def check_leak(context: Any) -> None:
    """Check that the leaked tokens are reported."""
    assert context.leaks == ['agent-0 holds (0, 400, 0, 0)'], context.leaks
