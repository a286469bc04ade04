"""Callers that ask for a long stream and leave it unread."""

import json
from collections.abc import Iterable

from gevent import joinall, socket, spawn

from .fleets import CREDENTIAL

_RECEIVE_BUFFER_BYTES = 4096
_CONNECT_SECONDS = 30
_BLOCK_BYTES = 65_536


class IdleReader:
    """One caller that reads the head of its answer at most.

    :param address: IP number and port of an entry.
    :param output_tokens: tokens asked for.
    :param time_limit_ms: time limit of the request.
    """

    __slots__ = ('_socket',)

    def __init__(
        self,
        address: str,
        output_tokens: int,
        time_limit_ms: int,
    ) -> None:
        host, port = address.rsplit(':', 1)
        self._socket = socket.socket()
        # Before the connection, because it sets the window that is offered.
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            _RECEIVE_BUFFER_BYTES,
        )
        self._socket.settimeout(_CONNECT_SECONDS)
        self._socket.connect((host, int(port)))
        self._socket.sendall(_render_request(output_tokens, time_limit_ms))

    def read_rest(self) -> bytes:
        """Return what arrives up to the end of the connection."""
        received = bytearray()
        try:
            while block := self._socket.recv(_BLOCK_BYTES):
                received += block
        except ConnectionError:
            return bytes(received)
        return bytes(received)

    def close(self) -> None:
        """Hang up."""
        self._socket.close()


def start_idle_readers(
    address: str,
    count: int,
    *,
    output_tokens: int,
    time_limit_ms: int,
) -> list[IdleReader]:
    """Return idle readers whose requests are sent.

    :param address: IP number and port of an entry.
    :param count: how many.
    :param output_tokens: tokens that each asks for.
    :param time_limit_ms: time limit of each request.
    """
    found: list[IdleReader] = []

    def start() -> None:
        found.append(IdleReader(address, output_tokens, time_limit_ms))

    joinall([spawn(start) for _ in range(count)], raise_error=True)
    return found


def close_all(readers: Iterable[IdleReader]) -> None:
    """Hang up every reader.

    :param readers: the readers.
    """
    for reader in readers:
        reader.close()


def _render_request(output_tokens: int, time_limit_ms: int) -> bytes:
    body = json.dumps(
        {
            'model': 'model-a',
            'prompt': 'x' * 40,
            'max_tokens': output_tokens,
            'stream': True,
        },
    ).encode()
    head = (
        'POST /v1/completions HTTP/1.1\r\n'
        f'Authorization: Bearer {CREDENTIAL}\r\n'
        f'X-Request-Timeout-Ms: {time_limit_ms}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
