"""Peer of a ZeroMQ socket whose message does not end (ZMTP 3.0, RFC 23)."""

import struct
from collections.abc import Mapping
from types import MappingProxyType

import gevent
from gevent.server import StreamServer
from gevent.socket import AF_INET, SOCK_STREAM, socket

# Signature, version 3.0, mechanism, no server, filler.
_GREETING = struct.pack('>B8xB2B20s32x', 255, 127, 3, 0, b'NULL')
_COMMAND = 4
_LONG_FRAME = 2
_MORE_FRAMES = 1
_FRAME_BYTES = 64
_BLOCK_BYTES = 65_536
# What is sent once after the handshake, and what is repeated.
_PARTS: Mapping[str, tuple[bytes, bytes]] = MappingProxyType(
    {
        'a frame of 2 GB': (
            struct.pack('>BQ', _LONG_FRAME, 2_000_000_000),
            bytes(_BLOCK_BYTES),
        ),
        'a frame of 9 TB': (
            struct.pack('>BQ', _LONG_FRAME, 9_000_000_000_000),
            bytes(_BLOCK_BYTES),
        ),
        'bytes that are no frame': (b'', b'\xff' * _BLOCK_BYTES),
        'frames of one message': (
            b'',
            (bytes([_MORE_FRAMES, _FRAME_BYTES]) + bytes(_FRAME_BYTES)) * 1000,
        ),
    }
)


class EndlessMessage:
    """What one peer sent until the other side closed, or up to a maximum.

    :param part: what does not end.
    :param socket_type: type that the peer claims to have.
    :param max_bytes: most bytes to send.
    """

    def __init__(self, part: str, socket_type: str, max_bytes: int) -> None:
        prefix, filler = _PARTS[part]
        self._prefix = prefix
        self._filler = filler
        self._socket_type = socket_type.encode()
        self._max_bytes = max_bytes
        self._server: StreamServer | None = None
        self.sent_bytes = 0
        self.is_cut_off = False

    def listen(self) -> str:
        """Accept connections; return the IP address and port."""
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()
        return f'127.0.0.1:{self._server.server_port}'

    def connect(self, address: str) -> None:
        """Connect to a listening socket.

        :param address: its IP address and port.
        """
        host, port = address.rsplit(':', 1)
        connection = socket(AF_INET, SOCK_STREAM)
        connection.connect((host, int(port)))
        gevent.spawn(self._serve, connection, (host, 0))

    @property
    def has_ended(self) -> bool:
        """Whether the peer was cut off, or has sent the maximum."""
        return self.is_cut_off or self.sent_bytes >= self._max_bytes

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.stop(timeout=0)

    def _serve(self, connection: socket, peer: tuple[str, int]) -> None:
        try:
            self._send(connection)
        except OSError:
            self.is_cut_off = True
        finally:
            connection.close()

    def _send(self, connection: socket) -> None:
        connection.sendall(_GREETING)
        _receive(connection, len(_GREETING))
        ready = (
            b'\x05READY\x0bSocket-Type'
            + struct.pack('>I', len(self._socket_type))
            + self._socket_type
        )
        connection.sendall(bytes([_COMMAND, len(ready)]) + ready)
        _, length_bytes = _receive(connection, 2)
        _receive(connection, length_bytes)
        connection.sendall(self._prefix)
        while self.sent_bytes < self._max_bytes:
            connection.sendall(self._filler)
            self.sent_bytes += len(self._filler)


def _receive(connection: socket, length_bytes: int) -> bytes:
    received = b''
    while len(received) < length_bytes:
        part = connection.recv(length_bytes - len(received))
        if not part:
            raise ConnectionError('closed in the handshake')
        received += part
    return received
