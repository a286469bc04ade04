"""Attempts whose call to the target is open, and the messages for entries."""

from datetime import timedelta

from .._generated.events import CallChunk, CallStarted
from .._generated.messages import Chunk, Final, Started
from ..effects import (
    AgentEffect,
    CancelCall,
    GrantCallCredit,
    SendToPeer,
    WireMessage,
)
from .queueing import QueuedAttempt

_DETACHED_CREDIT_BYTES = 1 << 24


class RunningAttempt:
    """Attempt whose call to the target is open.

    :param peer: incarnation of the entry that sent the attempt.
    :param queued: the attempt, with its deadline.
    """

    __slots__ = (
        'chunk_count',
        'is_cancelled',
        'is_detached',
        'is_prefilling',
        'peer',
        'queued',
    )

    def __init__(self, peer: str, queued: QueuedAttempt) -> None:
        self.peer = peer
        self.queued = queued
        self.chunk_count = 0
        self.is_cancelled = False
        self.is_prefilling = True
        self.is_detached = False

    @property
    def attempt_id(self) -> str:
        """Return the identifier of the attempt."""
        return self.queued.attempt.attempt_id

    def notify_entry(self, message: WireMessage) -> list[AgentEffect]:
        """Send a message to the entry, if it still waits for the response.

        :param message: the message.
        """
        if self.is_cancelled or self.is_detached:
            return []
        return [SendToPeer(self.peer, message)]

    def forward_start(self, call: CallStarted) -> list[AgentEffect]:
        """Forward the start of the target's response to the entry.

        :param call: status and content type from the task of the call.
        """
        # The target has the request body, so it is not needed again.
        self.queued.attempt.body = b''
        started = Started(
            attempt_id=self.attempt_id,
            status_code=call.status_code,
            content_type=call.content_type,
        )
        return self.notify_entry(started)

    def forward_chunk(self, call: CallChunk) -> list[AgentEffect]:
        """Forward a part of the target's response to the entry.

        :param call: part of the response from the task of the call.
        """
        chunk = Chunk(
            attempt_id=self.attempt_id,
            sequence_number=self.chunk_count,
            payload=call.payload,
        )
        self.chunk_count += 1
        return self.notify_entry(chunk)

    def forward_end(self) -> list[AgentEffect]:
        """Tell the entry that the response is complete."""
        final = Final(
            attempt_id=self.attempt_id,
            chunk_count=self.chunk_count,
        )
        return self.notify_entry(final)

    def cancel(self, now: timedelta) -> list[AgentEffect]:
        """Cancel the call, or detach it from its entry.

        :param now: time on the monotonic clock.
        """
        if self.is_cancelled:
            return []
        if self._must_complete(now):
            return self._detach()
        self.is_cancelled = True
        return [CancelCall(self.attempt_id)]

    def _must_complete(self, now: timedelta) -> bool:
        # The call continues, so that its response can be replayed to callers
        # that retry with the same key.
        attempt = self.queued.attempt
        return (
            bool(attempt.idempotency_key)
            and not attempt.is_idempotent
            and self.queued.deadline > now
        )

    def _detach(self) -> list[AgentEffect]:
        if self.is_detached:
            return []
        self.is_detached = True
        return [GrantCallCredit(self.attempt_id, _DETACHED_CREDIT_BYTES)]
