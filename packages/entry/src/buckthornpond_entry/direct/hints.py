"""Task that exchanges load hints with other entries."""

import struct
from datetime import UTC, datetime, timedelta
from socket import SOL_SOCKET
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from gevent.socket import AF_INET, SOCK_DGRAM, socket

from buckthornpond_core._generated.hints import LoadHint
from buckthornpond_core.types import DECODE_ERRORS, Clock
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Inbox, Mailbox

# Load changes within this time are sent in one hint.
_BATCH_SECONDS = 0.02
# Longest time between two hints when the load does not change.
_MAX_INTERVAL_SECONDS = 1
_MAX_DATAGRAM_BYTES = 65_507
# Other tasks run after this many datagrams, however many more wait.
_MAX_BURST_COUNT = 64
# Pause after a burst, in which the kernel drops what its buffer cannot hold.
_BURST_SECONDS = 0.01
# Linux: each datagram comes with the wall-clock time at which it arrived, as
# two integers: seconds and nanoseconds. Not named by the socket module.
_SO_TIMESTAMPNS = 35
_ARRIVAL_FORMAT = struct.Struct('@ll')
_ANCILLARY_BYTES = 64
_NANOSECONDS_PER_MICROSECOND = 1000


class HintRequest:
    """Asks the dispatch task for the next hint; sent by the hint task.

    :param inbox: receives a :class:`HintReply`.
    """

    __slots__ = ('inbox',)

    def __init__(self, inbox: Inbox['HintReply']) -> None:
        self.inbox = inbox


class HintReply:
    """Reply of the dispatch task to :class:`HintRequest`.

    :param hint: the hint to send.
    :param addresses: addresses of the entries to send it to.
    """

    __slots__ = ('addresses', 'hint')

    def __init__(self, hint: LoadHint, addresses: list[str]) -> None:
        self.hint = hint
        self.addresses = addresses


class HintReceived:
    """Hint of another entry; sent by the hint task.

    :param hint: the hint, whose ages count from when it arrived.
    :param arrived_at: when it arrived at this machine, on the monotonic clock;
        long before it is read if the process was stopped.
    """

    __slots__ = ('arrived_at', 'hint')

    def __init__(self, hint: LoadHint, arrived_at: timedelta) -> None:
        self.hint = hint
        self.arrived_at = arrived_at


class HintTask:
    """Owns the socket for hints.

    :param address: IP number and port to receive at.
    :param inbox: receives the hints of other entries.
    :param metrics: counters of the process.
    :param hint_due: set when the load has changed.
    :param clock: source of time.
    """

    __slots__ = (
        '_clock',
        '_hint_due',
        '_inbox',
        '_mailbox',
        '_metrics',
        '_socket',
    )

    def __init__(
        self,
        address: str,
        inbox: Inbox[Any],
        metrics: Metrics,
        hint_due: Event,
        clock: Clock,
    ) -> None:
        self._clock = clock
        self._inbox = inbox
        self._metrics = metrics
        self._mailbox: Mailbox[HintReply] = Mailbox()
        self._socket = socket(AF_INET, SOCK_DGRAM)
        self._socket.setsockopt(SOL_SOCKET, _SO_TIMESTAMPNS, 1)
        self._socket.bind(_parse_address(address))
        self._hint_due = hint_due

    def receive(self) -> None:
        """Receive hints until the process ends."""
        try:
            self._receive_all()
        finally:
            self._socket.close()

    def run(self) -> None:
        """Send hints until the process ends."""
        while True:
            self._hint_due.wait(_MAX_INTERVAL_SECONDS)
            gevent.sleep(_BATCH_SECONDS)
            self._hint_due.clear()
            self._inbox.send(HintRequest(self._mailbox))
            reply = self._mailbox.receive()
            if reply is not None:
                self._send(reply)

    def _receive_all(self) -> None:
        decoder = msgspec.msgpack.Decoder(LoadHint)
        while True:
            for _ in range(_MAX_BURST_COUNT):
                self._receive_one(decoder)
            gevent.sleep(_BURST_SECONDS)

    def _receive_one(self, decoder: msgspec.msgpack.Decoder[LoadHint]) -> None:
        datagram, wait = self._receive()
        if not datagram:
            return
        arrived_at = self._clock.monotonic() - wait
        try:
            self._inbox.send(HintReceived(decoder.decode(datagram), arrived_at))
        except DECODE_ERRORS:
            # Not logged: any host can send datagrams at any rate.
            self._metrics.count('malformed_messages', 'hint')

    def _receive(self) -> tuple[bytes, timedelta]:
        """Return the next datagram and how long it waited in the socket."""
        try:
            datagram, ancillary, _, _ = self._socket.recvmsg(
                _MAX_DATAGRAM_BYTES, _ANCILLARY_BYTES
            )
        except OSError:
            # An earlier datagram found no receiver: that entry is not running.
            self._metrics.count('undelivered_messages', 'hint')
            return b'', timedelta()
        return datagram, self._find_wait(ancillary)

    def _find_wait(self, ancillary: list[tuple[int, int, bytes]]) -> timedelta:
        for level, kind, content in ancillary:
            if (level, kind) == (SOL_SOCKET, _SO_TIMESTAMPNS):
                wait = self._clock.utcnow() - _read_arrival(content)
                # Negative when the wall clock was set back.
                return max(wait, timedelta())
        return timedelta()

    def _send(self, reply: HintReply) -> None:
        datagram = msgspec.msgpack.encode(reply.hint)
        for address in reply.addresses:
            try:
                self._socket.sendto(datagram, _parse_address(address))
            except OSError:
                self._metrics.count('undelivered_messages', 'hint')


def _parse_address(address: str) -> tuple[str, int]:
    host, port = address.rsplit(':', 1)
    return host, int(port)


def _read_arrival(content: bytes) -> datetime:
    seconds, nanoseconds = _ARRIVAL_FORMAT.unpack(content)
    microseconds = nanoseconds // _NANOSECONDS_PER_MICROSECOND
    return datetime.fromtimestamp(seconds, UTC) + timedelta(
        microseconds=microseconds
    )
