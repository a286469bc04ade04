"""Bounds of what the decision classes hold."""

from datetime import timedelta


class RouterLimits:
    """Bounds of a router.

    :param max_held_requests: requests held at once.
    :param max_attempts: tries for one request, the first one included.
    :param stream_window_bytes: bytes of an answer in flight to one caller.
    :param peer_timeout: silence after which an agent counts as lost.
    """

    __slots__ = (
        'max_attempts',
        'max_held_requests',
        'peer_timeout',
        'stream_window_bytes',
    )

    def __init__(
        self,
        *,
        max_held_requests: int,
        max_attempts: int,
        stream_window_bytes: int,
        peer_timeout: timedelta,
    ) -> None:
        self.max_held_requests = max_held_requests
        self.max_attempts = max_attempts
        self.stream_window_bytes = stream_window_bytes
        self.peer_timeout = peer_timeout
