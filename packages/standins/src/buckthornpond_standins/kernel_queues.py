"""Bytes that wait in the kernel's buffers of the connections of a server."""

import socket
import struct
from pathlib import Path

_TABLE = Path('/proc/net/tcp')
_LISTEN_STATE = '0A'


class QueuedBytes:
    """What waits in both directions, over all connections of a server.

    :param sent: written by the server and not acknowledged by its peers.
    :param unread: received by the peers, on this machine, and not read.
    """

    __slots__ = ('sent', 'unread')

    def __init__(self, sent: int, unread: int) -> None:
        self.sent = sent
        self.unread = unread


def count_queued_bytes(address: str) -> QueuedBytes:
    """Return what waits between a server and its peers on this machine.

    :param address: IP number and port on which the server listens.
    """
    name = _render(address)
    found = QueuedBytes(0, 0)
    for line in _TABLE.read_text().splitlines()[1:]:
        columns = line.split()
        local, remote, state, queues = columns[1:5]
        if state == _LISTEN_STATE:
            continue
        sent, unread = (int(each, 16) for each in queues.split(':'))
        if local == name:
            found.sent += sent
        elif remote == name:
            found.unread += unread
    return found


def _render(address: str) -> str:
    # The table writes addresses in the byte order of the machine.
    host, port = address.rsplit(':', 1)
    number = struct.unpack('=I', socket.inet_aton(host))[0]
    return f'{number:08X}:{int(port):04X}'
