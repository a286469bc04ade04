"""Memory set aside at other engines while an attempt runs."""

from contextlib import suppress
from datetime import timedelta
from http import HTTPStatus

import gevent

from buckthornpond_core._generated.serving import MemoryTicket
from buckthornpond_core.exceptions import TargetError
from buckthornpond_core.journal import EventCode
from buckthornpond_core.serving.codec import RequestCodec
from buckthornpond_core.serving.effects import TargetOrder
from buckthornpond_runtime.connections import HttpConnection
from buckthornpond_runtime.logs import log_event
from buckthornpond_runtime.responses import HttpResponse
from buckthornpond_runtime.tasks import AnyGreenlet

_ORDER_TIMEOUT_MS = 400
_ORDER_TIMEOUT = timedelta(milliseconds=_ORDER_TIMEOUT_MS)
# Three renewals come within one lease.
_RENEWAL_SECONDS = 0.5
# An order without an answer may be carried out for so long.
_LATE_TIME_SECONDS = 13
_STEP = 'order'


class TicketTask:
    """Owns the reservations of one attempt and the connections for them.

    :param attempt_id: the request, for the log.
    :param tickets: the memory.
    :param codec: spells the orders.
    """

    __slots__ = (
        '_attempt_id',
        '_codec',
        '_connections',
        '_greenlets',
        '_tickets',
        '_unanswered',
    )

    def __init__(
        self,
        attempt_id: str,
        tickets: list[MemoryTicket],
        codec: RequestCodec,
    ) -> None:
        self._attempt_id = attempt_id
        self._tickets = tickets
        self._codec = codec
        self._connections: dict[str, HttpConnection] = {}
        self._greenlets: list[AnyGreenlet] = []
        # Tickets of which an order got no answer.
        self._unanswered: set[str] = set()

    def reserve(self) -> None:
        """Set all of the memory aside, or none of it.

        :raises TargetError: when a target does not give it.
        """
        jobs = [gevent.spawn(self._reserve, each) for each in self._tickets]
        gevent.joinall(jobs)
        refusals = [job.value for job in jobs if job.value]
        log_event(
            EventCode.memory_reserved,
            request=self._attempt_id,
            tickets={each.target: each.tokens for each in self._tickets},
            refusals=refusals,
        )
        if refusals:
            self.release()
            raise TargetError(
                refusals[0],
                step=_STEP,
                peer=self._tickets[0].address,
                is_sent=False,
            )
        self._greenlets = [
            gevent.spawn(self._renew, ticket) for ticket in self._tickets
        ]

    def release(self) -> None:
        """Give the memory back, without waiting for it."""
        for renewal in self._greenlets:
            renewal.kill(block=False)
        for ticket in self._tickets:
            gevent.spawn(self._release, ticket)

    def _reserve(self, ticket: MemoryTicket) -> str:
        """Return why the memory was not given, or nothing."""
        try:
            status_code = self._send(
                ticket,
                self._codec.write_reservation(ticket),
            )
        except TargetError as error:
            return str(error)
        if status_code == HTTPStatus.OK:
            return ''
        return f'{ticket.target}: status {status_code}'

    def _renew(self, ticket: MemoryTicket) -> None:
        while True:
            gevent.sleep(_RENEWAL_SECONDS)
            refusal = self._reserve(ticket)
            if refusal:
                # The next one may come in time; else the target ends the
                # request, which its answer shows.
                log_event(
                    EventCode.reservation_failed,
                    request=self._attempt_id,
                    target=ticket.target,
                    error=refusal,
                )

    def _release(self, ticket: MemoryTicket) -> None:
        self._send_release(ticket)
        if ticket.ticket in self._unanswered:
            # What is carried out late must not keep the memory.
            for _ in range(int(_LATE_TIME_SECONDS / _RENEWAL_SECONDS)):
                gevent.sleep(_RENEWAL_SECONDS)
                self._send_release(ticket)
        connection = self._connections.pop(ticket.address, None)
        if connection is not None:
            connection.close()

    def _send_release(self, ticket: MemoryTicket) -> None:
        # The lease ends by itself soon if this does not arrive.
        with suppress(TargetError):
            self._send(ticket, self._codec.write_release(ticket))

    def _send(self, ticket: MemoryTicket, order: TargetOrder) -> int:
        connection = self._connections.get(ticket.address)
        if connection is None or not connection.is_usable():
            connection = HttpConnection(ticket.address)
            connection.connect(_ORDER_TIMEOUT)
            self._connections[ticket.address] = connection
        connection.set_timeout(_ORDER_TIMEOUT)
        lines = [f'{order.method} {order.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in order.fields)
        lines.extend((f'Content-Length: {len(order.body)}', '', ''))
        try:
            connection.send('\r\n'.join(lines).encode('latin-1') + order.body)
            response = HttpResponse(order.method)
            while not response.is_complete:
                connection.receive(response, _STEP)
        except TargetError:
            self._unanswered.add(ticket.ticket)
            connection.close()
            self._connections.pop(ticket.address, None)
            raise
        return response.status_code
