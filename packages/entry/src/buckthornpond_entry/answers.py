"""Writing of answers to callers."""

from collections.abc import Iterator

import falcon
import msgspec
from gevent import Greenlet
from gevent import socket as gevent_socket

from buckthornpond_core._generated.api import Problem
from buckthornpond_core._generated.events import Consumed, Hangup
from buckthornpond_core._generated.messages import (
    Chunk,
    Final,
    Refused,
    Started,
)
from buckthornpond_core.effects import AnswerMessage
from buckthornpond_core.refusals import find_refusal
from buckthornpond_runtime.tasks import Mailbox

from .tasks import RouterTask, refuse_locally

_PROBLEM_TYPE = 'application/problem+json'
_EVENT_STREAM = 'text/event-stream'


def render_problem(refused: Refused, detail: str = '') -> Problem:
    """Return the problem details of a refusal.

    :param refused: the refusal.
    :param detail: what this case adds for people.
    """
    kind = find_refusal(refused.reason)
    return Problem(
        type=f'urn:buckthornpond:refusal:{refused.reason}',
        title=kind.title,
        status=kind.status_code,
        code=refused.reason,
        outcome=refused.outcome.value,
        detail=detail or kind.title,
    )


def write_problem(
    response: falcon.Response,
    refused: Refused,
    detail: str = '',
) -> None:
    """Answer with problem details.

    :param response: the response to fill.
    :param refused: the refusal.
    :param detail: what this case adds for people.
    """
    problem = render_problem(refused, detail)
    response.status = problem.status
    response.content_type = _PROBLEM_TYPE
    response.data = msgspec.json.encode(problem)
    if find_refusal(refused.reason).may_retry:
        seconds = max(1, -(-refused.retry_after_ms // 1000))
        response.set_header('Retry-After', str(seconds))


class CallerTask:
    """Owns a caller's connection while its request is served.

    :param router: the router task.
    :param request_number: the request.
    :param mailbox: where the router task puts the answer.
    :param connection: the caller's socket.
    """

    __slots__ = (
        '_connection',
        '_is_over',
        '_mailbox',
        '_request_number',
        '_router',
        '_watcher',
    )

    def __init__(
        self,
        router: RouterTask,
        request_number: int,
        mailbox: Mailbox[AnswerMessage],
        connection: gevent_socket.socket,
    ) -> None:
        self._router = router
        self._request_number = request_number
        self._mailbox = mailbox
        self._connection = connection
        self._is_over = False
        self._watcher = Greenlet.spawn(self._watch)

    def receive(self) -> AnswerMessage:
        """Return the next part of the answer; the router bounds the wait."""
        while True:
            message = self._mailbox.receive()
            if message is not None:
                return message

    def receive_head(self) -> Started | Refused:
        """Return the head of the answer, or the refusal in its place."""
        while True:
            message = self.receive()
            if isinstance(message, Started | Refused):
                return message

    def iterate(self) -> Iterator[bytes]:
        """Yield a streamed answer, which ends whole or with an error."""
        try:
            yield from self._iterate()
        finally:
            self.finish()

    def collect(self, limit_bytes: int) -> bytes | Refused:
        """Return a whole answer, or the refusal that cut it.

        :param limit_bytes: the most bytes to hold.
        """
        parts: list[bytes] = []
        held_bytes = 0
        while True:
            message = self.receive()
            if isinstance(message, Refused):
                return message
            if isinstance(message, Final):
                return b''.join(parts)
            if isinstance(message, Chunk):
                parts.append(message.payload)
                held_bytes += len(message.payload)
                self._consume(len(message.payload))
            if held_bytes > limit_bytes:
                return refuse_locally('response_too_large')

    def finish(self) -> None:
        """End the request; has no effect on one that is complete."""
        if not self._is_over:
            self._is_over = True
            self._watcher.kill(block=False)
            self._router.mailbox.send(
                Hangup(request_number=self._request_number),
            )

    def _iterate(self) -> Iterator[bytes]:
        while True:
            message = self.receive()
            if isinstance(message, Chunk):
                yield message.payload
                self._consume(len(message.payload))
            elif isinstance(message, Refused):
                problem = msgspec.json.encode(render_problem(message))
                yield b'event: error\ndata: %b\n\n' % problem
                return
            elif isinstance(message, Final):
                return

    def _consume(self, consumed_bytes: int) -> None:
        self._router.mailbox.send(
            Consumed(
                request_number=self._request_number,
                consumed_bytes=consumed_bytes,
            ),
        )

    def _watch(self) -> None:
        try:
            gevent_socket.wait_read(self._connection.fileno())
            is_open = bool(self._connection.recv(1, gevent_socket.MSG_PEEK))
        except OSError:
            is_open = False
        if not is_open:
            # Unblocks whoever serves the request.
            self._mailbox.offer(refuse_locally('caller_gone'))


def is_event_stream(started: Started) -> bool:
    """Tell whether an answer is a stream of server-sent events.

    :param started: head of the answer.
    """
    return started.content_type.startswith(_EVENT_STREAM)
