"""Charge of a chunk against the credits of its stream."""

CHUNK_OVERHEAD_BYTES = 64


def charge_bytes(payload: bytes) -> int:
    """Return what a chunk costs in credits.

    Each chunk carries a fixed charge, so that a stream of tiny events is
    bounded in messages as well as in bytes.

    :param payload: bytes of the answer.
    """
    return len(payload) + CHUNK_OVERHEAD_BYTES
