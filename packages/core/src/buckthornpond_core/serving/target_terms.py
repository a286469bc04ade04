"""What one start of a target has said of itself, and how long that binds."""

from datetime import timedelta

from .._generated.serving import TargetRecord
from .stated_limits import StatedLimit

# Terms of targets that are not listed, of which the oldest are forgotten.
_MAX_FORMER_COUNT = 1024


class TargetTerms:
    """What one start of a target has said of itself."""

    __slots__ = ('backoff_until', 'is_first_hand', 'is_leaving', 'limit')

    def __init__(self) -> None:
        self.limit: StatedLimit | None = None
        self.is_leaving = False
        # Whether a response to this entry said so, not another entry's hint.
        self.is_first_hand = False
        # Until when the target wants nothing from this entry.
        self.backoff_until = timedelta()

    @property
    def is_limited(self) -> bool:
        """Return whether the target states a limit of its request rate."""
        limit = self.limit
        return limit is not None and limit.requests_per_second is not None


class FormerTerms:
    """Terms of targets that are no longer listed, and may be listed again."""

    __slots__ = ('_by_start',)

    def __init__(self) -> None:
        self._by_start: dict[tuple[str, int], TargetTerms] = {}

    def keep(self, record: TargetRecord, terms: TargetTerms) -> None:
        """Remember the terms of a target that is not listed any more.

        :param record: last record of the target.
        :param terms: what it has said.
        """
        self._by_start[record.name, record.started_ms] = terms
        while len(self._by_start) > _MAX_FORMER_COUNT:
            self._by_start.pop(next(iter(self._by_start)))

    def take(self, record: TargetRecord) -> TargetTerms:
        """Return the terms of this start of a target, new ones if unknown.

        :param record: record of a target that is listed.
        """
        start = (record.name, record.started_ms)
        return self._by_start.pop(start, None) or TargetTerms()
