"""Task that owns the dispatcher and the idle connections to targets."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeAlias

from gevent.event import Event

from buckthornpond_core._generated.serving import (
    AttemptReport,
    CallerLimits,
    DirectSettings,
    Placement,
    PlacementFailure,
    RequestMetadata,
    SourceLost,
)
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.serving.admissions import AdmittedRequest
from buckthornpond_core.serving.dispatcher import Dispatcher
from buckthornpond_core.serving.effects import (
    ReportProof,
    ReportStatement,
    RequestPlacement,
)
from buckthornpond_core.serving.fleet_follower import FleetChange
from buckthornpond_core.types import Clock
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Inbox, Mailbox

from .fleet_sharing import (
    FleetViewRequest,
    PeerFleetView,
    PeerQuery,
    PeerQueryTask,
)
from .hints import HintReceived, HintReply, HintRequest
from .idle_connections import IdleConnections

_TICK_INTERVAL_SECONDS = 0.5


class AdmissionRequest:
    """Asks the dispatch task to admit a request; sent by a caller task.

    :param metadata: metadata of the request.
    :param inbox: receives an :class:`AdmittedRequest` or a refusal.
    """

    __slots__ = ('inbox', 'metadata')

    def __init__(
        self,
        metadata: RequestMetadata,
        inbox: Inbox['DispatchReply'],
    ) -> None:
        self.metadata = metadata
        self.inbox = inbox


class PlacementRequest:
    """Asks the dispatch task to place an attempt; sent by a caller task.

    :param admission: the admitted request.
    :param effect: targets to exclude, and whether a target may already have
        received the request.
    :param inbox: receives a :class:`PlacementReply`.
    """

    __slots__ = ('admission', 'effect', 'inbox')

    def __init__(
        self,
        admission: AdmittedRequest,
        effect: RequestPlacement,
        inbox: Inbox['DispatchReply'],
    ) -> None:
        self.admission = admission
        self.effect = effect
        self.inbox = inbox


class PlacementReply:
    """Reply of the dispatch task to :class:`PlacementRequest`.

    :param decision: the chosen target, or why there is none.
    :param connection: an idle connection to the target, now owned by the
        receiver.
    """

    __slots__ = ('connection', 'decision')

    def __init__(
        self,
        decision: Placement | PlacementFailure,
        connection: HttpConnection | None = None,
    ) -> None:
        self.decision = decision
        self.connection = connection


class FirstByteReceived:
    """Tells the dispatch task that a target began its response.

    Sent by a caller task.

    :param attempt_id: identifies the request.
    :param placement: placement of the attempt.
    """

    __slots__ = ('attempt_id', 'placement')

    def __init__(self, attempt_id: str, placement: Placement) -> None:
        self.attempt_id = attempt_id
        self.placement = placement


class AttemptEnded:
    """Tells the dispatch task that an attempt ended; sent by a caller task.

    :param admission: the request.
    :param placement: placement of the attempt.
    :param report: outcome and timing of the attempt.
    """

    __slots__ = ('admission', 'placement', 'report')

    def __init__(
        self,
        admission: AdmittedRequest,
        placement: Placement,
        report: AttemptReport,
    ) -> None:
        self.admission = admission
        self.placement = placement
        self.report = report


class ConnectionReturned:
    """Returns a connection to the dispatch task; sent by a caller task.

    :param connection: the connection, now owned by the dispatch task.
    """

    __slots__ = ('connection',)

    def __init__(self, connection: HttpConnection) -> None:
        self.connection = connection


DispatchReply: TypeAlias = AdmittedRequest | PlacementFailure | PlacementReply
DispatchMessage: TypeAlias = (
    AdmissionRequest
    | PlacementRequest
    | DirectSettings
    | AttemptEnded
    | FirstByteReceived
    | ReportProof
    | ReportStatement
    | FleetChange
    | PeerFleetView
    | FleetViewRequest
    | HintRequest
    | HintReceived
    | ConnectionReturned
)


class DispatchTask:
    """Owns the dispatcher and the idle connections to targets.

    :param dispatcher: decides on admission and placement.
    :param clock: source of time.
    :param metrics: counters of the process.
    """

    __slots__ = (
        '_clock',
        '_dispatcher',
        '_handlers',
        '_idle_connections',
        '_metrics',
        'hint_due',
        'limits',
        'mailbox',
        'peer_task',
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.mailbox: Mailbox[DispatchMessage] = Mailbox()
        self.limits = CallerLimits()
        # Set when a load hint to the peers is due.
        self.hint_due = Event()
        # Queries peers for the fleet while its source is unreachable.
        self.peer_task = PeerQueryTask(self.mailbox, clock, metrics)
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._idle_connections = IdleConnections(metrics)
        self._handlers: dict[type, Callable[[Any, timedelta], None]] = {
            AdmissionRequest: self._handle_request,
            FleetViewRequest: self._exchange_fleet_views,
            HintRequest: self._exchange_hints,
            PlacementRequest: self._handle_request,
            DirectSettings: self._change_settings,
            AttemptEnded: self._update_attempt,
            FirstByteReceived: self._update_attempt,
            ReportProof: self._record_proof,
            ReportStatement: self._record_statement,
            PeerFleetView: self._exchange_fleet_views,
            HintReceived: self._exchange_hints,
            ConnectionReturned: self._return_connection,
        }

    @property
    def is_ready(self) -> bool:
        """Whether a configuration and at least one target are known."""
        return self._dispatcher.is_ready

    @property
    def idle_connection_count(self) -> int:
        """Number of idle connections to targets."""
        return len(self._idle_connections)

    @property
    def quarantine_count(self) -> int:
        """Number of quarantines of prompt parts."""
        return len(self._dispatcher.load_exchange.quarantine)

    def run(self) -> None:
        """Process messages until the process ends."""
        next_tick = self._clock.monotonic()
        while True:
            message = self.mailbox.receive(_TICK_INTERVAL_SECONDS)
            now = self._clock.monotonic()
            if message is not None:
                self._handle(message, now)
            if now >= next_tick:
                next_tick = now + timedelta(seconds=_TICK_INTERVAL_SECONDS)
                self._close_unusable_connections(now)
                self._query_peer()
                self._dispatcher.drop_silent_peers(now)
            if self._dispatcher.load_exchange.has_pending_hint:
                self.hint_due.set()

    def _handle(self, message: DispatchMessage, now: timedelta) -> None:
        handler = self._handlers.get(type(message), self._apply_fleet_change)
        handler(message, now)

    def _apply_fleet_change(self, message: FleetChange, now: timedelta) -> None:
        self._dispatcher.apply(message, now)
        self._update_limits()
        if isinstance(message, SourceLost):
            self._query_peer()

    def _close_unusable_connections(self, now: timedelta) -> None:
        addresses = {view.record.address for view in self._dispatcher.fleet}
        offenders = self._idle_connections.close_unusable(addresses, now)
        for address in offenders:
            self._dispatcher.record_unexpected_input(address, now)

    def _query_peer(self) -> None:
        addresses = self._dispatcher.choose_peers()
        if addresses:
            position = self._dispatcher.fleet.position
            self.peer_task.mailbox.offer(PeerQuery(addresses, position))

    def _exchange_fleet_views(
        self,
        message: FleetViewRequest | PeerFleetView,
        now: timedelta,
    ) -> None:
        if isinstance(message, FleetViewRequest):
            message.inbox.offer(
                self._dispatcher.follower.make_view(message.position, now),
            )
            return
        self._dispatcher.follower.apply_view(
            message.view,
            message.peer,
            message.requested_at,
            now,
        )
        self._update_limits()

    def _update_limits(self) -> None:
        route_table = self._dispatcher.route_table
        if route_table is not None:
            self.limits = route_table.configuration.limits

    def _change_settings(
        self,
        message: DirectSettings,
        now: timedelta,
    ) -> None:
        self._dispatcher.change_settings(message, now)

    def _return_connection(
        self,
        message: ConnectionReturned,
        now: timedelta,
    ) -> None:
        self._idle_connections.add(message.connection, now)

    def _handle_request(
        self,
        message: AdmissionRequest | PlacementRequest,
        now: timedelta,
    ) -> None:
        if isinstance(message, PlacementRequest):
            self._place(message, now)
        else:
            message.inbox.send(self._dispatcher.admit(message.metadata, now))

    def _exchange_hints(
        self,
        message: HintRequest | HintReceived,
        now: timedelta,
    ) -> None:
        dispatcher = self._dispatcher
        load_exchange = dispatcher.load_exchange
        if isinstance(message, HintReceived):
            hint = message.hint
            arrived_at = message.arrived_at
            if load_exchange.apply_hint(hint, dispatcher.fleet, arrived_at):
                dispatcher.statements.apply_hint(hint, arrived_at)
            return
        hint = load_exchange.make_hint(dispatcher.fleet, now)
        dispatcher.statements.fill_hint(hint, now)
        message.inbox.send(HintReply(hint, load_exchange.addresses))

    def _update_attempt(
        self,
        message: AttemptEnded | FirstByteReceived,
        now: timedelta,
    ) -> None:
        if isinstance(message, FirstByteReceived):
            self._dispatcher.record_first_byte(
                message.attempt_id,
                message.placement,
            )
            return
        self._metrics.count('attempts', message.report.outcome)
        self._dispatcher.end_attempt(
            message.admission,
            message.placement,
            message.report,
            now,
        )

    def _record_statement(
        self, message: ReportStatement, now: timedelta
    ) -> None:
        self._dispatcher.statements.record(
            message.placement, message.statement, now
        )

    def _record_proof(self, message: ReportProof, now: timedelta) -> None:
        self._dispatcher.load_exchange.quarantine.record_sound(
            message.parts, message.proven_at
        )

    def _place(self, message: PlacementRequest, now: timedelta) -> None:
        admission = message.admission
        decision = self._dispatcher.place(
            admission,
            message.effect.excluded,
            now,
            is_repeat=message.effect.is_repeat,
        )
        if isinstance(decision, PlacementFailure):
            self._metrics.count('failed_placements', decision.reason)
            message.inbox.send(PlacementReply(decision))
            return
        connection = self._idle_connections.pop(
            decision.address,
            admission.metadata.attempt_id,
            now,
            is_run_once=not admission.route.may_repeat,
        )
        self._log_placement(message, decision, connection)
        message.inbox.send(PlacementReply(decision, connection))

    def _log_placement(
        self,
        message: PlacementRequest,
        decision: Placement,
        connection: HttpConnection | None,
    ) -> None:
        log_event(
            EventCode.attempt_placed,
            request=message.admission.metadata.attempt_id,
            target=decision.target,
            address=decision.address,
            helpers=decision.helper_addresses,
            forecast_ms=decision.forecast_ms,
            candidates=decision.candidate_count,
            is_repeat=message.effect.is_repeat,
            is_new_connection=connection is None,
            connection_requests=len(connection.carried) if connection else 0,
            configuration_version=decision.configuration_version,
            fleet_revision=decision.fleet_revision,
            source_age_ms=decision.source_age_ms,
        )
