"""Tasks of an agent process."""

from datetime import timedelta
from typing import TypeAlias

from buckthornpond_core._generated.events import (
    CallChunk,
    CallEnded,
    CallStarted,
)
from buckthornpond_core._generated.inventory import TargetKind
from buckthornpond_core._generated.messages import Document
from buckthornpond_core._generated.platform import InstanceList, InstanceState
from buckthornpond_core.admission import Admission
from buckthornpond_core.configuration import Configuration
from buckthornpond_core.effects import (
    AgentEffect,
    CancelCall,
    GrantCall,
    StartCall,
    ToPeer,
)
from buckthornpond_core.types import Clock
from buckthornpond_runtime.documents import accept_document
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox
from buckthornpond_runtime.transports import Received

from .bodies import with_priority
from .calls import CallTask

_TICK_SECONDS = 0.05

AdmissionMessage: TypeAlias = (
    CallChunk | CallEnded | CallStarted | Document | InstanceList | Received
)


class AdmissionTask:
    """Owns the admission and the calls to the target.

    :param instance: the agent's instance.
    :param admission: the decisions.
    :param configuration: what is in force.
    :param clock: source of time.
    :param metrics: counters of the process.
    :param max_frame_bytes: the most bytes of one chunk.
    """

    __slots__ = (
        '_admission',
        '_calls',
        '_clock',
        '_configuration',
        '_instance',
        '_max_frame_bytes',
        '_metrics',
        'mailbox',
        'port',
    )

    def __init__(
        self,
        *,
        instance: str,
        admission: Admission,
        configuration: Configuration,
        clock: Clock,
        metrics: Metrics,
        max_frame_bytes: int,
    ) -> None:
        self.mailbox: Mailbox[AdmissionMessage] = Mailbox()
        self.port: Mailbox[ToPeer] = Mailbox()
        self._instance = instance
        self._admission = admission
        self._configuration = configuration
        self._clock = clock
        self._metrics = metrics
        self._max_frame_bytes = max_frame_bytes
        self._calls: dict[str, CallTask] = {}

    def run(self) -> None:
        """Serve the mailbox until the process ends."""
        next_tick = self._clock.monotonic()
        while True:
            message = self.mailbox.receive(_TICK_SECONDS)
            now = self._clock.monotonic()
            if message is not None:
                self._apply(self._handle(message, now))
            if now >= next_tick:
                next_tick = now + timedelta(seconds=_TICK_SECONDS)
                self._apply(self._admission.tick(now))

    def _handle(
        self,
        message: AdmissionMessage,
        now: timedelta,
    ) -> list[AgentEffect]:
        if isinstance(message, Received):
            if isinstance(message.message, Document):
                self._configure(message.message, message.peer)
                return []
            return self._admission.receive(message.peer, message.message, now)
        if isinstance(message, Document):
            self._configure(message, 'configuration service')
            return []
        if isinstance(message, InstanceList):
            self._configuration.leaving_instances = frozenset(
                each.name
                for each in message.instances
                if each.state is InstanceState.leaving
            )
            return []
        if isinstance(message, CallEnded):
            self._calls.pop(message.attempt_id, None)
        return self._admission.update_call(message, now)

    def _configure(self, document: Document, peer: str) -> None:
        is_accepted = accept_document(
            self._configuration,
            document,
            peer=peer,
            metrics=self._metrics,
        )
        if is_accepted:
            self._admission.follow_configuration()

    def _apply(self, effects: list[AgentEffect]) -> None:
        for effect in effects:
            if isinstance(effect, ToPeer):
                self.port.send(effect)
            elif isinstance(effect, StartCall):
                self._start_call(effect)
            else:
                self._steer_call(effect)

    def _steer_call(self, effect: GrantCall | CancelCall) -> None:
        call = self._calls.get(effect.attempt_id)
        if call is None:
            return
        if isinstance(effect, GrantCall):
            call.grant(effect.credit_bytes)
        else:
            call.cancel()

    def _start_call(self, effect: StartCall) -> None:
        attempt = effect.attempt
        target = self._configuration.instances[self._instance].target
        service = self._configuration.services.get(attempt.service)
        if service is not None and service.kind is TargetKind.engine:
            attempt.body = with_priority(attempt.body, effect.priority)
        call = CallTask(
            attempt,
            target.address,
            self._max_frame_bytes,
            self.mailbox.send,
        )
        self._calls[attempt.attempt_id] = call
        call.start()
