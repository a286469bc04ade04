"""Handling of attempts with idempotency keys at an agent."""

from collections.abc import Iterable
from datetime import timedelta

from xxhash import xxh3_64

from .._generated.events import CallChunk, CallEnded, CallStarted
from .._generated.inventory import Service
from .._generated.messages import (
    Accepted,
    Attempt,
    Chunk,
    FenceKey,
    FenceReply,
    Final,
    KeyState,
    Outcome,
    Refused,
    Started,
)
from ..admission.queueing import QueuedAttempt
from ..configuration.documents import Configuration
from ..effects import AgentEffect, CallMessage, SendToHome, SendToPeer
from ..types import Recorder
from .claims import (
    KeyClaim,
    KeyDecision,
    KeyHome,
    RefuseKey,
    ReplayKey,
    RequestFences,
    RunKey,
)
from .register import RecordedResponse

_RETRY_AFTER_MS = 1000


class KeyActions:
    """Effects and runnable attempts that result from decisions on keys.

    :param effects: effects for the agent's task to execute.
    :param ready: attempts that may run, each with its entry's incarnation.
    """

    __slots__ = ('effects', 'ready')

    def __init__(self) -> None:
        self.effects: list[AgentEffect] = []
        self.ready: list[tuple[str, QueuedAttempt]] = []


class _KeyedAttempt:
    """An attempt that waits for its key or the target, or that runs."""

    __slots__ = ('buffer', 'claim', 'may_run', 'peer', 'queued')

    def __init__(
        self,
        peer: str,
        queued: QueuedAttempt,
        claim: KeyClaim,
    ) -> None:
        self.peer = peer
        self.queued = queued
        self.claim = claim
        self.may_run = False
        self.buffer = _ResponseBuffer()


class _ResponseBuffer:
    """Buffer for a target's response, up to the replay size limit."""

    __slots__ = ('chunks', 'is_within_limit', 'length_bytes', 'started')

    def __init__(self) -> None:
        self.started: CallStarted | None = None
        self.chunks: list[bytes] = []
        self.length_bytes = 0
        self.is_within_limit = True

    def append(self, payload: bytes, limit_bytes: int) -> None:
        """Append a part; discard the whole body once it exceeds the limit."""
        self.length_bytes += len(payload)
        if self.length_bytes > limit_bytes:
            self.is_within_limit = False
            self.chunks.clear()
        if self.is_within_limit:
            self.chunks.append(payload)

    def build(self) -> RecordedResponse | None:
        """Return the response, or ``None`` if unstarted or too large."""
        if self.started is None or not self.is_within_limit:
            return None
        return RecordedResponse(
            self.started.status_code,
            self.started.content_type,
            b''.join(self.chunks),
        )


