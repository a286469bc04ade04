"""Server whose responses are long and complete."""

from gevent.server import StreamServer
from gevent.socket import socket

from buckthornpond_platform_standins.endless import find_attempt_id, read_head
from buckthornpond_platform_standins.server_responses import SIGNATURE_LINE


class LongResponseServer:
    """Server that sends the same body to each request.

    :param length_bytes: length of the body.
    """

    def __init__(self, length_bytes: int) -> None:
        self._length_bytes = length_bytes
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        return f'127.0.0.1:{self._server.server_port}'

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop(timeout=0)

    def _serve(self, connection: socket, peer: tuple[str, int]) -> None:
        with connection:
            head = read_head(connection)
            lines = (
                'HTTP/1.1 200 OK',
                SIGNATURE_LINE,
                f'X-Attempt-Id: {find_attempt_id(head).decode()}',
                f'Content-Length: {self._length_bytes}',
                'Connection: close',
                '',
                '',
            )
            connection.sendall(
                '\r\n'.join(lines).encode() + b'a' * self._length_bytes
            )
