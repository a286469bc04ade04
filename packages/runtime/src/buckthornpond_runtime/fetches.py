"""Responses that are read as a whole, and the limits on them."""

from datetime import timedelta

from gevent import Timeout

from buckthornpond_core.exceptions import TargetError

from .responses import HttpResponse


class FetchedResponse:
    """Complete HTTP response.

    :param response: parsed response, which holds the head.
    :param content: body.
    """

    __slots__ = ('content', 'response')

    def __init__(self, response: HttpResponse, content: bytes) -> None:
        self.response = response
        self.content = content

    @property
    def status_code(self) -> int:
        """HTTP status."""
        return self.response.status_code

    @property
    def is_connection_reusable(self) -> bool:
        """Whether the connection can serve another request."""
        return (
            self.response.keeps_alive and not self.response.has_trailing_bytes
        )


class FetchLimits:
    """Limits on a response that is read as a whole.

    :param time_limit: longest wait for the complete response, or for progress.
    :param max_content_bytes: largest accepted body.
    :param progress_bytes: size of a part of the body after which the time limit
        starts anew, zero if it holds for the complete response.
    """

    __slots__ = ('max_content_bytes', 'progress_bytes', 'time_limit')

    def __init__(
        self,
        time_limit: timedelta,
        max_content_bytes: int,
        progress_bytes: int = 0,
    ) -> None:
        self.time_limit = time_limit
        self.max_content_bytes = max_content_bytes
        self.progress_bytes = progress_bytes


class ProgressTimer:
    """Raises an error in its block when a response makes no progress.

    :param limits: limits on the response.
    :param expired: the error to raise.
    """

    __slots__ = ('_due_bytes', '_expired', '_limits', '_timeout')

    def __init__(self, limits: FetchLimits, expired: TargetError) -> None:
        self._limits = limits
        self._expired = expired
        # Length of the body at which the time limit starts anew.
        self._due_bytes = limits.progress_bytes
        self._timeout: Timeout | None = None

    def __enter__(self) -> 'ProgressTimer':
        """Start the time limit."""
        self._start()
        return self

    def __exit__(self, *exception: object) -> None:
        """End the time limit."""
        if self._timeout is not None:
            self._timeout.close()

    def record(self, content_bytes: int) -> None:
        """Start the time limit anew once enough has arrived.

        :param content_bytes: length of the body so far.
        """
        if self._limits.progress_bytes and content_bytes >= self._due_bytes:
            self._due_bytes = content_bytes + self._limits.progress_bytes
            self._start()

    def _start(self) -> None:
        if self._timeout is not None:
            self._timeout.close()
        self._timeout = Timeout.start_new(
            self._limits.time_limit.total_seconds(), self._expired
        )
