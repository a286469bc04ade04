"""Reading side of a caller's connection."""

from datetime import timedelta
from enum import Enum
from typing import TypeAlias

import gevent
from gevent.event import Event

from buckthornpond_core.exceptions import InvalidRequestError
from buckthornpond_core.input_pacing import PiecePacer
from buckthornpond_core.serving.memory_budgets import ALLOWANCE_BYTES
from buckthornpond_runtime.paced_sockets import PacedSocket
from buckthornpond_runtime.tasks import Inbox

from .frontend import FrontendState
from .receive_windows import ReceiveWindow
from .request_memory import RequestShare
from .request_parsers import RequestParser
from .requests import CallerRequest

_READ_BYTES = 16_384
# Of a body whose length is known.
_BODY_READ_BYTES = 65_536
_MS = timedelta(milliseconds=1)
# Longest time that a caller may take to send one body.
_MAX_BODY_TIME = timedelta(seconds=60)
_MIN_WAIT_SECONDS = 0.001
# Bounds the requests that a caller may pipeline on one connection.
_MAX_PIPELINED_COUNT = 2
# Time between two looks at whether a caller that is not read has closed.
_CLOSE_POLL_SECONDS = 0.2
_STEP = 'read request'


class _ReadStep(Enum):
    """What the next bytes from the caller belong to."""

    idle = 'idle'
    head = 'head'
    body = 'body'


class CallerDisconnected:
    """Tells the caller task that its connection was closed or timed out.

    Sent by the reader, or created after a failed write.

    :param reason: stable code, optionally with a detail after a colon.
    """

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason

    @property
    def code(self) -> str:
        """Reason without its detail, as a metric label."""
        return self.reason.partition(':')[0]


class BadRequest:
    """Tells the caller task that its caller sent an invalid request.

    Sent by the reader, which stops afterwards.

    :param error: what is wrong with the request.
    """

    __slots__ = ('error',)

    def __init__(self, error: InvalidRequestError) -> None:
        self.error = error


class ContinueAwaited:
    """Tells that the caller waits for an interim response to send a body."""

    __slots__ = ()


ReaderMessage: TypeAlias = (
    BadRequest | CallerDisconnected | CallerRequest | ContinueAwaited
)


