"""What a line in the head of a response may be.

Whatever is read as a head has to be one to the letter. Where a head must not
pass as anything else, all that a server in trouble may have meant as one
counts.
"""

import re

from buckthornpond_core.exceptions import BuckthornpondError

_LINE_END = b'\n'
_EMPTY_LINE = b'\r\n'
_PROTOCOL = b'HTTP/1.'
# HTTP/1.0 or 1.1 with a status code of a known class (RFC 9112, section 4).
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-5]\d\d(?: [\t -~\x80-\xff]*)?\r\n')
# Status line of any server, also one that the pattern above refuses. In a
# field such as Via, the address of a proxy may follow the protocol.
LIKELY_STATUS = re.compile(rb'HTTP/1\.[01] (\d{3})(?=\s|\Z)')


class MalformedResponseError(BuckthornpondError):
    """A server sent bytes that are not a complete HTTP response."""

    def __init__(self, message: str) -> None:
        super().__init__(message, step='parse response', peer='server')

    def __str__(self) -> str:
        """Return only the message; the caller adds step and peer."""
        return self.message


class HeadSplitter:
    """Splits received bytes into pieces that end with a line, up to a body.

    A status line is passed on as a whole, and only if it is one.
    """

    __slots__ = ('_pending', '_searched_bytes', 'body_bytes', 'is_at_start')

    def __init__(self) -> None:
        self._pending = bytearray()
        # Pending bytes that were searched for the end of a line.
        self._searched_bytes = 0
        # Whether a status line is due.
        self.is_at_start = True
        # Bytes of a body that come before the next line.
        self.body_bytes = 0

    def add(self, received: bytes) -> None:
        """Append bytes.

        :param received: bytes from the socket.
        """
        self._pending += received

    def take_piece(self) -> bytes:
        """Return the next piece, empty if more bytes are needed.

        :raises MalformedResponseError: when it is to be a status line and is
            none.
        """
        if self.body_bytes:
            length_bytes = min(self.body_bytes, len(self._pending))
            self.body_bytes -= length_bytes
            return self._take(length_bytes)
        end = self._pending.find(_LINE_END, self._searched_bytes)
        if end >= 0:
            return self._check(self._take(end + 1))
        if self.is_at_start:
            self._searched_bytes = len(self._pending)
            if not _may_begin_head(self._pending):
                raise MalformedResponseError('not a status line')
            return b''
        return self.take_rest()

    def take_rest(self) -> bytes:
        """Return all bytes that are left."""
        return self._take(len(self._pending))

    def _check(self, line: bytes) -> bytes:
        if not self.is_at_start or line == _EMPTY_LINE:
            # An empty line may precede a response.
            return line
        if not _STATUS_LINE.fullmatch(line):
            raise MalformedResponseError('not a status line')
        self.is_at_start = False
        return line

    def _take(self, length_bytes: int) -> bytes:
        piece = bytes(self._pending[:length_bytes])
        del self._pending[:length_bytes]
        self._searched_bytes = 0
        return piece


def check_text(text: bytes | bytearray) -> None:
    """Check that no response begins in a part of a head.

    :param text: value of a field, or a reason phrase.
    :raises MalformedResponseError: when one may begin in it.
    """
    if LIKELY_STATUS.search(text):
        raise MalformedResponseError('another response inside the head')


def _may_begin_head(line: bytearray) -> bool:
    """Return whether an incomplete first line may become a status line."""
    start = bytes(line[: len(_PROTOCOL)])
    return _PROTOCOL.startswith(start) or _EMPTY_LINE.startswith(start)
