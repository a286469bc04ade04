"""Exchange of fleet views between entries while the source is unreachable."""

from datetime import timedelta
from http import HTTPStatus
from typing import Any

import gevent
import msgspec

from buckthornpond_core._generated.serving import FleetView
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import TargetError
from buckthornpond_core.serving.source_positions import SourcePosition
from buckthornpond_core.types import DECODE_ERRORS, Clock
from buckthornpond_runtime.administration import EndpointResponse, EndpointTask
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.fetches import FetchLimits
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Inbox, Mailbox

_PATH = '/fleet'
_MEDIA_TYPE = 'application/msgpack'
_STEP = 'query peer for its fleet view'
_REPLY_TIMEOUT_SECONDS = 1.0
_CONNECT_TIMEOUT_MS = 300
_CONNECT_TIMEOUT = timedelta(milliseconds=_CONNECT_TIMEOUT_MS)
# Longest wait for the next bytes of a fleet view.
_READ_TIMEOUT_MS = 800
_READ_TIMEOUT = timedelta(milliseconds=_READ_TIMEOUT_MS)
_FETCH_TIME_LIMIT = timedelta(seconds=5)
_MAX_VIEW_BYTES = 16_777_216
# A view that brings less within the time limit has stalled.
_PROGRESS_BYTES = 32_768
_FETCH_LIMITS = FetchLimits(_FETCH_TIME_LIMIT, _MAX_VIEW_BYTES, _PROGRESS_BYTES)
_MAX_REVISION_DIGITS = 18
_ERA_SEPARATOR = '.'
_CALL_ERRORS = (TargetError, *DECODE_ERRORS)


class FleetViewRequest:
    """Asks the dispatch task for its fleet view; sent by the endpoint.

    :param position: last position of the source that the peer has applied.
    :param inbox: receives the view.
    """

    __slots__ = ('inbox', 'position')

    def __init__(
        self, position: SourcePosition, inbox: Inbox[FleetView]
    ) -> None:
        self.position = position
        self.inbox = inbox


class PeerQuery:
    """Asks the peer query task for the newest view of some peers.

    Sent by the dispatch task.

    :param addresses: addresses of the peers.
    :param position: last position of the source that this entry has applied.
    """

    __slots__ = ('addresses', 'position')

    def __init__(self, addresses: list[str], position: SourcePosition) -> None:
        self.addresses = addresses
        self.position = position


class PeerFleetView:
    """Tells the dispatch task the fleet view of a peer.

    Sent by the peer query task.

    :param view: fleet view of the peer.
    :param peer: address of the peer.
    :param requested_at: when the peer was queried, on the monotonic clock.
    """

    __slots__ = ('peer', 'requested_at', 'view')

    def __init__(
        self,
        view: FleetView,
        peer: str,
        requested_at: timedelta,
    ) -> None:
        self.view = view
        self.peer = peer
        self.requested_at = requested_at


class FleetViewEndpoint:
    """Serves this entry's fleet view to its peers.

    :param dispatch: mailbox of the dispatch task.
    """

    __slots__ = ('_dispatch',)

    def __init__(self, dispatch: Inbox[Any]) -> None:
        self._dispatch = dispatch

    def make_task(self, address: str, metrics: Metrics) -> EndpointTask:
        """Return the task that listens for queries of peers.

        :param address: IP number and port to listen on.
        :param metrics: counters of the process.
        """
        return EndpointTask(address, {_PATH: self.render}, metrics)

    def render(self, query: str) -> EndpointResponse:
        """Return the response with the fleet view.

        :param query: last position of the source that the peer has applied.
        """
        position = _parse_position(query)
        if position is None:
            return EndpointResponse(HTTPStatus.BAD_REQUEST, b'not a revision\n')
        replies: Mailbox[FleetView] = Mailbox(1)
        self._dispatch.send(FleetViewRequest(position, replies))
        view = replies.receive(_REPLY_TIMEOUT_SECONDS)
        if view is None:
            return EndpointResponse(HTTPStatus.SERVICE_UNAVAILABLE, b'busy\n')
        return EndpointResponse(
            HTTPStatus.OK,
            msgspec.msgpack.encode(view),
            _MEDIA_TYPE,
        )


class PeerQueryTask:
    """Queries peers and owns the connections to them.

    :param dispatch: mailbox of the dispatch task.
    :param clock: source of time.
    :param metrics: counters of the process.
    """

    __slots__ = ('_clock', '_dispatch', '_metrics', 'mailbox')

    def __init__(
        self,
        dispatch: Inbox[Any],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        # Further queries are dropped; the dispatch task sends them again.
        self.mailbox: Mailbox[PeerQuery] = Mailbox(1)
        self._dispatch = dispatch
        self._clock = clock
        self._metrics = metrics

    def run(self) -> None:
        """Query peers until the process ends."""
        while True:
            query = self.mailbox.receive()
            if query is not None:
                self._query(query)

    def _query(self, query: PeerQuery) -> None:
        jobs = [
            gevent.spawn(self._query_one, address, query.position)
            for address in query.addresses
        ]
        gevent.joinall(jobs)
        views = [job.value for job in jobs if job.value is not None]
        if views:
            newest = max(
                views, key=lambda each: (each.view.era, each.view.revision)
            )
            self._dispatch.send(newest)

    def _query_one(
        self, address: str, position: SourcePosition
    ) -> PeerFleetView | None:
        requested_at = self._clock.monotonic()
        connection = HttpConnection(address)
        try:
            view = _fetch(connection, position)
        except _CALL_ERRORS as error:
            self._metrics.count('peer_questions', 'failed')
            log_event(
                EventCode.peer_unanswered,
                peer=address,
                error=str(error),
            )
            return None
        finally:
            connection.close()
        self._metrics.count('peer_questions', 'answered')
        return PeerFleetView(view, address, requested_at)


def _render_position(position: SourcePosition) -> str:
    """Return the revision, after the era if the source names one."""
    if position.era:
        return f'{position.era}{_ERA_SEPARATOR}{position.revision}'
    return f'{position.revision}'


def _parse_position(query: str) -> SourcePosition | None:
    era, separator, revision = query.rpartition(_ERA_SEPARATOR)
    numbers = [era, revision] if separator else [revision]
    for number in numbers:
        if not number.isdecimal() or len(number) > _MAX_REVISION_DIGITS:
            return None
    return SourcePosition(int(era or 0), int(revision))


def _fetch(connection: HttpConnection, position: SourcePosition) -> FleetView:
    connection.connect(_CONNECT_TIMEOUT)
    connection.set_timeout(_READ_TIMEOUT)
    query = _render_position(position)
    head = f'GET {_PATH}?{query} HTTP/1.1\r\nHost: {connection.address}\r\n\r\n'
    response = connection.fetch(
        'GET', head.encode('ascii'), _STEP, _FETCH_LIMITS
    )
    if response.status_code != HTTPStatus.OK:
        raise connection.make_error(f'status {response.status_code}', _STEP)
    return msgspec.msgpack.decode(response.content, type=FleetView)
