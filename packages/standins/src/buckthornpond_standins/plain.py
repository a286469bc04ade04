"""Stand-in of a plain service that books lots and prices."""

from collections import Counter

import gevent
import msgspec

from .servers import Environ, StartResponse, read_body, reply


class PlainStandIn:
    """HTTP application that counts the executions of each booking.

    :param delay_seconds: duration of one call.
    """

    __slots__ = ('_delay_seconds', 'executions')

    def __init__(self, delay_seconds: float) -> None:
        self._delay_seconds = delay_seconds
        self.executions: Counter[str] = Counter()

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> list[bytes]:
        """Serve one request."""
        body = read_body(environ)
        if environ['PATH_INFO'] == '/executions':
            counts = msgspec.json.encode(self.executions)
            return reply(start_response, '200 OK', counts)
        if environ['REQUEST_METHOD'] == 'POST':
            self.executions[body.decode()] += 1
        gevent.sleep(self._delay_seconds)
        answer = msgspec.json.encode({'booked': body.decode()})
        return reply(start_response, '200 OK', answer)
