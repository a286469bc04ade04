"""Positions in the history of the source of the fleet."""


class SourcePosition:
    """Position in the history of the source.

    A source that comes back from an older copy loses its latest revisions and
    gives them out again, so that revisions compare only within an era.

    :param era: rises each time that the source comes back from an older
        copy; zero if it names none.
    :param revision: revision of the source in that era, zero for none.
    """

    __slots__ = ('era', 'revision')

    def __init__(self, era: int = 0, revision: int = 0) -> None:
        self.era = era
        self.revision = revision

    def __repr__(self) -> str:
        """Return the era and the revision."""
        return f'SourcePosition({self.era}, {self.revision})'

    def is_before(self, other: 'SourcePosition') -> bool:
        """Return whether the other position is later.

        :param other: position to compare with.
        """
        if self.era != other.era:
            return self.era < other.era
        return self.revision < other.revision
