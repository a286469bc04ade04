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
    """

    __slots__ = ('_has_begun', 'ends_at_once')

    def __init__(self) -> None:
        self._has_begun = False
        # Whether a graceful stop is over, whatever is still in flight.
        self.ends_at_once = False
        gevent.signal_handler(signal.SIGTERM, self._begin)
        gevent.signal_handler(signal.SIGINT, self._interrupt)

    def wait(self) -> None:
        """Return after the first signal."""
        while not self._has_begun:
            gevent.sleep(_POLL_INTERVAL_SECONDS)

    def wait_for_interrupt(self, limit_seconds: float) -> None:
        """Return when the stop is to end at once, or after the time limit.

        :param limit_seconds: longest wait.
        """
        remaining_seconds = limit_seconds
        while not self.ends_at_once and remaining_seconds > 0:
            gevent.sleep(min(_POLL_INTERVAL_SECONDS, remaining_seconds))
            remaining_seconds -= _POLL_INTERVAL_SECONDS

    def _begin(self) -> None:
        self._has_begun = True

    def _interrupt(self) -> None:
        self.ends_at_once = self._has_begun
        self._has_begun = True


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
