"""Bodies of requests, kept in blocks."""

# A block is allocated whole and reused whole, so that a body that grows is
# neither copied nor leaves gaps in memory.
_BLOCK_BYTES = 16_384


class RequestBody:
    """Body of a request, or what has come of it."""

    __slots__ = ('blocks', 'size_bytes')

    def __init__(self) -> None:
        self.blocks: list[bytearray] = []
        self.size_bytes = 0

    def add(self, part: bytes) -> None:
        """Append bytes.

        :param part: the next bytes.
        """
        self.size_bytes += len(part)
        rest = memoryview(part)
        while rest:
            if not self.blocks or len(self.blocks[-1]) >= _BLOCK_BYTES:
                self.blocks.append(bytearray())
            last = self.blocks[-1]
            room_bytes = _BLOCK_BYTES - len(last)
            last += rest[:room_bytes]
            rest = rest[room_bytes:]

    def join(self) -> bytes:
        """Return a copy in one piece."""
        return b''.join(self.blocks)
