"""Search for the head of a further response inside a body.

A body that ends with its connection may hold what the server sent behind it.
"""

import re

from .head_lines import LIKELY_STATUS

_MARK = b'HTTP/1.'
_LINE_END = b'\n'
_RETURN = b'\r'
# A name may hold anything that a server in trouble writes.
_FIELD_LINE = re.compile(rb'([^:\r\n]+):[ \t]*([^\r\n]*)\r\n')
_FIELD_LINES = re.compile(rb'(?:[^:\r\n]+:[^\r\n]*\r\n)*')
_NO_NAME = re.compile(rb'[^!-~]+')
_HEAD_END = b'\r\n'
# Longer heads are not looked for, which bounds what is held back.
_MAX_HEAD_BYTES = 8192


class EmbeddedHead:
    """Head of a response inside a body.

    :param status_code: HTTP status.
    :param field_lines: bytes of the header fields.
    """

    __slots__ = ('_field_lines', 'status_code')

    def __init__(self, status_code: int, field_lines: bytes) -> None:
        self.status_code = status_code
        self._field_lines = field_lines

    @property
    def fields(self) -> list[tuple[str, str]]:
        """Return the header fields in their order."""
        return [
            (_NO_NAME.sub(b'', name).decode(), text.decode('latin-1'))
            for name, text in _FIELD_LINE.findall(self._field_lines)
        ]


class EmbeddedHeadSearch:
    """Looks through a body as it arrives, and holds back what may be a head.

    Each byte is looked at a bounded number of times, and the result does not
    depend on how the body is split.
    """

    __slots__ = (
        '_fields_start',
        '_found',
        '_has_mark',
        '_held',
        '_line_start',
        '_needs_input',
        '_searched_bytes',
        '_status_code',
        'is_inside_head',
    )

    def __init__(self) -> None:
        self._held = bytearray()
        # Whether the held bytes begin with the mark of a status line.
        self._has_mark = False
        # Whether the bytes so far end inside a head, after its first line.
        self.is_inside_head = False
        self._status_code = 0
        # Index of the first header field of that head.
        self._fields_start = 0
        # Index of the line that has not ended.
        self._line_start = 0
        # Held bytes that were searched for the end of that line.
        self._searched_bytes = 0
        self._needs_input = False
        self._found: list[EmbeddedHead] = []

    def feed(self, part: bytes) -> bytes:
        """Return the bytes of the body that are not held back, in order.

        :param part: next bytes of the body.
        """
        self._held += part
        self._needs_input = False
        released = bytearray()
        while not self._needs_input:
            step = self._read_line if self._has_mark else self._find_mark
            end = step()
            released += self._held[:end]
            del self._held[:end]  # noqa: WPS420
        return bytes(released)

    def take_heads(self) -> list[EmbeddedHead]:
        """Return the complete heads that were found since the last call."""
        found = self._found
        self._found = []
        return found

    def take_held(self) -> bytes:
        """Return the bytes that are held back, once the body has ended."""
        held = bytes(self._held)
        self._held.clear()
        return held

    # Steps: each returns how many of the held bytes begin no head.

    def _find_mark(self) -> int:
        start = self._held.find(_MARK)
        if start < 0:
            self._needs_input = True
            return len(self._held) - _count_mark_bytes(self._held)
        self._has_mark = True
        self._line_start = 0
        self._searched_bytes = 0
        return start

    def _read_line(self) -> int:
        end = self._held.find(_LINE_END, self._searched_bytes)
        self._searched_bytes = len(self._held) if end < 0 else end + 1
        if end >= 0 and self.is_inside_head:
            return self._read_fields()
        if self._searched_bytes > _MAX_HEAD_BYTES:
            return self._give_up()
        if end >= 0:
            return self._read_status_line(bytes(self._held[:end]))
        self._needs_input = True
        return 0

    def _read_status_line(self, line: bytes) -> int:
        # The status line may follow the last byte of the body.
        text = line.removesuffix(_RETURN).rpartition(_RETURN)[2]
        status = LIKELY_STATUS.search(text)
        if status is None or not line.endswith(_RETURN):
            return self._restart(self._searched_bytes)
        start = len(line) - len(_RETURN) - len(text) + status.start()
        self.is_inside_head = True
        self._status_code = int(status[1])
        self._searched_bytes -= start
        self._fields_start = self._searched_bytes
        self._line_start = self._searched_bytes
        return start

    def _read_fields(self) -> int:
        held = self._held
        lines = _FIELD_LINES.match(held, self._line_start, _MAX_HEAD_BYTES)
        start = self._line_start if lines is None else lines.end()
        self._line_start = start
        end = start + len(_HEAD_END)
        if end <= _MAX_HEAD_BYTES and held[start:end] == _HEAD_END:
            fields = bytes(held[self._fields_start : start])
            self._found.append(EmbeddedHead(self._status_code, fields))
            return self._restart(end)
        self._searched_bytes = start
        if held.find(_LINE_END, start) >= 0:
            # The line is no header field.
            return self._restart(start)
        return 0

    def _give_up(self) -> int:
        """Go on behind what has become too long for a head."""
        if self.is_inside_head:
            return self._restart(self._line_start)
        last_mark = self._held.rfind(_MARK, 1, _MAX_HEAD_BYTES)
        return self._restart(max(last_mark, 1))

    def _restart(self, start: int) -> int:
        self._has_mark = False
        self.is_inside_head = False
        return start


def _count_mark_bytes(held: bytearray) -> int:
    """Return the length of the mark that may have begun at the end."""
    for length in range(len(_MARK) - 1, 0, -1):
        if held.endswith(_MARK[:length]):
            return length
    return 0
