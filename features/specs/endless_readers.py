"""Parsers of an entry, with what they hold of input that never ends."""

from buckthornpond_core._generated.serving import CallerLimits
from buckthornpond_core.serving.events import EventAssembler, StreamPosition
from buckthornpond_entry.direct.request_parsers import RequestParser
from buckthornpond_runtime.responses import (
    HttpResponse,
    MalformedResponseError,
)


class EndlessRequest:
    """Parser of a caller's request, and what it holds."""

    def __init__(self) -> None:
        self._parser = RequestParser(lambda request: None, 'caller')

    def feed(self, received: bytes) -> None:
        """Parse bytes."""
        self._parser.feed(received, CallerLimits())

    @property
    def held_bytes(self) -> int:
        """Return the size of the incomplete body."""
        return self._parser.held_body_bytes


class EndlessResponse:
    """Parser of a target's response, whose body is taken at once."""

    def __init__(self) -> None:
        self._response = HttpResponse('GET')
        self.held_bytes = 0

    def feed(self, received: bytes) -> None:
        """Parse bytes and take the body; a complete response ends it."""
        self._response.feed(received)
        field_bytes = sum(
            len(name) + len(text) for name, text in self._response.fields
        )
        self.held_bytes = self._response.buffered_bytes + field_bytes
        self._response.take(self._response.buffered_bytes)
        if self._response.is_complete:
            raise MalformedResponseError('complete')


class EndlessStream:
    """Splitter of an event stream."""

    def __init__(self) -> None:
        self._assembler = EventAssembler(StreamPosition())
        self._fed_bytes = 0
        self._returned_bytes = 0

    def feed(self, received: bytes) -> None:
        """Split bytes into events, all of which are returned."""
        self._fed_bytes += len(received)
        self._returned_bytes += len(self._assembler.feed(received))

    @property
    def held_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return self._fed_bytes - self._returned_bytes
