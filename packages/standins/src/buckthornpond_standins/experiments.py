"""Comparisons of policies on the decision bench, interleaved in one run."""

from collections.abc import Callable, Iterable, Sequence

from .bench import DecisionBench
from .engine import EngineCosts
from .mixes import (
    LONG_TOKENS,
    SHORT_TOKENS,
    Mix,
    generate_load,
    without_long,
)
from .policies import PolicySet
from .records import RequestRecord

COSTS = EngineCosts(memory_tokens=480_000, cold_tokens=40_000)
LONG_SHARE = 0.02
BUCKETS = (1000, 3000, SHORT_TOKENS, 30_000, LONG_TOKENS, 1_000_000)
QUANTILES = (0.5, 0.95, 0.99)


class Result:
    """Records of the runs of one policy, over all seeds.

    :param name: the policy.
    """

    __slots__ = (
        'bare_records',
        'counts',
        'duration_seconds',
        'name',
        'records',
    )

    def __init__(self, name: str) -> None:
        self.name = name
        self.records: list[RequestRecord] = []
        self.bare_records: list[RequestRecord] = []
        self.counts: dict[str, int] = {}
        self.duration_seconds = 0.0

    def add_counts(self, counts: dict[str, int]) -> None:
        """Sum up the counters of a run.

        :param counts: counters by name and reason.
        """
        for name, count in counts.items():
            self.counts[name] = self.counts.get(name, 0) + count


def quantile(found: Iterable[float], share: float) -> float:
    """Return a quantile by nearest rank, or nought of nothing.

    :param found: the values.
    :param share: between 0 and 1.
    """
    ranked = sorted(found)
    if not ranked:
        return 0.0
    return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


def slowdowns(
    records: Iterable[RequestRecord],
    lowest_tokens: int,
    highest_tokens: int,
) -> list[float]:
    """Return the slowdown of each whole answer of a length bucket.

    :param records: what became of the requests.
    :param lowest_tokens: shortest prompt of the bucket.
    :param highest_tokens: end of the bucket.
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
) -> list[Result]:
    """Run each policy with and without long prompts, seed by seed.

    :param mix: fleet and callers.
    :param policies: what to compare.
    :param load: share of the fleet's prefill capacity.
    :param seeds: seeds of the loads.
    :param duration_seconds: length of each load.
    :param report: receives a line of progress.
    """
    found = {policy.name: (policy, Result(policy.name)) for policy in policies}
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
        for policy, result in found.values():
            bench = DecisionBench(mix, COSTS, policy, seed=seed)
            result.records.extend(bench.run(arrivals))
            result.add_counts(bench.recorder.counts)
            result.duration_seconds += duration_seconds
            bare = DecisionBench(mix, COSTS, policy, seed=seed)
            result.bare_records.extend(bare.run(without_long(arrivals)))
            report(f'{mix.name} seed {seed} {policy.name}')
    return [pair[1] for pair in found.values()]


def render_slowdowns(results: Iterable[Result]) -> str:
    """Return a table of slowdowns by prompt length.

    :param results: what :func:`compare` returned.
    """
    lines = [
        '| policy | prompt tokens | count | good % | p50 | p95 | p99 | '
        'p99 without long | ratio |',
        '|---|---|---|---|---|---|---|---|---|',
    ]
    edges = [(0, SHORT_TOKENS), *zip(BUCKETS, BUCKETS[1:], strict=False)]
    for each in results:
        lines.extend(_render_bucket(each, *edge) for edge in edges)
    return '\n'.join(lines)


def _render_bucket(result: Result, lowest: int, highest: int) -> str:
    found = slowdowns(result.records, lowest, highest)
    count = sum(
        lowest <= record.arrival.submission.prompt_tokens < highest
        for record in result.records
    )
    good = 100 * len(found) / count if count else 0
    bare = quantile(slowdowns(result.bare_records, lowest, highest), 0.99)
    values = [quantile(found, share) for share in QUANTILES]
    ratio = values[-1] / bare if bare else 0
    columns = ' | '.join(f'{each:.2f}' for each in (good, *values, bare, ratio))
    return f'| {result.name} | {lowest}-{highest} | {count} | {columns} |'


def render_outcomes(results: Iterable[Result]) -> str:
    """Return a table of outcomes by length class.

    :param results: what :func:`compare` returned.
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
                    known = outcomes.get(record.outcome, 0)
                    outcomes[record.outcome] = known + 1
            lines.append(f'| {result.name} | {name} | {outcomes} |')
    return '\n'.join(lines)
