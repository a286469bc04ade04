"""Steps that move an availability zone under load, on a fake clock."""

from typing import Any

from behave import then, when

from buckthornpond_standins.policies import POLICIES, SHIPPED
from buckthornpond_standins.zone_moves import MoveKind, measure_moves


@when(
    "a zone is drained, drained behind the entries' backs, and killed under the shipped policies"
)
def move_zone(context: Any) -> None:
    """Run each kind of move under the same load."""
    results = measure_moves(
        context.mix,
        POLICIES[SHIPPED],
        load=context.load,
        seeds=context.seeds,
        report=str,
    )
    context.moves = {result.kind: result for result in results}


@then('a drain cuts or fails at most {bound:d} answers in a thousand')
def check_drain(context: Any, bound: int) -> None:
    """Check both drains."""
    for kind in (MoveKind.drain, MoveKind.stale_drain):
        result = context.moves[kind]
        lost = 1000 * result.failed_count / len(result.records)
        assert lost <= bound, (kind, lost)


@then('after a kill goodput is back within {bound:d} seconds')
def check_kill(context: Any, bound: int) -> None:
    """Check the run in which the zone died without notice."""
    result = context.moves[MoveKind.kill]
    usual = context.moves[MoveKind.none]
    assert result.lowest_share(usual) < 1, 'the kill had no effect'
    assert result.recovery_seconds(usual) <= bound


@then('no returned target fell over')
def check_returned(context: Any) -> None:
    """Check the engines that returned cold."""
    assert all(result.crash_count == 0 for result in context.moves.values())
