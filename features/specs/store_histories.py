"""Generated histories of a store, and an entry's follower that reads it.

The product's client talks to the stand-in without a network. Whenever it
calls, waits or sleeps, the next changes of the history happen.
"""

from datetime import timedelta
from typing import Any, TypeAlias
from unittest import mock

from gevent import GreenletExit
from hypothesis import strategies as st

from buckthornpond_core._generated.serving import DirectSettings
from buckthornpond_core.exceptions import TargetError
from buckthornpond_core.serving.fleet_follower import FleetChange, FleetFollower
from buckthornpond_platform import store as source_module
from buckthornpond_platform import store_client as client_module
from buckthornpond_platform.store import StoreSource
from buckthornpond_platform.store_client import StoreClient
from buckthornpond_platform_standins.local_clusters import (
    FixedRandom,
    make_config,
)
from buckthornpond_platform_standins.store import StoreStandIn, WaitingWatches
from buckthornpond_runtime.fetches import FetchedResponse, FetchLimits
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.responses import HttpResponse
from features.specs.dispatchers import NullRecorder

# Its kind, and its argument.
_Operation: TypeAlias = tuple[str, Any]
_CALL_TIME = timedelta(milliseconds=10)
# Longer than the grace period of targets whose records are missing.
_QUIET_TIME = timedelta(seconds=10)
_PAGE_SIZE = 3
_MAX_BATCHES = 12
_MAX_BATCH_SIZE = 4
_SERVER_NUMBERS = st.integers(0, 3)
_ZONES = ('zone-a', 'zone-b')
_OPERATION_STRATEGIES = (
    st.tuples(st.just('register'), _SERVER_NUMBERS),
    st.tuples(st.just('drain'), _SERVER_NUMBERS),
    st.tuples(st.just('remove'), _SERVER_NUMBERS),
    st.tuples(st.just('evacuate'), st.sampled_from(_ZONES)),
    st.tuples(st.just('end_evacuation'), st.sampled_from(_ZONES)),
    st.tuples(st.just('configure'), st.none()),
    st.tuples(st.just('count'), st.integers(1, 12)),
    st.tuples(st.just('compact'), st.none()),
    st.tuples(st.just('cut'), st.integers(1, 4)),
)
_RESTORE_STRATEGIES = (
    st.tuples(st.just('copy'), st.none()),
    st.tuples(st.just('restore'), st.sampled_from(WaitingWatches)),
    st.tuples(st.just('count_past'), st.none()),
)


def list_operations(*, has_restores: bool) -> Any:
    """Return a strategy for what happens at each step of a history.

    :param has_restores: whether the store may come back from a copy.
    """
    found = _OPERATION_STRATEGIES
    if has_restores:
        found = (*_RESTORE_STRATEGIES, *found)
    return st.lists(
        st.lists(st.one_of(*found), max_size=_MAX_BATCH_SIZE),
        max_size=_MAX_BATCHES,
    )


class ScriptedStore(StoreStandIn):
    """Store whose next changes happen while a watch waits.

    :param history: the history of the store.
    """

    def __init__(self, history: 'StoreHistory') -> None:
        super().__init__()
        self._history = history

    def _wait_for_change(self, timeout_seconds: float) -> None:
        revision = self.revision, self.era
        self._history.advance(_CALL_TIME)
        if revision == (self.revision, self.era):
            self._history.now += timedelta(seconds=timeout_seconds)


class ScriptedConnection:
    """Connection to the store of a history, without a network.

    :param history: the history of the store.
    :param address: address of the store.
    """

    __slots__ = ('_history', 'address')

    def __init__(self, history: 'StoreHistory', address: str) -> None:
        self._history = history
        self.address = address

    def connect(self, timeout: timedelta) -> None:
        """Do nothing; calls fail while the store is cut off."""

    def set_timeout(self, timeout: timedelta) -> None:
        """Do nothing; time is simulated."""

    def is_usable(self) -> bool:
        """Return whether the connection is open."""
        return True

    def close(self) -> None:
        """Do nothing; nothing is open."""

    def fetch(
        self, method: str, request: bytes, step: str, limits: FetchLimits
    ) -> FetchedResponse:
        """Return the response of the store.

        :raises TargetError: while the store is cut off.
        """
        self._history.advance(_CALL_TIME)
        self._history.check_reachable()
        target = request.split(b' ')[1].decode()
        response = HttpResponse(method)
        response.feed(self._history.store.render_response(target))
        self._history.check_reachable()
        content = response.take(response.buffered_bytes)
        return FetchedResponse(response, content)


