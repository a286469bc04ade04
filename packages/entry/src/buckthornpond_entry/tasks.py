"""Tasks of an entry process."""

import itertools
from datetime import timedelta
from typing import TypeAlias

from zmq import green as zmq

from buckthornpond_core._generated.events import (
    Consumed,
    Hangup,
    Submission,
)
from buckthornpond_core._generated.messages import (
    Document,
    Outcome,
    Refused,
)
from buckthornpond_core._generated.platform import InstanceList, InstanceState
from buckthornpond_core.configuration import Configuration
from buckthornpond_core.effects import AnswerMessage, RouterEffect, ToPeer
from buckthornpond_core.routing import Router
from buckthornpond_core.types import Clock
from buckthornpond_runtime.documents import accept_document
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox
from buckthornpond_runtime.transports import LinkTask, Received

_TICK_SECONDS = 0.05


class CallerSubmission:
    """A submission with the mailbox of the task that serves the caller."""

    __slots__ = ('mailbox', 'submission')

    def __init__(
        self,
        submission: Submission,
        mailbox: Mailbox[AnswerMessage],
    ) -> None:
        self.submission = submission
        self.mailbox = mailbox


class EndAll:
    """Ask the router task to refuse everything it holds."""

    __slots__ = ()


RouterMessage: TypeAlias = (
    CallerSubmission
    | Consumed
    | Document
    | EndAll
    | Hangup
    | InstanceList
    | Received
)


class RouterTask:
    """Owns the router and the links to agents.

    :param router: the decisions.
    :param configuration: what is in force.
    :param clock: source of time.
    :param metrics: counters of the process.
    :param incarnation: identity of this process.
    :param heartbeat_interval: time between heartbeats.
    """

    __slots__ = (
        '_callers',
        '_clock',
        '_configuration',
        '_context',
        '_heartbeat_interval',
        '_incarnation',
        '_links',
        '_metrics',
        '_numbers',
        '_router',
        'mailbox',
    )

    def __init__(
        self,
        *,
        router: Router,
        configuration: Configuration,
        clock: Clock,
        metrics: Metrics,
        incarnation: str,
        heartbeat_interval: timedelta,
    ) -> None:
        self.mailbox: Mailbox[RouterMessage] = Mailbox()
        self._router = router
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._incarnation = incarnation
        self._heartbeat_interval = heartbeat_interval
        self._context = zmq.Context()
        self._links: dict[str, LinkTask] = {}
        self._callers: dict[int, Mailbox[AnswerMessage]] = {}
        self._numbers = itertools.count(1)

    def next_number(self) -> int:
        """Return a request number that this process never gave out."""
        return next(self._numbers)

    def run(self) -> None:
        """Serve the mailbox until the process ends."""
        next_tick = self._clock.monotonic()
        next_heartbeat = next_tick
        while True:
            message = self.mailbox.receive(_TICK_SECONDS)
            now = self._clock.monotonic()
            if message is not None:
                self._apply(self._handle(message, now))
            if now >= next_tick:
                next_tick = now + timedelta(seconds=_TICK_SECONDS)
                self._apply(self._router.tick(now))
            if now >= next_heartbeat:
                next_heartbeat = now + self._heartbeat_interval
                self._apply(self._router.heartbeat())

    def _handle(
        self,
        message: RouterMessage,
        now: timedelta,
    ) -> list[RouterEffect]:
        if isinstance(message, Received):
            if isinstance(message.message, Document):
                self._configure(message.message, message.peer)
                return []
            return self._router.receive(message.peer, message.message, now)
        if isinstance(message, CallerSubmission):
            number = message.submission.request_number
            self._callers[number] = message.mailbox
            return self._router.submit(message.submission, now)
        if isinstance(message, Consumed):
            return self._router.consume(
                message.request_number,
                message.consumed_bytes,
            )
        if isinstance(message, Hangup):
            self._callers.pop(message.request_number, None)
            return self._router.hang_up(message.request_number)
        return self._handle_rare(message)

    def _handle_rare(
        self,
        message: RouterMessage,
    ) -> list[RouterEffect]:
        if isinstance(message, Document):
            self._configure(message, 'configuration service')
        elif isinstance(message, InstanceList):
            self._configuration.leaving_instances = frozenset(
                each.name
                for each in message.instances
                if each.state is InstanceState.leaving
            )
        elif isinstance(message, EndAll):
            return self._router.end_all('entry_stopping')
        return []

    def _configure(self, document: Document, peer: str) -> None:
        is_accepted = accept_document(
            self._configuration,
            document,
            peer=peer,
            metrics=self._metrics,
        )
        if is_accepted:
            self._router.follow_configuration()
            self._follow_links()

    def _follow_links(self) -> None:
        configured = self._configuration.instances
        for instance, link in list(self._links.items()):
            wanted = configured.get(instance)
            if wanted is None or wanted.agent_address != link.address:
                self._links.pop(instance).close()
                now = self._clock.monotonic()
                self._apply(self._router.lose_agent(instance, now))
        for name, wanted in configured.items():
            if name not in self._links:
                self._links[name] = self._open_link(name, wanted.agent_address)

    def _open_link(self, instance: str, address: str) -> LinkTask:
        link = LinkTask(
            self._context,
            identity=self._incarnation,
            instance=instance,
            address=address,
            inbox=self.mailbox,
            metrics=self._metrics,
        )
        link.start()
        return link

    def _apply(self, effects: list[RouterEffect]) -> None:
        for effect in effects:
            if isinstance(effect, ToPeer):
                self._send(effect)
                continue
            mailbox = self._callers.get(effect.request_number)
            if mailbox is not None:
                mailbox.offer(effect.message)

    def _send(self, effect: ToPeer) -> None:
        link = self._links.get(effect.peer)
        if link is None or not link.mailbox.offer(effect.message):
            self._metrics.count('undelivered_messages', 'agent')


def refuse_locally(reason: str) -> Refused:
    """Return the refusal of a request that never reached the router.

    :param reason: the stable code.
    """
    return Refused(
        attempt_id='',
        reason=reason,
        outcome=Outcome.not_run,
        retry_after_ms=1000,
    )
