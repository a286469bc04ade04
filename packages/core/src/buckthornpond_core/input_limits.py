"""Bounds on what one peer may send, so that no peer can exhaust a process.

A peer that does not stop sending is cut off after a bounded number of bytes,
whichever part of its message does not end.
"""

from enum import StrEnum

from .exceptions import BuckthornpondError

# Status line and header fields of a response, with all interim responses.
MAX_HEAD_BYTES = 65_536
# Header fields of one message: an empty one takes some hundred bytes.
MAX_FIELD_COUNT = 256
# Chunk sizes, chunk extensions and trailers since the last byte of a body.
MAX_FRAMING_BYTES = 65_536
# The framing of a whole body may grow by this much for each of its bytes.
MAX_FRAMING_BYTES_PER_BODY_BYTE = 8
# Response that is forwarded as a whole.
MAX_RESPONSE_BODY_BYTES = 8_388_608
# One event of a stream.
MAX_EVENT_BYTES = 1_048_576
# Comments and repeated events between two events that a caller can use.
MAX_EMPTY_EVENT_BYTES = 65_536
# All events of one stream.
MAX_STREAM_BYTES = 67_108_864


class InputLimit(StrEnum):
    """Part of a message that has a limit."""

    head = 'head'
    framing = 'framing'
    body = 'body'
    event = 'event'
    empty_events = 'empty_events'
    stream = 'stream'


class InputLimitError(BuckthornpondError):
    """A peer sent more than a limit allows.

    :param limit: the exceeded limit.
    :param maximum: value of the limit.
    :param step: operation that failed.
    :param peer: address or kind of the peer.
    :param unit: unit of the limit.
    """

    def __init__(
        self,
        limit: InputLimit,
        maximum: int,
        *,
        step: str,
        peer: str,
        unit: str = 'bytes',
    ) -> None:
        super().__init__(
            f'{limit} exceeds {maximum} {unit}', step=step, peer=peer
        )
        self.limit = limit


class FramingMeter:
    """Counts the framing of one body: received bytes that are no content."""

    __slots__ = ('_body_bytes', '_framing_bytes', '_recent_bytes')

    def __init__(self) -> None:
        self._body_bytes = 0
        self._framing_bytes = 0
        # Since the last byte of the body.
        self._recent_bytes = 0

    def record(self, received_bytes: int, body_bytes: int) -> bool:
        """Count received bytes; return whether the framing is within limits.

        :param received_bytes: number of bytes received.
        :param body_bytes: how many of them belong to the body.
        """
        framing_bytes = received_bytes - body_bytes
        self._body_bytes += body_bytes
        self._framing_bytes += framing_bytes
        self._recent_bytes = (
            0 if body_bytes else self._recent_bytes + framing_bytes
        )
        allowed_bytes = (
            MAX_FRAMING_BYTES
            + MAX_FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        )
        return (
            self._recent_bytes <= MAX_FRAMING_BYTES
            and self._framing_bytes <= allowed_bytes
        )
