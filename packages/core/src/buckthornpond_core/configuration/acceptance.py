"""Order of document versions, which decides acceptance."""

from typing import Protocol

from xxhash import xxh3_64_intdigest

_DIGEST_MASK = 0xFFFFFFFF


class DocumentStamp:
    """Version and digest of one document.

    :param version: version number, 0 for no document.
    :param digest: 32-bit digest of the content, 0 for no document.
    """

    __slots__ = ('digest', 'version')

    def __init__(self, version: int = 0, digest: int = 0) -> None:
        self.version = version
        self.digest = digest


class AcceptanceOrder(Protocol):
    """Policy that decides whether a document replaces the current one."""

    def is_newer(
        self, candidate: DocumentStamp, current: DocumentStamp
    ) -> bool:
        """Return whether the candidate replaces the document in force.

        :param candidate: stamp of the received document.
        :param current: stamp of the document in force.
        """


class HighestVersionOrder:
    """Accepts a higher version, or a higher digest of the same version.

    The order is total, so that processes that receive the same documents in
    any order end with the same one in force.
    """

    __slots__ = ()

    def is_newer(
        self, candidate: DocumentStamp, current: DocumentStamp
    ) -> bool:
        """Compare the versions first, then the digests."""
        if candidate.version != current.version:
            return candidate.version > current.version
        return candidate.digest > current.digest


class LastReadOrder:
    """Baseline that accepts whatever was read last."""

    __slots__ = ()

    def is_newer(
        self, candidate: DocumentStamp, current: DocumentStamp
    ) -> bool:
        """Return whether the documents differ."""
        return (candidate.version, candidate.digest) != (
            current.version,
            current.digest,
        )


def digest_content(content: bytes) -> int:
    """Return the 32-bit digest of a document.

    :param content: JSON text as published.
    """
    return xxh3_64_intdigest(content) & _DIGEST_MASK
