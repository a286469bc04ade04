"""Processor time of entries and agents per request and per token."""

from collections.abc import Sequence
from itertools import repeat

import click

from .fleets import CREDENTIAL, Fleet
from .loads import LoadResult, LoadShape
from .samples import Sample, sample_agents, sample_entries, send_load
from .slopes import fit_costs

_ENGINE_COUNT = 4
_LOAD_PROCESS_COUNT = 4
# Number of requests of each caller, and of tokens of each request.
_SHAPES = ((12, 2), (4, 40), (1, 200))
_ROUND_COUNT = 2
_COST_UNITS = ('request', 'token')
_MICROSECONDS_PER_SECOND = 1_000_000


class _RateRun:
    """Counts of requests and tokens, and processor time, of one run."""

    __slots__ = ('agent_seconds', 'entry_seconds', 'unit_counts')

    def __init__(
        self,
        result: LoadResult,
        output_tokens: int,
        entries: list[Sample],
        agents: list[Sample],
    ) -> None:
        request_total = result.complete_count
        elapsed_seconds = entries[0].elapsed_seconds
        self.unit_counts = [request_total, request_total * output_tokens]
        self.entry_seconds = sum(each.processor_seconds for each in entries)
        self.agent_seconds = sum(each.processor_seconds for each in agents)
        load_process_percent = (
            100
            * result.processor_seconds
            / elapsed_seconds
            / _LOAD_PROCESS_COUNT
        )
        entry_percent = 100 * self.entry_seconds / elapsed_seconds
        click.echo(
            f'{request_total:6} requests of {output_tokens:4} tokens in '
            f'{elapsed_seconds:5.2f} s, {result.failed_count} failed; '
            f'entry {entry_percent:.0f}% of a core, each load process {load_process_percent:.0f}%, '
            f'agents {100 * self.agent_seconds / elapsed_seconds:.0f}% '
            f'together',
        )


def measure_rates(callers: int) -> None:
    """Print processor costs and the rates that one core can sustain.

    :param callers: number of requests in flight.
    """
    runs: list[_RateRun] = []
    with Fleet(
        engine_count=_ENGINE_COUNT,
        plain_count=0,
        entry_count=1,
    ) as fleet:
        for request_count, output_tokens in _SHAPES * _ROUND_COUNT:
            entries = sample_entries(fleet)
            agents = sample_agents(fleet)
            shape = LoadShape(
                addresses=fleet.entry_addresses,
                credential=CREDENTIAL,
                caller_count=callers // _LOAD_PROCESS_COUNT,
                request_count=request_count,
                output_tokens=output_tokens,
            )
            result = send_load(list(repeat(shape, _LOAD_PROCESS_COUNT)))
            for sample in (*entries, *agents):
                sample.finish()
            runs.append(_RateRun(result, output_tokens, entries, agents))
    unit_counts = [run.unit_counts for run in runs]
    _print_costs('entry', unit_counts, [run.entry_seconds for run in runs])
    _print_costs('agents', unit_counts, [run.agent_seconds for run in runs])


def _print_costs(
    role: str,
    unit_counts: Sequence[Sequence[float]],
    costs: list[float],
) -> None:
    fit = fit_costs(_COST_UNITS, unit_counts, costs)
    click.echo(f'{role}: {fit.render(_MICROSECONDS_PER_SECOND, "us")}')
    per_request, per_token = fit.slopes
    click.echo(
        f'{role}: {1 / per_request:.0f} requests/s or '
        f'{1 / per_token:.0f} tokens/s per core',
    )
