"""Crashes of targets, and the unanswered requests that they took along."""

from datetime import timedelta
from typing import Protocol

from .sound_parts import SoundParts

PartSet = frozenset[str]


class KnownStarts(Protocol):
    """Tells which start of each target is known."""

    def has_start(self, target: str, started_ms: int) -> bool:
        """Return whether a target is listed with a start.

        :param target: name of the target.
        :param started_ms: start of the target, in Unix milliseconds.
        """


class NoStarts:
    """Knows no target, so that every lost one counts as crashed."""

    __slots__ = ()

    def has_start(self, target: str, started_ms: int) -> bool:
        """Return that the target is not listed.

        :param target: name of the target.
        :param started_ms: start of the target, in Unix milliseconds.
        """
        return False


class Suspect:
    """Request that a target had not answered when it crashed.

    :param parts: parts of its prompt that other requests may hold too, and its
        identity as one more part.
    :param sent_at: when it was sent, on the monotonic clock.
    :param has_begun: whether the target had begun to answer it.
    """

    __slots__ = ('has_begun', 'parts', 'sent_at')

    def __init__(
        self, parts: PartSet, sent_at: timedelta, *, has_begun: bool = False
    ) -> None:
        self.parts = parts
        self.sent_at = sent_at
        self.has_begun = has_begun


class TargetCrash:
    """Loss of a target, and the unanswered requests that it took along.

    :param target: name of the target.
    :param started_ms: start of the target, in Unix milliseconds.
    :param occurred_at: time on the monotonic clock.
    """

    __slots__ = ('occurred_at', 'started_ms', 'suspects', 'target')

    def __init__(
        self, target: str, started_ms: int, occurred_at: timedelta
    ) -> None:
        self.target = target
        self.started_ms = started_ms
        self.occurred_at = occurred_at
        # Suspected requests by their parts, of several the one sent last.
        self.suspects: dict[PartSet, Suspect] = {}

    def add(self, suspect: Suspect) -> bool:
        """Add a suspected request; return whether its parts are new.

        :param suspect: the request.
        """
        known = self.suspects.get(suspect.parts)
        if known is None or known.sent_at < suspect.sent_at:
            self.suspects[suspect.parts] = suspect
        return known is None


class OpenCrash:
    """Crash with the parts that no later answer has cleared.

    :param crash: the crash.
    :param repeated: parts of several crashes; others are left out.
    :param sound_parts: when each part was last answered.
    :param known_starts: the targets that are listed.
    """

    __slots__ = (
        '_suspects',
        'is_still_listed',
        'occurred_at',
        'open_parts',
        'requests',
    )

    def __init__(
        self,
        crash: TargetCrash,
        repeated: PartSet,
        sound_parts: SoundParts,
        known_starts: KnownStarts,
    ) -> None:
        self.occurred_at = crash.occurred_at
        # The target may live, and only have closed connections.
        self.is_still_listed = known_starts.has_start(
            crash.target, crash.started_ms
        )
        self._suspects = crash.suspects.values()
        self.requests = [
            frozenset(
                part
                for part in parts & repeated
                if not sound_parts.is_answered_since(part, crash.occurred_at)
            )
            for parts in crash.suspects
        ]
        self.open_parts = frozenset[str]().union(*self.requests)

    def last_sent_at(self, part: str) -> timedelta:
        """Return when the last suspected request with a part was sent.

        :param part: ID of the part.
        """
        return max(
            suspect.sent_at
            for suspect in self._suspects
            if part in suspect.parts
        )

    def was_sent_last(self, part: str) -> bool:
        """Return whether no suspected request was sent after one with a part.

        :param part: ID of the part.
        """
        last_sent_at = max(suspect.sent_at for suspect in self._suspects)
        return self.last_sent_at(part) >= last_sent_at

    def has_begun(self, part: str) -> bool:
        """Return whether the target had begun to answer one with a part.

        :param part: ID of the part.
        """
        return any(
            suspect.has_begun and part in suspect.parts
            for suspect in self._suspects
        )

    def count_requests(self, part: str) -> int:
        """Return the number of suspected requests that hold a part.

        :param part: ID of the part.
        """
        return sum(part in parts for parts in self.requests)

    def find_companions(self, part: str) -> PartSet:
        """Return the parts that each suspected request with a part holds.

        :param part: ID of the part.
        """
        return frozenset.intersection(
            *(parts for parts in self.requests if part in parts)
        )

    def is_explained_by(self, cause: PartSet) -> bool:
        """Return whether a suspected request holds all parts of a cause.

        :param cause: parts that may have caused it.
        """
        return any(cause <= parts for parts in self.requests)
