"""Dispatchers on a fake clock, which exchange hints."""

import random
from datetime import timedelta
from typing import Any

from buckthornpond_core._generated.serving import (
    AttemptReport,
    ConfigurationRead,
    DirectSettings,
    Placement,
    RequestMetadata,
    Route,
    TargetFound,
    TargetRecord,
)
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.serving.admissions import AdmittedRequest
from buckthornpond_core.serving.dispatcher import Dispatcher
from buckthornpond_platform.records import read_configuration
from buckthornpond_platform_standins.local_clusters import (
    API_KEY,
    HOST,
    make_config,
)
from buckthornpond_platform_standins.store import StoreStandIn

SHORT_TOKENS = 5000
ENGINE_SERVICE = 'llm'
PLAIN_SERVICE = 'app'
_UPTIME = timedelta(seconds=10)
# A full hint is sent after this time.
_FULL_HINT_INTERVAL = timedelta(seconds=1)
_REQUEST_NUMBERS = iter(range(1, 1_000_000))


class NullRecorder:
    """Discards all counters and events."""

    def count(self, name: str, reason: str) -> None:
        """Discard a counter."""

    def log(self, code: EventCode, **fields: object) -> None:
        """Discard an event."""


def make_dispatcher(
    number: int,
    seeds: list[str],
    targets: list[TargetRecord],
    now: timedelta,
    uptime: timedelta = _UPTIME,
) -> Dispatcher:
    """Return a dispatcher that knows the targets and has run for some time."""
    settings = DirectSettings(
        instance=f'entry-{number}',
        availability_zone='zone-a',
        listen_address='',
        administration_address='',
        source_address='store',
        exchange_address=f'entry-{number}:1',
        peer_addresses=seeds,
    )
    found = Dispatcher(settings, random.Random(number), NullRecorder())
    found.load_exchange.count_entries(now - uptime)
    found.apply(ConfigurationRead(_read_configuration(), 1), now)
    for target in targets:
        found.apply(TargetFound(target, 2), now)
    return found


def _read_configuration() -> Any:
    store = StoreStandIn()
    store.put('op/config', make_config(1))
    item = store._items['op/config']
    store.close()
    return read_configuration(_Item(item))


class _Item:
    def __init__(self, item: dict[str, Any]) -> None:
        self.key = item['key']
        self.value = item['value']


def make_admission(
    service: str = PLAIN_SERVICE, attempt_id: str = 'none'
) -> AdmittedRequest:
    """Return a request that the configuration allows."""
    metadata = RequestMetadata(
        attempt_id=attempt_id, host_name=HOST, method='POST', path='/'
    )
    route = Route(
        name=service,
        host_name=HOST,
        path_prefix='/',
        shares=[],
        is_stream=False,
        may_repeat=True,
        time_limit_ms=0,
        objective_ms=0,
    )
    return AdmittedRequest(metadata, route, None, service)


def start_dispatchers(
    context: Any, entries: int, targets: list[TargetRecord]
) -> None:
    """Start dispatchers that know the targets, and note what they place."""
    context.now = timedelta(seconds=100)
    context.records = targets
    context.dispatchers = [
        make_dispatcher(number, ['entry-0:1'], targets, context.now)
        for number in range(entries)
    ]
    context.placed = []


def make_targets(
    service: str, count: int, **changes: Any
) -> list[TargetRecord]:
    """Return records of targets; the changes concern the first one."""
    return [
        TargetRecord(
            name=f'target-{number}',
            service=service,
            address=f'10.0.0.{number}:80',
            availability_zone='zone-a',
            slots=8,
            started_ms=1,
            **(changes if number == 0 else {}),
        )
        for number in range(count)
    ]


def place(
    context: Any,
    tokens: int,
    number: int = 0,
    path: str = '/stream/1',
) -> tuple[AdmittedRequest, Placement]:
    """Place a request and return its admission and placement."""
    dispatcher = context.dispatchers[number]
    metadata = RequestMetadata(
        attempt_id=f'r-{next(_REQUEST_NUMBERS)}',
        host_name=HOST,
        method='POST',
        path=path,
        credential=API_KEY,
        prompt_tokens=tokens,
        output_tokens=100,
    )
    admission = dispatcher.admit(metadata, context.now)
    assert isinstance(admission, AdmittedRequest), admission
    found = dispatcher.place(admission, (), context.now, is_repeat=False)
    assert isinstance(found, Placement), found
    context.placed.append((admission, found))
    return admission, found


def end(context: Any, placed: Any, outcome: str, number: int = 0) -> None:
    """Report the end of an attempt."""
    admission, found = placed
    context.dispatchers[number].end_attempt(
        admission,
        found,
        AttemptReport(
            target=found.target, outcome=outcome, first_ms=10, load=None
        ),
        context.now,
    )


def send_hint(context: Any, source: int, *, is_full: bool = False) -> None:
    """Deliver a hint of one dispatcher to all others that it knows."""
    sender = context.dispatchers[source]
    if is_full:
        context.now += _FULL_HINT_INTERVAL
    hint = sender.load_exchange.make_hint(sender.fleet, context.now)
    for other in context.dispatchers:
        if other.load_exchange.address in sender.load_exchange.addresses:
            other.load_exchange.apply_hint(hint, other.fleet, context.now)


def count_peer_attempts(dispatcher: Dispatcher) -> int:
    return sum(
        len(attempts)
        for view in dispatcher.fleet
        for attempts in view.peer_attempts.values()
    )
