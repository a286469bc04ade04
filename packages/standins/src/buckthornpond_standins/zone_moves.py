"""Simulated goodput while an availability zone is drained or killed."""

from collections.abc import Callable, Iterable
from enum import StrEnum
from functools import partial

from buckthornpond_core._generated.inventory import Rules

from .bench import DecisionBench
from .experiments import COSTS, LONG_SHARE
from .mixes import Mix, generate_load
from .policies import PolicySet
from .records import RequestRecord

ZONE = 'zone-0'
LEAVE_SECONDS = 20
KILL_AFTER_SECONDS = 15
RETURN_SECONDS = 40
END_SECONDS = 80
_RECOVERED_GOODPUT_SHARE = 0.95
_WINDOW_SECONDS = 5


class MoveKind(StrEnum):
    """How the zone leaves the fleet, if at all."""

    none = 'none'
    drain = 'drain'
    stale_drain = 'drain, entries not told'
    kill = 'kill'


class MoveResult:
    """Outcome of one kind of move, over all seeds.

    :param kind: how the zone left the fleet.
    """

    __slots__ = (
        'crash_count',
        'good_per_second',
        'kind',
        'records',
        'retry_count',
    )

    def __init__(self, kind: MoveKind) -> None:
        self.kind = kind
        self.records: list[RequestRecord] = []
        self.good_per_second = [0 for _ in range(END_SECONDS)]
        self.retry_count = 0
        self.crash_count = 0

    @property
    def truncated_count(self) -> int:
        """Number of responses that started but did not complete."""
        return sum(
            bool(record.first_seconds) and not record.is_good
            for record in self.records
        )

    @property
    def failed_count(self) -> int:
        """Number of requests without a complete response.

        Prompts that are too large for any engine are left out.
        """
        return sum(
            not record.is_good and 'prompt_too_large' not in record.outcome
            for record in self.records
        )

    def share_of(self, baseline: 'MoveResult', second: int) -> float:
        """Return the goodput in a window as a share of the baseline.

        :param baseline: the run without a move.
        :param second: middle of the window.
        """
        window = slice(
            max(0, second - _WINDOW_SECONDS // 2),
            second + _WINDOW_SECONDS // 2 + 1,
        )
        baseline_count = sum(baseline.good_per_second[window])
        return (
            sum(self.good_per_second[window]) / baseline_count
            if baseline_count
            else 1.0
        )

    def lowest_share(self, baseline: 'MoveResult') -> float:
        """Return the lowest share of the baseline after the move started.

        :param baseline: the run without a move.
        """
        seconds = range(LEAVE_SECONDS, END_SECONDS - _WINDOW_SECONDS)
        return min(self.share_of(baseline, second) for second in seconds)

    def recovery_seconds(self, baseline: 'MoveResult') -> int:
        """Return the seconds after which goodput stays recovered.

        Counted from the start of the move.

        :param baseline: the run without a move.
        """
        low_seconds = [
            second
            for second in range(LEAVE_SECONDS, END_SECONDS - _WINDOW_SECONDS)
            if self.share_of(baseline, second) < _RECOVERED_GOODPUT_SHARE
        ]
        return max(low_seconds) + 1 - LEAVE_SECONDS if low_seconds else 0


def measure_moves(
    mix: Mix,
    policies: PolicySet,
    *,
    load: float,
    seeds: Iterable[int],
    report: Callable[[str], None],
) -> list[MoveResult]:
    """Run each kind of move under the same loads.

    :param mix: fleet and callers.
    :param policies: routing and admission policies.
    :param load: share of the whole fleet's prefill capacity.
    :param seeds: seeds of the loads.
    :param report: called with a progress line after each run.
    """
    results = [MoveResult(kind) for kind in MoveKind]
    capacity = mix.target_count * COSTS.prefill_tokens_per_second
    for seed in seeds:
        arrivals = generate_load(
            mix,
            tokens_per_second=load * capacity,
            memory_tokens=COSTS.memory_tokens,
            duration_seconds=END_SECONDS,
            long_share=LONG_SHARE,
            seed=seed,
        )
        for result in results:
            bench = DecisionBench(mix, COSTS, policies, seed=seed)
            _schedule_move(bench, result.kind)
            records = bench.run(arrivals)
            _add_records(result, records)
            result.crash_count += sum(
                agent.engine.crash_count for agent in bench.agents.values()
            )
            result.retry_count += bench.recorder.sum_counts('retries/')
            report(f'{mix.name} seed {seed} {result.kind}')
    return results


def render_moves(results: list[MoveResult]) -> str:
    """Return a Markdown table of moves.

    :param results: results of :func:`measure_moves`, the baseline first.
    """
    lines = [
        '| move | requests | answers cut | failed or refused | lowest share of '
        'goodput | seconds until it stays above 95 % | retries |',
        '|---|---|---|---|---|---|---|',
    ]
    baseline = results[0]
    for each in results:
        lines.append(
            f'| {each.kind} | {len(each.records)} | {each.truncated_count} | '
            f'{each.failed_count} | {each.lowest_share(baseline):.2f} | '
            f'{each.recovery_seconds(baseline)} | {each.retry_count} |',
        )
    return '\n'.join(lines)


def _add_records(result: MoveResult, records: list[RequestRecord]) -> None:
    result.records.extend(records)
    for record in records:
        # Counted at the time of arrival, so that a long response counts in the
        # second of its request.
        if record.is_good:
            result.good_per_second[int(record.arrival.at_seconds)] += 1


def _schedule_move(bench: DecisionBench, kind: MoveKind) -> None:
    instances = bench.instances_in_zone(ZONE)
    if kind is MoveKind.none:
        return
    if kind is MoveKind.kill:
        kill_seconds = LEAVE_SECONDS
    else:
        kill_seconds = LEAVE_SECONDS + KILL_AFTER_SECONDS
        notifies_entries = kind is MoveKind.drain
        drain = Rules(version=1, draining_availability_zones=[ZONE])
        bench.schedule(
            LEAVE_SECONDS,
            partial(bench.set_rules, drain, includes_entries=notifies_entries),
        )
        bench.schedule(
            RETURN_SECONDS,
            partial(bench.set_rules, Rules(version=2)),
        )
    for name in instances:
        bench.schedule(kill_seconds, partial(bench.kill_instance, name))
        bench.schedule(RETURN_SECONDS, partial(bench.restart_instance, name))
