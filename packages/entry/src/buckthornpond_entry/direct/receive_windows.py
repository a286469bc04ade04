"""Receive buffer of a caller's connection."""

from contextlib import suppress

from gevent.socket import SO_RCVBUF, SOL_SOCKET

from buckthornpond_runtime.paced_sockets import PacedSocket
from buckthornpond_runtime.task_servers import RECEIVE_BUFFER_BYTES

# Body from which on a caller may send more ahead, as on a long link.
_LONG_BODY_BYTES = 131_072
_LONG_BUFFER_BYTES = 65_536
# What the kernel may take for such a buffer.
_LONG_BUFFER_COST_BYTES = 131_072


class ReceiveWindow:
    """Receive buffer of a connection, which is large for long bodies only.

    :param connection: the caller's socket.
    """

    __slots__ = ('_connection', 'held_bytes')

    def __init__(self, connection: PacedSocket) -> None:
        self._connection = connection
        # Memory that the buffer takes beyond that of each connection.
        self.held_bytes = 0

    def adapt(self, body_bytes: int) -> None:
        """Choose the size of the buffer.

        :param body_bytes: what has come of the body that is being read.
        """
        is_long = body_bytes >= _LONG_BODY_BYTES
        if is_long and not self.held_bytes:
            self._resize(_LONG_BUFFER_BYTES)
            self.held_bytes = _LONG_BUFFER_COST_BYTES
        elif self.held_bytes and not is_long:
            self._resize(RECEIVE_BUFFER_BYTES)
            self.held_bytes = 0

    def _resize(self, size_bytes: int) -> None:
        # A connection that is closing has no use for it.
        with suppress(OSError):
            self._connection.setsockopt(SOL_SOCKET, SO_RCVBUF, size_bytes)
