"""Steps for requests that reach an entry late in its planned stop."""

import signal
import time
from datetime import timedelta
from types import MappingProxyType
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_core.serving.planned_stops import PlannedStop
from buckthornpond_platform_standins.clients import Client, ClientResponse
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    READ_PATH,
    STREAM_PATH,
    make_route,
)
from buckthornpond_platform_standins.processes import EntryProcess
from features.specs.process_worlds import ProcessWorld

_MS = timedelta(milliseconds=1)
_SIGNALLED_AT = timedelta(seconds=100)
_TIMEOUT_MS = 20_000
_REQUEST_INTERVAL_SECONDS = 0.01
_EVENT_COUNT = 100
_EVENT_INTERVAL_SECONDS = 0.2
_PAUSE_SECONDS = (1.9, 3.2)
_SHORT_READ_SECONDS = (2.8, 3.5, 4.5, 5.5)
_FIELDS_BY_PATH = MappingProxyType(
    {
        READ_PATH: {'X-Deadline-Ms': '1000'},
        STREAM_PATH: {
            'X-Deadline-Ms': f'{_TIMEOUT_MS}',
            'X-Token-Count': '100,40',
        },
    }
)


class LateRequest:
    """Request of a client during a planned stop.

    :param client: the client, whose connection is open.
    """

    def __init__(self, client: Client) -> None:
        self.client = client
        self.response = ClientResponse('')
        self.sent_seconds = 0.0

    def run(self, due: float, signalled_at: float, path: str) -> None:
        """Send the request when it is due, and read the response.

        :param due: time of sending in seconds after the signal.
        :param signalled_at: time of the signal.
        :param path: path of the request.
        """
        gevent.sleep(max(signalled_at + due - time.monotonic(), 0))
        method = 'GET' if path == READ_PATH else 'POST'
        fields = _FIELDS_BY_PATH[path]
        self.sent_seconds = time.monotonic() - signalled_at
        self.response = self.client.send(method, path, **fields)
        self.client.receive(self.response, method)


@given(
    'an entry process whose grace period is {grace:d} seconds and whose '
    'streams last longer'
)
def start_process(context: Any, grace: int) -> None:
    """Start an entry process before two servers of each service."""
    cluster = ProcessWorld()
    context.cluster = cluster
    context.fleet = cluster
    for service in ('app', 'app', 'llm', 'llm'):
        server = cluster.add_server(service)
        server.event_count = _EVENT_COUNT
        server.event_interval_seconds = _EVENT_INTERVAL_SECONDS
    routes = [
        make_route('read', 'idempotent', 'app'),
        make_route('stream', 'streaming', 'llm', timeoutMs=_TIMEOUT_MS),
    ]
    cluster.configure(
        routes=routes,
        limits={'headerTimeoutMs': 3000, 'idleTimeoutMs': _TIMEOUT_MS},
    )
    cluster.process = EntryProcess(cluster.store.address)
    cluster.process.settings['bounds']['graceS'] = grace
    context.process = cluster.process
    cluster.process.start()


@when(
    'it is stopped, and streams are requested each 10 ms from {first:f} to '
    '{last:f} seconds after the signal'
)
def stop_and_send(context: Any, first: float, last: float) -> None:
    """Send SIGTERM and then requests on open connections."""
    _open_connections(context, first, last)
    _stop(context)
    _send_all(context, first, STREAM_PATH)


@when(
    'it is stopped and paused, and streams are requested each 10 ms from '
    '{first:f} to {last:f} seconds after the signal'
)
def pause_and_send(context: Any, first: float, last: float) -> None:
    """Pause the process while the requests arrive at its sockets."""
    _open_connections(context, first, last)
    _stop(context)
    numbers = (signal.SIGSTOP, signal.SIGCONT)
    for seconds, number in zip(_PAUSE_SECONDS, numbers, strict=True):
        gevent.spawn_later(seconds, context.process.send_signal, number)
    _send_all(context, first, STREAM_PATH)


@when(
    'it is stopped, and short requests come on open connections while a '
    'stream goes on'
)
def send_short(context: Any) -> None:
    """Send reads with a short deadline after the notice."""
    stream = LateRequest(_connect(context))
    context.requests = [LateRequest(_connect(context)) for _ in range(4)]
    _stop(context)
    gevent.spawn(stream.run, 0, context.signalled_at, STREAM_PATH)
    jobs = [
        gevent.spawn(each.run, due, context.signalled_at, READ_PATH)
        for each, due in zip(context.requests, _SHORT_READ_SECONDS, strict=True)
    ]
    gevent.joinall(jobs, raise_error=True)


def _connect(context: Any) -> Client:
    client = Client(context.process.address, HOST, API_KEY)
    assert client.fetch('GET', READ_PATH).status == 200
    return client


def _open_connections(context: Any, first: float, last: float) -> None:
    count = round((last - first) / _REQUEST_INTERVAL_SECONDS)
    context.requests = [LateRequest(_connect(context)) for _ in range(count)]


def _stop(context: Any) -> None:
    context.signalled_at = time.monotonic()
    context.process.send_signal(signal.SIGTERM)


def _send_all(context: Any, first: float, path: str) -> None:
    jobs = [
        gevent.spawn(
            each.run,
            first + number * _REQUEST_INTERVAL_SECONDS,
            context.signalled_at,
            path,
        )
        for number, each in enumerate(context.requests)
    ]
    gevent.joinall(jobs, raise_error=True)


@then(
    'each of those sent later than {seconds:f} seconds after the signal is '
    'refused, and no server gets it'
)
def check_refused(context: Any, seconds: float) -> None:
    """Compare what the clients got with what the servers received."""
    received = {
        each.fields['x-attempt-id']
        for server in context.cluster.servers
        for each in server.received
    }
    late = [each for each in context.requests if each.sent_seconds > seconds]
    assert late
    found = [
        (round(each.sent_seconds, 3), each.response.status)
        for each in late
        if each.response.reason != 'entry_stopping'
        or each.response.attempt_id in received
    ]
    assert not found, found


@then('all of these are served')
def check_served(context: Any) -> None:
    """Check the status of each response."""
    statuses = [each.response.status for each in context.requests]
    assert set(statuses) == {200}, statuses


@given('a planned stop with a grace period of {grace:d} ms')
def plan_stop(context: Any, grace: int) -> None:
    """Make the schedule of the stop."""
    context.grace = grace * _MS
    context.stop = PlannedStop(_SIGNALLED_AT, context.grace)


@then(
    'it takes no request that may outlast it later than {notice:d} ms after '
    'its signal'
)
def check_accepted(context: Any, notice: int) -> None:
    """Ask for each millisecond, with deadlines on both sides of the end."""
    stop = context.stop
    for since in range(context.grace // _MS):
        now = _SIGNALLED_AT + since * _MS
        assert stop.accepts(stop.ends_at + _MS, now) is (since < notice), since
        assert stop.accepts(stop.ends_at, now), since


@then(
    'it ends requests in the last sixth of the grace period, and gives their '
    'callers time before its end'
)
def check_end(context: Any) -> None:
    """Compare the times of the schedule."""
    stop = context.stop
    end = _SIGNALLED_AT + context.grace
    assert stop.ends_at >= end - context.grace / 6
    assert stop.ends_at + stop.final_answer_time < end
