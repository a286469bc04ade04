"""TCP relay that can delay, stall or close its connections."""

from typing import Any

from gevent import Greenlet, joinall, sleep, socket
from gevent.event import Event
from gevent.server import StreamServer

_MAX_READ_BYTES = 65_536


class Relay(StreamServer):
    """TCP server that relays each connection to one address.

    :param address: IP address and port to listen on.
    :param target_address: IP address and port to connect to.
    """

    def __init__(self, address: str, target_address: str) -> None:
        host, port = address.rsplit(':', 1)
        super().__init__((host, int(port)), self._serve)
        target_host, target_port = target_address.rsplit(':', 1)
        self._target = (target_host, int(target_port))
        self._connections: set[Any] = set()
        self._is_forwarding = Event()
        self._is_forwarding.set()
        self.delay_seconds = 0.0
        self.is_cut = False
        self.relayed_bytes = 0

    def stall(self) -> None:
        """Stop forwarding data, but keep the connections open."""
        self._is_forwarding.clear()

    def cut(self) -> None:
        """Close every connection, and new ones as soon as they open."""
        self.is_cut = True
        for connection in list(self._connections):
            _shut_down(connection)

    def heal(self) -> None:
        """Accept connections and forward data again, held data first."""
        self.is_cut = False
        self._is_forwarding.set()

    def _serve(self, connection: Any, address: Any) -> None:
        if self.is_cut:
            connection.close()
            return
        try:
            target = socket.create_connection(self._target)
        except OSError:
            connection.close()
            return
        pair = {connection, target}
        self._connections |= pair
        copiers = [
            Greenlet.spawn(self._copy, connection, target),
            Greenlet.spawn(self._copy, target, connection),
        ]
        joinall(copiers)
        self._connections -= pair
        for endpoint in pair:
            endpoint.close()

    def _copy(self, source: Any, destination: Any) -> None:
        try:
            self._copy_all(source, destination)
        except OSError:
            _shut_down(source)
        _shut_down(destination)

    def _copy_all(self, source: Any, destination: Any) -> None:
        while True:
            block = source.recv(_MAX_READ_BYTES)
            if not block:
                return
            if self.delay_seconds:
                sleep(self.delay_seconds)
            self._is_forwarding.wait()
            destination.sendall(block)
            self.relayed_bytes += len(block)


def _shut_down(connection: Any) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
