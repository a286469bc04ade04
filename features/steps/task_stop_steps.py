"""Steps that cancel the tasks of entries."""

import json
from collections.abc import Callable
from functools import partial
from types import MappingProxyType
from typing import Any

import eliot
import gevent
from behave import given, then, when
from gevent.event import Event
from gevent.socket import create_connection

from buckthornpond_core.exceptions import BuckthornpondError, StopError
from buckthornpond_platform_standins.listening import Listener, wait_until
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    READ_PATH,
    STREAM_PATH,
    find_free_port,
)
from buckthornpond_platform_standins.server_responses import Behaviour
from buckthornpond_platform_standins.store import StoreFault
from buckthornpond_runtime.tasks import Supervisor
from features.steps.direct_steps import LogLines, start_world

_CONNECT_SECONDS = 5
_READ_BYTES = 65_536
# Longer than connections, reads and requests take to reach their wait.
_SETTLE_SECONDS = 0.2
_LONG_SECONDS = 60.0
_FIELDS = f'Host: {HOST}\r\nAuthorization: Token {API_KEY}\r\n'
_VIEW_QUERY = b'GET /fleet?0 HTTP/1.1\r\nHost: entry\r\n\r\n'
_SENT: MappingProxyType[str, str] = MappingProxyType(
    {
        'nothing': '',
        'half a head': 'GET /fleet HTTP/1.1\r\nHost: ',
        'half a body': (
            f'POST /write/1 HTTP/1.1\r\n{_FIELDS}X-Attempt-Id: a1\r\n'
            'Content-Length: 9\r\n\r\nhalf'
        ),
        'a request that hangs': (
            f'GET {READ_PATH} HTTP/1.1\r\n{_FIELDS}X-Attempt-Id: a1\r\n\r\n'
        ),
        'a stream without end': (
            f'POST {STREAM_PATH} HTTP/1.1\r\n{_FIELDS}X-Attempt-Id: a1\r\n'
            'X-Token-Count: 100,40\r\nContent-Length: 0\r\n\r\n'
        ),
        'a request that is wrong': 'no request\r\n\r\n',
    }
)


def _wait_in_vain(release: Event) -> None:
    """Wait for an event, and once more when cancelled."""
    try:
        release.wait()
    finally:
        release.wait()


def _stop(context: Any, stop: Callable[[], None]) -> None:
    context.stop_error = None
    try:
        stop()
    except BuckthornpondError as error:
        context.stop_error = error


def _stop_entry(context: Any) -> None:
    entry = context.cluster.entries.pop()
    _stop(context, entry.stop_tasks)


def _hang(*_: object) -> bool:
    gevent.sleep(_LONG_SECONDS)
    return False


def _lose_store(context: Any, fault: StoreFault) -> None:
    context.cluster.store.trouble = fault
    context.cluster.store.drop_connections()


def _await_watch(context: Any) -> None:
    wait_until(lambda: context.cluster.store.waiting_count)


def _silence_store(context: Any) -> None:
    context.cluster.store.fall_silent()


def _slow_store(context: Any) -> None:
    store = context.cluster.store
    store.piece_bytes = 1
    store.put('unrelated', {})


_WAITS: MappingProxyType[str, Callable[[Any], None]] = MappingProxyType(
    {
        'a watch waits': _await_watch,
        'the store refuses every call': partial(
            _lose_store, fault=StoreFault.busy
        ),
        'the store resets every call': partial(
            _lose_store, fault=StoreFault.reset
        ),
        'the store answers nothing': partial(
            _lose_store, fault=StoreFault.silent
        ),
        'the store accepts nothing': _silence_store,
        'the store sends a reply slowly': _slow_store,
        # The store is lost, so the peer is asked for its view.
        'its peer answers nothing': partial(_lose_store, fault=StoreFault.busy),
    }
)


