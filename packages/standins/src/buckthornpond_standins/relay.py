"""Relay of TCP connections that delays, stalls and cuts them."""

from typing import Any

from gevent import Greenlet, joinall, sleep, socket
from gevent.event import Event
from gevent.server import StreamServer

_READ_BYTES = 65_536


class Relay(StreamServer):
    """Listener that relays each connection to one address.

    :param address: IP number and port to listen on.
    :param target_address: IP number and port to connect to.
    """

    def __init__(self, address: str, target_address: str) -> None:
        host, port = address.rsplit(':', 1)
        super().__init__((host, int(port)), self._serve)
        target_host, target_port = target_address.rsplit(':', 1)
        self._target = (target_host, int(target_port))
        self._open: set[Any] = set()
        self._is_flowing = Event()
        self._is_flowing.set()
        self.delay_seconds = 0.0
        self.is_cut = False
        self.relayed_bytes = 0

    def stall(self) -> None:
        """Hold every byte back and leave the connections open."""
        self._is_flowing.clear()

    def cut(self) -> None:
        """Close every connection, and new ones at once."""
        self.is_cut = True
        for connection in list(self._open):
            _close(connection)

    def heal(self) -> None:
        """Relay again, what was held back first."""
        self.is_cut = False
        self._is_flowing.set()

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
        self._open |= pair
        directions = [
            Greenlet.spawn(self._copy, connection, target),
            Greenlet.spawn(self._copy, target, connection),
        ]
        joinall(directions)
        self._open -= pair
        for each in pair:
            each.close()

    def _copy(self, source: Any, sink: Any) -> None:
        try:
            self._copy_all(source, sink)
        except OSError:
            _close(source)
        _close(sink)

    def _copy_all(self, source: Any, sink: Any) -> None:
        while True:
            block = source.recv(_READ_BYTES)
            if not block:
                return
            if self.delay_seconds:
                sleep(self.delay_seconds)
            self._is_flowing.wait()
            sink.sendall(block)
            self.relayed_bytes += len(block)


def _close(connection: Any) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
