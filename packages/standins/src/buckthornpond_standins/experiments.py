"""Simulated policy comparisons under the same loads, interleaved in one run."""

from collections.abc import Callable, Iterable, Sequence

from .bench import DecisionBench
from .engine import EngineCosts
from .mixes import (
    LONG_TOKENS,
    SHORT_TOKENS,
    Mix,
    drop_long_prompts,
    generate_load,
)
from .policies import PolicySet
from .records import RequestRecord

COSTS = EngineCosts(memory_tokens=480_000, cold_tokens=40_000)
LONG_SHARE = 0.02
BUCKET_EDGES_TOKENS = (1000, 3000, SHORT_TOKENS, 30_000, LONG_TOKENS, 1_000_000)
QUANTILES = (0.5, 0.95, 0.99)


class PolicyResult:
    """Records of the runs of one policy, over all seeds.

    :param name: name of the policy.
    """

    __slots__ = (
        'records_without_long',
        'counts',
        'duration_seconds',
        'name',
        'records',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.records: list[RequestRecord] = []
        self.records_without_long: list[RequestRecord] = []
        self.counts: dict[str, int] = {}
        self.duration_seconds = 0.0

    def add_counts(self, counts: dict[str, int]) -> None:
        """Add the counters of a run to the totals.

        :param counts: counters, keyed by ``name/reason``.
        """
        for name, count in counts.items():
            self.counts[name] = self.counts.get(name, 0) + count


def quantile(values: Iterable[float], share: float) -> float:
    """Return a nearest-rank quantile, or zero if there are no values.

    :param values: values in any order.
    :param share: the quantile, between 0 and 1.
    """
    ranked = sorted(values)
    if not ranked:
        return 0.0
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def slowdowns(
    records: Iterable[RequestRecord],
    lowest_tokens: int,
    highest_tokens: int,
) -> list[float]:
    """Return the slowdowns of complete responses in a prompt length bucket.

    :param records: outcomes of the requests.
    :param lowest_tokens: lower bound of the bucket, inclusive.
    :param highest_tokens: upper bound of the bucket, exclusive.
    """
    return [
        record.slowdown(COSTS)
        for record in records
        if record.is_good
        and lowest_tokens
        <= record.arrival.submission.prompt_tokens
        < highest_tokens
    ]


def compare(
    mix: Mix,
    policies: Iterable[PolicySet],
    *,
    load: float,
    seeds: Sequence[int],
    duration_seconds: float,
    report: Callable[[str], None],
) -> list[PolicyResult]:
    """Run each policy with and without long prompts, seed by seed.

    :param mix: fleet and callers.
    :param policies: policies to compare.
    :param load: share of the fleet's prefill capacity.
    :param seeds: seeds of the loads.
    :param duration_seconds: duration of each load.
    :param report: called with a progress line after each run.
    """
    runs = {
        policy.name: (policy, PolicyResult(policy.name)) for policy in policies
    }
    capacity = mix.target_count * COSTS.prefill_tokens_per_second
    for seed in seeds:
        arrivals = generate_load(
            mix,
            tokens_per_second=load * capacity,
            memory_tokens=COSTS.memory_tokens,
            duration_seconds=duration_seconds,
            long_share=LONG_SHARE,
            seed=seed,
        )
        for policy, result in runs.values():
            bench = DecisionBench(mix, COSTS, policy, seed=seed)
            result.records.extend(bench.run(arrivals))
            result.add_counts(bench.recorder.counts)
            result.duration_seconds += duration_seconds
            bench_without_long = DecisionBench(mix, COSTS, policy, seed=seed)
            result.records_without_long.extend(
                bench_without_long.run(drop_long_prompts(arrivals)),
            )
            report(f'{mix.name} seed {seed} {policy.name}')
    return [pair[1] for pair in runs.values()]


def render_slowdowns(results: Iterable[PolicyResult]) -> str:
    """Return a Markdown table of slowdowns by prompt length.

    :param results: results of :func:`compare`.
    """
    lines = [
        '| policy | prompt tokens | count | good % | p50 | p95 | p99 | '
        'p99 without long | ratio |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    edges = [
        (0, SHORT_TOKENS),
        *zip(BUCKET_EDGES_TOKENS, BUCKET_EDGES_TOKENS[1:], strict=False),
    ]
    for each in results:
        lines.extend(_render_bucket(each, *edge) for edge in edges)
    return '\n'.join(lines)


def _render_bucket(result: PolicyResult, lowest: int, highest: int) -> str:
    bucket = slowdowns(result.records, lowest, highest)
    count = sum(
        lowest <= record.arrival.submission.prompt_tokens < highest
        for record in result.records
    )
    good_percent = 100 * len(bucket) / count if count else 0
    p99_without_long = quantile(
        slowdowns(result.records_without_long, lowest, highest),
        0.99,
    )
    values = [quantile(bucket, share) for share in QUANTILES]
    ratio = values[-1] / p99_without_long if p99_without_long else 0
    columns = ' | '.join(
        f'{each:.2f}'
        for each in (good_percent, *values, p99_without_long, ratio)
    )
    return f'| {result.name} | {lowest}-{highest} | {count} | {columns} |'


def render_outcomes(results: Iterable[PolicyResult]) -> str:
    """Return a Markdown table of outcomes by prompt length class.

    :param results: results of :func:`compare`.
    """
    lines = ['| policy | class | outcomes |', '|---|---|---|']
    for result in results:
        classes = (
            ('short', 0, SHORT_TOKENS),
            ('middle', SHORT_TOKENS, LONG_TOKENS),
            ('long', LONG_TOKENS, COSTS.memory_tokens - 1000),
        )
        for name, lowest, highest in classes:
            outcomes: dict[str, int] = {}
            for record in result.records:
                tokens = record.arrival.submission.prompt_tokens
                if lowest <= tokens < highest:
                    previous = outcomes.get(record.outcome, 0)
                    outcomes[record.outcome] = previous + 1
            lines.append(f'| {result.name} | {name} | {outcomes} |')
    return '\n'.join(lines)
