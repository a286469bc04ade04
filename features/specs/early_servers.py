"""Server that answers a request before it has read it, on plain sockets."""

import re
import struct
from collections.abc import Callable
from contextlib import suppress

import gevent
from gevent.server import StreamServer
from gevent.socket import SHUT_WR, SO_LINGER, SOL_SOCKET, socket

ANSWER = b'part of an answer'
_READ_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_ATTEMPT_ID = re.compile(rb'\r\nX-Attempt-Id: (\S+)\r\n', re.IGNORECASE)
_LENGTH = re.compile(rb'\r\nContent-Length: (\d+)\r\n', re.IGNORECASE)
_DELAY = re.compile(r'resets after ([\d.]+) s')


class EarlyServer:
    """Answers without a length, and then ends the connection.

    :param ending: what it does behind its answer.
    """

    def __init__(self, ending: str) -> None:
        self._ending = ending
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        return f'127.0.0.1:{self._server.server_port}'

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()

    def _serve(self, connection: socket, peer: tuple[str, int]) -> None:
        with suppress(OSError):
            self._answer(connection)
        connection.close()

    def _answer(self, connection: socket) -> None:
        received = b''
        while _HEAD_END not in received:
            received += connection.recv(_READ_BYTES)
        head, _, body = received.partition(_HEAD_END)
        attempt_id = _ATTEMPT_ID.search(head + _HEAD_END)[1]
        remaining = int(_LENGTH.search(head + _HEAD_END)[1]) - len(body)
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\n'
            b'X-Server-Signature: s\r\n\r\n%b' % (attempt_id, ANSWER)
        )
        self._find_ending()(connection, remaining)

    def _find_ending(self) -> Callable[[socket, int], None]:
        if self._ending.startswith('resets'):
            return self._reset
        return _ENDINGS[self._ending]

    def _reset(self, connection: socket, remaining: int) -> None:
        delay = _DELAY.fullmatch(self._ending)
        gevent.sleep(float(delay[1]) if delay else 0)
        connection.setsockopt(SOL_SOCKET, SO_LINGER, _RESET_ON_CLOSE)


def _leave_unread(connection: socket, remaining: int) -> None:
    # The upload goes on arriving meanwhile.
    gevent.sleep(0.02)


def _read_all(connection: socket, remaining: int) -> None:
    while remaining > 0:
        received = connection.recv(_READ_BYTES)
        if not received:
            return
        remaining -= len(received)


def _shut_down(connection: socket, remaining: int) -> None:
    connection.shutdown(SHUT_WR)
    _read_all(connection, remaining)


_ENDINGS = {
    'closes with unread bytes': _leave_unread,
    'closes at once': lambda connection, remaining: None,
    'closes once it has the whole request': _read_all,
    'shuts down and reads the rest': _shut_down,
}
