"""Processor time of entry and agent per request and per token."""

from collections.abc import Sequence
from itertools import repeat

import click

from .fleets import CREDENTIAL, Fleet
from .loads import LoadResult, LoadShape
from .samples import Sample, sample_agents, sample_entries, send_load
from .slopes import fit_costs

_ENGINE_COUNT = 4
_LOAD_PROCESS_COUNT = 4
# Requests of each caller and tokens of each request.
_SHAPES = ((12, 2), (4, 40), (1, 200))
_ROUND_COUNT = 2
_CAUSES = ('request', 'token')
_MICROSECONDS = 1_000_000


class _Run:
    """Causes and costs of one run."""

    __slots__ = ('agent_seconds', 'causes', 'entry_seconds')

    def __init__(
        self,
        found: LoadResult,
        output_tokens: int,
        entries: list[Sample],
        agents: list[Sample],
    ) -> None:
        requests = found.complete_count
        elapsed = entries[0].elapsed_seconds
        self.causes = [requests, requests * output_tokens]
        self.entry_seconds = sum(each.processor_seconds for each in entries)
        self.agent_seconds = sum(each.processor_seconds for each in agents)
        busy = 100 * found.processor_seconds / elapsed / _LOAD_PROCESS_COUNT
        share = 100 * self.entry_seconds / elapsed
        click.echo(
            f'{requests:6} requests of {output_tokens:4} tokens in '
            f'{elapsed:5.2f} s, {found.failed_count} failed; entry {share:.0f}% '
            f'of a core, each load process {busy:.0f}%, '
            f'agents {100 * self.agent_seconds / elapsed:.0f}% together',
        )


def measure_rates(callers: int) -> None:
    """Print slopes and what one core would carry.

    :param callers: requests in flight.
    """
    runs: list[_Run] = []
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
            found = send_load(list(repeat(shape, _LOAD_PROCESS_COUNT)))
            for sample in (*entries, *agents):
                sample.finish()
            runs.append(_Run(found, output_tokens, entries, agents))
    causes = [run.causes for run in runs]
    _report('entry', causes, [run.entry_seconds for run in runs])
    _report('agents', causes, [run.agent_seconds for run in runs])


def _report(
    role: str,
    causes: Sequence[Sequence[float]],
    costs: list[float],
) -> None:
    fit = fit_costs(_CAUSES, causes, costs)
    click.echo(f'{role}: {fit.render(_MICROSECONDS, "us")}')
    per_request, per_token = fit.slopes
    click.echo(
        f'{role}: {1 / per_request:.0f} requests/s or '
        f'{1 / per_token:.0f} tokens/s per core',
    )