class CallerReader:
    """Owns the reading side of a caller's connection.

    It also reads while a request is served, since only a read detects that
    the caller has disconnected.

    :param connection: the caller's socket.
    :param peer: the caller's address.
    :param frontend: state that all caller tasks share.
    :param inbox: mailbox of the caller task.
    """

    __slots__ = (
        '_can_read',
        '_connection',
        '_deadline',
        '_frontend',
        '_held_body_bytes',
        '_inbox',
        '_pacer',
        '_parser',
        '_peer',
        '_queued_body_bytes',
        '_queued_bytes',
        '_queued_count',
        '_read_step',
        '_unparsed_bytes',
        '_window',
        'is_serving',
        'share',
    )

    def __init__(
        self,
        connection: PacedSocket,
        peer: str,
        frontend: FrontendState,
        inbox: Inbox[ReaderMessage],
    ) -> None:
        self._connection = connection
        self._peer = peer
        self._frontend = frontend
        self._inbox = inbox
        self._parser = RequestParser(self._enqueue, peer)
        self._can_read = Event()
        self._can_read.set()
        self._queued_count = 0
        # Memory that the queued requests take, and the size of their bodies.
        self._queued_bytes = 0
        self._queued_body_bytes = 0
        self._unparsed_bytes = 0
        self._window = ReceiveWindow(connection)
        self._held_body_bytes = 0
        self.share = RequestShare(
            frontend.request_budget, inbox, frontend.clock
        )
        self._pacer = PiecePacer(frontend.clock.monotonic())
        self._read_step = _ReadStep.idle
        self._deadline: timedelta | None = None
        # Read timeouts are ignored while a request is served.
        self.is_serving = False

    @property
    def has_open_request(self) -> bool:
        """Whether any byte of a request without a complete response came."""
        return self._queued_count > 0 or self._parser.has_started

    def run(self) -> None:
        """Read requests until the connection ends."""
        try:
            reason = self._read()
        except InvalidRequestError as error:
            _drop_frames(error)
            self._inbox.send(BadRequest(error))
            return
        except OSError as error:
            reason = f'reset: {error}'
        self._inbox.send(CallerDisconnected(reason))

    def finish_request(self, request: CallerRequest) -> None:
        """Release what a served request holds, so that reading can go on.

        :param request: the served request.
        """
        self._queued_count -= 1
        self._queued_bytes -= request.held_bytes
        self._queued_body_bytes -= request.content.size_bytes
        self.share.may_give_up = not self._queued_count
        self.share.note_progress()
        self._pacer.reset(self._frontend.clock.monotonic())
        self._update_held_bytes()

    def release(self) -> None:
        """Release all requests that are not served."""
        self.share.release()
        self._frontend.held_body_bytes -= self._held_body_bytes
        self._held_body_bytes = 0
        self._parser.discard()

    def _read(self) -> str:
        reason = ''
        while not reason:
            self._await_room()
            reason = self._read_some()
        return reason

    def _read_some(self) -> str:
        """Read once; return why the connection ends, empty if it goes on.

        What was received is not kept while the next bytes are awaited.
        """
        received = self._receive()
        if received:
            self.share.note_received(len(received))
            self._parse(received)
            return ''
        if received is not None:
            return 'closed'
        return '' if self.is_serving else self._handle_timeout()

    def _await_room(self) -> None:
        """Wait until a request may be read behind those that are served.

        :raises OSError: when the caller closes the connection.
        """
        while not self._can_read.wait(_CLOSE_POLL_SECONDS):
            self._check_open()

    def _check_open(self) -> None:
        if self._connection.is_closed_by_peer():
            raise ConnectionAbortedError('closed before its input was parsed')

    def _receive(self) -> bytes | None:
        with gevent.Timeout.start_new(self._find_wait_seconds()) as timeout:
            try:
                return self._connection.recv(
                    min(self._parser.missing_body_bytes, _BODY_READ_BYTES)
                    or _READ_BYTES
                )
            except gevent.Timeout as expired:
                if expired is not timeout:
                    raise
                return None

    def _find_wait_seconds(self) -> float:
        """Return the time until the next read times out.

        Idle time and pauses within a body are limited one by one. A head and
        a whole body have a deadline, which a caller that sends a byte now and
        then cannot put off.
        """
        limits = self._frontend.dispatch.limits
        now = self._frontend.clock.monotonic()
        step = self._find_read_step()
        if step is not self._read_step:
            self._read_step = step
            self._deadline = None
            if step is _ReadStep.head:
                self._deadline = now + limits.head_ms * _MS
            elif step is _ReadStep.body:
                self._deadline = now + _MAX_BODY_TIME
        wait_ms = limits.idle_ms
        if step is not _ReadStep.idle:
            wait_ms = limits.head_ms
        wait = wait_ms * _MS
        if self._deadline is not None:
            wait = min(wait, self._deadline - now)
        return max(wait.total_seconds(), _MIN_WAIT_SECONDS)

    def _find_read_step(self) -> _ReadStep:
        if not self._parser.has_started:
            return _ReadStep.idle
        if self._parser.is_head_complete:
            return _ReadStep.body
        return _ReadStep.head

    def _parse(self, received: bytes) -> None:
        position = 0
        while position < len(received):
            self._await_room()
            if self._pacer.is_exhausted(self._frontend.clock.monotonic()):
                position = self._parse_in_turn(received, position)
            else:
                position = self._parse_some(received, position)

    def _parse_in_turn(self, received: bytes, start: int) -> int:
        """Parse some bytes once it is this caller's turn; return their end."""
        with self._frontend.parsing:
            self._check_open()
            end = self._parse_some(received, start)
            gevent.sleep(0)
        return end

    def _parse_some(self, received: bytes, start: int) -> int:
        """Parse to the end of a request at most; return where it stopped."""
        parser = self._parser
        self._unparsed_bytes = 0
        end = parser.feed_turn(received, start, self._frontend.dispatch.limits)
        self._unparsed_bytes = len(received) - end
        self._pacer.record(
            parser.take_small_piece_count(), self._frontend.clock.monotonic()
        )
        if not self._update_held_bytes():
            raise self._refuse_body()
        if parser.expects_continue:
            parser.expects_continue = False
            self._inbox.send(ContinueAwaited())
        return end

    def _update_held_bytes(self) -> bool:
        """Count what is held; return whether the caller may go on."""
        if self.share.is_given_up:
            return False
        held_body_bytes = self._queued_body_bytes + self._parser.held_body_bytes
        self._frontend.held_body_bytes += (
            held_body_bytes - self._held_body_bytes
        )
        self._held_body_bytes = held_body_bytes
        self._window.adapt(self._parser.held_body_bytes)
        waiting_bytes = self._unparsed_bytes + self._parser.held_bytes
        has_room = not self._queued_count or (
            self._queued_count < _MAX_PIPELINED_COUNT
            and waiting_bytes < ALLOWANCE_BYTES
        )
        if has_room:
            self._can_read.set()
        else:
            self._can_read.clear()
        return self.share.record(
            self._queued_bytes + waiting_bytes + self._window.held_bytes
        )

    def _refuse_body(self) -> InvalidRequestError:
        """Release the request that was read last, and return the refusal."""
        self._parser.discard()
        self._unparsed_bytes = 0
        self._update_held_bytes()
        return self._fail(
            'body_budget_full', 'request bodies exceed the memory budget'
        )

    def _handle_timeout(self) -> str:
        if not self._parser.has_started:
            return 'idle'
        reason = 'head_timeout'
        if self._parser.is_head_complete:
            reason = 'body_timeout'
        raise self._fail(reason, 'timed out while reading the request')

    def _enqueue(self, request: CallerRequest) -> None:
        self._queued_count += 1
        self._queued_bytes += request.held_bytes
        self._queued_body_bytes += request.content.size_bytes
        if not self._update_held_bytes():
            self._queued_count -= 1
            self._queued_bytes -= request.held_bytes
            self._queued_body_bytes -= request.content.size_bytes
            raise self._refuse_body()
        self.share.may_give_up = False
        self._inbox.send(request)

    def _fail(self, reason: str, message: str) -> InvalidRequestError:
        return InvalidRequestError(
            reason,
            message,
            step=_STEP,
            peer=self._peer,
        )


def _drop_frames(error: InvalidRequestError) -> None:
    """Drop the traceback, which keeps what has been received from the caller.

    :param error: error that outlives its handling.
    """
    error.__traceback__ = None
    error.__cause__ = None
    error.__context__ = None
