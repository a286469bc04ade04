"""Header fields of a request, kept as the bytes that came."""

_ENCODING = 'latin-1'
_SEPARATOR = ':'
_LINE_END = '\r\n'
_FRAMING = b'%b:%b\r\n'
_FRAMING_BYTES = len(_SEPARATOR + _LINE_END)
_LIST_SEPARATOR = b','


class HeaderBlock:
    """Header fields in their order.

    Decoded fields take many times the memory of their bytes, so they are
    decoded whenever they are used.
    """

    __slots__ = ('_count', '_lines', 'list_entry_count')

    def __init__(self) -> None:
        self._lines = bytearray()
        self._count = 0
        # Entries of values that are lists, but for the first one of each.
        self.list_entry_count = 0

    @property
    def size_bytes(self) -> int:
        """Memory that the fields take."""
        return len(self._lines)

    @property
    def text_bytes(self) -> int:
        """Size of all names and values."""
        return len(self._lines) - self._count * _FRAMING_BYTES

    def add(self, name: bytes, text: bytes) -> None:
        """Add a field.

        :param name: its name, without a colon.
        :param text: its value, without a line break.
        """
        self._lines += _FRAMING % (name, text)
        self._count += 1
        self.list_entry_count += text.count(_LIST_SEPARATOR)

    def decode(self) -> list[tuple[str, str]]:
        """Return name and value of each field."""
        lines = self._lines.decode(_ENCODING).split(_LINE_END)[:-1]
        fields = (line.partition(_SEPARATOR) for line in lines)
        return [(name, text) for name, _, text in fields]
