"""Buffer that counts how many of its bytes are looked at."""

from typing import Any


class SearchedBuffer(bytearray):  # noqa: WPS600
    """Buffer that counts the bytes that are searched or copied."""

    def __init__(self) -> None:
        super().__init__()
        self.searched_bytes = 0

    def find(self, sub: Any, start: Any = 0, end: Any = None) -> int:
        """Search forwards and count the searched bytes."""
        found = super().find(sub, start, end)
        stop = len(self) if found < 0 else found + len(sub)
        self.searched_bytes += stop - start
        return found

    def rfind(self, sub: Any, start: Any = 0, end: Any = None) -> int:
        """Search backwards and count the searched bytes."""
        found = super().rfind(sub, start, end)
        stop = len(self) if end is None else min(end, len(self))
        self.searched_bytes += max(stop - max(found, start), 0)
        return found

    def __getitem__(self, key: Any) -> Any:
        """Copy a part and count its bytes."""
        part = super().__getitem__(key)
        if isinstance(key, slice):
            self.searched_bytes += len(part)
        return part
