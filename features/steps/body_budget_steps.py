"""Steps for callers whose bodies share the memory of an entry."""

from typing import Any
from unittest import mock

import gevent
from behave import given, then, when
from gevent.socket import socketpair

from buckthornpond_core._generated.serving import CallerLimits
from buckthornpond_entry.direct.frontend import FrontendState
from buckthornpond_entry.direct.readers import (
    BadRequest,
    CallerReader,
    ReaderMessage,
)
from buckthornpond_entry.direct.request_memory import GivenUp
from buckthornpond_entry.direct.requests import CallerRequest
from buckthornpond_platform.headers import PlatformCodec
from buckthornpond_runtime.clocks import SystemClock
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.paced_sockets import pace_reads
from buckthornpond_runtime.tasks import Mailbox
from features.specs.counts import only

_KIBIBYTE = 1024
_DESCRIPTOR_COUNT = 100
_DECLARED_BYTES = 200 * _KIBIBYTE
_SETTLE_SECONDS = 0.1
_MAX_MESSAGES = 10
_STALL_SECONDS = 1.5
_REST_OF_BODY = bytes(_KIBIBYTE)
_REQUESTS = {
    'a request without a body': b'GET / HTTP/1.1\r\nHost: a\r\n\r\n',
    'a body of 1 KiB': b'POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1024\r\n\r\n%b'
    % bytes(_KIBIBYTE),
}


class BodyCaller:
    """Caller whose request a reader of its own reads."""

    def __init__(self, frontend: FrontendState) -> None:
        own_end, entry_end = socketpair()
        self._own_end = own_end
        self._entry_end = pace_reads(entry_end)
        self._mailbox: Mailbox[ReaderMessage] = Mailbox()
        self._reader = CallerReader(
            self._entry_end, 'caller', frontend, self._mailbox
        )
        self._greenlet = gevent.spawn(self._reader.run)

    def send(self, content: bytes) -> None:
        """Send bytes and let them be read."""
        self._own_end.sendall(content)
        gevent.sleep(_SETTLE_SECONDS)

    def send_body(
        self, length_bytes: int, declared_bytes: int = _DECLARED_BYTES
    ) -> None:
        """Send a part of a longer body."""
        head = f'POST / HTTP/1.1\r\nContent-Length: {declared_bytes}\r\n\r\n'
        self.send(head.encode() + bytes(length_bytes))

    @property
    def messages(self) -> list[ReaderMessage]:
        """What the reader has told the task of the caller."""
        return self._mailbox.receive_all(_MAX_MESSAGES)

    def close(self) -> None:
        """Close both ends."""
        self._greenlet.kill()
        self._own_end.close()
        self._entry_end.close()


class BodyCallers:
    """Callers of one entry."""

    def __init__(self, memory_bytes: int) -> None:
        self._frontend = FrontendState(
            dispatch=mock.Mock(limits=CallerLimits()),
            codec=PlatformCodec(),
            clock=SystemClock(),
            metrics=Metrics(),
            memory_bytes=memory_bytes,
            descriptor_count=_DESCRIPTOR_COUNT,
        )
        self.callers: list[BodyCaller] = []

    def add(self) -> BodyCaller:
        """Return another caller."""
        self.callers.append(BodyCaller(self._frontend))
        return self.callers[-1]

    def close(self) -> None:
        """Close all connections."""
        for caller in self.callers:
            caller.close()


@given(
    'callers who share {kibibytes:d} KiB of memory, a quarter of it for bodies'
)
def start_callers(context: Any, kibibytes: int) -> None:
    """Make an entry without a network."""
    context.fleet = BodyCallers(kibibytes * _KIBIBYTE)


@when(
    'one sends {first:d} KiB of a body, another one {second:d} KiB, and a third'
    ' one {other}'
)
def send_bodies(context: Any, first: int, second: int, other: str) -> None:
    """Exceed the budget, whose offender is not closed yet, and go on."""
    context.fleet.add().send_body(first * _KIBIBYTE)
    context.fleet.add().send_body(second * _KIBIBYTE)
    context.fleet.add().send(_REQUESTS[other])


@when(
    'one sends {first:d} KiB of a body and stands still, and another one sends'
    ' {second:d} KiB'
)
def send_after_pause(context: Any, first: int, second: int) -> None:
    """Let the first caller stand still for longer than others may wait."""
    context.fleet.add().send_body(first * _KIBIBYTE)
    gevent.sleep(_STALL_SECONDS)
    sent_bytes = second * _KIBIBYTE
    context.fleet.add().send_body(sent_bytes, sent_bytes + len(_REST_OF_BODY))


@then('the first is given up with "{reason}", and the second goes on')
def check_given_up(context: Any, reason: str) -> None:
    """Compare what the tasks of the callers were told."""
    first, second = context.fleet.callers
    given_up = only(first.messages)
    assert isinstance(given_up, GivenUp), given_up
    assert given_up.reason == reason, given_up.reason
    second.send(_REST_OF_BODY)
    served = only(second.messages)
    assert isinstance(served, CallerRequest), served


@then('the second is refused with "{reason}", and the third is served')
def check_served(context: Any, reason: str) -> None:
    """Compare what the readers told."""
    _, second, third = context.fleet.callers
    refused = only(second.messages)
    assert isinstance(refused, BadRequest), refused
    assert refused.error.reason == reason, refused.error
    served = only(third.messages)
    assert isinstance(served, CallerRequest), served
