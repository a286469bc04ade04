"""Flow-control credits of response streams."""

CHUNK_OVERHEAD_BYTES = 64
_RETURNS_PER_WINDOW = 4


def charge_bytes(payload: bytes) -> int:
    """Return the credits that a chunk uses up, in bytes.

    The fixed overhead bounds the number of messages as well as their bytes
    when a stream consists of tiny events.

    :param payload: bytes of the response.
    """
    return len(payload) + CHUNK_OVERHEAD_BYTES


class CreditMeter:
    """Collects the bytes that a caller consumed, to return few credits.

    Credits are returned for each quarter of the window. The sender stops
    only when the whole window is in flight, so it never waits for bytes that
    are still being collected.

    :param window_bytes: bytes of a response in flight to one caller.
    """

    __slots__ = ('_consumed_bytes', '_return_threshold_bytes')

    def __init__(self, window_bytes: int) -> None:
        self._return_threshold_bytes = window_bytes // _RETURNS_PER_WINDOW
        self._consumed_bytes = 0

    def take(self, payload: bytes) -> int:
        """Return the credits to send back now, or 0.

        :param payload: bytes that were sent to the caller.
        """
        self._consumed_bytes += charge_bytes(payload)
        if self._consumed_bytes < self._return_threshold_bytes:
            return 0
        credit_bytes = self._consumed_bytes
        self._consumed_bytes = 0
        return credit_bytes


class UnconsumedResponses:
    """Counts the response bytes that callers have not consumed yet.

    Consumption is reported for each quarter of the window. The count of one
    response is therefore never too low, and too high by less than a quarter.
    """

    __slots__ = ('_charged_bytes', 'held_bytes')

    def __init__(self) -> None:
        self._charged_bytes: dict[int, int] = {}
        self.held_bytes = 0

    def add(self, request_number: int, payload: bytes) -> None:
        """Add a chunk that was passed on to a caller's task.

        :param request_number: the request that it answers.
        :param payload: bytes of the response.
        """
        self._adjust(request_number, charge_bytes(payload))

    def take(self, request_number: int, consumed_bytes: int) -> None:
        """Subtract credits that a caller's task returned.

        :param request_number: the request.
        :param consumed_bytes: the credits.
        """
        if request_number in self._charged_bytes:
            self._adjust(request_number, -consumed_bytes)

    def drop(self, request_number: int) -> None:
        """Subtract all bytes of a finished request.

        :param request_number: the request.
        """
        self.held_bytes -= self._charged_bytes.pop(request_number, 0)

    def _adjust(self, request_number: int, delta_bytes: int) -> None:
        charged_bytes = self._charged_bytes.get(request_number, 0)
        self._charged_bytes[request_number] = charged_bytes + delta_bytes
        self.held_bytes += delta_bytes
