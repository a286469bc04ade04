"""Orders that a stand-in engine receives."""

import msgspec

from buckthornpond_core._generated.platform import Order, OrderReport

from .servers import Environ, StartResponse, read_body, reply


class OrderLog:
    """Model version of an engine and the orders that were applied.

    :param is_checking: whether orders with a stale fencing number are
        refused.
    """

    __slots__ = ('_is_checking', 'applied', 'highest_fencing_number')

    def __init__(self, *, is_checking: bool) -> None:
        self._is_checking = is_checking
        self.applied: list[Order] = []
        self.highest_fencing_number = 0

    @property
    def model_version(self) -> str:
        """Return the loaded version, or an empty string."""
        return self.applied[-1].model_version if self.applied else ''

    def take(self, order: Order) -> bool:
        """Apply an order unless its fencing number is stale.

        :param order: order to apply.
        :return: whether it was applied.
        """
        is_stale = order.fencing_number <= self.highest_fencing_number
        if self._is_checking and is_stale:
            return False
        self.highest_fencing_number = order.fencing_number
        self.applied.append(order)
        return True

    def report(self) -> OrderReport:
        """Return the report of the target.

        A target that ignores fencing numbers reports zero.
        """
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
        """Serve a request to apply an order or to read the report.

        :param environ: the WSGI environment.
        :param start_response: the WSGI function.
        """
        status = '200 OK'
        if environ['REQUEST_METHOD'] == 'POST':
            order = msgspec.json.decode(read_body(environ), type=Order)
            status = '200 OK' if self.take(order) else '409 Conflict'
        content = msgspec.json.encode(self.report())
        return reply(start_response, status, content)
