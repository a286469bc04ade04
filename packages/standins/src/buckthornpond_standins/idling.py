"""Cost of an idle fleet by its numbers of links and processes."""

import time
from types import MappingProxyType

import click

from .fleets import Fleet
from .samples import Sample, sample_agents, sample_entries
from .slopes import fit_costs

# Number of engines and number of entries of each fleet.
_FLEET_SIZES = ((2, 1), (8, 1), (24, 1), (2, 4), (2, 8))
_PROCESS_SETTINGS = MappingProxyType({'heartbeat_interval_ms': 500})
_SETTLE_SECONDS = 2
_COST_UNITS = ('link', 'process')


class _RoleCosts:
    """Mean cost per process of a role, by the number of links."""

    __slots__ = (
        'control_rates',
        'link_counts',
        'processor_percents',
        'resident_mb',
        'role',
    )

    def __init__(self, role: str) -> None:
        self.role = role
        self.link_counts: list[int] = []
        self.processor_percents: list[float] = []
        self.control_rates: list[float] = []
        self.resident_mb: list[float] = []

    def add(self, link_count: int, samples: list[Sample]) -> None:
        """Add a run and print its row of the table.

        :param link_count: number of links of each process.
        :param samples: one sample of each process.
        """
        count = len(samples)
        processor_percent = (
            sum(each.processor_percent for each in samples) / count
        )
        resident_mb = sum(each.resident_mb for each in samples) / count
        anonymous_mb = sum(each.anonymous_mb for each in samples) / count
        seconds = samples[0].elapsed_seconds
        control_rate = (
            sum(each.control_bytes for each in samples) / count / seconds
        )
        read_rate = (
            sum(each.platform_reads for each in samples) / count / seconds
        )
        click.echo(
            f'{self.role:6} {link_count:5} {processor_percent:7.2f} '
            f'{resident_mb:8.1f} {anonymous_mb:8.1f} '
            f'{control_rate:9.0f} {read_rate:8.2f}',
        )
        self.link_counts.append(link_count)
        self.processor_percents.append(processor_percent)
        self.control_rates.append(control_rate)
        self.resident_mb.append(resident_mb)

    def report(self) -> None:
        """Print the fitted costs per link and per process."""
        causes = [[link_count, 1] for link_count in self.link_counts]
        for costs, scale, unit in (
            (self.processor_percents, 1, '% of a core'),
            (self.resident_mb, 1, 'MiB'),
            (self.control_rates, 1, 'B/s'),
        ):
            fit = fit_costs(_COST_UNITS, causes, costs)
            click.echo(f'{self.role}: {fit.render(scale, unit)}')


def measure_idle(seconds: float) -> None:
    """Print the costs of idle processes and their fit over the links.

    :param seconds: duration of each sample.
    """
    click.echo('role   links  core %   RSS MiB anon MiB control/s  reads/s')
    entry_costs = _RoleCosts('entry')
    agent_costs = _RoleCosts('agent')
    for engine_count, entry_count in _FLEET_SIZES:
        with Fleet(
            engine_count=engine_count,
            plain_count=0,
            entry_count=entry_count,
            entry_settings=dict(_PROCESS_SETTINGS),
            agent_settings=dict(_PROCESS_SETTINGS),
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
