"""Sets of policies that experiments compare."""

from collections.abc import Callable, Mapping
from types import MappingProxyType

from buckthornpond_core._generated.inventory import Target
from buckthornpond_core.admission.fairness import FairOrder
from buckthornpond_core.admission.forecasts import (
    Forecast,
    NoForecast,
    PrefillForecast,
)
from buckthornpond_core.admission.limits import (
    FixedLimit,
    SlowStartLimit,
    TargetLimit,
)
from buckthornpond_core.admission.priorities import (
    AgedLengthPriority,
    EqualPriority,
    LengthPriority,
)
from buckthornpond_core.admission.queueing import (
    AdmissionOrder,
    FifoOrder,
    ShortestFirstOrder,
)
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.routing.placement import (
    FittingPlacement,
    LeastLoadedPlacement,
    LeastPrefillPlacement,
    Placement,
    RandomPlacement,
    RoundRobinPlacement,
    TwoChoicesPlacement,
)


class PolicySet:
    """The policies of one run.

    :param name: label in tables.
    :param placement: makes the placement of an entry.
    :param order: makes the admission order of an agent with its configuration.
    :param limit: makes the limit of a target.
    :param forecast: makes the forecast of an agent.
    """

    __slots__ = ('forecast', 'limit', 'name', 'order', 'placement')

    def __init__(
        self,
        name: str,
        *,
        placement: Callable[[], Placement],
        order: Callable[[Configuration], AdmissionOrder],
        limit: Callable[[Target], TargetLimit],
        forecast: Callable[[], Forecast] = NoForecast,
    ) -> None:
        self.name = name
        self.placement = placement
        self.order = order
        self.limit = limit
        self.forecast = forecast


def _slow_start(target: Target) -> TargetLimit:
    return SlowStartLimit(
        target.cold_tokens,
        target.memory_tokens,
        target.warm_up_tokens,
    )


def _fixed(target: Target) -> TargetLimit:
    return FixedLimit(target.memory_tokens)


def _fifo(_configuration: Configuration) -> AdmissionOrder:
    return FifoOrder()


def _prioritised(_configuration: Configuration) -> AdmissionOrder:
    return ShortestFirstOrder(LengthPriority())


def _aged(_configuration: Configuration) -> AdmissionOrder:
    return ShortestFirstOrder(AgedLengthPriority())


def _shortest(_configuration: Configuration) -> AdmissionOrder:
    return ShortestFirstOrder(EqualPriority())


def _fair(configuration: Configuration) -> AdmissionOrder:
    return FairOrder(ShortestFirstOrder(AgedLengthPriority()), configuration)


_SETS = (
    PolicySet(
        'random-fifo',
        placement=RandomPlacement,
        order=_fifo,
        limit=_fixed,
    ),
    PolicySet(
        'round-robin-fifo',
        placement=RoundRobinPlacement,
        order=_fifo,
        limit=_fixed,
    ),
    PolicySet(
        'least-fifo',
        placement=LeastLoadedPlacement,
        order=_fifo,
        limit=_fixed,
    ),
    PolicySet(
        'two-shortest',
        placement=TwoChoicesPlacement,
        order=_shortest,
        limit=_slow_start,
    ),
    PolicySet(
        'random-priority',
        placement=RandomPlacement,
        order=_prioritised,
        limit=_slow_start,
    ),
    PolicySet(
        'two-priority',
        placement=TwoChoicesPlacement,
        order=_prioritised,
        limit=_slow_start,
    ),
    PolicySet(
        'fitting-priority',
        placement=FittingPlacement,
        order=_prioritised,
        limit=_slow_start,
    ),
    PolicySet(
        'fitting-forecast',
        placement=FittingPlacement,
        order=_prioritised,
        limit=_slow_start,
        forecast=PrefillForecast,
    ),
    PolicySet(
        'fitting-fixed-limit',
        placement=FittingPlacement,
        order=_prioritised,
        limit=_fixed,
        forecast=PrefillForecast,
    ),
    PolicySet(
        'prefill-forecast',
        placement=LeastPrefillPlacement,
        order=_aged,
        limit=_slow_start,
        forecast=PrefillForecast,
    ),
    PolicySet(
        'fair-forecast',
        placement=LeastPrefillPlacement,
        order=_fair,
        limit=_slow_start,
        forecast=PrefillForecast,
    ),
    PolicySet(
        'least-priority',
        placement=LeastLoadedPlacement,
        order=_prioritised,
        limit=_slow_start,
    ),
)

POLICIES: Mapping[str, PolicySet] = MappingProxyType(
    {policies.name: policies for policies in _SETS},
)

SHIPPED = 'prefill-forecast'
