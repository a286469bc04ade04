"""Control cost of an idle fleet by links and by entries."""

import time
from types import MappingProxyType

import click

from .fleets import Fleet
from .samples import Sample, sample_agents, sample_entries
from .slopes import fit_costs

_FLEETS = ((2, 1), (8, 1), (24, 1), (2, 4), (2, 8))
_DEFAULTS = MappingProxyType({'heartbeat_interval_ms': 500})
_SETTLE_SECONDS = 2
_CAUSES = ('link', 'process')


class _Costs:
    """Mean cost of one process of a role, by its number of links."""

    __slots__ = ('control', 'links', 'processor', 'resident', 'role')

    def __init__(self, role: str) -> None:
        self.role = role
        self.links: list[int] = []
        self.processor: list[float] = []
        self.control: list[float] = []
        self.resident: list[float] = []

    def add(self, link_count: int, samples: list[Sample]) -> None:
        """Add a run and print its row.

        :param link_count: links of each process.
        :param samples: one of each process.
        """
        count = len(samples)
        processor = sum(each.processor_percent for each in samples) / count
        resident = sum(each.resident_mb for each in samples) / count
        anonymous = sum(each.anonymous_mb for each in samples) / count
        seconds = samples[0].elapsed_seconds
        control = sum(each.control_bytes for each in samples) / count / seconds
        reads = sum(each.platform_reads for each in samples) / count / seconds
        click.echo(
            f'{self.role:6} {link_count:5} {processor:7.2f} '
            f'{resident:8.1f} {anonymous:8.1f} {control:9.0f} {reads:8.2f}',
        )
        self.links.append(link_count)
        self.processor.append(processor)
        self.control.append(control)
        self.resident.append(resident)

    def report(self) -> None:
        """Print the slopes."""
        causes = [[links, 1] for links in self.links]
        for costs, scale, unit in (
            (self.processor, 1, '% of a core'),
            (self.resident, 1, 'MiB'),
            (self.control, 1, 'B/s'),
        ):
            fit = fit_costs(_CAUSES, causes, costs)
            click.echo(f'{self.role}: {fit.render(scale, unit)}')


def measure_idle(seconds: float) -> None:
    """Print what idle processes cost and the slopes over their links.

    :param seconds: length of each sample.
    """
    click.echo('role   links  core %   RSS MiB anon MiB control/s  reads/s')
    entry_costs = _Costs('entry')
    agent_costs = _Costs('agent')
    for engine_count, entry_count in _FLEETS:
        with Fleet(
            engine_count=engine_count,
            plain_count=0,
            entry_count=entry_count,
            entry_settings=dict(_DEFAULTS),
            agent_settings=dict(_DEFAULTS),
        ) as fleet:
            time.sleep(_SETTLE_SECONDS)
            entries = sample_entries(fleet)
            agents = sample_agents(fleet)
            time.sleep(seconds)
            for sample in (*entries, *agents):
                sample.finish()
        entry_costs.add(engine_count, entries)
        agent_costs.add(entry_count, agents)
    entry_costs.report()
    agent_costs.report()
