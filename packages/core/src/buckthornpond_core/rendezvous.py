"""Rendezvous hashing: owners chosen alike by all who know the same names."""

from xxhash import xxh3_64_intdigest

_HASH_BITS = 64
HASH_LIMIT = 1 << _HASH_BITS


def score(key: str, name: str) -> int:
    """Return the score of a name for a key, below :data:`HASH_LIMIT`.

    The names with the highest scores own the key.

    :param key: what is owned.
    :param name: possible owner.
    """
    return xxh3_64_intdigest(f'{key}/{name}'.encode())
