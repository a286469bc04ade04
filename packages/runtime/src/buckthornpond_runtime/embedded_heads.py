"""Search for the head of a further response inside a body.

A body that ends with its connection may hold what the server sent behind it.
"""

import re

_MARK = b'HTTP/1.'
_LINE_END = b'\r\n'
_HEAD_END = b'\r\n\r\n'
_STATUS_LINE = re.compile(rb'HTTP/1\.[01] ([1-5]\d\d)(?: [^\r\n]*)?\Z')
_FIELD_LINE = re.compile(rb"([!#$%&'*+.^`|~\w-]+):[ \t]*([^\r\n]*)")
# Longer heads are not looked for, which bounds the cost of the search.
_MAX_HEAD_BYTES = 8192


class EmbeddedHead:
    """Head of a response inside a body, as far as it has arrived.

    :param start: index of its first byte.
    :param status_code: HTTP status.
    :param fields: header fields, the last one first.
    """

    __slots__ = ('fields', 'start', 'status_code')

    def __init__(
        self, start: int, status_code: int, fields: list[tuple[str, str]]
    ) -> None:
        self.start = start
        self.status_code = status_code
        self.fields = fields


def find_heads(body: bytearray, start: int) -> list[EmbeddedHead]:
    """Return the complete heads of responses in a body.

    :param body: bytes of the body.
    :param start: index at which the search begins.
    """
    heads = []
    end = body.find(_HEAD_END, start)
    while end >= 0:
        first = max(start, end - _MAX_HEAD_BYTES)
        if body.find(_MARK, first, end) >= 0:
            head = _find_last_head(bytes(body[first:end]))
            if head is not None:
                head.start += first
                heads.append(head)
        start = end + len(_HEAD_END)
        end = body.find(_HEAD_END, start)
    return heads


def find_unfinished_head(body: bytearray, start: int) -> int:
    """Return where a head may begin that goes on behind the body's end.

    :param body: bytes of the body.
    :param start: index at which the search begins.
    """
    head_end = body.rfind(_HEAD_END, start)
    if head_end >= 0:
        start = head_end + len(_HEAD_END)
    first = max(start, len(body) - _MAX_HEAD_BYTES)
    lines, _, piece = bytes(body[first:]).rpartition(_LINE_END)
    if b'\n' not in piece:
        head = _find_last_head(lines)
        if head is not None:
            return first + head.start
    return len(body) - _count_status_bytes(piece)


def _find_last_head(content: bytes) -> EmbeddedHead | None:
    """Return the longest head that ends where the content ends."""
    head = None
    fields: list[tuple[str, str]] = []
    line_start = len(content) + len(_LINE_END)
    for line in reversed(content.split(_LINE_END)):
        line_start -= len(line) + len(_LINE_END)
        # The status line may follow the last byte of the body.
        text = line.rpartition(b'\n')[2].rpartition(b'\r')[2]
        status = _STATUS_LINE.search(text)
        if status is not None:
            text_start = line_start + len(line) - len(text)
            head = EmbeddedHead(
                text_start + status.start(), int(status[1]), list(fields)
            )
        field = _FIELD_LINE.fullmatch(line)
        if field is None:
            break
        fields.append((field[1].decode(), field[2].decode('latin-1')))
    return head


def _count_status_bytes(piece: bytes) -> int:
    """Return the length of the status line that may have begun at the end."""
    text = piece.rpartition(b'\n')[2]
    mark = text.find(_MARK)
    if mark >= 0:
        return len(text) - mark
    for length in range(len(_MARK) - 1, 0, -1):
        if text.endswith(_MARK[:length]):
            return length
    return 0
