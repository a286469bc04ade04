"""Measurements of the overhead of the product, with processes on loopback."""

import json
import subprocess
import sys

import click

from .idling import measure_idle
from .inventories import measure_configuration, read_configuration_cost
from .latencies import measure_latency
from .rates import measure_rates
from .slow_readers import measure_slow_readers

_CALLER_COUNTS = (1, 16, 128)
_READER_COUNTS = (1, 100, 1000)


@click.group()
def main() -> None:
    """Measure the overhead of the product."""


@main.command()
@click.option('--rounds', default=3, help='Interleaved rounds.')
@click.option('--callers', multiple=True, type=int, default=_CALLER_COUNTS)
def latency(rounds: int, callers: tuple[int, ...]) -> None:
    """Time to first token and inter-token latency, added over the engine."""
    measure_latency(rounds, callers)


@main.command()
@click.option('--callers', default=64, help='Requests in flight.')
def rates(callers: int) -> None:
    """Processor time of entries and agents per request and per token."""
    measure_rates(callers)


@main.command()
@click.option('--seconds', default=10.0, help='Length of each sample.')
def idle(seconds: float) -> None:
    """Processor share, memory and control traffic of an idle fleet."""
    measure_idle(seconds)


@main.command()
def configuration() -> None:
    """Size, parse time and memory of inventories of increasing size."""
    measure_configuration(_measure_in_subprocess)


@main.command()
@click.option('--rounds', default=2, help='Interleaved rounds.')
@click.option('--readers', multiple=True, type=int, default=_READER_COUNTS)
def slow(rounds: int, readers: tuple[int, ...]) -> None:
    """Bytes buffered for slow readers, and latencies of other callers."""
    measure_slow_readers(readers, rounds)


@main.command(hidden=True)
@click.argument('instance_count', type=int)
@click.argument('organisation_count', type=int)
def one_configuration(instance_count: int, organisation_count: int) -> None:
    """Print the cost of one inventory as JSON."""
    costs = read_configuration_cost(instance_count, organisation_count)
    click.echo(json.dumps(costs))


def _measure_in_subprocess(
    instance_count: int,
    organisation_count: int,
) -> dict[str, float]:
    command = [
        sys.executable,
        '-m',
        __spec__.name,
        'one-configuration',
        str(instance_count),
        str(organisation_count),
    ]
    completed = subprocess.run(command, capture_output=True, check=True)
    costs: dict[str, float] = json.loads(completed.stdout)
    return costs


if __name__ == '__main__':
    main()
