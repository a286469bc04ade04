"""HTTP responses, parsed from the bytes that a socket's owner feeds in."""

from collections.abc import Callable
from typing import TypeAlias

from httptools import (
    HttpParserError,
    HttpParserUpgrade,
    HttpResponseParser,
)

from buckthornpond_core.input_limits import (
    MAX_FIELD_COUNT,
    MAX_FRAMING_BYTES,
    MAX_HEAD_BYTES,
    FramingMeter,
    InputLimit,
    InputLimitError,
)

from .embedded_heads import EmbeddedHeadSearch
from .head_lines import HeadSplitter, MalformedResponseError, check_text

_LOWEST_FINAL_STATUS = 200
_MAX_BUFFERED_BYTES = 1_048_576
_EVENT_END = b'\n\n'
_BODILESS_STATUSES = frozenset((204, 304))
_CHUNKED = 'chunked'
_NO_BODY_LENGTHS = frozenset(('', '0'))

HeadCheck: TypeAlias = Callable[[int, list[tuple[str, str]]], bool]


class HttpResponse:
    """Head and buffered body of one response.

    :param method: method of the request, which may forbid a body.
    :param is_stale: tells from status and header fields whether a response
        answers an earlier request. Such a response is skipped, and counts
        towards the limit on the head.
    :param is_further: tells from status and header fields whether a head
        inside a body that ends with its connection is that of a further
        response. Without it, such bodies are not searched.
    """

    __slots__ = (
        '_body',
        '_fields',
        '_framing',
        '_head_bytes',
        '_is_further',
        '_is_skipping',
        '_is_stale',
        '_method',
        '_parser',
        '_reason_phrase',
        '_received_body_bytes',
        '_search',
        '_searched_bytes',
        '_splitter',
        '_unsearched',
        'fields',
        'has_skipped',
        'has_trailing_bytes',
        'is_complete',
        'is_head_complete',
        'keeps_alive',
        'status_code',
    )

    def __init__(
        self,
        method: str,
        is_stale: HeadCheck | None = None,
        is_further: HeadCheck | None = None,
    ) -> None:
        self.status_code = 0
        self.is_head_complete = False
        self.is_complete = False
        # Whether bytes arrived after the end of the response.
        self.has_trailing_bytes = False
        # Whether a response to an earlier request came first.
        self.has_skipped = False
        self.keeps_alive = False
        self.fields: list[tuple[str, str]] = []
        self._method = method
        self._is_stale = is_stale
        self._is_further = is_further
        self._is_skipping = False
        self._fields: dict[str, str] = {}
        self._reason_phrase = bytearray()
        self._head_bytes = 0
        self._framing = FramingMeter()
        self._received_body_bytes = 0
        # Bytes of the buffered body that hold no end of an event.
        self._searched_bytes = 0
        self._body = bytearray()
        # Looks for further responses, in a body that ends with its connection.
        self._search: EmbeddedHeadSearch | None = None
        self._unsearched = bytearray()
        self._splitter = HeadSplitter()
        self._parser = HttpResponseParser(self)

    @property
    def ends_with_connection(self) -> bool:
        """Whether nothing but the end of the connection ends the body."""
        return (
            self.is_head_complete
            and not self.is_complete
            and not self.is_body_delimited
        )

    @property
    def is_body_delimited(self) -> bool:
        """Whether the head says how the body ends."""
        if self._is_bodiless or 'content-length' in self._fields:
            return True
        codings = self.get('transfer-encoding', '')
        return codings.rpartition(',')[2].strip().lower() == _CHUNKED

    @property
    def buffered_bytes(self) -> int:
        """Number of body bytes that nobody has taken yet."""
        return len(self._body)

    def get(self, name: str, default: str) -> str:
        """Return a header field, or the default.

        :param name: name of the field in lower case.
        :param default: value of an absent field.
        """
        return self._fields.get(name, default)

    def feed(self, received: bytes) -> None:
        """Parse bytes from the socket.

        :param received: received bytes, empty once the peer has closed.
        :raises MalformedResponseError: when they are not HTTP, or end early.
        :raises InputLimitError: when a part of the response is too long.
        """
        if not received:
            self._finish()
            return
        had_head = self.is_head_complete
        earlier_body_bytes = self._received_body_bytes
        if had_head:
            self._parse(received)
        else:
            self._parse_head(received)
        self._check_field_count()
        self._search_further()
        if not self.is_head_complete:
            self._check_head(len(received))
        elif had_head and not self.is_complete:
            self._check_body(
                len(received),
                self._received_body_bytes - earlier_body_bytes,
            )

    def take_events(self, limit_bytes: int) -> bytes:
        """Return the complete buffered server-sent events, or ``b''``.

        :param limit_bytes: most bytes to return, unless one event is longer.
        """
        first_end = self._body.find(_EVENT_END, self._searched_bytes)
        if first_end < 0:
            # The end of an event may itself be split.
            self._searched_bytes = max(len(self._body) - 1, 0)
            return b''
        end = self._body.rfind(_EVENT_END, first_end, limit_bytes)
        return self.take(max(first_end, end) + len(_EVENT_END))

    def take_event(self) -> bytes:
        """Return the first complete server-sent event, or ``b''``."""
        return self.take_events(0)

    def take(self, length_bytes: int) -> bytes:
        """Return buffered bytes of the body.

        :param length_bytes: most bytes to return.
        """
        self._searched_bytes = 0
        taken_bytes = min(length_bytes, self.buffered_bytes)
        taken = bytes(self._body[:taken_bytes])
        del self._body[:taken_bytes]
        return taken

    def has_buffered(self, length_bytes: int) -> bool:
        """Return whether this many bytes, or the whole rest, are buffered.

        :param length_bytes: number of body bytes.
        """
        return self.is_complete or self.buffered_bytes >= length_bytes

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a response, which may follow an interim one."""
        if self.is_complete:
            self.has_trailing_bytes = True
            return
        self._fields.clear()
        self.fields.clear()
        self._reason_phrase.clear()

    def on_status(self, part: bytes) -> None:
        """Append to the reason phrase."""
        self._reason_phrase += part

    def on_header(self, name: bytes, field: bytes) -> None:
        """Store a header field.

        :raises MalformedResponseError: when another response begins in it.
        """
        if self.is_head_complete or self.has_trailing_bytes:
            # Trailer fields are ignored.
            return
        if len(self.fields) > MAX_FIELD_COUNT:
            # Enough to see that there are too many.
            return
        check_text(field)
        text = field.decode('latin-1')
        self._fields[name.decode('latin-1').lower()] = text
        self.fields.append((name.decode('latin-1'), text))

    def on_headers_complete(self) -> None:
        """Store the status of a response that is not interim.

        :raises MalformedResponseError: when another response begins in the
            reason phrase.
        """
        status_code = self._parser.get_status_code()
        if self.has_trailing_bytes:
            return
        check_text(self._reason_phrase)
        if status_code < _LOWEST_FINAL_STATUS:
            self._check_interim()
            return
        if self._is_stale is not None:
            self._is_skipping = self._is_stale(status_code, self.fields)
        if self._is_skipping:
            self.has_skipped = True
            if status_code not in _BODILESS_STATUSES:
                length = self.get('content-length', '0')
                self._splitter.body_bytes = int(length)
            return
        self.status_code = status_code
        self.is_head_complete = True
        self.is_complete = self._is_bodiless
        if self._is_further is not None and not self.is_body_delimited:
            self._search = EmbeddedHeadSearch()

    def on_body(self, part: bytes) -> None:
        """Append a part of the body to the buffer."""
        if self.is_complete:
            # Nothing follows the head of an answer to HEAD, or 204 and 304.
            self.has_trailing_bytes = True
            return
        if not self._is_skipping and not self.has_trailing_bytes:
            body = self._body if self._search is None else self._unsearched
            body += part
            self._received_body_bytes += len(part)

    def on_message_complete(self) -> None:
        """Mark a response that is not interim as complete."""
        self._splitter.is_at_start = True
        if self._is_skipping:
            self._is_skipping = False
        elif self.is_head_complete and not self.is_complete:
            self.is_complete = True
            self.keeps_alive = self._parser.should_keep_alive()

    @property
    def _is_bodiless(self) -> bool:
        return self._method == 'HEAD' or self.status_code in _BODILESS_STATUSES

    def _check_field_count(self) -> None:
        if len(self.fields) > MAX_FIELD_COUNT:
            raise InputLimitError(
                InputLimit.head,
                MAX_FIELD_COUNT,
                step='parse response',
                peer='server',
                unit='fields',
            )

    def _check_head(self, received_bytes: int) -> None:
        self._head_bytes += received_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _limit_error(InputLimit.head, MAX_HEAD_BYTES)

    def _check_body(self, received_bytes: int, body_bytes: int) -> None:
        if not self._framing.record(received_bytes, body_bytes):
            raise _limit_error(InputLimit.framing, MAX_FRAMING_BYTES)
        if len(self._body) > _MAX_BUFFERED_BYTES:
            raise _limit_error(InputLimit.event, _MAX_BUFFERED_BYTES)

    def _finish(self) -> None:
        if self.is_complete:
            return
        if self.is_body_delimited or not self.is_head_complete:
            raise MalformedResponseError(
                'connection closed before the end of the response'
            )
        if self._search is not None:
            self._end_search(self._search)
        self.is_complete = True

    def _search_further(self) -> None:
        """Look for a further response in the next bytes of the body."""
        search = self._search
        is_further = self._is_further
        if search is None or is_further is None:
            return
        self._body += search.feed(bytes(self._unsearched))
        self._unsearched.clear()
        for head in search.take_heads():
            if is_further(head.status_code, head.fields):
                raise MalformedResponseError(
                    'another response inside a body without a length'
                )

    def _end_search(self, search: EmbeddedHeadSearch) -> None:
        if search.is_inside_head:
            raise MalformedResponseError(
                'connection closed inside the head of another response'
            )
        self._body += search.take_held()

    def _check_interim(self) -> None:
        length = self.get('content-length', '')
        has_body = length not in _NO_BODY_LENGTHS
        if has_body or 'transfer-encoding' in self._fields:
            raise MalformedResponseError('interim response with a body')

    def _parse_head(self, received: bytes) -> None:
        splitter = self._splitter
        splitter.add(received)
        while not self.is_head_complete:
            piece = splitter.take_piece()
            if not piece:
                return
            self._parse(piece)
        rest = splitter.take_rest()
        if rest:
            self._parse(rest)

    def _parse(self, received: bytes) -> None:
        try:
            self._parser.feed_data(received)
        except (HttpParserError, HttpParserUpgrade) as error:
            # Bytes after a complete response belong to no request.
            self.has_trailing_bytes = True
            if not self.is_complete:
                # httptools wraps exceptions of the callbacks above.
                cause = error.__context__ or error
                raise MalformedResponseError(str(cause)) from error


def _limit_error(limit: InputLimit, max_bytes: int) -> InputLimitError:
    return InputLimitError(
        limit, max_bytes, step='parse response', peer='server'
    )
