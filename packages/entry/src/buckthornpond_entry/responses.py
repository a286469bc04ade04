"""Responses to callers."""

import socket as standard_socket
from collections.abc import Callable, Iterator
from datetime import timedelta
from http import HTTPStatus

import falcon
import msgspec
from gevent import Greenlet, sleep
from gevent import socket as gevent_socket

from buckthornpond_core._generated.api import Problem
from buckthornpond_core._generated.events import (
    BytesConsumed,
    CallerDisconnected,
    Submission,
)
from buckthornpond_core._generated.messages import (
    Chunk,
    Final,
    Outcome,
    Refused,
    Started,
)
from buckthornpond_core.credits import CreditMeter
from buckthornpond_core.effects import ResponseMessage
from buckthornpond_core.refusals import find_refusal
from buckthornpond_core.types import Clock
from buckthornpond_runtime.tasks import Mailbox

from .tasks import RouterTask, refuse_locally

_PROBLEM_CONTENT_TYPE = 'application/problem+json'
_EVENT_STREAM_CONTENT_TYPE = 'text/event-stream'
_DISCONNECT_POLL_SECONDS = 1
_TCP_STATE_ESTABLISHED = 1
# Extra time past the deadline for the router's timer and for the last write to
# the caller.
_RESPONSE_MARGIN = timedelta(seconds=1)
_MIN_WRITE_TIMEOUT_SECONDS = 1.0


def make_problem(refused: Refused, detail: str = '') -> Problem:
    """Return the problem details of a refusal.

    :param refused: the refusal.
    :param detail: explanation of this case, or empty for the title.
    """
    refusal = find_refusal(refused.reason)
    return Problem(
        type=f'urn:buckthornpond:refusal:{refused.reason}',
        title=refusal.title,
        status=refusal.status_code,
        code=refused.reason,
        outcome=refused.outcome.value,
        detail=detail or refusal.title,
    )


