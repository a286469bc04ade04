"""Bytes queued in the kernel's socket buffers for a server's connections."""

import socket
import struct
from pathlib import Path

_TCP_TABLE = Path('/proc/net/tcp')
_LISTEN_STATE = '0A'


class QueuedBytes:
    """Bytes that a server sent and its peers have not read.

    Summed over all connections of the server.

    :param sent: bytes written by the server but not acknowledged by its peers.
    :param unread: bytes received by peers on this machine but not read.
    """

    __slots__ = ('sent', 'unread')

    def __init__(self, sent: int, unread: int) -> None:
        self.sent = sent
        self.unread = unread


def count_queued_bytes(address: str) -> QueuedBytes:
    """Count the queued bytes between a server and its peers on this machine.

    :param address: IP address and port on which the server listens.
    """
    server_address = _format_table_address(address)
    queued = QueuedBytes(0, 0)
    for line in _TCP_TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        local, remote, state, queues = columns[1:5]
        if state == _LISTEN_STATE:
            continue
        sent, unread = (int(each, 16) for each in queues.split(':'))
        if local == server_address:
            queued.sent += sent
        elif remote == server_address:
            queued.unread += unread
    return queued


def _format_table_address(address: str) -> str:
    # The kernel prints addresses in the machine's byte order.
    host, port = address.rsplit(':', 1)
    number = struct.unpack('=I', socket.inet_aton(host))[0]
    return f'{number:08X}:{int(port):04X}'
