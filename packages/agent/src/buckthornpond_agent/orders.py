"""Task that sends orders to the target."""

from datetime import timedelta
from typing import TypeAlias

import msgspec

from buckthornpond_core._generated.events import DesiredState, HeartbeatReceived
from buckthornpond_core._generated.platform import Order, OrderReport
from buckthornpond_core._generated.settings import AgentSettings
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import TargetError
from buckthornpond_core.orders import (
    EpochFencingNumbers,
    OrderLimits,
    OrderPlanner,
)
from buckthornpond_core.types import DECODE_ERRORS, Clock
from buckthornpond_runtime.calls import HttpCall
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox

_ORDER_TIMEOUT = timedelta(seconds=2)
_PAUSE_MARGIN = timedelta(seconds=1)
_CONFIRMATION_DELAY = timedelta(seconds=1)
_ORDERS_PATH = '/v1/orders'
_MAX_REPORT_BYTES = 65_536
_STATUS_OK = 200

OrderMessage: TypeAlias = DesiredState | HeartbeatReceived
_CALL_ERRORS = (TargetError, *DECODE_ERRORS)


def build_order_task(
    settings: AgentSettings,
    clock: Clock,
    metrics: Metrics,
) -> 'OrderTask':
    """Return the order task with its planner.

    :param settings: settings of the process.
    :param clock: source of time.
    :param metrics: counters of the process.
    """
    interval = timedelta(milliseconds=settings.load_poll_interval_ms)
    planner = OrderPlanner(
        EpochFencingNumbers(clock.utcnow()),
        OrderLimits(
            pause=interval + 2 * _ORDER_TIMEOUT + _PAUSE_MARGIN,
            confirmation_delay=_CONFIRMATION_DELAY,
            max_order_age=2 * _ORDER_TIMEOUT,
        ),
        clock.monotonic(),
        metrics,
    )
    return OrderTask(
        planner=planner,
        clock=clock,
        interval=interval,
        metrics=metrics,
    )


class OrderTask:
    """Owns the connection for orders to the target.

    :param planner: decides which order to send, and when.
    :param clock: source of time.
    :param interval: time between two polls of the target.
    :param metrics: counters of the process.
    """

    __slots__ = ('_clock', '_interval', '_metrics', '_planner', 'mailbox')

    def __init__(
        self,
        *,
        planner: OrderPlanner,
        clock: Clock,
        interval: timedelta,
        metrics: Metrics,
    ) -> None:
        self.mailbox: Mailbox[OrderMessage] = Mailbox()
        self._planner = planner
        self._clock = clock
        self._interval = interval
        self._metrics = metrics

    def run(self) -> None:
        """Serve the mailbox and poll the target until the process ends."""
        next_poll = self._clock.monotonic()
        while True:
            remaining = next_poll - self._clock.monotonic()
            message = self.mailbox.receive(max(0, remaining.total_seconds()))
            now = self._clock.monotonic()
            if isinstance(message, DesiredState):
                self._planner.desired_state = message
            elif isinstance(message, HeartbeatReceived):
                self._planner.confirm(now)
            if now >= next_poll:
                self._poll()
                next_poll = self._clock.monotonic() + self._interval

    def _poll(self) -> None:
        self._planner.tick(self._clock.monotonic())
        if not self._planner.has_desired_version():
            return
        try:
            self._reconcile()
        except _CALL_ERRORS as error:
            self._metrics.count('failed_orders', type(error).__name__)
            self._metrics.log(EventCode.order_failed, error=str(error))

    def _reconcile(self) -> None:
        content = self._call('GET', b'')
        report = msgspec.json.decode(content, type=OrderReport)
        order = self._planner.plan(report, self._clock.monotonic())
        if order is not None:
            self._send_order(order)

    def _send_order(self, order: Order) -> None:
        self._call('POST', msgspec.json.encode(order))
        self._metrics.log(
            EventCode.order_given,
            kind=order.kind,
            fencing_number=order.fencing_number,
            model_version=order.model_version,
        )

    def _call(self, method: str, body: bytes) -> bytes:
        desired_state = self._planner.desired_state
        address = desired_state.target_address if desired_state else ''
        call = HttpCall(address, _ORDER_TIMEOUT, _ORDER_TIMEOUT)
        try:
            call.send(
                method, _ORDERS_PATH, body, {'content-type': 'application/json'}
            )
            status_code = call.response.status_code
            content = call.read_block(_MAX_REPORT_BYTES)
        finally:
            call.close()
        if status_code != _STATUS_OK:
            raise TargetError(
                f'status {status_code}',
                step='order target',
                peer=address,
                is_sent=True,
            )
        return content
