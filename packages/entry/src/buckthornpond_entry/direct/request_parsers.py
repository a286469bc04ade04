"""Parser of callers' HTTP requests."""

from collections.abc import Callable

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
)

from buckthornpond_core._generated.serving import CallerLimits
from buckthornpond_core.exceptions import InvalidRequestError
from buckthornpond_core.input_limits import FramingMeter
from buckthornpond_core.input_pacing import SMALL_PIECE_BYTES

from .header_blocks import HeaderBlock
from .request_bodies import RequestBody
from .requests import CallerRequest

_STEP = 'read request'
_CONNECTION = 'connection'
_UPGRADE = 'upgrade'
_TUNNEL_METHOD = 'CONNECT'
_LENGTH = b'content-length'
_EXPECT = b'expect'
_LINE_END = b'\n'
_LAST_CHUNK_DIGIT = ord('0')
_LAST_CHUNK_START = b'\n0'
# Bytes of chunks that are parsed at once.
_BLOCK_BYTES = 4096
# Small pieces after which a parser lets others have their turn.
_PIECES_PER_TURN = 512


class RequestParser:
    """Parses the requests of one connection.

    It goes on in turns, since a peer decides how much work a byte brings, and
    keeps bytes rather than objects, since it decides how many those are.

    :param on_request: called with each complete request.
    :param peer: the caller's address, for errors.
    """

    __slots__ = (
        '_body',
        '_body_bytes_wanted',
        '_framing',
        '_has_ended_request',
        '_head',
        '_is_chunk_end_near',
        '_limits',
        '_on_request',
        '_parser',
        '_path',
        '_peer',
        '_received_body_bytes',
        '_received_head_bytes',
        '_request',
        '_small_piece_count',
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
        self._head = HeaderBlock()
        self._body = RequestBody()
        # Announced length of a body without chunks.
        self._body_bytes_wanted = 0
        self._received_body_bytes = 0
        self._framing = FramingMeter()
        self._received_head_bytes = 0
        self._request: CallerRequest | None = None
        self._has_ended_request = False
        # Whether the next line may end a body of chunks.
        self._is_chunk_end_near = False
        self._small_piece_count = 0
        self.has_started = False
        self.is_head_complete = False
        self.expects_continue = False

    @property
    def held_body_bytes(self) -> int:
        """Number of body bytes of the incomplete request."""
        return self._body.size_bytes

    @property
    def held_bytes(self) -> int:
        """Memory that the incomplete request takes."""
        return len(self._path) + self._head.size_bytes + self._body.size_bytes

    @property
    def missing_body_bytes(self) -> int:
        """Number of bytes that are missing of a body without chunks."""
        if not self.is_head_complete:
            return 0
        return max(self._body_bytes_wanted - self._body.size_bytes, 0)

    def take_small_piece_count(self) -> int:
        """Return the number of small pieces since the last call."""
        count = self._small_piece_count
        self._small_piece_count = 0
        return count

    def feed(self, received: bytes, limits: CallerLimits) -> None:
        """Parse bytes from the caller.

        :param received: bytes from the socket.
        :param limits: size limits of a request.
        :raises InvalidRequestError: when the bytes are not a valid request, or
            exceed a limit.
        """
        position = 0
        while position < len(received):
            position = self.feed_turn(received, position, limits)

    def feed_turn(
        self, received: bytes, start: int, limits: CallerLimits
    ) -> int:
        """Parse to the end of a request at most; return where it stopped.

        :param received: bytes from the socket.
        :param start: position of the first byte to parse.
        :param limits: size limits of a request.
        :raises InvalidRequestError: when the bytes are not a valid request, or
            exceed a limit.
        """
        self._limits = limits
        self._has_ended_request = False
        earlier_body_bytes = self._received_body_bytes
        earlier_request = self._request
        last_piece_count = self._small_piece_count + _PIECES_PER_TURN
        position = start
        while position < len(received):
            position = self._feed_piece(received, position)
            is_over = self._small_piece_count >= last_piece_count
            if is_over or self._has_ended_request:
                break
        if not self.is_head_complete:
            self._check_head()
        elif self._request is earlier_request:
            self._check_framing(
                position - start,
                self._received_body_bytes - earlier_body_bytes,
            )
        return position

    def discard(self) -> None:
        """Release what is held of a request that is not served."""
        self._head = HeaderBlock()
        self._body = RequestBody()

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Mark the start of a request."""
        self.has_started = True

    def on_url(self, url: bytes) -> None:
        """Append to the path."""
        self._path += url

    def on_header(self, name: bytes, field: bytes) -> None:
        """Add a header field."""
        if self.is_head_complete:
            # Trailer fields are ignored.
            return
        self._head.add(name, field)
        if len(name) + len(field) < SMALL_PIECE_BYTES:
            self._small_piece_count += 1
        lower_name = name.lower()
        if lower_name == _LENGTH:
            self._body_bytes_wanted = int(field)
        elif lower_name == _EXPECT:
            self.expects_continue = True

    def on_headers_complete(self) -> None:
        """Create the request, now that its head is complete."""
        self.is_head_complete = True
        self._check_head()
        self._request = CallerRequest(
            self._parser.get_method().decode('latin-1'),
            self._path.decode('latin-1'),
            self._head,
            is_http10=self._parser.get_http_version() == '1.0',
        )
        self._request.use_origin_form()

    def on_body(self, part: bytes) -> None:
        """Append to the body.

        :raises InvalidRequestError: when the body exceeds its limit.
        """
        self._body.add(part)
        self._received_body_bytes += len(part)
        self._is_chunk_end_near = False
        if len(part) < SMALL_PIECE_BYTES:
            self._small_piece_count += 1
        limits = self._limits
        if limits is not None and self._body.size_bytes > limits.body_bytes:
            raise self._fail('body_too_large', 'body exceeds the size limit')

    def on_message_complete(self) -> None:
        """Pass the request on and reset the state for the next one."""
        request = self._request
        if request is None or self._parser.should_upgrade():
            # Behind an offer of another protocol the parser stops at the end
            # of the head, and the rest of the message is still to come.
            return
        request.content = self._body
        request.keeps_alive = self._parser.should_keep_alive()
        self._start_head()
        self._body = RequestBody()
        self._framing = FramingMeter()
        self._received_head_bytes = 0
        self._has_ended_request = True
        self._is_chunk_end_near = False
        self.has_started = False
        self._on_request(request)

    def _start_head(self) -> None:
        self._request = None
        self._path = bytearray()
        self._head = HeaderBlock()
        self._body_bytes_wanted = 0
        self.is_head_complete = False
        self.expects_continue = False

    def _feed_piece(self, received: bytes, start: int) -> int:
        """Parse the next piece, in which one request ends at most."""
        end = self._find_piece_end(received, start)
        if not self.is_head_complete:
            self._received_head_bytes += end - start
        self._parse(received[start:end])
        return end

    def _find_piece_end(self, received: bytes, start: int) -> int:
        """Return where a piece ends that holds no end but its own.

        A head ends with a line, a body under a length with its last byte, and
        one in chunks with a line too, behind a chunk size of zero.
        """
        if self.missing_body_bytes:
            return min(start + self.missing_body_bytes, len(received))
        if self.is_head_complete and not self._is_chunk_end_near:
            if received[start] != _LAST_CHUNK_DIGIT:
                end = min(start + _BLOCK_BYTES, len(received))
                found = received.find(_LAST_CHUNK_START, start, end)
                return end if found < 0 else found + 1
            self._is_chunk_end_near = True
        found = received.find(_LINE_END, start)
        return len(received) if found < 0 else found + 1

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
        self._start_head()
        self._parse('\r\n'.join(lines).encode('latin-1'))
        if rest:
            self._parse(rest)

    def _check_head(self) -> None:
        limits = self._limits
        head_bytes = len(self._path) + self._head.text_bytes
        if not self.is_head_complete:
            head_bytes = max(head_bytes, self._received_head_bytes)
        if limits is not None and head_bytes > limits.head_bytes:
            raise self._fail('head_too_large', 'head exceeds the size limit')

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


def _drop_upgrade_option(name: str, text: str) -> str:
    """Return the value of a field without the option to change the protocol."""
    if name.lower() != _CONNECTION:
        return text
    options = text.split(',')
    return ','.join(
        each for each in options if each.strip().lower() != _UPGRADE
    )
