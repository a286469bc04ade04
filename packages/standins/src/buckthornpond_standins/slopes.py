"""Least-squares estimates of the cost of one unit of work."""

from collections.abc import Sequence

import numpy


class Fit:
    """Linear fit of a total cost over the units of work that cause it.

    :param names: kinds of unit, one for each slope.
    :param slopes: cost of one unit of each kind.
    :param residual: largest absolute difference between a cost and its fit.
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
        """Return the slopes and the residual as text.

        :param scale: factor from the unit of the costs to the displayed unit.
        :param unit: name of the displayed unit.
        """
        parts = [
            f'{slope * scale:.4g} {unit} per {name}'
            for name, slope in zip(self.names, self.slopes, strict=True)
        ]
        residual = f'largest residual {self.residual * scale:.3g} {unit}'
        return ', '.join([*parts, residual])


def fit_costs(
    names: Sequence[str],
    causes: Sequence[Sequence[float]],
    costs: Sequence[float],
) -> Fit:
    """Return the linear fit with the least squared error.

    :param names: kinds of unit of work.
    :param causes: for each run, the number of units of each kind.
    :param costs: for each run, its total cost.
    """
    matrix = numpy.array(causes, dtype=float)
    totals = numpy.array(costs, dtype=float)
    slopes = numpy.linalg.lstsq(matrix, totals, rcond=None)[0]
    residual = float(numpy.abs(matrix @ slopes - totals).max())
    return Fit(names, [float(slope) for slope in slopes], residual)
