"""Parser of callers' HTTP requests."""

import re
from collections.abc import Callable
from http import HTTPStatus

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from buckthornpond_core._generated.serving import CallerLimits
from buckthornpond_core.exceptions import InvalidRequestError
from buckthornpond_core.input_limits import MAX_FIELD_COUNT, FramingMeter

_STEP = 'read request'
_ABSOLUTE_FORM = re.compile('https?://([^/?]+)(.*)', re.IGNORECASE)
_CONNECTION = 'connection'
_HOST = 'host'
_UPGRADE = 'upgrade'
_TUNNEL_METHOD = 'CONNECT'


class CallerRequest:
    """Complete request of a caller.

    :param method: HTTP method.
    :param path: path with query, as received.
    :param fields: header fields in the caller's order.
    :param is_http10: whether the request uses HTTP/1.0.
    """

    __slots__ = ('body', 'fields', 'is_http10', 'keeps_alive', 'method', 'path')

    def __init__(
        self,
        method: str,
        path: str,
        fields: list[tuple[str, str]],
        *,
        is_http10: bool,
    ) -> None:
        self.method = method
        self.path = path
        self.fields = fields
        self.is_http10 = is_http10
        self.keeps_alive = False
        self.body = b''

    def use_origin_form(self) -> None:
        """Take the host out of a request line that has a whole URL.

        It goes before the Host header field (RFC 9112, 3.2.2).
        """
        url = _ABSOLUTE_FORM.fullmatch(self.path)
        if url is None:
            return
        others = [each for each in self.fields if each[0].lower() != _HOST]
        self.fields = [('Host', url[1]), *others]
        self.path = url[2] if url[2].startswith('/') else f'/{url[2]}'


