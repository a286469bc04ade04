"""Steps for reservations of memory at other engines."""

import json
import time
from collections import Counter
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import STREAM_PATH
from buckthornpond_platform_standins.servers import ServerStandIn

_MEMORY_TOKENS = 450_000
_OUTPUT_TOKENS = 40
_LEASE_MS = 1900
_MAX_STREAM_COUNT = 40
_ORDER_FAULTS = {'refuses orders': 409, 'breaks off each order': 0}


def _engines(context: Any) -> list[ServerStandIn]:
    return [
        server for server in context.cluster.servers if server.service == 'llm'
    ]


def _orders(context: Any) -> list[dict[str, Any]]:
    return [order for server in _engines(context) for order in server.orders]


@given('llm servers write an event each {seconds:f} seconds')
def slow_events(context: Any, seconds: float) -> None:
    """Slow the event streams down."""
    for server in _engines(context):
        server.event_interval_seconds = seconds


@given('llm servers send {count:d} events of {size:d} KB')
def send_large_events(context: Any, count: int, size: int) -> None:
    """Make streams longer than what connections hold."""
    for server in _engines(context):
        server.event_count = count
        server.event_padding = 'a' * size * 1024


@given('llm servers refuse orders')
def refuse_orders(context: Any) -> None:
    """Make every engine refuse reservations."""
    for server in _engines(context):
        server.order_status = 409


@given('an llm server that {fault}')
def break_orders(context: Any, fault: str) -> None:
    """Make reservations fail at one engine."""
    context.faulty = _engines(context)[0]
    context.faulty.order_status = _ORDER_FAULTS[fault]


@when(
    'a caller streams prompts of {tokens:d} tokens until that server received '
    'an order'
)
def stream_until_asked(context: Any, tokens: int) -> None:
    """Send streams until the faulty engine is chosen to reserve memory."""
    for _ in range(_MAX_STREAM_COUNT):
        stream_long_prompt(context, tokens)
        if context.faulty.orders:
            return
    raise AssertionError('the faulty engine received no order')


@when('a caller streams a prompt of {tokens:d} tokens')
def stream_long_prompt(context: Any, tokens: int) -> None:
    """Request a stream with a long prompt."""
    client = context.cluster.connect()
    count = f'{tokens - _OUTPUT_TOKENS},{_OUTPUT_TOKENS}'
    context.answers.append(
        client.fetch('POST', STREAM_PATH, X_Token_Count=count),
    )


@when('a caller streams a prompt of {tokens:d} tokens and disconnects')
@when(
    'a caller streams a prompt of {tokens:d} tokens and disconnects {seconds:f} '
    'seconds later'
)
def stream_and_leave(context: Any, tokens: int, seconds: float = 0) -> None:
    """Close the connection once an engine runs the request."""
    client = context.cluster.connect()
    client.send('POST', STREAM_PATH, X_Token_Count=f'{tokens},40')
    wait_until(lambda: any(each.run_counts for each in _engines(context)))
    assert any(each.held_tokens for each in _engines(context))
    gevent.sleep(seconds)
    client.connection.close()


@when('a caller streams a prompt of {tokens:d} tokens and the entry is killed')
def stream_and_die(context: Any, tokens: int) -> None:
    """Kill every task of the entry, so that it sends no releases."""
    client = context.cluster.connect()
    client.send('POST', STREAM_PATH, X_Token_Count=f'{tokens},40')
    wait_until(lambda: any(each.run_counts for each in _engines(context)))
    for greenlet in context.cluster.find_entry_greenlets():
        greenlet.kill(block=False)
    gevent.sleep(0)
    assert any(each.held_tokens for each in _engines(context))


@when(
    'a caller streams a prompt of {tokens:d} tokens whose engine falls silent '
    'while it runs the request'
)
def silence_running_engine(context: Any, tokens: int) -> None:
    """Silence the engine that runs the request, which closes nothing."""
    engine = _run_long_prompt(context, tokens)
    engine.fall_silent()
    _record_reserved(context)


