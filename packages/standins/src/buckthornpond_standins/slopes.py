"""Least squares: the cost of each unit of work from whole costs."""

from collections.abc import Sequence

import numpy


class Fit:
    """Slopes of a cost over its causes.

    :param names: the causes, one for each slope.
    :param slopes: cost of one unit of each cause.
    :param residual: largest difference between a cost and its fit.
    """

    __slots__ = ('names', 'residual', 'slopes')

    def __init__(
        self,
        names: Sequence[str],
        slopes: Sequence[float],
        residual: float,
    ) -> None:
        self.names = names
        self.slopes = slopes
        self.residual = residual

    def render(self, scale: float, unit: str) -> str:
        """Return the slopes as text.

        :param scale: factor from the unit of the costs to the unit shown.
        :param unit: the unit shown.
        """
        parts = [
            f'{slope * scale:.4g} {unit} per {name}'
            for name, slope in zip(self.names, self.slopes, strict=True)
        ]
        worst = f'largest residual {self.residual * scale:.3g} {unit}'
        return ', '.join([*parts, worst])


def fit_costs(
    names: Sequence[str],
    causes: Sequence[Sequence[float]],
    costs: Sequence[float],
) -> Fit:
    """Return the slopes that explain the costs best.

    :param names: the causes.
    :param causes: for each run, the units of each cause.
    :param costs: for each run, its whole cost.
    """
    matrix = numpy.array(causes, dtype=float)
    wanted = numpy.array(costs, dtype=float)
    slopes = numpy.linalg.lstsq(matrix, wanted, rcond=None)[0]
    residual = float(numpy.abs(matrix @ slopes - wanted).max())
    return Fit(names, [float(slope) for slope in slopes], residual)
