"""Splitting of an event stream, so that another target can continue it."""

import re

from ..input_limits import (
    MAX_EMPTY_EVENT_BYTES,
    MAX_EVENT_BYTES,
    MAX_STREAM_BYTES,
    InputLimit,
    InputLimitError,
)

# Lines end with LF, CR or CRLF, and an empty line ends an event. Two bytes
# that belong to the ends of two lines are one of these.
_LINE_FEEDS = b'\n\n'
_RETURN = b'\r'
_MIXED_ENDS = (b'\n\r', b'\r\r')
_LINE_END = b'\n'
_ID_FIELD = b'id:'
_ID_LINES = (b'\nid:', b'\rid:')
_DATA_LINE = re.compile(rb'(?:\A|[\r\n])data(?:[:\r\n]|\Z)')
_EVENT = re.compile(rb'.*?(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r)', re.DOTALL)
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
        '_ends_with_return',
        '_has_returns',
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
        # Whether any line of the stream ends with CR or CRLF.
        self._has_returns = False
        # Whether the bytes returned last end with a CR, which an LF may follow
        # that belongs to the same end of a line.
        self._ends_with_return = False
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

    @property
    def held_bytes(self) -> int:
        """Return the size of what was received and not returned."""
        return len(self._partial)

    def discard(self) -> None:
        """Release what is held of a stream that has ended."""
        self._partial = bytearray()

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
        self._has_returns = self._has_returns or _RETURN in received
        end = self._find_last_end()
        is_late_end = self._ends_with_return and partial.startswith(_LINE_END)
        if is_late_end and not end:
            end = len(_LINE_END)
        events = bytes(partial[:end])
        del partial[:end]  # noqa: WPS420
        self._ends_with_return = events.endswith(_RETURN)
        # The end of an event may itself be split.
        self._searched_bytes = max(len(partial) - 1, 0)
        return events

    def _find_last_end(self) -> int:
        """Return where the last complete event ends, zero if there is none."""
        partial = self._partial
        found = partial.rfind(_LINE_FEEDS, self._searched_bytes)
        if self._has_returns:
            mixed = [
                partial.rfind(each, self._searched_bytes)
                for each in _MIXED_ENDS
            ]
            found = max(found, *mixed)
        if found < 0:
            return 0
        end = found + len(_LINE_FEEDS)
        is_split = partial[end - 1 : end + 1] == _RETURN + _LINE_END
        return end + 1 if is_split else end

    def _drop_repeated(self, events: bytes) -> bytes:
        if self._skip_up_to is None:
            return events
        kept = []
        for event in _EVENT.findall(events):
            number = _parse_number(_find_id(event))
            if number is not None and number <= self._skip_up_to:
                continue
            kept.append(event)
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
    start = max(events.rfind(each) for each in _ID_LINES)
    if start < 0:
        if not events.startswith(_ID_FIELD):
            return ''
        start = -1
    start += 1 + len(_ID_FIELD)
    end = events.find(_LINE_END, start)
    line = events[start:] if end < 0 else events[start:end]
    return line.partition(_RETURN)[0].strip().decode('latin-1')


def _parse_number(text: str) -> int | None:
    if len(text) > _MAX_NUMBER_DIGITS or not text.isascii():
        return None
    return int(text) if text.isdigit() else None


def _limit_error(limit: InputLimit, max_bytes: int) -> InputLimitError:
    return InputLimitError(limit, max_bytes, step='read events', peer='server')
