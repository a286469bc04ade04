"""Plots of simulation results."""

from collections.abc import Iterable
from pathlib import Path

from matplotlib.figure import Figure

from .zone_moves import MoveResult


def plot_moves(results: Iterable[MoveResult], path: Path) -> None:
    """Plot the goodput per second for each kind of move.

    :param results: one result for each kind of move.
    :param path: image file to write.
    """
    figure = Figure(figsize=(9, 4))
    axes = figure.add_subplot()
    for result in results:
        axes.plot(result.good_per_second, label=str(result.kind))
    axes.set_xlabel('second of arrival')
    axes.set_ylabel('requests answered in time')
    axes.legend()
    figure.savefig(path)
