"""The task that knows the fleet, and the idle connections to it."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeAlias

from gevent.event import Event

from buckthornpond_core._generated.hints import LoadHint
from buckthornpond_core._generated.serving import (
    AttemptReport,
    CallerLimits,
    DirectSettings,
    NotPlaced,
    Placement,
    RequestFacts,
    SourceLost,
)
from buckthornpond_core.journal import EventCode
from buckthornpond_core.serving.dispatcher import Admission, Dispatcher
from buckthornpond_core.serving.effects import AskPlacement
from buckthornpond_core.serving.following import FleetChange
from buckthornpond_core.types import Clock
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Inbox, Mailbox

from .hints import AskHint, HintReply
from .sharing import AskFleet, AskPeer, FleetTold, PeerTask

_TICK_SECONDS = 0.5
# A request that may run only once goes on connections used just now.
_FRESH_IDLE = timedelta(seconds=1)
_IDLE_PER_TARGET = 8


class AskAdmission:
    """Ask what the configuration says of a request.

    :param facts: the request.
    :param inbox: where the answer goes.
    """

    __slots__ = ('facts', 'inbox')

    def __init__(
        self,
        facts: RequestFacts,
        inbox: Inbox['DispatchReply'],
    ) -> None:
        self.facts = facts
        self.inbox = inbox


class AskTarget:
    """Ask where an attempt goes.

    :param admission: the request.
    :param order: what was tried before.
    :param inbox: where the answer goes.
    """

    __slots__ = ('admission', 'inbox', 'order')

    def __init__(
        self,
        admission: Admission,
        order: AskPlacement,
        inbox: Inbox['DispatchReply'],
    ) -> None:
        self.admission = admission
        self.order = order
        self.inbox = inbox


class Placed:
    """Where an attempt goes, with a connection if one is idle.

    :param found: the target, or why there is none.
    :param connection: an idle connection to it.
    """

    __slots__ = ('connection', 'found')

    def __init__(
        self,
        found: Placement | NotPlaced,
        connection: HttpConnection | None = None,
    ) -> None:
        self.found = found
        self.connection = connection


class FirstByte:
    """A target began its answer.

    :param attempt_id: the request.
    :param placement: where the attempt went.
    """

    __slots__ = ('attempt_id', 'placement')

    def __init__(self, attempt_id: str, placement: Placement) -> None:
        self.attempt_id = attempt_id
        self.placement = placement


class Ended:
    """An attempt ended.

    :param attempt_id: the request.
    :param placement: where the attempt went.
    :param report: how it ended.
    """

    __slots__ = ('attempt_id', 'placement', 'report')

    def __init__(
        self,
        attempt_id: str,
        placement: Placement,
        report: AttemptReport,
    ) -> None:
        self.attempt_id = attempt_id
        self.placement = placement
        self.report = report


class Returned:
    """A connection that can serve again.

    :param connection: the connection, which changes hands.
    """

    __slots__ = ('connection',)

    def __init__(self, connection: HttpConnection) -> None:
        self.connection = connection


DispatchReply: TypeAlias = Admission | NotPlaced | Placed
DispatchMessage: TypeAlias = (
    AskAdmission
    | AskTarget
    | DirectSettings
    | Ended
    | FirstByte
    | FleetChange
    | FleetTold
    | AskFleet
    | AskHint
    | LoadHint
    | Returned
)


class DispatchTask:
    """Owns the dispatcher and the idle connections.

    :param dispatcher: the decisions.
    :param clock: source of time.
    :param metrics: counters of the process.
    """

    __slots__ = (
        '_clock',
        '_dispatcher',
        '_handlers',
        '_idle',
        '_metrics',
        'hint_due',
        'limits',
        'mailbox',
        'peers',
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.mailbox: Mailbox[DispatchMessage] = Mailbox()
        self.limits = CallerLimits()
        # Set when other entries have to be told of the load.
        self.hint_due = Event()
        # Asks other entries for the fleet while the source is away.
        self.peers = PeerTask(self.mailbox, clock, metrics)
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[str, list[HttpConnection]] = {}
        self._handlers: dict[type, Callable[[Any, timedelta], None]] = {
            AskAdmission: self._answer,
            AskFleet: self._share_fleet,
            AskHint: self._exchange_hints,
            AskTarget: self._answer,
            DirectSettings: self._change_settings,
            Ended: self._follow,
            FirstByte: self._follow,
            FleetTold: self._share_fleet,
            LoadHint: self._exchange_hints,
            Returned: self._take_back,
        }

    @property
    def is_ready(self) -> bool:
        """Tell whether requests can be placed."""
        return self._dispatcher.is_ready

    @property
    def idle_count(self) -> int:
        """Return the number of idle connections to targets."""
        return sum(len(idle) for idle in self._idle.values())

    def run(self) -> None:
        """Serve the mailbox until the process ends."""
        next_tick = self._clock.monotonic()
        while True:
            message = self.mailbox.receive(_TICK_SECONDS)
            now = self._clock.monotonic()
            if message is not None:
                self._handle(message, now)
            if now >= next_tick:
                next_tick = now + timedelta(seconds=_TICK_SECONDS)
                self._close_idle(now)
                self._ask_peer()
                self._dispatcher.forget_silent(now)
            if self._dispatcher.exchange.has_changes:
                self.hint_due.set()

    def _handle(self, message: DispatchMessage, now: timedelta) -> None:
        handler = self._handlers.get(type(message), self._apply)
        handler(message, now)

    def _apply(self, message: FleetChange, now: timedelta) -> None:
        self._dispatcher.apply(message, now)
        self._take_limits()
        if isinstance(message, SourceLost):
            self._ask_peer()

    def _ask_peer(self) -> None:
        address = self._dispatcher.choose_peer()
        if address:
            revision = self._dispatcher.fleet.revision
            self.peers.mailbox.offer(AskPeer(address, revision))

    def _share_fleet(
        self,
        message: AskFleet | FleetTold,
        now: timedelta,
    ) -> None:
        if isinstance(message, AskFleet):
            message.inbox.offer(
                self._dispatcher.follower.show(message.revision, now),
            )
            return
        self._dispatcher.follower.learn(
            message.view,
            message.peer,
            message.asked,
            now,
        )
        self._take_limits()

    def _take_limits(self) -> None:
        table = self._dispatcher.table
        if table is not None:
            self.limits = table.configuration.limits

    def _change_settings(
        self,
        message: DirectSettings,
        now: timedelta,
    ) -> None:
        self._dispatcher.change_settings(message)

    def _take_back(self, message: Returned, now: timedelta) -> None:
        self._keep(message.connection, now)

    def _answer(
        self,
        message: AskAdmission | AskTarget,
        now: timedelta,
    ) -> None:
        if isinstance(message, AskTarget):
            self._place(message, now)
        else:
            message.inbox.send(self._dispatcher.admit(message.facts, now))

    def _exchange_hints(
        self,
        message: AskHint | LoadHint,
        now: timedelta,
    ) -> None:
        dispatcher = self._dispatcher
        exchange = dispatcher.exchange
        if isinstance(message, LoadHint):
            exchange.hear(message, dispatcher.fleet, now)
            return
        hint = exchange.make(dispatcher.fleet, now)
        message.inbox.send(HintReply(hint, exchange.addresses))

    def _follow(self, message: Ended | FirstByte, now: timedelta) -> None:
        if isinstance(message, FirstByte):
            self._dispatcher.note_first_byte(
                message.attempt_id,
                message.placement,
            )
            return
        self._metrics.count('attempts', message.report.outcome)
        self._dispatcher.end_attempt(
            message.attempt_id,
            message.placement,
            message.report,
            now,
        )

    def _place(self, message: AskTarget, now: timedelta) -> None:
        admission = message.admission
        found = self._dispatcher.place(
            admission,
            message.order.excluded,
            now,
            is_repeat=message.order.is_repeat,
        )
        if isinstance(found, NotPlaced):
            self._metrics.count('failed_placements', found.reason)
            message.inbox.send(Placed(found))
            return
        connection = self._take(
            found.address,
            now,
            is_fresh=not admission.route.may_repeat,
        )
        log_event(
            EventCode.attempt_placed,
            request=admission.facts.attempt_id,
            target=found.target,
            address=found.address,
            helpers=found.helper_addresses,
            forecast_ms=found.forecast_ms,
            candidates=found.candidate_count,
            is_repeat=message.order.is_repeat,
            is_new_connection=connection is None,
            configuration_version=found.configuration_version,
            fleet_revision=found.fleet_revision,
            source_age_ms=found.source_age_ms,
        )
        message.inbox.send(Placed(found, connection))

    def _take(
        self,
        address: str,
        now: timedelta,
        *,
        is_fresh: bool,
    ) -> HttpConnection | None:
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            idle_time = now - connection.idle_since
            limit = connection.idle_limit
            if is_fresh:
                limit = min(limit, _FRESH_IDLE)
            if idle_time < limit and connection.is_usable():
                return connection
            connection.close()
        return None

    def _keep(self, connection: HttpConnection, now: timedelta) -> None:
        idle = self._idle.setdefault(connection.address, [])
        if len(idle) >= _IDLE_PER_TARGET:
            connection.close()
            return
        connection.idle_since = now
        idle.append(connection)

    def _close_idle(self, now: timedelta) -> None:
        known = {view.record.address for view in self._dispatcher.fleet}
        for address, idle in list(self._idle.items()):
            kept = []
            for connection in idle:
                idle_time = now - connection.idle_since
                if address in known and idle_time < connection.idle_limit:
                    kept.append(connection)
                else:
                    connection.close()
            if kept:
                self._idle[address] = kept
            else:
                self._idle.pop(address)