@when(
    'a caller streams a prompt of {tokens:d} tokens whose engine falls silent '
    'before the request reaches it'
)
def silence_chosen_engine(context: Any, tokens: int) -> None:
    """Silence all engines but the holders of memory, with connections open."""
    for engine in _engines(context):
        engine.behaviours.clear()
    _open_connections(context)
    context.client = context.cluster.connect()
    context.client.send('POST', STREAM_PATH, X_Token_Count=f'{tokens},40')
    wait_until(lambda: _orders(context))
    for engine in _engines(context):
        if not engine.orders:
            engine.fall_silent()
    wait_until(lambda: any(each.held_tokens for each in _engines(context)))
    _record_reserved(context)


@when(
    'a caller streams a prompt of {tokens:d} tokens, reads nothing, and its '
    'engine cuts it off'
)
def close_unread_stream(context: Any, tokens: int) -> None:
    """Reset the engine's connections once it cannot write any more."""
    engine = _run_long_prompt(context, tokens)
    _wait_until_blocked(engine)
    _record_reserved(context)
    engine.reset_connections()


def _run_long_prompt(context: Any, tokens: int) -> ServerStandIn:
    """Send a stream without reading it and return the engine that runs it."""
    context.client = context.cluster.connect()
    connection = context.client.connection
    response = context.client.send(
        'POST', STREAM_PATH, X_Token_Count=f'{tokens},40'
    )
    engines = _engines(context)
    wait_until(
        lambda: (
            any(each.run_counts for each in engines) or connection.has_input()
        ),
    )
    running = [each for each in engines if each.run_counts]
    if not running:
        context.client.receive(response, 'POST')
    assert running, (response.status, response.body)
    return running[0]


def _wait_until_blocked(engine: ServerStandIn) -> None:
    written_bytes = -1
    while written_bytes < engine.streamed_bytes:
        written_bytes = engine.streamed_bytes
        gevent.sleep(0.5)


def _open_connections(context: Any) -> None:
    """Leave an idle connection of the entry to each engine."""
    engines = _engines(context)
    for engine in engines:
        engine.delay_seconds = 0.2
    clients = [context.cluster.connect() for _ in range(8)]
    responses = [
        client.send('POST', STREAM_PATH, X_Token_Count='30000,40')
        for client in clients
    ]
    for client, response in zip(clients, responses, strict=True):
        client.receive(response, 'POST')
    assert all(each.connection_count for each in engines)
    for engine in engines:
        engine.delay_seconds = 0
        engine.run_counts.clear()


def _record_reserved(context: Any) -> None:
    context.reserved = _list_tickets(context)
    context.reserved_at_seconds = time.monotonic()
    assert context.reserved


@then('the memory set aside for it is released within {count:d} renewals')
def check_released_after_silence(context: Any, count: int) -> None:
    """Count the renewals until the engines got the releases.

    They are due each half second, plus the time of an answer. A pause of this
    process holds up the renewals as well as the releases.
    """
    wait_until(
        lambda: not _list_reserved(context) or _count_renewals(context) > count
    )
    gevent.sleep(0.2)
    context.client.connection.close()
    assert not _list_reserved(context), _list_reserved(context)
    assert _count_renewals(context) <= count, _count_renewals(context)


def _list_reserved(context: Any) -> set[tuple[str, str]]:
    """Return the reservations of the attempt that were not released."""
    return context.reserved & _list_tickets(context)


def _list_tickets(context: Any) -> set[tuple[str, str]]:
    return {
        (engine.name, ticket)
        for engine in _engines(context)
        for ticket in engine.tickets
    }


def _count_renewals(context: Any) -> int:
    """Return how often the lease renewed most often was renewed since then."""
    names = {ticket for _, ticket in context.reserved}
    renewals = Counter(
        order['id']
        for order in _orders(context)
        if order['op'] == 'reserve'
        and order['id'] in names
        and order['at_seconds'] > context.reserved_at_seconds
    )
    return max(renewals.values(), default=0)