class StoreHistory:
    """Store, the follower of it and the simulated time.

    :param batches: operations of each step.
    :param names_era: whether the store names its era.
    """

    def __init__(
        self, batches: list[list[_Operation]], *, names_era: bool
    ) -> None:
        self.now = timedelta(seconds=100)
        self.store = ScriptedStore(self)
        self.store.names_era = names_era
        self.store.page_size = _PAGE_SIZE
        self._batches = list(batches)
        self._ended_at: timedelta | None = None
        self._lost_call_count = 0
        self._highest_revision = 0
        self._decreased_count = 0
        self._version = 0
        self._address_count = 0
        settings = DirectSettings(
            instance='entry-0',
            availability_zone='zone-a',
            listen_address='',
            administration_address='',
            source_address='store',
        )
        self.follower = FleetFollower(settings, NullRecorder())
        self._configure()
        self._register(0)
        self._copy = self.store.take_copy()

    def run(self) -> None:
        """Follow the store until it has been quiet for some time."""
        source = StoreSource(StoreClient('store', Metrics()), FixedRandom())
        connect = mock.patch.object(
            client_module,
            'HttpConnection',
            lambda address: ScriptedConnection(self, address),
        )
        sleep = mock.patch.object(
            source_module, 'gevent', mock.Mock(sleep=self._sleep)
        )
        try:
            with connect, sleep:
                source.run(self)
        except GreenletExit:
            return

    def close(self) -> None:
        """Stop the store."""
        self.store.close()

    @property
    def differences(self) -> list[str]:
        """Return where the follower's state differs from the store's."""
        fleet = self.follower.fleet
        zones = {zone for zone in _ZONES if self._is_evacuated(zone)}
        draining = [
            view.record.name for view in fleet if view.record.is_draining
        ]
        states = (
            (
                'targets',
                {view.record.name: view.record.address for view in fleet},
                self._list_servers(),
            ),
            ('draining', set(draining), self._list_draining()),
            ('zones', fleet.evacuated_zones, zones),
            ('version', self.follower.version, self._version),
            ('decreased versions', self._decreased_count, 0),
        )
        return [
            f'{name}: {known} instead of {stored}'
            for name, known, stored in states
            if known != stored
        ]

    def offer(self, message: FleetChange) -> bool:
        """Apply a message of the source.

        :param message: the message.
        """
        self.send(message)
        return True

    def send(self, message: FleetChange) -> None:
        """Apply a message of the source.

        :param message: the message.
        """
        version = self.follower.version
        self.follower.apply(message, self.now)
        self._decreased_count += self.follower.version < version

    def advance(self, duration: timedelta) -> None:
        """Let time pass and the operations of the next step happen.

        :param duration: time that passes.
        :raises GreenletExit: when the store has been quiet for some time.
        """
        self.now += duration
        if self._batches:
            for kind, argument in self._batches.pop(0):
                self._operate(kind, argument)
            return
        if self._ended_at is None:
            self._ended_at = self.now
            self._lost_call_count = 0
            self._restore_configuration()
        if self.now - self._ended_at > _QUIET_TIME:
            raise GreenletExit

    def check_reachable(self) -> None:
        """Fail the call while the store is cut off.

        :raises TargetError: when this call is lost.
        """
        if self._lost_call_count:
            self._lost_call_count -= 1
            raise TargetError('cut', step='read', peer='store', is_sent=True)

    def _sleep(self, seconds: float) -> None:
        self.advance(timedelta(seconds=seconds))

    def _operate(self, kind: str, argument: Any) -> None:
        operations = {
            'register': self._register,
            'drain': self._drain,
            'remove': lambda number: self._delete(f'servers/s-{number}'),
            'evacuate': lambda zone: self.store.put(f'op/evacuate/{zone}', {}),
            'end_evacuation': lambda zone: self._delete(f'op/evacuate/{zone}'),
            'configure': lambda _: self._configure(),
            'count': self._count_changes,
            'count_past': lambda _: self._count_changes(
                self._highest_revision + 1 - self.store.revision
            ),
            'compact': lambda _: self.store.compact_history(),
            'cut': self._cut,
            'copy': lambda _: self._take_copy(),
            'restore': self._restore,
        }
        operations[kind](argument)

    def _cut(self, call_count: int) -> None:
        self._lost_call_count = max(self._lost_call_count, call_count)

    def _take_copy(self) -> None:
        self._copy = self.store.take_copy()

    def _drain(self, number: int) -> None:
        self._register(number, state='draining')

    def _count_changes(self, count: int) -> None:
        for _ in range(count):
            self.store.put('unrelated', {})

    def _restore(self, waiting_watches: WaitingWatches) -> None:
        self._highest_revision = max(
            self._highest_revision, self.store.revision
        )
        self.store.restore(self._copy, waiting_watches)
        if waiting_watches is WaitingWatches.cut:
            self._cut(1)

    def _configure(self) -> None:
        self._version += 1
        self._put_configuration()

    def _restore_configuration(self) -> None:
        """Write the newest configuration again if the store has lost it."""
        if self.store.read('op/config')['version'] < self._version:
            self._put_configuration()

    def _put_configuration(self) -> None:
        self.store.put('op/config', make_config(self._version))

    def _register(self, number: int, state: str = 'ready') -> None:
        self._address_count += 1
        record = {
            'service': 'app',
            'address': f'10.0.0.1:{self._address_count}',
            'zone': _ZONES[number % len(_ZONES)],
            'version': 'v1',
            'slots': 8,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 1,
            'born': 1,
        }
        self.store.put(f'servers/s-{number}', record)

    def _delete(self, key: str) -> None:
        if self.store.read(key) is not None:
            self.store.delete(key)

    def _is_evacuated(self, zone: str) -> bool:
        return self.store.read(f'op/evacuate/{zone}') is not None

    def _list_records(self) -> dict[str, Any]:
        names = [f's-{number}' for number in range(4)]
        found = {name: self.store.read(f'servers/{name}') for name in names}
        return {
            name: record for name, record in found.items() if record is not None
        }

    def _list_servers(self) -> dict[str, str]:
        return {
            name: record['address']
            for name, record in self._list_records().items()
        }

    def _list_draining(self) -> set[str]:
        return {
            name
            for name, record in self._list_records().items()
            if record['state'] == 'draining'
        }
