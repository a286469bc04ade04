"""Numbered log events as JSON lines on standard output."""

import os
import sys
from collections import deque
from typing import Protocol

import eliot
import gevent
from gevent.event import Event
from gevent.socket import wait_write

from buckthornpond_core.event_codes import EventCode

_MAX_BUFFERED_BYTES = 262_144
_MAX_WRITE_BYTES = 65_536
# Lines are written in batches, so that a busy process writes only a few times
# a second.
_FLUSH_INTERVAL_SECONDS = 0.1
_DROPPED_REASON = 'buffer_full'


class DropCounter(Protocol):
    """Counter of dropped log lines."""

    def add(self, name: str, reason: str, amount: int) -> None:
        """Add an amount to a counter."""


class LineBuffer:
    """Bounded queue of log lines to write.

    :param limit_bytes: most bytes in the queue.
    """

    __slots__ = (
        '_held_bytes',
        '_limit_bytes',
        '_lines',
        'dropped_count',
        'drop_counter',
        'filled',
    )

    def __init__(self, limit_bytes: int = _MAX_BUFFERED_BYTES) -> None:
        self._limit_bytes = limit_bytes
        self._lines: deque[bytes] = deque()
        self._held_bytes = 0
        self.dropped_count = 0
        # Set once the process has counters.
        self.drop_counter: DropCounter | None = None
        self.filled = Event()

    # eliot requires these two methods of an output file.

    def write(self, line: bytes) -> None:
        """Add a line, or count it as dropped if the queue is full.

        :param line: JSON text with its line break.
        """
        if self._held_bytes + len(line) > self._limit_bytes:
            self.dropped_count += 1
            if self.drop_counter is not None:
                self.drop_counter.add('log_lines_dropped', _DROPPED_REASON, 1)
            return
        if line:
            self._held_bytes += len(line)
            self._lines.append(line)
            self.filled.set()

    def flush(self) -> None:
        """Do nothing, since the log task writes the lines."""

    def take(self) -> bytes:
        """Return the lines to write next, or ``b''``."""
        taken = []
        size_bytes = 0
        while self._lines and size_bytes < _MAX_WRITE_BYTES:
            line = self._lines.popleft()
            size_bytes += len(line)
            taken.append(line)
        self._held_bytes -= size_bytes
        if not self._lines:
            self.filled.clear()
        return b''.join(taken)

    def take_dropped_count(self) -> int:
        """Return the number of lines dropped since the last call."""
        dropped_count = self.dropped_count
        self.dropped_count = 0
        return dropped_count


class LogTask:
    """Owns the log output, so that a slow reader delays no other task.

    :param lines: queue of the lines to write.
    :param descriptor: file descriptor of the output.
    """

    __slots__ = ('_descriptor', '_lines')

    def __init__(self, lines: LineBuffer, descriptor: int) -> None:
        self._lines = lines
        self._descriptor = descriptor

    def run(self) -> None:
        """Write lines until the process ends."""
        while True:
            self._lines.filled.wait()
            gevent.sleep(_FLUSH_INTERVAL_SECONDS)
            while True:
                content = self._lines.take()
                if not content:
                    break
                self._write(content)
            self._log_dropped_lines()

    def flush(self) -> None:
        """Write as much as the output accepts without waiting."""
        try:
            while True:
                content = self._lines.take()
                if not content:
                    break
                os.write(self._descriptor, content)
        except OSError:
            # The reader is slow or gone, and the process is about to exit.
            return

    def _write(self, content: bytes) -> None:
        while content:
            try:
                written = os.write(self._descriptor, content)
            except BlockingIOError:
                wait_write(self._descriptor)
            except OSError:
                # The reader is gone, so the failure cannot be logged either.
                return
            else:
                content = content[written:]

    def _log_dropped_lines(self) -> None:
        dropped_count = self._lines.take_dropped_count()
        if not dropped_count:
            return
        log_event(
            EventCode.log_lines_dropped,
            reason=_DROPPED_REASON,
            line_count=dropped_count,
        )


_STDOUT_DESCRIPTOR = 1
_LINES = LineBuffer()
_LOG_TASK = LogTask(_LINES, _STDOUT_DESCRIPTOR)


def start_logging(drop_counter: DropCounter | None = None) -> None:
    """Write events to standard output as JSON lines.

    :param drop_counter: counter of the lines that were not read in time.
    """
    sys.stdout.flush()
    os.set_blocking(_STDOUT_DESCRIPTOR, False)
    _LINES.drop_counter = drop_counter
    eliot.to_file(_LINES)
    gevent.spawn(_LOG_TASK.run)


def flush_logs() -> None:
    """Write the queued lines before the process exits."""
    _LOG_TASK.flush()


def log_event(code: EventCode, **fields: object) -> None:
    """Log one numbered event.

    :param code: number of the event.
    :param fields: the fields that docs/EVENTS.md lists for it.
    """
    eliot.log_message(message_type=f'E{code:d}', event=code.name, **fields)
