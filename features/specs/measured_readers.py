"""Readers of what other processes send, and what they keep of it."""

import tracemalloc
from collections.abc import Callable, Mapping
from datetime import timedelta
from types import MappingProxyType
from unittest import mock

import gevent

from buckthornpond_agent.reports import LoadReportTask, PollEngine
from buckthornpond_core._generated.serving import MemoryTicket, Placement
from buckthornpond_core.exceptions import PlatformError, TargetError
from buckthornpond_core.serving.effects import StartAttempt
from buckthornpond_core.serving.source_positions import SourcePosition
from buckthornpond_entry.direct import reservations
from buckthornpond_entry.direct.attempts import AttemptTask, AttemptUpdate
from buckthornpond_entry.direct.fleet_sharing import PeerQuery, PeerQueryTask
from buckthornpond_entry.direct.header_blocks import HeaderBlock
from buckthornpond_entry.direct.requests import CallerRequest
from buckthornpond_platform.headers import PlatformCodec
from buckthornpond_platform.store_client import StoreClient
from buckthornpond_runtime.calls import HttpCall
from buckthornpond_runtime.clocks import SystemClock
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox

_TIMEOUT = timedelta(seconds=5)
_BLOCK_BYTES = 65_536
# By then, a reader has read all that it ever does.
_SETTLE_SECONDS = 0.1
_POLL_SECONDS = 0.01


def _wait_counted(metrics: Metrics, counter: str) -> None:
    while counter not in metrics.render():
        gevent.sleep(_POLL_SECONDS)


def _read_events(address: str) -> None:
    call = HttpCall(address, _TIMEOUT)
    try:
        call.send('POST', '/', b'', {})
        while call.read_events(_BLOCK_BYTES):
            gevent.sleep(0)
    finally:
        call.close()


def _read_report(address: str) -> None:
    metrics = Metrics()
    task = LoadReportTask(_TIMEOUT, lambda report: None, metrics)
    running = gevent.spawn(task.run)
    task.mailbox.send(PollEngine(address))
    _wait_counted(metrics, 'report_errors')
    running.kill()


def _read_store(address: str) -> None:
    client = StoreClient(address, Metrics())
    client.read_page('')


def _ask_peer(address: str) -> None:
    metrics = Metrics()
    task = PeerQueryTask(Mailbox(), SystemClock(), metrics)
    running = gevent.spawn(task.run)
    task.mailbox.send(PeerQuery([address], SourcePosition(0, 0)))
    _wait_counted(metrics, 'peer_questions')
    running.kill()


def _order_memory(address: str) -> None:
    ticket = MemoryTicket(ticket='r-1', target='i-1', address=address, tokens=1)
    with mock.patch.object(reservations, '_LATE_EXECUTION_SECONDS', 0):
        task = reservations.ReservationTask('1', ticket, PlatformCodec())
        reply = task.replies.receive()
        task.begin_release()
        gevent.sleep(_SETTLE_SECONDS)
    assert reply is not None
    if reply.error is not None:
        raise reply.error


def _attempt_unread(address: str) -> None:
    """Read for a caller task that takes no part of the response."""
    updates: Mailbox[AttemptUpdate] = Mailbox()
    attempt = AttemptTask(
        1,
        CallerRequest('GET', '/', HeaderBlock(), is_http10=False),
        StartAttempt(
            Placement(target='i-1', address=address, service='bad'),
            _TIMEOUT,
            attempt_id='1',
            last_event_id='',
            detects_dead_target=False,
        ),
        codec=PlatformCodec(),
        connection=None,
        inbox=updates,
        clock=SystemClock(),
    )
    gevent.sleep(_SETTLE_SECONDS)
    attempt.stop()


READERS: Mapping[str, Callable[[str], None]] = MappingProxyType(
    {
        'a call of an agent': _read_events,
        'a load report': _read_report,
        'the store client': _read_store,
        'a question to a peer': _ask_peer,
        'an order': _order_memory,
        'an attempt whose caller reads nothing': _attempt_unread,
    }
)


def measure_kept_bytes(reader: str, address: str) -> int:
    """Let a reader call an address; return the most bytes that it kept.

    :param reader: name of the reader.
    :param address: IP address and port of the server.
    """
    tracemalloc.start()
    try:
        READERS[reader](address)
    except (TargetError, PlatformError):
        # The reader gave up.
        gevent.sleep(0)
    finally:
        _, peak_bytes = tracemalloc.get_traced_memory()
        tracemalloc.stop()
    return peak_bytes
