"""Start and graceful stop of a process."""

import os
import signal
from collections.abc import Callable
from datetime import timedelta

import gevent

from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.types import Clock

from .logs import flush_logs, log_event

_POLL_INTERVAL_SECONDS = 0.05
_EXIT_GRACE_SECONDS = 0.3
_INCARNATION_BYTES = 8


def new_incarnation(instance: str) -> str:
    """Return an identifier that no other process ever has.

    :param instance: the instance that this process runs on.
    """
    return f'{instance}.{os.urandom(_INCARNATION_BYTES).hex()}'


class StopSignal:
    """Stop signals from the operating system.

    SIGTERM begins a graceful stop, however often it comes. SIGINT begins one
    as well, and ends one that has begun.

    :param clock: source of time.
    """

    __slots__ = ('_began_at', '_clock', 'ends_at_once')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._began_at: timedelta | None = None
        # Whether a graceful stop is over, whatever is still in flight.
        self.ends_at_once = False
        # Unlike gevent's handlers, these do not wait for a busy event loop.
        signal.signal(signal.SIGTERM, self._begin)
        signal.signal(signal.SIGINT, self._interrupt)

    def wait(self) -> timedelta:
        """Return after the first signal; return when it came."""
        while self._began_at is None:
            gevent.sleep(_POLL_INTERVAL_SECONDS)
        return self._began_at

    def wait_for_interrupt(self, limit_seconds: float) -> None:
        """Return when the stop is to end at once, or after the time limit.

        :param limit_seconds: longest wait.
        """
        remaining_seconds = limit_seconds
        while not self.ends_at_once and remaining_seconds > 0:
            gevent.sleep(min(_POLL_INTERVAL_SECONDS, remaining_seconds))
            remaining_seconds -= _POLL_INTERVAL_SECONDS

    def _begin(self, *_signal: object) -> None:
        if self._began_at is None:
            self._began_at = self._clock.monotonic()

    def _interrupt(self, *_signal: object) -> None:
        self.ends_at_once = self._began_at is not None
        self._begin()


def drain(
    stop: StopSignal,
    *,
    clock: Clock,
    limit: timedelta,
    held_count: Callable[[], int],
    end_all: Callable[[], None],
) -> None:
    """Wait for the requests in flight, then exit the process.

    :param stop: stop signals; an interrupt ends the wait.
    :param clock: source of time.
    :param limit: longest wait.
    :param held_count: returns the number of requests in flight.
    :param end_all: refuses the requests that are still in flight.
    """
    log_event(EventCode.stop_begun, held_count=held_count())
    deadline = clock.monotonic() + limit
    while held_count() and clock.monotonic() < deadline:
        if stop.ends_at_once:
            break
        gevent.sleep(_POLL_INTERVAL_SECONDS)
    if held_count():
        log_event(EventCode.stop_cut_short, held_count=held_count())
        end_all()
    gevent.sleep(_EXIT_GRACE_SECONDS)
    log_event(EventCode.process_stopped)
    flush_logs()
    os._exit(0)
