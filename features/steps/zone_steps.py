"""Steps that drain and kill an availability zone, on a fake clock."""

from typing import Any

from behave import then, when

from buckthornpond_standins.policies import POLICIES, SHIPPED
from buckthornpond_standins.zone_moves import MoveKind, measure_moves

_DRAINS = (MoveKind.drain, MoveKind.stale_drain)


@when(
    'a zone is drained, drained while the entries have stale rules, and killed under the shipped policies'
)
def measure_zone_moves(context: Any) -> None:
    """Run each kind of move under the same load."""
    results = measure_moves(
        context.mix,
        POLICIES[SHIPPED],
        load=context.load,
        seeds=context.seeds,
        report=str,
    )
    context.moves = {result.kind: result for result in results}


@then('a drain truncates no response before its deadline')
def check_drains_cut_nothing(context: Any) -> None:
    """Check both drains for responses cut before their deadline."""
    for kind in _DRAINS:
        truncated = [
            record.outcome
            for record in context.moves[kind].records
            if record.first_seconds
            and not record.is_good
            and not record.outcome.startswith('deadline_exceeded')
        ]
        assert not truncated, (kind, truncated)


@then('a drain fails no more requests than the same load without it')
def check_drains_fail_nothing(context: Any) -> None:
    """Compare both drains with the baseline without a move."""
    baseline = context.moves[MoveKind.none].failed_count
    for kind in _DRAINS:
        failed = context.moves[kind].failed_count
        assert failed <= baseline, (kind, failed, baseline)


@then('goodput recovers within {bound:d} seconds after a kill')
def check_recovery_after_kill(context: Any, bound: int) -> None:
    """Check the run in which the zone was killed without notice."""
    result = context.moves[MoveKind.kill]
    baseline = context.moves[MoveKind.none]
    assert result.lowest_share(baseline) < 1, 'the kill had no effect'
    assert result.recovery_seconds(baseline) <= bound


@then('no returned target crashed')
def check_no_crash(context: Any) -> None:
    """Check every run for crashes of engines that returned cold."""
    assert all(result.crash_count == 0 for result in context.moves.values())
