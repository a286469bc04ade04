"""Tasks of an entry process."""

import itertools
from datetime import timedelta
from typing import TypeAlias

from buckthornpond_core._generated.events import (
    BytesConsumed,
    CallerDisconnected,
    DocumentReadResult,
    Submission,
)
from buckthornpond_core._generated.messages import (
    Attempt,
    Chunk,
    Document,
    DocumentRequest,
    Hint,
    Outcome,
    Refused,
)
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.credits import UnconsumedResponses
from buckthornpond_core.effects import ResponseMessage, RouterEffect, SendToPeer
from buckthornpond_core.routing.router import Router
from buckthornpond_core.types import Clock
from buckthornpond_runtime.documents import DocumentExchange
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox
from buckthornpond_runtime.transports import ReceivedMessage, refuse_attempt

from .links import LinkPool

_TICK_SECONDS = 0.05


class CallerSubmission:
    """Message of a caller task to the router task with a new request.

    :param submission: the request.
    :param mailbox: receives the parts of the response.
    """

    __slots__ = ('mailbox', 'submission')

    def __init__(
        self,
        submission: Submission,
        mailbox: Mailbox[ResponseMessage],
    ) -> None:
        self.submission = submission
        self.mailbox = mailbox


class EndAll:
    """Message to the router task to refuse all held requests."""

    __slots__ = ()


RouterMessage: TypeAlias = (
    CallerSubmission
    | BytesConsumed
    | EndAll
    | CallerDisconnected
    | ReceivedMessage
    | DocumentReadResult
)


class RouterTask:
    """Owns the router and the links to agents.

    :param router: decides on placement, retries and failover.
    :param configuration: the configuration in force.
    :param clock: source of time.
    :param metrics: counters of the process.
    :param document_exchange: receives and distributes documents.
    :param incarnation: identity of this process.
    :param peer_addresses: addresses of the agents that a starting entry
        queries.
    :param heartbeat_interval: time between heartbeats.
    """

    __slots__ = (
        '_caller_mailboxes',
        '_clock',
        '_configuration',
        '_document_exchange',
        '_heartbeat_interval',
        '_link_pool',
        '_request_numbers',
        '_router',
        '_unconsumed',
        'mailbox',
    )

    def __init__(
        self,
        *,
        router: Router,
        configuration: Configuration,
        clock: Clock,
        metrics: Metrics,
        document_exchange: DocumentExchange,
        incarnation: str,
        peer_addresses: list[str],
        heartbeat_interval: timedelta,
    ) -> None:
        self.mailbox: Mailbox[RouterMessage] = Mailbox()
        self._router = router
        self._configuration = configuration
        self._clock = clock
        self._document_exchange = document_exchange
        self._link_pool = LinkPool(incarnation, self.mailbox, metrics)
        self._link_pool.open_startup_links(peer_addresses)
        self._heartbeat_interval = heartbeat_interval
        self._caller_mailboxes: dict[int, Mailbox[ResponseMessage]] = {}
        self._unconsumed = UnconsumedResponses()
        self._request_numbers = itertools.count(1)

    @property
    def held_answer_bytes(self) -> int:
        """Charged bytes of responses that callers have not consumed."""
        return self._unconsumed.held_bytes

    def next_request_number(self) -> int:
        """Return a request number that this process has not used before."""
        return next(self._request_numbers)

    def run(self) -> None:
        """Handle messages until the process ends."""
        next_tick = self._clock.monotonic()
        next_heartbeat = next_tick
        while True:
            message = self.mailbox.receive(_TICK_SECONDS)
            now = self._clock.monotonic()
            if message is not None:
                self._execute(self._handle(message, now))
            if now >= next_tick:
                next_tick = now + timedelta(seconds=_TICK_SECONDS)
                self._execute(self._router.tick(now))
                self._execute(self._update_links())
                self._execute(list(self._document_exchange.tick(now)))
            if now >= next_heartbeat:
                next_heartbeat = now + self._heartbeat_interval
                self._execute(self._router.beat(now))
                self._execute(self._make_startup_heartbeats())

    def _handle(
        self,
        message: RouterMessage,
        now: timedelta,
    ) -> list[RouterEffect]:
        if isinstance(message, ReceivedMessage):
            return self._handle_received(message, now)
        if isinstance(message, CallerSubmission):
            request_number = message.submission.request_number
            self._caller_mailboxes[request_number] = message.mailbox
            return self._router.submit(message.submission, now)
        if isinstance(message, BytesConsumed):
            self._unconsumed.take(
                message.request_number,
                message.consumed_bytes,
            )
            return self._router.consume(
                message.request_number,
                message.consumed_bytes,
            )
        if isinstance(message, CallerDisconnected):
            self._caller_mailboxes.pop(message.request_number, None)
            self._unconsumed.drop(message.request_number)
            return self._router.hang_up(message.request_number)
        if isinstance(message, DocumentReadResult):
            return self._apply_configuration(
                self._document_exchange.take_read_result(message, now)
            )
        return self._router.end_all('entry_stopping')

    def _handle_received(
        self,
        received: ReceivedMessage,
        now: timedelta,
    ) -> list[RouterEffect]:
        peer = received.peer
        message = received.message
        if isinstance(message, Document):
            return self._apply_configuration(
                self._document_exchange.take(message, peer)
            )
        if isinstance(message, DocumentRequest):
            return list(self._document_exchange.answer(peer, message, now))
        effects = self._router.receive(peer, message, now)
        if isinstance(message, Hint):
            effects.extend(
                self._document_exchange.record_peer_versions(
                    peer, message.configuration, now
                ),
            )
        return effects

    def _apply_configuration(self, is_accepted: bool) -> list[RouterEffect]:
        if not is_accepted:
            return []
        self._router.apply_configuration()
        effects = self._update_links()
        heartbeat = self._router.make_heartbeat()
        linked = self._router.agents.linked_instances
        effects.extend(SendToPeer(name, heartbeat) for name in linked)
        effects.extend(self._make_startup_heartbeats())
        return effects

    def _update_links(self) -> list[RouterEffect]:
        configured = self._configuration.instances
        wanted_addresses = {
            name: configured[name].agent_address
            for name in self._router.agents.linked_instances
            if name in configured
        }
        effects: list[RouterEffect] = []
        now = self._clock.monotonic()
        for instance in self._link_pool.update_links(wanted_addresses):
            effects.extend(self._router.handle_lost_agent(instance, now))
        return effects

    def _make_startup_heartbeats(self) -> list[RouterEffect]:
        heartbeat = self._router.make_heartbeat()
        return [
            SendToPeer(peer, heartbeat)
            for peer in self._link_pool.startup_peers
        ]

    def _execute(self, effects: list[RouterEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self._send_to_peer(effect)
                continue
            mailbox = self._caller_mailboxes.get(effect.request_number)
            if mailbox is None or not mailbox.offer(effect.message):
                continue
            if isinstance(effect.message, Chunk):
                self._unconsumed.add(
                    effect.request_number,
                    effect.message.payload,
                )

    def _send_to_peer(self, effect: SendToPeer) -> None:
        is_accepted = self._link_pool.send(effect)
        if not is_accepted and isinstance(effect.message, Attempt):
            refused = refuse_attempt(effect.message)
            now = self._clock.monotonic()
            self._execute(self._router.receive(effect.peer, refused, now))


def refuse_locally(reason: str) -> Refused:
    """Return the refusal of a request that never reached the router.

    :param reason: stable code of the refusal.
    """
    return Refused(
        attempt_id='',
        reason=reason,
        outcome=Outcome.not_run,
        retry_after_ms=1000,
    )
