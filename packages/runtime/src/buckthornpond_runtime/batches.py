"""Batches of messages to one peer, and byte counts by kind of message."""

from collections.abc import Iterable, Iterator
from functools import cache

from buckthornpond_core.effects import SendToPeer, WireMessage
from buckthornpond_core.exceptions import MalformedMessageError

from .codecs import encode_message
from .metrics import Metrics

MAX_BATCH_MESSAGES = 256
_FULL_BATCH_BYTES = 65_536
_FRAMES_PER_MESSAGE = 2


class Batch:
    """Messages to one peer that are sent together."""

    __slots__ = ('frames', 'length_bytes', 'messages')

    def __init__(self) -> None:
        self.messages: list[WireMessage] = []
        self.frames: list[bytes] = []
        self.length_bytes = 0

    def add(self, message: WireMessage, frames: list[bytes]) -> None:
        """Add a message.

        :param message: the message.
        :param frames: its encoding, two frames.
        """
        self.messages.append(message)
        self.frames.extend(frames)
        self.length_bytes += sum(map(len, frames))


def build_batches(messages: Iterable[WireMessage]) -> list[Batch]:
    """Return the batches of messages to one peer, in order.

    A batch takes no more messages once it has reached 64 KiB.

    :param messages: messages queued for the peer.
    """
    batches: list[Batch] = []
    for message in messages:
        frames = encode_message(message)
        if not batches or batches[-1].length_bytes >= _FULL_BATCH_BYTES:
            batches.append(Batch())
        batches[-1].add(message, frames)
    return batches


def group_by_peer(
    effects: Iterable[SendToPeer],
) -> dict[str, list[WireMessage]]:
    """Return the messages to each peer, in order.

    :param effects: messages queued for all peers.
    """
    groups: dict[str, list[WireMessage]] = {}
    for effect in effects:
        groups.setdefault(effect.peer, []).append(effect.message)
    return groups


def split_frames(frames: list[bytes], peer: str) -> Iterator[list[bytes]]:
    """Yield the frames of each message.

    :param frames: frames of a batch.
    :param peer: the sender, named in the error.
    :raises MalformedMessageError: when a frame is missing.
    """
    if len(frames) % _FRAMES_PER_MESSAGE:
        raise MalformedMessageError(
            f'batch has an odd number of frames: {len(frames)}',
            step='split batch',
            peer=peer,
        )
    for start in range(0, len(frames), _FRAMES_PER_MESSAGE):
        yield frames[start : start + _FRAMES_PER_MESSAGE]


def count_bytes(metrics: Metrics, direction: str, frames: list[bytes]) -> None:
    """Count the bytes of a message of a known kind.

    :param metrics: counters of the process.
    :param direction: ``sent`` or ``received``.
    :param frames: the two frames of the message.
    """
    length_bytes = sum(map(len, frames))
    metrics.add('wire_bytes', _make_label(direction, frames[0]), length_bytes)


@cache
def _make_label(direction: str, kind: bytes) -> str:
    return f'{direction}_{kind.decode()}'