@then('the log says how long its engine had been silent')
def check_release_log(context: Any) -> None:
    """Find the release in the log."""
    lines = b''.join(context.log_lines).splitlines()
    events = [json.loads(line) for line in lines]
    released = [
        each for each in events if each.get('event') == 'memory_released'
    ]
    assert any(each['silence_ms'] > 1000 for each in released), released


@then(
    'memory was reserved before the request came, which names the reservation',
)
def check_reserved(context: Any) -> None:
    """Compare the reservations with the request that ran."""
    received = next(
        server.received[0] for server in _engines(context) if server.received
    )
    reserved = [each for each in _orders(context) if each['op'] == 'reserve']
    assert reserved
    for order in reserved[:1]:
        assert order['at_seconds'] < received.at_seconds
        assert f'/{order["id"]}' in received.fields['x-helpers']


@then("the reservations and the engine's own memory hold {tokens:d} tokens")
def check_reserved_tokens(context: Any, tokens: int) -> None:
    """Compare the sum of the reservations with the prompt."""
    reserved = {
        order['id']: order['tokens']
        for order in _orders(context)
        if order['op'] == 'reserve'
    }
    assert max(reserved.values()) <= _MEMORY_TOKENS
    rest = tokens - sum(reserved.values())
    assert rest <= _MEMORY_TOKENS, (reserved, rest)


@then('each caller has events 1 to 4 once each, and the end')
def check_all_streams(context: Any) -> None:
    """Check every response."""
    for response in context.answers:
        assert response.status == 200, response.status
        assert not response.error, response.error
        assert response.is_stream_of(1, 4), response.body


@then('no other engine was paused')
def check_pauses(context: Any) -> None:
    """Check the health of the other engines as the entry sees it."""
    entry = context.cluster.entries[0]
    now = context.cluster.clock.monotonic()
    for view in entry.dispatcher.fleet:
        if view.record.name != context.faulty.name:
            assert not view.health.is_paused(now), view.record.name
            assert not view.is_cold(now), view.record.name


@then('no memory stays reserved')
def check_all_released(context: Any) -> None:
    """Wait for the releases."""
    wait_until(lambda: not any(each.held_tokens for each in _engines(context)))
    gevent.sleep(0.1)
    assert not any(each.held_tokens for each in _engines(context))


@then('no memory is reserved after {seconds:d} seconds')
def check_leases_expired(context: Any, seconds: int) -> None:
    """Check that leases expire without a release."""
    gevent.sleep(seconds)
    assert not any(each.held_tokens for each in _engines(context))


@then('no order was sent')
def check_no_order(context: Any) -> None:
    """Check that no engine received an order."""
    assert not _orders(context)


@then('each reservation was renewed in time')
def check_renewed(context: Any) -> None:
    """Check the intervals between renewals of each lease."""
    times: dict[str, list[float]] = {}
    for order in _orders(context):
        if order['op'] == 'reserve':
            times.setdefault(order['id'], []).append(order['at_seconds'])
            assert order['holdMs'] < 2000
    for found in times.values():
        gaps = [
            later - earlier
            for earlier, later in zip(found, found[1:], strict=False)
        ]
        assert len(found) >= 3, found
        assert max(gaps) * 1000 < _LEASE_MS, gaps


@then('no request ran more than {count:d} times')
def check_run_count(context: Any, count: int) -> None:
    """Compare the run count of each request."""
    for server in _engines(context):
        assert max(server.run_counts.values(), default=0) <= count


@given('llm servers answer orders after {seconds:f} seconds')
def slow_orders(context: Any, seconds: float) -> None:
    """Delay responses, so that a renewal is in flight most of the time."""
    for server in _engines(context):
        server.order_delay_seconds = seconds


@then('each reservation is released within {seconds:f} seconds')
def check_released(context: Any, seconds: float) -> None:
    """Wait for a release of each reservation."""
    wait_until(lambda: _list_unreleased(context) == set(), seconds)


def _list_unreleased(context: Any) -> set[str]:
    orders = _orders(context)
    assert orders
    released = {each['id'] for each in orders if each['op'] == 'release'}
    return {each['id'] for each in orders} - released
