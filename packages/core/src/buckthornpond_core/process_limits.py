"""Limits of the decision classes."""

from datetime import timedelta

_DEFAULT_BODY_BUDGET_BYTES = 134_217_728


class RouterLimits:
    """Limits of a router.

    :param max_held_requests: most requests held at once.
    :param max_attempts: most attempts for one request, with the first.
    :param stream_window_bytes: bytes of a response in flight to one caller.
    :param peer_timeout: silence after which an agent is unresponsive.
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


class AgentLimits:
    """Limits of an agent.

    :param max_queued_count: most attempts in the queue.
    :param body_budget_bytes: most bytes of request bodies held at once.
    :param peer_timeout: silence after which an entry is unresponsive.
    """

    __slots__ = ('body_budget_bytes', 'max_queued_count', 'peer_timeout')

    def __init__(
        self,
        *,
        max_queued_count: int,
        peer_timeout: timedelta,
        body_budget_bytes: int = _DEFAULT_BODY_BUDGET_BYTES,
    ) -> None:
        self.max_queued_count = max_queued_count
        self.body_budget_bytes = body_budget_bytes
        self.peer_timeout = peer_timeout
