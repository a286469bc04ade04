"""Splitting of an event stream, so that another target can continue it."""

import re

from ..input_limits import (
    MAX_EMPTY_EVENT_BYTES,
    MAX_EVENT_BYTES,
    MAX_STREAM_BYTES,
    InputLimit,
    InputLimitError,
)

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_ID_LINE = b'\nid:'
_DATA_LINE = re.compile(rb'^data(?::|$)', re.MULTILINE)
_MAX_NUMBER_DIGITS = 18


class StreamPosition:
    """How far a stream has come, over all attempts at it.

    :param last_event_id: ID of the event after which the stream starts, or
        empty for the start.
    """

    __slots__ = ('highest_number', 'last_event_id', 'received_bytes')

    def __init__(self, last_event_id: str = '') -> None:
        self.last_event_id = last_event_id
        self.highest_number = _parse_number(last_event_id)
        self.received_bytes = 0


class EventAssembler:
    """Extracts complete events from the response to one attempt.

    :param position: position of the stream, which the events move on.
    :param is_resumed: whether the caller has a part of the stream, so that
        numbered events up to the position are skipped.
    """

    __slots__ = (
        '_empty_bytes',
        '_partial',
        '_position',
        '_searched_bytes',
        '_skip_up_to',
        'has_progressed',
    )

    def __init__(
        self, position: StreamPosition, *, is_resumed: bool = False
    ) -> None:
        # Whether the events returned last hold one that the caller can use:
        # with data and, if the stream is numbered, with a higher number.
        self.has_progressed = False
        self._position = position
        self._partial = bytearray()
        # Bytes of the partial event that hold no end of an event.
        self._searched_bytes = 0
        self._empty_bytes = 0
        self._skip_up_to: int | None = None
        if is_resumed:
            self._skip_up_to = _parse_number(position.last_event_id)

    @property
    def has_partial_event(self) -> bool:
        """Return whether the received bytes end inside an event."""
        return bool(self._partial.strip())

    @property
    def partial_event_bytes(self) -> int:
        """Return the size of the event inside which the received bytes end."""
        return len(self._partial) if self.has_partial_event else 0

    def feed(self, received: bytes) -> bytes:
        """Return the complete events that were not returned before.

        :param received: next bytes of the stream.
        :raises InputLimitError: when an event or the stream is too long, or
            the stream goes on without usable events.
        """
        self._position.received_bytes += len(received)
        if self._position.received_bytes > MAX_STREAM_BYTES:
            raise _limit_error(InputLimit.stream, MAX_STREAM_BYTES)
        events = self._split_off_complete(received)
        if not events:
            if len(self._partial) > MAX_EVENT_BYTES:
                raise _limit_error(InputLimit.event, MAX_EVENT_BYTES)
            return b''
        selected = self._drop_repeated(events)
        self._record_progress(selected)
        return selected

    def _split_off_complete(self, received: bytes) -> bytes:
        partial = self._partial
        partial += received
        end = partial.rfind(_EVENT_END, self._searched_bytes)
        events = b''
        if end >= 0:
            end += len(_EVENT_END)
            events = bytes(partial[:end])
            del partial[:end]  # noqa: WPS420
        # The end of an event may itself be split.
        self._searched_bytes = max(len(partial) - 1, 0)
        return events

    def _drop_repeated(self, events: bytes) -> bytes:
        if self._skip_up_to is None:
            return events
        kept = []
        for event in events.split(_EVENT_END)[:-1]:
            number = _parse_number(_find_id(event))
            if number is not None and number <= self._skip_up_to:
                continue
            kept.append(event + _EVENT_END)
        return b''.join(kept)

    def _record_progress(self, events: bytes) -> None:
        found = _find_id(events)
        self.has_progressed = self._is_usable(events, found)
        if self.has_progressed:
            self._empty_bytes = 0
        else:
            self._empty_bytes += len(events)
        if self._empty_bytes > MAX_EMPTY_EVENT_BYTES:
            raise _limit_error(InputLimit.empty_events, MAX_EMPTY_EVENT_BYTES)
        is_earlier = (
            not self.has_progressed and _parse_number(found) is not None
        )
        if found and not is_earlier:
            self._position.last_event_id = found

    def _is_usable(self, events: bytes, last_id: str) -> bool:
        number = _parse_number(last_id)
        highest = self._position.highest_number
        if number is None:
            return highest is None and bool(_DATA_LINE.search(events))
        if highest is not None and number <= highest:
            return False
        self._position.highest_number = number
        return True


def _find_id(events: bytes) -> str:
    """Return the ID of the last event that has one, or an empty string."""
    start = events.rfind(_ID_LINE)
    if start < 0:
        if not events.startswith(_ID_FIELD):
            return ''
        start = -1
    start += 1 + len(_ID_FIELD)
    end = events.find(b'\n', start)
    line = events[start:] if end < 0 else events[start:end]
    return line.strip().decode('latin-1')


def _parse_number(text: str) -> int | None:
    if len(text) > _MAX_NUMBER_DIGITS or not text.isascii():
        return None
    return int(text) if text.isdigit() else None


def _limit_error(limit: InputLimit, max_bytes: int) -> InputLimitError:
    return InputLimitError(limit, max_bytes, step='read events', peer='server')
