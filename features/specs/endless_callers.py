"""Callers of an entry whose requests do not end."""

import gevent

from buckthornpond_platform_standins.endless import (
    EndlessConnection,
    EndlessPace,
    connect_endless,
)
from buckthornpond_platform_standins.local_clusters import API_KEY, HOST

_END_TIMEOUT_SECONDS = 8
_HEAD = (
    f'POST /write/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: 1\r\n'
    f'Authorization: Token {API_KEY}\r\n'
).encode()
_CHUNKED = b'%bTransfer-Encoding: chunked\r\n\r\n' % _HEAD
# What a caller sends once, and what it repeats.
_PARTS = {
    'a request line': (b'GET /', b'a'),
    'a header field': (b'GET / HTTP/1.1\r\nX-A: ', b'a'),
    'header fields': (b'GET / HTTP/1.1\r\n', b'X-A: a\r\n'),
    'blank lines': (b'', b'\r\n'),
    'a chunk size': (_CHUNKED, b'0'),
    'a chunk extension': (b'%b2;' % _CHUNKED, b'a'),
    'trailers': (b'%b2\r\nok\r\n0\r\n' % _CHUNKED, b'X-A: a\r\n'),
    'a body': (b'%bContent-Length: 99999999\r\n\r\n' % _HEAD, b'a'),
}


def send_endless_requests(
    address: str,
    count: int,
    part: str,
    pace: EndlessPace,
    burst_bytes: int = 0,
) -> list[EndlessConnection]:
    """Send requests until the entry closes their connections.

    Returns the records of the connections.

    :param address: IP address and port of the entry.
    :param count: number of connections.
    :param part: what does not end.
    :param pace: how it is sent.
    :param burst_bytes: bytes of it that are sent at once before.
    """
    prefix, filler = _PARTS[part]
    burst = filler * (burst_bytes // len(filler))
    connected = [
        connect_endless(address, prefix + burst, filler, pace)
        for _ in range(count)
    ]
    gevent.wait([ended for _, ended in connected], timeout=_END_TIMEOUT_SECONDS)
    return [record for record, _ in connected]
