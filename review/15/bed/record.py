"""Record of one run."""

import time
from pathlib import Path


class Record:
    """Lines of one run with the seconds since its start.

    :param path: file that is written at the end.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._lines: list[tuple[float, str]] = []
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def add(self, text: str, at: float | None = None) -> None:
        """Add a line.

        :param text: what happened.
        :param at: when, now if it is left out.
        """
        self._lines.append((self.now() if at is None else at, text))

    def write(self) -> None:
        """Write all lines in the order of their times."""
        lines = [f'{at:9.3f} {text}' for at, text in sorted(self._lines)]
        self._path.write_text('\n'.join(lines) + '\n')
