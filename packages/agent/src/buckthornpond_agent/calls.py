"""Tasks that call the target."""

from collections.abc import Callable
from datetime import timedelta

import gevent
from gevent.event import Event

from buckthornpond_core._generated.events import (
    CallChunk,
    CallEnded,
    CallStarted,
)
from buckthornpond_core._generated.messages import Attempt
from buckthornpond_core.credits import charge_bytes
from buckthornpond_core.effects import CallMessage
from buckthornpond_core.exceptions import TargetError
from buckthornpond_runtime.calls import HttpCall
from buckthornpond_runtime.tasks import AnyGreenlet

_EVENT_STREAM_TYPE = 'text/event-stream'
_END_EVENT_STARTS = (b'data: [DONE]', b'event: error')
_EVENT_END = b'\n\n'
_CONNECT_STEP = 'connect'


class CallTask:
    """Owns the connection of one call to the target.

    :param attempt: the attempt to call the target for.
    :param address: IP address and port of the target.
    :param time_limit: time that the attempt has left.
    :param max_frame_bytes: maximum size of one chunk.
    :param report: sends a message to the admission task.
    """

    __slots__ = (
        '_attempt',
        '_call',
        '_credit_bytes',
        '_error',
        '_greenlet',
        '_has_credit',
        '_max_frame_bytes',
        '_report',
    )

    def __init__(
        self,
        attempt: Attempt,
        address: str,
        time_limit: timedelta,
        max_frame_bytes: int,
        report: Callable[[CallMessage], None],
    ) -> None:
        self._attempt = attempt
        self._max_frame_bytes = max_frame_bytes
        self._report = report
        self._call = HttpCall(address, time_limit)
        self._credit_bytes = attempt.credit_bytes
        self._has_credit = Event()
        self._has_credit.set()
        self._greenlet: AnyGreenlet | None = None
        self._error = 'cancelled'

    @property
    def held_answer_bytes(self) -> int:
        """Bytes of the response that wait for credit."""
        return self._call.buffered_bytes

    def start(self) -> None:
        """Start the greenlet of the call."""
        self._greenlet = gevent.spawn(self._run)
        # A link also runs for a greenlet that is killed before it enters _run.
        self._greenlet.link(self._finish)

    def grant_credit(self, credit_bytes: int) -> None:
        """Let the call read more of the response.

        :param credit_bytes: bytes that the caller has consumed.
        """
        self._credit_bytes += credit_bytes
        if self._credit_bytes > 0:
            self._has_credit.set()

    def cancel(self) -> None:
        """Cancel the call and close the connection to the target."""
        if self._greenlet is not None:
            self._greenlet.kill(block=False)

    def _run(self) -> None:
        try:
            self._exchange()
        except TargetError as error:
            is_connect_step = error.step == _CONNECT_STEP
            reason = (
                'target_connect_failed' if is_connect_step else 'target_failed'
            )
            self._error = reason
        else:
            self._error = ''

    def _finish(self, greenlet: AnyGreenlet) -> None:
        self._call.close()
        call_ended = CallEnded(
            attempt_id=self._attempt.attempt_id,
            error=self._error,
            is_sent=self._call.is_sent,
        )
        self._report(call_ended)

    def _exchange(self) -> None:
        attempt = self._attempt
        headers = {'x-attempt-id': attempt.attempt_id}
        if attempt.content_type:
            headers['content-type'] = attempt.content_type
        self._call.send(attempt.method, attempt.path, attempt.body, headers)
        is_stream = self._call.content_type.startswith(_EVENT_STREAM_TYPE)
        if not is_stream and not self._call.is_body_delimited:
            raise self._make_error('response body has no length')
        self._report(
            CallStarted(
                attempt_id=attempt.attempt_id,
                status_code=self._call.response.status_code,
                content_type=self._call.content_type,
            ),
        )
        if is_stream:
            self._relay_events()
        else:
            self._relay_blocks()

    def _relay_events(self) -> None:
        while True:
            self._has_credit.wait()
            events = self._call.read_events(self._max_frame_bytes)
            if not events:
                raise self._make_error(
                    'event stream ended without a [DONE] or error event'
                )
            end = _find_end_event(events)
            if end:
                # What follows is not part of the stream.
                self._forward(events[:end])
                return
            self._forward(events)

    def _relay_blocks(self) -> None:
        while True:
            self._has_credit.wait()
            block = self._call.read_block(self._max_frame_bytes)
            if not block:
                return
            self._forward(block)

    def _make_error(self, message: str) -> TargetError:
        return TargetError(
            message,
            step='read',
            peer=self._attempt.service,
            is_sent=True,
        )

    def _forward(self, payload: bytes) -> None:
        self._credit_bytes -= charge_bytes(payload)
        if self._credit_bytes <= 0:
            self._has_credit.clear()
        self._report(
            CallChunk(attempt_id=self._attempt.attempt_id, payload=payload),
        )


def _find_end_event(events: bytes) -> int:
    """Return where the event ends that ends the stream, zero without one."""
    end = 0
    while end < len(events):
        start = end
        end = events.index(_EVENT_END, start) + len(_EVENT_END)
        if events.startswith(_END_EVENT_STARTS, start):
            return end
    return 0
