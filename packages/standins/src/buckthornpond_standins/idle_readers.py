"""Callers that request a long stream and do not read the response."""

import json
from collections.abc import Iterable

from gevent import joinall, socket, spawn

from .fleets import CREDENTIAL

_RECEIVE_BUFFER_BYTES = 4096
_SOCKET_TIMEOUT_SECONDS = 30
_READ_BYTES = 65_536


class IdleReader:
    """Caller that leaves its response unread until :meth:`read_rest`.

    :param address: IP address and port of an entry.
    :param output_tokens: number of tokens to request.
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
        # Set before connecting, since it determines the advertised TCP window.
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_RCVBUF,
            _RECEIVE_BUFFER_BYTES,
        )
        self._socket.settimeout(_SOCKET_TIMEOUT_SECONDS)
        self._socket.connect((host, int(port)))
        self._socket.sendall(_render_request(output_tokens, time_limit_ms))

    def read_rest(self) -> bytes:
        """Read and return all bytes until the connection ends."""
        received = bytearray()
        try:
            while block := self._socket.recv(_READ_BYTES):
                received += block
        except ConnectionError:
            return bytes(received)
        return bytes(received)

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def start_idle_readers(
    address: str,
    count: int,
    *,
    output_tokens: int,
    time_limit_ms: int,
) -> list[IdleReader]:
    """Start idle readers and return them once their requests are sent.

    :param address: IP address and port of an entry.
    :param count: number of readers.
    :param output_tokens: number of tokens that each requests.
    :param time_limit_ms: time limit of each request.
    """
    readers: list[IdleReader] = []

    def start() -> None:
        readers.append(IdleReader(address, output_tokens, time_limit_ms))

    joinall([spawn(start) for _ in range(count)], raise_error=True)
    return readers


def close_all(readers: Iterable[IdleReader]) -> None:
    """Close the connections of idle readers.

    :param readers: readers to close.
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
