"""Orders to a target: fencing numbers, liveness and reconciliation."""

from datetime import datetime, timedelta
from typing import Protocol

from ._generated.events import DesiredState
from ._generated.platform import Order, OrderKind, OrderReport
from .configuration.documents import Configuration
from .event_codes import EventCode
from .types import Recorder

_NUMBERS_PER_SECOND = 1000


class OrderLimits:
    """Limits on orders.

    :param pause: gap between two ticks that shows a pause of the process.
    :param confirmation_delay: running time after a start or a pause before a
        heartbeat counts, so that buffered heartbeats do not.
    :param max_order_age: longest time that an order of the preceding process is
        in flight.
    """

    __slots__ = ('confirmation_delay', 'max_order_age', 'pause')

    def __init__(
        self,
        *,
        pause: timedelta,
        confirmation_delay: timedelta,
        max_order_age: timedelta,
    ) -> None:
        self.pause = pause
        self.confirmation_delay = confirmation_delay
        self.max_order_age = max_order_age


class FencingNumbers(Protocol):
    """Source of fencing numbers."""

    def take_next(self, highest_number: int) -> int:
        """Return a number for one order.

        :param highest_number: highest one that the target reported, or 0.
        """


class EpochFencingNumbers:
    """Fencing numbers that increase across restarts without stored state.

    They derive from the wall-clock time of the process's start and exceed
    the highest number that the target reported, so that they increase even
    after the clock was set back.

    :param started: wall-clock time of the start.
    """

    __slots__ = ('_last_number',)

    def __init__(self, started: datetime) -> None:
        self._last_number = int(started.timestamp()) * _NUMBERS_PER_SECOND

    def take_next(self, highest_number: int) -> int:
        """Return the number after the highest one known."""
        self._last_number = max(self._last_number, highest_number) + 1
        return self._last_number


class CountingFencingNumbers:
    """Fencing numbers that count from 1 in each process, as a baseline."""

    __slots__ = ('_last_number',)

    def __init__(self) -> None:
        self._last_number = 0

    def take_next(self, highest_number: int) -> int:
        """Return the next number."""
        self._last_number += 1
        return self._last_number


class OrderPlanner:
    """Decides when an agent sends an order, and with which fencing number.

    It reconciles the target's report with the configuration, so that an
    order that was lost or undone is sent again.

    :param numbers: source of fencing numbers.
    :param limits: limits on orders.
    :param now: start time on the monotonic clock.
    :param recorder: counters and log of the process.
    """

    __slots__ = (
        '_is_confirmed',
        '_last_tick',
        '_limits',
        '_numbers',
        '_recorder',
        '_resumed',
        '_started',
        'desired_state',
    )

    def __init__(
        self,
        numbers: FencingNumbers,
        limits: OrderLimits,
        now: timedelta,
        recorder: Recorder,
    ) -> None:
        self._numbers = numbers
        self._limits = limits
        self._recorder = recorder
        self._started = now
        self._resumed = now
        self._last_tick = now
        self._is_confirmed = False
        self.desired_state: DesiredState | None = None

    def tick(self, now: timedelta) -> None:
        """Suspend orders when the process was paused since the last tick.

        :param now: time on the monotonic clock.
        """
        if now - self._last_tick > self._limits.pause:
            self._is_confirmed = False
            self._resumed = now
            self._recorder.log(EventCode.orders_suspended)
        self._last_tick = now

    def confirm(self, now: timedelta) -> None:
        """Record a heartbeat of an entry, which confirms the configuration.

        :param now: time of receipt on the monotonic clock.
        """
        self.tick(now)
        if now - self._resumed >= self._limits.confirmation_delay:
            self._is_confirmed = True

    def has_desired_version(self) -> bool:
        """Return whether the configuration sets a model version."""
        return self.desired_state is not None and bool(
            self.desired_state.model_version
        )

    def plan(self, report: OrderReport, now: timedelta) -> Order | None:
        """Return the order to send now, or ``None``.

        :param report: the target's report on its orders.
        :param now: time on the monotonic clock, read after the report.
        """
        self.tick(now)
        desired_state = self.desired_state
        if (
            desired_state is None
            or report.model_version == desired_state.model_version
        ):
            return None
        reason = self._find_withhold_reason(now)
        if reason:
            self._recorder.count('withheld_orders', reason)
            return None
        number = self._numbers.take_next(report.highest_fencing_number)
        self._recorder.count('orders', OrderKind.load_model)
        return Order(
            kind=OrderKind.load_model,
            fencing_number=number,
            model_version=desired_state.model_version,
        )

    def _find_withhold_reason(self, now: timedelta) -> str:
        if not self._is_confirmed:
            return 'not_confirmed'
        if now - self._started < self._limits.max_order_age:
            return 'predecessor_may_order'
        return ''


def find_desired_state(
    configuration: Configuration, instance_name: str
) -> DesiredState:
    """Return the desired state of one target.

    :param configuration: the configuration in force.
    :param instance_name: the target's instance.
    """
    instance = configuration.instances.get(instance_name)
    if instance is None:
        return DesiredState(target_address='', model_version='')
    versions = [
        service.model_version
        for service in configuration.services.values()
        if instance_name in service.instances and service.model_version
    ]
    return DesiredState(
        target_address=instance.target.address,
        model_version=next(iter(versions), ''),
    )
