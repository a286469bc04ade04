"""Orders that a stand-in engine takes."""

import msgspec

from buckthornpond_core._generated.platform import Order, OrderReport

from .servers import Environ, StartResponse, read_body, reply


class OrderBook:
    """Model version of an engine and the orders that changed it.

    :param is_checking: whether an old fencing number is refused.
    """

    __slots__ = ('_is_checking', 'applied', 'highest_fencing_number')

    def __init__(self, *, is_checking: bool) -> None:
        self._is_checking = is_checking
        self.applied: list[Order] = []
        self.highest_fencing_number = 0

    @property
    def model_version(self) -> str:
        """Return the version that is loaded."""
        return self.applied[-1].model_version if self.applied else ''

    def take(self, order: Order) -> bool:
        """Apply an order unless its number is old.

        :param order: the order.
        """
        is_old = order.fencing_number <= self.highest_fencing_number
        if self._is_checking and is_old:
            return False
        self.highest_fencing_number = order.fencing_number
        self.applied.append(order)
        return True

    def report(self) -> OrderReport:
        """Return what a target tells; one that ignores numbers has none."""
        number = self.highest_fencing_number if self._is_checking else 0
        return OrderReport(
            model_version=self.model_version,
            highest_fencing_number=number,
        )

    def serve(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> list[bytes]:
        """Answer a request for orders.

        :param environ: the WSGI environment.
        :param start_response: the WSGI function.
        """
        status = '200 OK'
        if environ['REQUEST_METHOD'] == 'POST':
            order = msgspec.json.decode(read_body(environ), type=Order)
            status = '200 OK' if self.take(order) else '409 Conflict'
        content = msgspec.json.encode(self.report())
        return reply(start_response, status, content)
