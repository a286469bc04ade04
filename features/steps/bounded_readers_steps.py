"""Steps for what each reader keeps of bytes that do not end."""

from datetime import timedelta
from http import HTTPStatus
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_core._generated.serving import Placement, ResponseMetadata
from buckthornpond_core.serving.attempt_failures import RESPONSE_BUDGET_FULL
from buckthornpond_core.serving.effects import (
    ExchangeEffect,
    ResponseHead,
    SendResponse,
)
from buckthornpond_core.serving.exchange import RequestExchange
from buckthornpond_core.serving.messages import (
    AttemptBody,
    AttemptCompleted,
    AttemptHead,
)
from buckthornpond_platform_standins.endless import (
    EndlessPace,
    EndlessPart,
    EndlessServer,
)
from buckthornpond_platform_standins.listening import wait_until
from features.specs.counts import only, report
from features.specs.endless_callers import send_endless_requests
from features.specs.long_responses import LongResponseServer
from features.specs.measured_readers import measure_kept_bytes
from features.specs.observed_entries import observe
from features.specs.process_worlds import ProcessWorld
from features.steps.separate_attempts_steps import make_admission

_KIBIBYTE = 1024
# Far beyond the time limits of all readers; a reader that never ends fails.
_GIVE_UP_SECONDS = 15
_NOW = timedelta(seconds=1)


@given('a server that sends {part} without end')
def start_server(context: Any, part: str) -> None:
    """Start a server that sends as fast as it can."""
    context.fleet = ProcessWorld()
    context.server = EndlessServer(EndlessPart(part))
    context.fleet.peers.append(context.server)


@given('a server that slowly sends {part} without end')
def start_slow_server(context: Any, part: str) -> None:
    """Start a server that sends a byte now and then."""
    start_server(context, part)
    context.server.pace = EndlessPace.slow


@when('{reader} reads from it')
def read_endless(context: Any, reader: str) -> None:
    """Let a reader of this process read until it gives up."""
    endless = AssertionError('the reader does not give up')
    with gevent.Timeout(_GIVE_UP_SECONDS, endless):
        context.kept_bytes = measure_kept_bytes(reader, context.server.address)
    report(f'kept {context.kept_bytes / _KIBIBYTE:.0f} KiB')


@then('it gives up and has kept at most {kibibytes:d} KiB')
def check_kept(context: Any, kibibytes: int) -> None:
    """Compare the most memory of the reader with its bound."""
    assert context.kept_bytes <= kibibytes * _KIBIBYTE, context.kept_bytes


@given('they first send {kibibytes:d} KiB of it at once')
def set_burst(context: Any, kibibytes: int) -> None:
    """Let the servers of the faulty service come close to a limit."""
    context.faulty_server.burst_bytes = kibibytes * _KIBIBYTE


@when(
    '{count:d} callers send {kibibytes:d} KiB of {part} at once and go on'
    ' slowly while others are served'
)
def send_bursts(context: Any, count: int, kibibytes: int, part: str) -> None:
    """Send requests that come close to a limit and do not end."""

    def act() -> None:
        context.caller_records = send_endless_requests(
            context.process.address,
            count,
            part,
            EndlessPace.slow,
            kibibytes * _KIBIBYTE,
        )

    observe(context, act)


@then('the memory of the entry grew by at most {mebibytes:d} MiB')
def check_growth(context: Any, mebibytes: int) -> None:
    """Compare the peak of the memory with its bound."""
    assert context.grown_mebibytes <= mebibytes, context.grown_mebibytes


@given('an app server whose responses have {kibibytes:d} KiB')
def start_long_server(context: Any, kibibytes: int) -> None:
    """Register the only server that answers the reads of the others."""
    cluster = context.cluster
    server = LongResponseServer(kibibytes * _KIBIBYTE)
    cluster.peers.append(server)
    record = {**cluster.servers[0].entry(), 'service': 'app'}
    cluster.store.put('servers/i-long', {**record, 'address': server.address})
    wait_until(lambda: '"i-long"' in context.process.read_log())


def _receive_whole(
    exchange: RequestExchange, status: HTTPStatus, body: bytes
) -> list[ExchangeEffect]:
    """Let the running attempt get a whole response."""
    metadata = ResponseMetadata(
        status.value,
        load=None,
        statement=None,
        attempt_id=exchange.admission.metadata.attempt_id,
        is_signed=True,
    )
    effects: list[ExchangeEffect] = []
    for message in (
        AttemptHead(ResponseHead(metadata, [])),
        AttemptBody(body),
        AttemptCompleted(),
    ):
        effects.extend(exchange.handle_attempt_message(message, _NOW))
    return effects


@given(
    'a request whose first attempt got an error of {kibibytes:d} KiB and whose'
    ' second runs'
)
def fail_first(context: Any, kibibytes: int) -> None:
    """Start an attempt after a failed one."""
    exchange = RequestExchange(make_admission(), _NOW)
    context.exchange = exchange
    exchange.start()
    first = Placement(target='t-1', address='10.0.0.1:80', service='llm')
    second = Placement(target='t-2', address='10.0.0.2:80', service='llm')
    exchange.handle_placement(first, _NOW)
    body = bytes(kibibytes * _KIBIBYTE)
    _receive_whole(exchange, HTTPStatus.INTERNAL_SERVER_ERROR, body)
    exchange.handle_placement(second, _NOW)


@when('the memory for responses is exhausted')
def exhaust_memory(context: Any) -> None:
    """Tell the request to give up the largest response that it holds."""
    context.exchange.handle_attempt_message(RESPONSE_BUDGET_FULL, _NOW)


@then('it holds {kibibytes:d} KiB')
def check_held(context: Any, kibibytes: int) -> None:
    """Compare what the request says that it holds."""
    held_bytes = context.exchange.buffered_bytes
    assert held_bytes == kibibytes * _KIBIBYTE, held_bytes


@then('a response to the second attempt is sent to the caller')
def check_sent(context: Any) -> None:
    """Check that the second attempt went on."""
    effects = _receive_whole(context.exchange, HTTPStatus.NOT_FOUND, b'none')
    sent = [each for each in effects if isinstance(each, SendResponse)]
    assert only(sent).body == b'none'
