"""Callers' HTTP requests, and header fields of one connection."""

import re
from http import HTTPStatus

from .header_blocks import HeaderBlock
from .request_bodies import RequestBody

_ABSOLUTE_FORM = re.compile('https?://([^/?]+)(.*)', re.IGNORECASE)
_CONNECTION = 'connection'
_HOST = 'host'
# Objects of one request, without its bytes.
_REQUEST_COST_BYTES = 1024
# A string and its place in a list, while the request is served.
_LIST_ENTRY_COST_BYTES = 80
_HOP_BY_HOP_FIELDS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
BODILESS_STATUS_CODES = frozenset(
    (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED),
)


class CallerRequest:
    """Complete request of a caller.

    :param method: HTTP method.
    :param path: path with query, as received.
    :param head: header fields in the caller's order.
    :param is_http10: whether the request uses HTTP/1.0.
    """

    __slots__ = (
        'content',
        'head',
        'is_http10',
        'keeps_alive',
        'method',
        'path',
    )

    def __init__(
        self,
        method: str,
        path: str,
        head: HeaderBlock,
        *,
        is_http10: bool,
    ) -> None:
        self.method = method
        self.path = path
        self.head = head
        self.is_http10 = is_http10
        self.keeps_alive = False
        self.content = RequestBody()

    @property
    def body(self) -> bytes:
        """A copy of the whole body."""
        return self.content.join()

    @property
    def fields(self) -> list[tuple[str, str]]:
        """Header fields in the caller's order, decoded anew."""
        return self.head.decode()

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes."""
        return (
            _REQUEST_COST_BYTES
            + len(self.path)
            + self.head.size_bytes
            + self.head.list_entry_count * _LIST_ENTRY_COST_BYTES
            + self.content.size_bytes
        )

    def use_origin_form(self) -> None:
        """Take the host out of a request line that has a whole URL.

        It goes before the Host header field (RFC 9112, 3.2.2).
        """
        url = _ABSOLUTE_FORM.fullmatch(self.path)
        if url is None:
            return
        head = HeaderBlock()
        head.add(b'Host', url[1].encode('latin-1'))
        for name, text in self.fields:
            if name.lower() != _HOST:
                head.add(name.encode('latin-1'), text.encode('latin-1'))
        self.head = head
        self.path = url[2] if url[2].startswith('/') else f'/{url[2]}'


def drop_hop_by_hop_fields(
    fields: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the header fields without the hop-by-hop ones.

    :param fields: header fields of a request or response.
    """
    connection_options = {
        token.strip().lower()
        for name, text in fields
        if name.lower() == _CONNECTION
        for token in text.split(',')
    }
    return [
        (name, text)
        for name, text in fields
        if name.lower() not in _HOP_BY_HOP_FIELDS
        and name.lower() not in connection_options
    ]
