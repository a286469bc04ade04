"""Measurements of the product's own cost, with real processes on loopback."""

import json
import subprocess
import sys

import click

from .idling import measure_idle
from .inventories import measure_configuration, read_configuration_cost
from .latencies import measure_latency
from .rates import measure_rates
from .slow_readers import measure_slow_readers

_CALLERS = (1, 16, 128)
_READERS = (1, 100, 1000)


@click.group()
def main() -> None:
    """Measure what the product costs by itself."""


@main.command()
@click.option('--rounds', default=3, help='Interleaved rounds.')
@click.option('--callers', multiple=True, type=int, default=_CALLERS)
def latency(rounds: int, callers: tuple[int, ...]) -> None:
    """Added time to first token and between tokens, over the engine alone."""
    measure_latency(rounds, callers)


@main.command()
@click.option('--callers', default=64, help='Requests in flight.')
def rates(callers: int) -> None:
    """Processor time per request and per token of entry and agent."""
    measure_rates(callers)


@main.command()
@click.option('--seconds', default=10.0, help='Length of each sample.')
def idle(seconds: float) -> None:
    """Processor share, memory and control bytes without requests."""
    measure_idle(seconds)


@main.command()
def configuration() -> None:
    """Bytes, parse time and memory of inventories of growing size."""
    measure_configuration(_measure_apart)


@main.command()
@click.option('--rounds', default=2, help='Interleaved rounds.')
@click.option('--readers', multiple=True, type=int, default=_READERS)
def slow(rounds: int, readers: tuple[int, ...]) -> None:
    """Bytes held for callers that read nothing, and times of others."""
    measure_slow_readers(readers, rounds)


@main.command(hidden=True)
@click.argument('instance_count', type=int)
@click.argument('organisation_count', type=int)
def one_configuration(instance_count: int, organisation_count: int) -> None:
    """Print the cost of one inventory as JSON."""
    found = read_configuration_cost(instance_count, organisation_count)
    click.echo(json.dumps(found))


def _measure_apart(
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
    done = subprocess.run(command, capture_output=True, check=True)
    found: dict[str, float] = json.loads(done.stdout)
    return found


if __name__ == '__main__':
    main()
