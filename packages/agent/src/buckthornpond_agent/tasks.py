"""Admission task of an agent process."""

from datetime import timedelta
from typing import TypeAlias, TypeGuard

from buckthornpond_core._generated.events import (
    CallChunk,
    CallEnded,
    CallStarted,
    DocumentReadResult,
    HeartbeatReceived,
)
from buckthornpond_core._generated.inventory import TargetKind
from buckthornpond_core._generated.messages import (
    Attempt,
    Document,
    DocumentRequest,
    Heartbeat,
)
from buckthornpond_core._generated.platform import LoadReport
from buckthornpond_core.admission.admission import AdmissionController
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.effects import (
    AgentEffect,
    CancelCall,
    GrantCallCredit,
    SendToHome,
    SendToPeer,
    StartCall,
    WireMessage,
)
from buckthornpond_core.orders import find_desired_state
from buckthornpond_core.types import Clock
from buckthornpond_runtime.documents import DocumentExchange
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox
from buckthornpond_runtime.transports import ReceivedMessage, ZmqContext

from .bodies import with_priority
from .calls import CallTask
from .homes import HomeLinks
from .orders import OrderMessage
from .reports import PollEngine

_TICK_SECONDS = 0.05


class BeginStop:
    """Tells the admission task, from the main greenlet, to refuse attempts."""

    __slots__ = ()


class EndAll:
    """Tells the admission task, from the main greenlet, to end all attempts."""

    __slots__ = ()


AdmissionMessage: TypeAlias = (
    BeginStop
    | CallChunk
    | CallEnded
    | CallStarted
    | EndAll
    | LoadReport
    | ReceivedMessage
    | DocumentReadResult
)


class AdmissionTask:
    """Owns the admission and the calls to the target.

    :param instance: the agent's instance.
    :param admission: decisions on attempts.
    :param configuration: the configuration in force.
    :param clock: source of time.
    :param exchange: receives and distributes documents.
    :param max_frame_bytes: maximum size of one chunk.
    :param context: ZeroMQ context of the process.
    :param incarnation: incarnation of this process.
    :param metrics: counters of the process.
    """

    __slots__ = (
        '_admission',
        '_calls',
        '_clock',
        '_configuration',
        '_exchange',
        '_homes',
        '_instance',
        '_max_frame_bytes',
        'mailbox',
        'orders',
        'peer_listener',
        'reports',
    )

    def __init__(
        self,
        *,
        instance: str,
        admission: AdmissionController,
        configuration: Configuration,
        clock: Clock,
        exchange: DocumentExchange,
        max_frame_bytes: int,
        context: ZmqContext,
        incarnation: str,
        metrics: Metrics,
    ) -> None:
        self.mailbox: Mailbox[AdmissionMessage] = Mailbox()
        self.peer_listener: Mailbox[SendToPeer] = Mailbox()
        self.reports: Mailbox[PollEngine] = Mailbox()
        self.orders: Mailbox[OrderMessage] = Mailbox()
        self._instance = instance
        self._admission = admission
        self._configuration = configuration
        self._clock = clock
        self._exchange = exchange
        self._max_frame_bytes = max_frame_bytes
        self._homes = HomeLinks(context, incarnation, self.mailbox, metrics)
        self._calls: dict[str, CallTask] = {}

    @property
    def held_answer_bytes(self) -> int:
        """Bytes of responses that wait for credit."""
        return sum(call.held_answer_bytes for call in self._calls.values())

    def run(self) -> None:
        """Serve the mailbox until the process ends."""
        next_tick = self._clock.monotonic()
        while True:
            message = self.mailbox.receive(_TICK_SECONDS)
            now = self._clock.monotonic()
            if message is not None:
                self._apply_effects(self._handle_message(message, now))
            if now >= next_tick:
                next_tick = now + timedelta(seconds=_TICK_SECONDS)
                self._apply_effects(self._admission.tick(now))
                self._apply_effects(list(self._exchange.tick(now)))

    def _handle_message(
        self,
        message: AdmissionMessage,
        now: timedelta,
    ) -> list[AgentEffect]:
        if isinstance(message, ReceivedMessage):
            return self._handle_peer_message(message, now)
        if isinstance(message, DocumentReadResult):
            return self._apply_configuration(
                self._exchange.take_read_result(message, now)
            )
        if isinstance(message, LoadReport):
            self._admission.handle_load_report(message)
            return []
        if isinstance(message, BeginStop):
            return self._admission.begin_stop()
        if isinstance(message, EndAll):
            return self._admission.end_all(now)
        if isinstance(message, CallEnded):
            self._calls.pop(message.attempt_id, None)
        return self._admission.handle_call_message(message, now)

    def _handle_peer_message(
        self,
        received: ReceivedMessage,
        now: timedelta,
    ) -> list[AgentEffect]:
        peer = received.peer
        message = received.message
        if isinstance(message, Document):
            return self._apply_configuration(self._exchange.take(message, peer))
        if isinstance(message, DocumentRequest):
            return list(self._exchange.answer(peer, message, now))
        if isinstance(message, Heartbeat):
            self.orders.offer(HeartbeatReceived(entry=peer))
        effects: list[AgentEffect] = []
        if isinstance(message, Heartbeat) or self._shows_newer_configuration(
            message
        ):
            effects.extend(
                self._exchange.record_peer_versions(
                    peer, message.configuration, now
                ),
            )
        effects.extend(self._admission.receive(peer, message, now))
        return effects

    def _shows_newer_configuration(
        self, message: WireMessage
    ) -> TypeGuard[Attempt]:
        return isinstance(message, Attempt) and self._configuration.is_behind(
            message.configuration,
        )

    def _apply_configuration(self, is_accepted: bool) -> list[AgentEffect]:
        if not is_accepted:
            return []
        self._admission.apply_configuration(self._clock.monotonic())
        self.reports.offer(PollEngine(self._find_engine_address()))
        self.orders.send(
            find_desired_state(self._configuration, self._instance)
        )
        hint = self._admission.hint()
        return [SendToPeer(peer, hint) for peer in self._exchange.peers]

    def _find_engine_address(self) -> str:
        instance = self._configuration.instances.get(self._instance)
        is_engine = any(
            service.kind is TargetKind.engine
            and self._instance in service.instances
            for service in self._configuration.services.values()
        )
        return instance.target.address if instance and is_engine else ''

    def _apply_effects(self, effects: list[AgentEffect]) -> None:
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self.peer_listener.send(effect)
            elif isinstance(effect, SendToHome):
                self._homes.send(effect)
            elif isinstance(effect, StartCall):
                self._start_call(effect)
            else:
                self._update_call(effect)

    def _update_call(self, effect: GrantCallCredit | CancelCall) -> None:
        call = self._calls.get(effect.attempt_id)
        if call is None:
            return
        if isinstance(effect, GrantCallCredit):
            call.grant_credit(effect.credit_bytes)
        else:
            call.cancel()

    def _start_call(self, effect: StartCall) -> None:
        attempt = effect.attempt
        service = self._configuration.services.get(attempt.service)
        if service is not None and service.kind is TargetKind.engine:
            attempt.body = with_priority(attempt.body, effect.priority)
        call = CallTask(
            attempt,
            effect.address,
            effect.time_limit,
            self._max_frame_bytes,
            self.mailbox.send,
        )
        self._calls[attempt.attempt_id] = call
        call.start()