class KeyedAttempts:
    """Applies a home's decisions to the attempts with keys of one agent.

    :param incarnation: incarnation of the agent.
    :param configuration: configuration in force.
    :param home: policy that decides on keys.
    :param max_replay_bytes: largest response body kept for replay.
    :param recorder: receives refusal counts.
    """

    __slots__ = (
        '_attempts',
        '_configuration',
        '_home',
        '_incarnation',
        '_max_replay_bytes',
        '_recorder',
    )

    def __init__(
        self,
        *,
        incarnation: str,
        configuration: Configuration,
        home: KeyHome,
        max_replay_bytes: int,
        recorder: Recorder,
    ) -> None:
        self._incarnation = incarnation
        self._configuration = configuration
        self._home = home
        self._max_replay_bytes = max_replay_bytes
        self._recorder = recorder
        self._attempts: dict[str, _KeyedAttempt] = {}

    @property
    def waiting(self) -> list[tuple[str, QueuedAttempt]]:
        """Return each attempt that waits for its key, with its entry."""
        return [
            (each.peer, each.queued)
            for each in self._attempts.values()
            if not each.may_run
        ]

    @property
    def waiting_count(self) -> int:
        """Return the number of attempts that wait for their key."""
        return len(self.waiting)

    def is_waiting(self, attempt_id: str) -> bool:
        """Return whether an attempt still waits for its key.

        :param attempt_id: identifier of the attempt.
        """
        keyed = self._attempts.get(attempt_id)
        return keyed is not None and not keyed.may_run

    def apply_configuration(self, now: timedelta) -> None:
        """Apply the documents in force.

        :param now: time on the monotonic clock.
        """
        self._home.apply_configuration(now)

    def admit(
        self,
        peer: str,
        queued: QueuedAttempt,
        service: Service,
        now: timedelta,
    ) -> KeyActions:
        """Claim the key of an attempt.

        :param peer: incarnation of the entry that sent it.
        :param queued: the attempt.
        :param service: service that it calls.
        :param now: time on the monotonic clock.
        """
        attempt = queued.attempt
        claim = KeyClaim(
            attempt.attempt_id,
            service,
            attempt.organisation,
            attempt.idempotency_key,
            _digest_request(attempt),
            attempt.deadline_wall_ms,
        )
        keyed = _KeyedAttempt(peer, queued, claim)
        self._attempts[attempt.attempt_id] = keyed
        return self._apply_decisions([self._home.claim(claim, now)])

    def receive(
        self,
        peer: str,
        message: FenceKey | FenceReply,
        now: timedelta,
    ) -> KeyActions:
        """Handle a fence request or a fence reply of another home.

        :param peer: incarnation of the agent that sent a request, or
            address of the agent that sent a reply.
        :param message: the request or reply.
        :param now: time on the monotonic clock.
        """
        if isinstance(message, FenceReply):
            return self._apply_decisions(
                self._home.handle_fence_reply(peer, message, now)
            )
        state, decisions = self._home.fence(message, now)
        reply = FenceReply(
            service=message.service,
            organisation=message.organisation,
            idempotency_key=message.idempotency_key,
            state=state,
            agent_incarnation=self._incarnation,
            configuration=self._configuration.version,
        )
        actions = self._apply_decisions(decisions)
        actions.effects.append(SendToPeer(peer, reply))
        return actions

    def tick(self, lost_entries: Iterable[str], now: timedelta) -> KeyActions:
        """Expire records and withdraw waiting attempts that cannot run.

        An attempt is withdrawn when its deadline has passed or its entry
        is unresponsive.

        :param lost_entries: incarnations of unresponsive entries.
        :param now: time on the monotonic clock.
        """
        lost_peers = set(lost_entries)
        for attempt_id, keyed in list(self._attempts.items()):
            is_overdue = keyed.queued.deadline <= now
            if not keyed.may_run and (is_overdue or keyed.peer in lost_peers):
                self.withdraw(attempt_id)
        return self._apply_decisions(self._home.tick(now))

    def withdraw(self, attempt_id: str) -> None:
        """Drop an attempt that has not run and will not run.

        :param attempt_id: identifier of the attempt.
        """
        keyed = self._attempts.pop(attempt_id, None)
        if keyed is not None:
            self._home.withdraw(keyed.claim)

    def record_call_message(self, message: CallMessage, now: timedelta) -> None:
        """Record the progress or the end of a call to the target.

        :param message: message of the call's task.
        :param now: time on the monotonic clock.
        """
        keyed = self._attempts.get(message.attempt_id)
        if keyed is None:
            return
        if isinstance(message, CallStarted):
            keyed.buffer.started = message
        elif isinstance(message, CallChunk):
            keyed.buffer.append(message.payload, self._max_replay_bytes)
        else:
            self._finish(keyed, message, now)

    def _finish(
        self,
        keyed: _KeyedAttempt,
        ended: CallEnded,
        now: timedelta,
    ) -> None:
        if ended.error and not ended.is_sent:
            self.withdraw(ended.attempt_id)
            return
        self._attempts.pop(ended.attempt_id)
        state = KeyState.unknown if ended.error else KeyState.done
        response = None if ended.error else keyed.buffer.build()
        self._home.finish(keyed.claim, state, response, now)

    def _apply_decisions(self, decisions: Iterable[KeyDecision]) -> KeyActions:
        actions = KeyActions()
        for decision in decisions:
            self._apply_decision(actions, decision)
        return actions

    def _apply_decision(
        self, actions: KeyActions, decision: KeyDecision
    ) -> None:
        attempt_id = decision.claim.attempt_id
        keyed = self._attempts[attempt_id]
        if isinstance(decision, RequestFences):
            actions.effects.extend(
                SendToHome(address, decision.message)
                for address in decision.addresses
            )
        elif isinstance(decision, RunKey):
            keyed.may_run = True
            actions.ready.append((keyed.peer, keyed.queued))
        elif isinstance(decision, ReplayKey):
            self._attempts.pop(attempt_id)
            actions.effects.extend(_make_replay(keyed.peer, decision))
        else:
            self._attempts.pop(attempt_id)
            actions.effects.append(
                SendToPeer(keyed.peer, self._make_refusal(decision))
            )

    def _make_refusal(self, decision: RefuseKey) -> Refused:
        self._recorder.count('refusals', decision.reason)
        return Refused(
            attempt_id=decision.claim.attempt_id,
            reason=decision.reason,
            outcome=Outcome.outcome_unknown,
            retry_after_ms=_RETRY_AFTER_MS,
        )


def _make_replay(peer: str, decision: ReplayKey) -> list[AgentEffect]:
    attempt_id = decision.claim.attempt_id
    response = decision.response
    messages = (
        Accepted(attempt_id=attempt_id),
        Started(
            attempt_id=attempt_id,
            status_code=response.status_code,
            content_type=response.content_type,
        ),
        Chunk(attempt_id=attempt_id, sequence_number=0, payload=response.body),
        Final(attempt_id=attempt_id, chunk_count=1),
    )
    return [SendToPeer(peer, message) for message in messages]


def _digest_request(attempt: Attempt) -> int:
    digest = xxh3_64(f'{attempt.method} {attempt.path} '.encode())
    digest.update(attempt.body)
    return digest.intdigest()
