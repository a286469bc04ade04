"""Exchange of fleet views between entries while the source is unreachable."""

from datetime import timedelta
from http import HTTPStatus
from typing import Any

import msgspec

from buckthornpond_core._generated.serving import FleetView
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import TargetError
from buckthornpond_core.types import Clock
from buckthornpond_runtime.administration import EndpointResponse, EndpointTask
from buckthornpond_runtime.connections import FetchLimits, HttpConnection
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
_FETCH_LIMITS = FetchLimits(_FETCH_TIME_LIMIT, _MAX_VIEW_BYTES)
_MAX_REVISION_DIGITS = 18


class FleetViewRequest:
    """Asks the dispatch task for its fleet view; sent by the endpoint.

    :param revision: last revision of the source that the peer has applied.
    :param inbox: receives the view.
    """

    __slots__ = ('inbox', 'revision')

    def __init__(self, revision: int, inbox: Inbox[FleetView]) -> None:
        self.revision = revision
        self.inbox = inbox


class PeerQuery:
    """Asks the peer query task to query a peer; sent by the dispatch task.

    :param address: address of the peer.
    :param revision: last revision of the source that this entry has applied.
    """

    __slots__ = ('address', 'revision')

    def __init__(self, address: str, revision: int) -> None:
        self.address = address
        self.revision = revision


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

        :param query: last revision of the source that the peer has applied.
        """
        if not query.isdecimal() or len(query) > _MAX_REVISION_DIGITS:
            return EndpointResponse(HTTPStatus.BAD_REQUEST, b'not a revision\n')
        replies: Mailbox[FleetView] = Mailbox(1)
        self._dispatch.send(FleetViewRequest(int(query), replies))
        view = replies.receive(_REPLY_TIMEOUT_SECONDS)
        if view is None:
            return EndpointResponse(HTTPStatus.SERVICE_UNAVAILABLE, b'busy\n')
        return EndpointResponse(
            HTTPStatus.OK,
            msgspec.msgpack.encode(view),
            _MEDIA_TYPE,
        )


class PeerQueryTask:
    """Queries one peer at a time and owns the connection to it.

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
        requested_at = self._clock.monotonic()
        connection = HttpConnection(query.address)
        try:
            view = _fetch(connection, query)
        except (TargetError, msgspec.MsgspecError) as error:
            self._metrics.count('peer_questions', 'failed')
            log_event(
                EventCode.peer_unanswered,
                peer=query.address,
                error=str(error),
            )
        else:
            self._metrics.count('peer_questions', 'answered')
            self._dispatch.send(
                PeerFleetView(view, query.address, requested_at),
            )
        finally:
            connection.close()


def _fetch(connection: HttpConnection, query: PeerQuery) -> FleetView:
    connection.connect(_CONNECT_TIMEOUT)
    connection.set_timeout(_READ_TIMEOUT)
    head = (
        f'GET {_PATH}?{query.revision} HTTP/1.1\r\n'
        f'Host: {query.address}\r\n\r\n'
    )
    response = connection.fetch(
        'GET', head.encode('ascii'), _STEP, _FETCH_LIMITS
    )
    if response.status_code != HTTPStatus.OK:
        raise connection.make_error(f'status {response.status_code}', _STEP)
    return msgspec.msgpack.decode(response.content, type=FleetView)