@given(
    'a supervisor with a task "{ending}" that ends and a task "{lasting}" '
    'that does not'
)
def start_tasks(context: Any, ending: str, lasting: str) -> None:
    """Start two tasks, one of which ignores that it is cancelled."""
    context.log_lines = LogLines()
    eliot.to_file(context.log_lines)
    release = Event()
    context.add_cleanup(release.set)
    context.supervisor = Supervisor()
    context.supervisor.start(ending, Event().wait)
    context.supervisor.start(lasting, partial(_wait_in_vain, release))
    gevent.sleep(0)


@given('an entry that shares its view with a peer')
def start_sharing(context: Any) -> None:
    """Start an entry before servers that hang, and a peer that hangs."""
    context.peer = Listener(_hang)
    context.add_cleanup(context.peer.close)
    address = f'127.0.0.1:{find_free_port()}'
    cluster = start_world(
        context,
        1,
        1,
        exchange_address=address,
        peer_addresses=[context.peer.address],
    )
    for server in cluster.servers:
        server.default_behaviour = Behaviour.hang
        if server.service == 'llm':
            server.default_behaviour = Behaviour.drip
    settings = cluster.settings[0]
    context.listeners = {
        'administration': settings.administration_address,
        'exchange': address,
        'caller': settings.listen_address,
    }


@given('a connection to its {listener:w} address has sent {sent}')
def connect(context: Any, listener: str, sent: str) -> None:
    """Open a connection and send what does not end a request, or a request."""
    host, port = context.listeners[listener].rsplit(':', 1)
    context.connection = create_connection((host, int(port)), _CONNECT_SECONDS)
    context.add_cleanup(context.connection.close)
    context.connection.sendall(_SENT[sent].encode())
    gevent.sleep(_SETTLE_SECONDS)


@when('the supervisor stops its tasks')
def stop_supervisor(context: Any) -> None:
    """Cancel the tasks."""
    _stop(context, context.supervisor.stop)


@when('the tasks of the entry are cancelled')
def cancel_tasks(context: Any) -> None:
    """Cancel the tasks."""
    _stop_entry(context)


@when(
    'the peer asks for its view just before the tasks of the entry are '
    'cancelled'
)
def ask_and_cancel(context: Any) -> None:
    """Send a query that the entry reads once its dispatch task has ended."""
    context.connection.sendall(_VIEW_QUERY)
    _stop_entry(context)


@when('the tasks of the entry are cancelled while {what}')
def cancel_while(context: Any, what: str) -> None:
    """Cancel the tasks in the middle of a call."""
    _WAITS[what](context)
    if what == 'its peer answers nothing':
        wait_until(lambda: context.peer.connection_count)
    gevent.sleep(_SETTLE_SECONDS)
    _stop_entry(context)


@then('the stop fails with an error that names "{name}" only')
def check_error(context: Any, name: str) -> None:
    """Check type and text of the error."""
    assert isinstance(context.stop_error, StopError), context.stop_error
    assert context.stop_error.peer == name, context.stop_error


@then('the log names "{name}" only, and the call in which it waits')
def check_log(context: Any, name: str) -> None:
    """Check the log lines about tasks that have not ended."""
    lines = list(map(json.loads, b''.join(context.log_lines).splitlines()))
    found = [line for line in lines if line['event'] == 'task_not_ended']
    assert [line['task'] for line in found] == [name], lines
    assert found[0]['calls'][-1].endswith(' _wait_in_vain'), found


@then('all tasks of the entry have ended')
def check_ended(context: Any) -> None:
    """Check that the entry names no task that still runs."""
    assert context.stop_error is None, context.stop_error


@then('the connection is closed')
def check_closed(context: Any) -> None:
    """Read until the end of the connection."""
    context.connection.settimeout(_CONNECT_SECONDS)
    try:
        while context.connection.recv(_READ_BYTES):
            gevent.sleep(0)
    except ConnectionResetError:
        # Closed while it held unread bytes.
        return
