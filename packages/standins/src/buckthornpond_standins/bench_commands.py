"""Commands that compare policies and write result tables to ``out``."""

from pathlib import Path

import click

from .experiments import compare, render_outcomes, render_slowdowns
from .mixes import MIXES, RAVI
from .overload import measure_goodput, render_goodput
from .plots import plot_moves
from .policies import POLICIES, SHIPPED
from .zone_moves import measure_moves, render_moves

_OUTPUT_FOLDER = Path('out')


def save(name: str, text: str) -> None:
    """Print a result and write it to a file in ``out``.

    :param name: file name.
    :param text: settings of the run and its tables.
    """
    _OUTPUT_FOLDER.mkdir(exist_ok=True)
    (_OUTPUT_FOLDER / name).write_text(f'{text}\n')
    click.echo(text)


def _show_progress(line: str) -> None:
    click.echo(line, err=True)


@click.group()
def bench() -> None:
    """Simulate routing and admission policies on a fake clock."""


@bench.command()
@click.option('--load', default=0.7, help='Share of the prefill capacity.')
@click.option('--seeds', default=3, help='Seeds, from 0.')
@click.option('--seconds', default=60.0, help='Length of a load.')
@click.option('--policies', default='', help='Names with commas, or all.')
def policies(load: float, seeds: int, seconds: float, policies: str) -> None:
    """Compare the slowdown of requests under several policies, by mix."""
    names = policies.split(',') if policies else list(POLICIES)
    for mix in MIXES:
        results = compare(
            mix,
            [POLICIES[name] for name in names],
            load=load,
            seeds=range(seeds),
            duration_seconds=seconds,
            report=_show_progress,
        )
        heading = f'{mix.name}: load {load}, {seeds} seeds of {seconds} s each'
        tables = [heading, render_slowdowns(results), render_outcomes(results)]
        save(f'policies-{mix.name}.md', '\n\n'.join(tables))


@bench.command()
@click.option('--seeds', default=2, help='Seeds, from 0.')
@click.option('--seconds', default=120.0, help='Length of a load.')
@click.option('--policies', default='', help='Names with commas.')
def goodput(seeds: int, seconds: float, policies: str) -> None:
    """Measure goodput from half to twice the capacity, by mix."""
    names = policies.split(',') if policies else ['two-shortest', SHIPPED]
    for mix in MIXES:
        results = measure_goodput(
            mix,
            [POLICIES[name] for name in names],
            seeds=range(seeds),
            duration_seconds=seconds,
            report=_show_progress,
        )
        heading = f'{mix.name}: {seeds} seeds of {seconds} s each'
        save(
            f'goodput-{mix.name}.md',
            f'{heading}\n\n{render_goodput(results)}',
        )


@bench.command()
@click.option('--load', default=0.5, help='Share of the prefill capacity.')
@click.option('--seeds', default=2, help='Seeds, from 0.')
def moves(load: float, seeds: int) -> None:
    """Drain or kill a zone of the ravi mix and plot the goodput."""
    results = measure_moves(
        RAVI,
        POLICIES[SHIPPED],
        load=load,
        seeds=range(seeds),
        report=_show_progress,
    )
    heading = f'{RAVI.name}: load {load}, {seeds} seeds'
    save('moves.md', f'{heading}\n\n{render_moves(results)}')
    plot_moves(results, _OUTPUT_FOLDER / 'moves.png')
