"""Goodput of policies at loads below and above the fleet's capacity."""

from collections.abc import Callable, Iterable, Sequence

from .bench import DecisionBench
from .engine import EngineCosts
from .experiments import COSTS, LONG_SHARE
from .mixes import LONG_TOKENS, SHORT_TOKENS, Mix, generate_load
from .policies import PolicySet
from .records import RequestRecord

# Only requests that arrive between these shares of the duration are measured.
# Before them the fleet is still filling up; after them the last long prompts
# run without later arrivals.
_MEASURED_SHARES = (0.2, 0.7)
LOADS = (0.5, 0.7, 0.9, 1.0, 1.2, 2.0)


class GoodputResult:
    """Goodput of one policy at one load, over all seeds.

    :param name: name of the policy.
    :param load: share of the fleet's prefill capacity.
    """

    __slots__ = (
        'duration_seconds',
        'load',
        'name',
        'records',
        'retry_count',
    )

    def __init__(self, name: str, load: float) -> None:
        self.name = name
        self.load = load
        self.duration_seconds = 0.0
        self.records: list[RequestRecord] = []
        self.retry_count = 0

    @property
    def good_per_second(self) -> float:
        """Complete responses in time, per second."""
        good_count = sum(record.is_good for record in self.records)
        return good_count / self.duration_seconds

    @property
    def good_tokens_per_second(self) -> float:
        """Prompt tokens of complete responses in time, per second."""
        tokens = sum(
            record.arrival.submission.prompt_tokens
            for record in self.records
            if record.is_good
        )
        return tokens / self.duration_seconds

    @property
    def late_percent(self) -> float:
        """Percentage of requests that failed without an early refusal."""
        late_count = sum(
            not record.is_good and not record.is_refused_in_time
            for record in self.records
        )
        return 100 * late_count / len(self.records)

    def good_percent(self, lowest_tokens: int, highest_tokens: int) -> float:
        """Return the percentage of a length bucket answered in time.

        :param lowest_tokens: lower bound of the bucket, inclusive.
        :param highest_tokens: upper bound of the bucket, exclusive.
        """
        successes = [
            record.is_good
            for record in self.records
            if lowest_tokens
            <= record.arrival.submission.prompt_tokens
            < highest_tokens
        ]
        return 100 * sum(successes) / len(successes) if successes else 0.0


def measure_goodput(
    mix: Mix,
    policies: Sequence[PolicySet],
    *,
    seeds: Iterable[int],
    duration_seconds: float,
    loads: Sequence[float] = LOADS,
    costs: EngineCosts = COSTS,
    report: Callable[[str], None],
) -> list[GoodputResult]:
    """Return the goodput of each policy at each load.

    :param mix: fleet and callers.
    :param policies: policies to compare.
    :param seeds: seeds of the loads.
    :param duration_seconds: duration of each load.
    :param loads: offered loads, as shares of the prefill capacity.
    :param costs: speed and memory of the engines.
    :param report: called with a progress line after each run.
    """
    results = {
        (policy.name, load): GoodputResult(policy.name, load)
        for load in loads
        for policy in policies
    }
    capacity = mix.target_count * costs.prefill_tokens_per_second
    for seed in seeds:
        for load in loads:
            arrivals = generate_load(
                mix,
                tokens_per_second=load * capacity,
                memory_tokens=costs.memory_tokens,
                duration_seconds=duration_seconds,
                long_share=LONG_SHARE,
                seed=seed,
            )
            for policy in policies:
                bench = DecisionBench(mix, costs, policy, seed=seed)
                result = results[policy.name, load]
                first_seconds, last_seconds = (
                    each * duration_seconds for each in _MEASURED_SHARES
                )
                result.records.extend(
                    record
                    for record in bench.run(arrivals)
                    if first_seconds <= record.arrival.at_seconds < last_seconds
                )
                result.duration_seconds += last_seconds - first_seconds
                result.retry_count += bench.recorder.sum_counts('retries/')
                report(f'{mix.name} seed {seed} load {load} {policy.name}')
    return list(results.values())


def render_goodput(results: Iterable[GoodputResult]) -> str:
    """Return a Markdown table of goodput by load.

    :param results: results of :func:`measure_goodput`.
    """
    lines = [
        '| policy | load | good a second | good tokens a second | '
        'short good % | middle good % | long good % | late % | retries |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    edges = (0, SHORT_TOKENS, LONG_TOKENS, COSTS.memory_tokens - 1000)
    for each in results:
        shares = ' | '.join(
            f'{each.good_percent(*edge):.1f}'
            for edge in zip(edges, edges[1:], strict=False)
        )
        lines.append(
            f'| {each.name} | {each.load} | {each.good_per_second:.1f} | '
            f'{each.good_tokens_per_second:,.0f} | {shares} | '
            f'{each.late_percent:.1f} | {each.retry_count} |',
        )
    return '\n'.join(lines)
