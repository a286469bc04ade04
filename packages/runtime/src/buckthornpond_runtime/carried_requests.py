"""Requests that a connection has carried."""

from array import array

# Bounds the memory of a connection, and the search in it.
_MAX_REQUESTS = 100
# Signed, 64 bits.
_HASH_TYPE = 'q'


class CarriedRequests:
    """Remembers the identifiers of all requests that a connection carried."""

    __slots__ = ('_hashes',)

    def __init__(self) -> None:
        self._hashes = array(_HASH_TYPE)

    def __len__(self) -> int:
        """Return the number of requests."""
        return len(self._hashes)

    def __contains__(self, request_id: str) -> bool:
        """Return whether the connection carried a request.

        :param request_id: identifier of the request.
        """
        return hash(request_id) in self._hashes

    @property
    def is_full(self) -> bool:
        """Whether the connection may carry no further request."""
        return len(self) >= _MAX_REQUESTS

    def add(self, request_id: str) -> None:
        """Remember a request that is sent.

        :param request_id: identifier that its response names.
        """
        self._hashes.append(hash(request_id))