class RequestParser:
    """Parses the requests of one connection.

    :param on_request: called with each complete request.
    :param peer: the caller's address, for errors.
    """

    __slots__ = (
        '_body',
        '_fields',
        '_framing',
        '_head_bytes',
        '_limits',
        '_on_request',
        '_parser',
        '_path',
        '_peer',
        '_received_body_bytes',
        '_received_head_bytes',
        '_request',
        'expects_continue',
        'has_started',
        'is_head_complete',
    )

    def __init__(
        self,
        on_request: Callable[[CallerRequest], None],
        peer: str,
    ) -> None:
        self._on_request = on_request
        self._peer = peer
        self._parser = HttpRequestParser(self)
        self._limits: CallerLimits | None = None
        self._path = bytearray()
        self._fields: list[tuple[str, str]] = []
        # Size of the path and of the header fields.
        self._head_bytes = 0
        self._body = bytearray()
        self._received_body_bytes = 0
        self._framing = FramingMeter()
        self._received_head_bytes = 0
        self._request: CallerRequest | None = None
        self.has_started = False
        self.is_head_complete = False
        self.expects_continue = False

    @property
    def held_body_bytes(self) -> int:
        """Number of body bytes of the incomplete request."""
        return len(self._body)

    def feed(self, received: bytes, limits: CallerLimits) -> None:
        """Parse bytes from the caller.

        :param received: bytes from the socket.
        :param limits: size limits of a request.
        :raises InvalidRequestError: when the bytes are not a valid request, or
            exceed a limit.
        """
        self._limits = limits
        earlier_body_bytes = self._received_body_bytes
        earlier_request = self._request
        if not self.is_head_complete:
            self._received_head_bytes += len(received)
        self._parse(received)
        if not self.is_head_complete:
            self._check_head()
        elif self._request is earlier_request:
            self._check_framing(
                len(received),
                self._received_body_bytes - earlier_body_bytes,
            )

    def discard_body(self) -> None:
        """Release the body of a request that is not served."""
        self._body = bytearray()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Mark the start of a request."""
        self.has_started = True

    def on_url(self, url: bytes) -> None:
        """Append to the path."""
        self._path += url
        self._head_bytes += len(url)

    def on_header(self, name: bytes, field: bytes) -> None:
        """Add a header field."""
        if self.is_head_complete:
            # Trailer fields are ignored.
            return
        if len(self._fields) <= MAX_FIELD_COUNT:
            self._fields.append(
                (name.decode('latin-1'), field.decode('latin-1'))
            )
        self._head_bytes += len(name) + len(field)

    def on_headers_complete(self) -> None:
        """Create the request, now that its head is complete."""
        self.is_head_complete = True
        self._check_head()
        self._request = CallerRequest(
            self._parser.get_method().decode('latin-1'),
            self._path.decode('latin-1'),
            self._fields,
            is_http10=self._parser.get_http_version() == '1.0',
        )
        self._request.use_origin_form()
        self.expects_continue = any(
            name.lower() == 'expect' for name, _ in self._fields
        )

    def on_body(self, part: bytes) -> None:
        """Append to the body.

        :raises InvalidRequestError: when the body exceeds its limit.
        """
        self._body += part
        self._received_body_bytes += len(part)
        limits = self._limits
        if limits is not None and len(self._body) > limits.body_bytes:
            raise self._fail('body_too_large', 'body exceeds the size limit')

    def on_message_complete(self) -> None:
        """Pass the request on and reset the state for the next one."""
        request = self._request
        if request is None or self._parser.should_upgrade():
            # Behind an offer of another protocol the parser stops at the end
            # of the head, and the rest of the message is still to come.
            return
        request.body = bytes(self._body)
        request.keeps_alive = self._parser.should_keep_alive()
        self._request = None
        self._path = bytearray()
        self._fields = []
        self._head_bytes = 0
        self._body = bytearray()
        self._framing = FramingMeter()
        self._received_head_bytes = 0
        self.has_started = False
        self.is_head_complete = False
        self.expects_continue = False
        self._on_request(request)

    def _parse(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except HttpParserUpgrade as error:
            self._decline_upgrade(received[error.args[0] :])
        except HttpParserError as error:
            # httptools wraps exceptions of the callbacks above.
            cause = error.__context__
            if isinstance(cause, InvalidRequestError):
                raise cause from error
            raise self._fail('invalid_request', str(error)) from error

    def _decline_upgrade(self, rest: bytes) -> None:
        """Go on with a request as if it offered no other protocol.

        :param rest: received bytes behind the head.
        """
        request = self._request
        if request is None or request.method == _TUNNEL_METHOD:
            raise self._fail('invalid_request', 'tunnels are not supported')
        version = '1.0' if request.is_http10 else '1.1'
        lines = [f'{request.method} {request.path} HTTP/{version}']
        lines.extend(
            f'{name}: {_drop_upgrade_option(name, text)}'
            for name, text in request.fields
            if name.lower() != _UPGRADE
        )
        lines.extend(('', ''))
        self._parser = HttpRequestParser(self)
        self._request = None
        self._path = bytearray()
        self._fields = []
        self._head_bytes = 0
        self.is_head_complete = False
        self._parse('\r\n'.join(lines).encode('latin-1'))
        if rest:
            self._parse(rest)

    def _check_head(self) -> None:
        limits = self._limits
        head_bytes = self._head_bytes
        if not self.is_head_complete:
            head_bytes = max(head_bytes, self._received_head_bytes)
        if limits is not None and head_bytes > limits.head_bytes:
            raise self._fail('head_too_large', 'head exceeds the size limit')
        if len(self._fields) > MAX_FIELD_COUNT:
            raise self._fail(
                'head_too_large', f'head exceeds {MAX_FIELD_COUNT} fields'
            )

    def _check_framing(self, received_bytes: int, body_bytes: int) -> None:
        if not self._framing.record(received_bytes, body_bytes):
            raise self._fail(
                'framing_too_large',
                'chunk sizes, extensions and trailers exceed the size limit',
            )

    def _fail(self, reason: str, message: str) -> InvalidRequestError:
        return InvalidRequestError(
            reason,
            message,
            step=_STEP,
            peer=self._peer,
        )


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


def _drop_upgrade_option(name: str, text: str) -> str:
    """Return the value of a field without the option to change the protocol."""
    if name.lower() != _CONNECTION:
        return text
    options = text.split(',')
    return ','.join(
        each for each in options if each.strip().lower() != _UPGRADE
    )