def write_problem(
    response: falcon.Response,
    refused: Refused,
    detail: str = '',
) -> None:
    """Fill a response with the problem details of a refusal.

    :param response: the response to fill.
    :param refused: the refusal.
    :param detail: explanation of this case, or empty for the title.
    """
    problem = make_problem(refused, detail)
    response.status = problem.status
    response.content_type = _PROBLEM_CONTENT_TYPE
    response.data = msgspec.json.encode(problem)
    if problem.status == HTTPStatus.UNAUTHORIZED:
        response.set_header('WWW-Authenticate', 'Bearer')
    if find_refusal(refused.reason).may_retry:
        seconds = max(1, -(-refused.retry_after_ms // 1000))
        response.set_header('Retry-After', str(seconds))


class CallerTask:
    """Owns a caller's connection while its request is served.

    :param router: task that places the request.
    :param submission: the request.
    :param mailbox: receives the parts of the response from the router task.
    :param connection: the caller's socket.
    :param clock: source of time.
    :param window_bytes: bytes of a response in flight to the caller.
    """

    __slots__ = (
        '_clock',
        '_connection',
        '_credit_meter',
        '_deadline',
        '_disconnect_watcher',
        '_is_finished',
        '_mailbox',
        '_request_number',
        '_router',
    )

    def __init__(
        self,
        router: RouterTask,
        submission: Submission,
        mailbox: Mailbox[ResponseMessage],
        connection: gevent_socket.socket,
        clock: Clock,
        window_bytes: int,
    ) -> None:
        self._router = router
        self._request_number = submission.request_number
        self._clock = clock
        limit = timedelta(milliseconds=submission.time_limit_ms)
        self._deadline = clock.monotonic() + limit
        self._mailbox = mailbox
        self._credit_meter = CreditMeter(window_bytes)
        self._connection = connection
        self._is_finished = False
        self._disconnect_watcher = Greenlet.spawn(self._watch_connection)

    def receive(self) -> ResponseMessage:
        """Return the next part of the response.

        The router task ends the request at its deadline. If it fails to, this
        task ends the request itself a margin later.
        """
        receive_until = self._deadline + _RESPONSE_MARGIN
        remaining = receive_until - self._clock.monotonic()
        message = self._mailbox.receive(max(0, remaining.total_seconds()))
        if message is None:
            return _refuse_with_unknown_outcome('deadline_exceeded')
        return message

    def receive_head(self) -> Started | Refused:
        """Return the head of the response, or the refusal of the request."""
        while True:
            message = self.receive()
            if isinstance(message, Started | Refused):
                return message

    def iterate_stream(self) -> Iterator[bytes]:
        """Yield the chunks of a streamed response.

        A stream that is cut off ends with an error event.
        """
        while True:
            message = self.receive()
            self._set_write_timeout()
            if isinstance(message, Chunk):
                yield message.payload
                self._report_consumption(message)
            elif isinstance(message, Refused):
                problem = msgspec.json.encode(make_problem(message))
                yield b'event: error\ndata: %b\n\n' % problem
                return
            elif isinstance(message, Final):
                return

    def collect_body(
        self,
        limit_bytes: int,
        reserve_memory: Callable[[int], None],
    ) -> bytes | Refused:
        """Return a complete response body, or the refusal that cut it off.

        :param limit_bytes: maximum length of the body.
        :param reserve_memory: reserves a number of bytes, or raises.
        """
        parts: list[bytes] = []
        collected_bytes = 0
        while True:
            message = self.receive()
            if isinstance(message, Refused):
                return message
            if isinstance(message, Final):
                self._set_write_timeout()
                return b''.join(parts)
            if isinstance(message, Chunk):
                reserve_memory(len(message.payload))
                parts.append(message.payload)
                collected_bytes += len(message.payload)
                self._report_consumption(message)
            if collected_bytes > limit_bytes:
                self.finish_request()
                return _refuse_with_unknown_outcome('response_too_large')

    def finish_request(self) -> None:
        """End the request; has no effect if the request is complete."""
        if not self._is_finished:
            self._is_finished = True
            self._disconnect_watcher.kill(block=False)
            self._router.mailbox.send(
                CallerDisconnected(request_number=self._request_number),
            )

    def _set_write_timeout(self) -> None:
        remaining = self._deadline - self._clock.monotonic()
        seconds = remaining.total_seconds()
        self._connection.settimeout(max(seconds, _MIN_WRITE_TIMEOUT_SECONDS))

    def _report_consumption(self, chunk: Chunk) -> None:
        consumed_bytes = self._credit_meter.take(chunk.payload)
        if consumed_bytes:
            self._router.mailbox.send(
                BytesConsumed(
                    request_number=self._request_number,
                    consumed_bytes=consumed_bytes,
                ),
            )

    def _watch_connection(self) -> None:
        # Unblocks the greenlet that waits for the response.
        self._wait_for_disconnect()
        self._mailbox.offer(refuse_locally('caller_gone'))

    def _wait_for_disconnect(self) -> None:
        try:
            gevent_socket.wait_read(self._connection.fileno())
            is_connected = bool(
                self._connection.recv(1, gevent_socket.MSG_PEEK)
            )
            while is_connected:
                # A pipelined request keeps the socket readable, so that only
                # the TCP state shows a disconnect.
                sleep(_DISCONNECT_POLL_SECONDS)
                is_connected = _is_established(self._connection)
        except OSError:
            return


def _is_established(connection: gevent_socket.socket) -> bool:
    state = connection.getsockopt(
        standard_socket.IPPROTO_TCP,
        standard_socket.TCP_INFO,
        1,
    )
    return state[0] == _TCP_STATE_ESTABLISHED


def _refuse_with_unknown_outcome(reason: str) -> Refused:
    refused = refuse_locally(reason)
    refused.outcome = Outcome.outcome_unknown
    return refused


def is_event_stream(started: Started) -> bool:
    """Return whether a response is a stream of server-sent events.

    :param started: head of the response.
    """
    return started.content_type.startswith(_EVENT_STREAM_CONTENT_TYPE)
