"""Sets of routing and admission policies for the experiments."""

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
    """Routing and admission policies of one run.

    :param name: label in the result tables.
    :param placement: creates the placement policy of an entry.
    :param order: creates an agent's admission order from its configuration.
    :param limit: creates the token limit of a target.
    :param forecast: creates the admission forecast of an agent.
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


def _make_slow_start_limit(target: Target) -> TargetLimit:
    return SlowStartLimit(
        target.cold_tokens,
        target.memory_tokens,
        target.warm_up_tokens,
    )


def _make_fixed_limit(target: Target) -> TargetLimit:
    return FixedLimit(target.memory_tokens)


def _make_fifo_order(_configuration: Configuration) -> AdmissionOrder:
    return FifoOrder()


def _make_length_order(_configuration: Configuration) -> AdmissionOrder:
    return ShortestFirstOrder(LengthPriority())


def _make_aged_length_order(_configuration: Configuration) -> AdmissionOrder:
    return ShortestFirstOrder(AgedLengthPriority())


def _make_shortest_order(_configuration: Configuration) -> AdmissionOrder:
    return ShortestFirstOrder(EqualPriority())


def _make_fair_order(configuration: Configuration) -> AdmissionOrder:
    return FairOrder(ShortestFirstOrder(AgedLengthPriority()), configuration)


_POLICY_SETS = (
    PolicySet(
        'random-fifo',
        placement=RandomPlacement,
        order=_make_fifo_order,
        limit=_make_fixed_limit,
    ),
    PolicySet(
        'round-robin-fifo',
        placement=RoundRobinPlacement,
        order=_make_fifo_order,
        limit=_make_fixed_limit,
    ),
    PolicySet(
        'least-fifo',
        placement=LeastLoadedPlacement,
        order=_make_fifo_order,
        limit=_make_fixed_limit,
    ),
    PolicySet(
        'two-shortest',
        placement=TwoChoicesPlacement,
        order=_make_shortest_order,
        limit=_make_slow_start_limit,
    ),
    PolicySet(
        'random-priority',
        placement=RandomPlacement,
        order=_make_length_order,
        limit=_make_slow_start_limit,
    ),
    PolicySet(
        'two-priority',
        placement=TwoChoicesPlacement,
        order=_make_length_order,
        limit=_make_slow_start_limit,
    ),
    PolicySet(
        'fitting-priority',
        placement=FittingPlacement,
        order=_make_length_order,
        limit=_make_slow_start_limit,
    ),
    PolicySet(
        'fitting-forecast',
        placement=FittingPlacement,
        order=_make_length_order,
        limit=_make_slow_start_limit,
        forecast=PrefillForecast,
    ),
    PolicySet(
        'fitting-fixed-limit',
        placement=FittingPlacement,
        order=_make_length_order,
        limit=_make_fixed_limit,
        forecast=PrefillForecast,
    ),
    PolicySet(
        'prefill-forecast',
        placement=LeastPrefillPlacement,
        order=_make_aged_length_order,
        limit=_make_slow_start_limit,
        forecast=PrefillForecast,
    ),
    PolicySet(
        'fair-forecast',
        placement=LeastPrefillPlacement,
        order=_make_fair_order,
        limit=_make_slow_start_limit,
        forecast=PrefillForecast,
    ),
    PolicySet(
        'least-priority',
        placement=LeastLoadedPlacement,
        order=_make_length_order,
        limit=_make_slow_start_limit,
    ),
)

POLICIES: Mapping[str, PolicySet] = MappingProxyType(
    {policies.name: policies for policies in _POLICY_SETS},
)

SHIPPED = 'prefill-forecast'
