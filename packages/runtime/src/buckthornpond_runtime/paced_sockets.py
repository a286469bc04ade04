"""Stream sockets on which no peer can keep the processor by sending."""

import select
from socket import MSG_DONTWAIT, MSG_PEEK
from typing import Any

from gevent import sleep
from gevent.socket import socket

from buckthornpond_core.input_pacing import ReadPacer
from buckthornpond_core.types import Clock

from .clocks import SystemClock

_UNPACED_FLAGS = MSG_DONTWAIT | MSG_PEEK


class PacedSocket(socket):
    """Stream socket whose reads wait for their turn.

    A plain socket returns at once while bytes are there, so that a peer that
    sends without a pause keeps its reader running. Each read of this one
    passes through the event loop, in which timers and other sockets get their
    turn, and the rate of small reads is limited.

    :param clock: source of time, the system's by default.
    :param options: as for a plain socket.
    """

    __slots__ = ('_clock', '_pacer')

    def __init__(self, clock: Clock | None = None, **options: Any) -> None:
        super().__init__(**options)
        self._clock = clock or SystemClock()
        self._pacer = ReadPacer(self._clock.monotonic())

    def recv(self, *args: int) -> bytes:
        """Return the next bytes, or ``b''`` at the end of the connection.

        :param args: as for a plain socket. A read that does not wait, or that
            leaves the bytes in place, is not paced.
        :raises OSError: when the connection is broken or the timeout passes.
        """
        if any(flags & _UNPACED_FLAGS for flags in args[1:]):
            return super().recv(*args)
        self._await_turn()
        received = super().recv(*args)
        self._pacer.record(len(received), self._clock.monotonic())
        return received

    def recv_into(self, *args: Any) -> int:
        """Read into a buffer and return the number of bytes read.

        :param args: as for a plain socket.
        :raises OSError: when the connection is broken or the timeout passes.
        """
        self._await_turn()
        read_bytes = super().recv_into(*args)
        self._pacer.record(read_bytes, self._clock.monotonic())
        return read_bytes

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer closed or lost the connection.

        Bytes that it sent before may still be unread.
        """
        if self.fileno() < 0:
            return True
        poller = select.poll()
        poller.register(self.fileno(), select.POLLRDHUP)
        # Errors and hang-ups are always reported.
        return bool(poller.poll(0))

    def _await_turn(self) -> None:
        pause = self._pacer.find_pause(self._clock.monotonic())
        if pause:
            sleep(pause.total_seconds())
        if self.fileno() >= 0:
            self._wait(self._read_event)  # type: ignore[attr-defined]


def pace_reads(connection: socket) -> PacedSocket:
    """Return a paced socket in place of a plain one, which ends with this.

    :param connection: connected socket.
    """
    timeout_seconds = connection.gettimeout()
    paced = PacedSocket(
        family=connection.family,
        type=connection.type,
        proto=connection.proto,
        fileno=connection.detach(),
    )
    paced.settimeout(timeout_seconds)
    return paced
