"""Plots of results."""

from collections.abc import Iterable
from pathlib import Path

from matplotlib.figure import Figure

from .zone_moves import MoveResult


def plot_moves(results: Iterable[MoveResult], path: Path) -> None:
    """Plot the goodput second by second for each kind of move.

    :param results: what the moves did.
    :param path: file of the picture.
    """
    figure = Figure(figsize=(9, 4))
    axes = figure.add_subplot()
    for result in results:
        axes.plot(result.good_per_second, label=str(result.kind))
    axes.set_xlabel('second of arrival')
    axes.set_ylabel('requests answered in time')
    axes.legend()
    figure.savefig(path)
