"""Servers that tasks run."""

from socket import SO_RCVBUF, SOL_SOCKET
from typing import Any

from gevent.server import StreamServer

# Of each connection that is accepted: what peers send ahead waits with them.
RECEIVE_BUFFER_BYTES = 8192


class TaskServer(StreamServer):
    """Server whose open connections end with the task that runs it."""

    # Overrides the base class, which leaves requests in flight a second.
    stop_timeout = 0

    # Overrides the base class.
    @classmethod
    def get_listener(
        cls, address: Any, backlog: Any = None, family: Any = None
    ) -> Any:
        """Return a listening socket whose connections inherit its buffer."""
        listener = super().get_listener(address, backlog, family)
        listener.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        return listener
