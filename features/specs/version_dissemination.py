"""Specification of the dissemination of versions without stored state.

A state consists of the newest published version and, for each process, its
version in force, the version that each peer last reported to it (-1 for
none), whether it is in the start-up hold, the version below which its last
restart must not revert it, and the highest version since that restart. The
service may serve any version up to the newest one.
"""

from collections.abc import Iterator
from copy import deepcopy
from datetime import timedelta
from typing import NamedTuple

from minicheck import Protocol, check_safety

from buckthornpond_core._generated.messages import (
    ConfigurationVersion,
    Document,
    DocumentName,
)
from buckthornpond_core.configuration.dissemination import (
    Dissemination,
    StartupHold,
)
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.configuration.readers import (
    ReaderLimits,
    ReadSchedule,
)
from buckthornpond_runtime.documents import DocumentExchange
from buckthornpond_standins.records import CountingRecorder

_PROCESS_COUNT = 3
_PROCESSES = range(_PROCESS_COUNT)
_MAX_VERSION = 2
_UNLIMITED_HOLD = timedelta(days=1)
_STEP_TIME = timedelta(seconds=3)


class Guards:
    """Guards of the protocol, which variants remove, and one fault.

    :param has_hold: whether a restarted process first collects its peers'
        versions.
    :param has_order: whether only a newer version is accepted.
    :param has_floor: whether versions below a peer's version are ignored.
    :param allows_early_release: whether the hold may end before any peer
        reports.
    """

    __slots__ = ('allows_early_release', 'has_floor', 'has_hold', 'has_order')

    def __init__(
        self,
        *,
        has_hold: bool = True,
        has_order: bool = True,
        has_floor: bool = True,
        allows_early_release: bool = False,
    ) -> None:
        self.has_hold = has_hold
        self.has_order = has_order
        self.has_floor = has_floor
        self.allows_early_release = allows_early_release


class State(NamedTuple):
    """One state of the specification."""

    newest: int = 1
    versions: tuple[int, ...] = (1,) * _PROCESS_COUNT
    reported: tuple[tuple[int, ...], ...] = (
        (-1,) * _PROCESS_COUNT,
    ) * _PROCESS_COUNT
    held: tuple[bool, ...] = (False,) * _PROCESS_COUNT
    owed: tuple[int, ...] = (0,) * _PROCESS_COUNT
    peaks: tuple[int, ...] = (1,) * _PROCESS_COUNT
    restarts: int = 0


def _replace_item(items, index, item):
    return (*items[:index], item, *items[index + 1 :])


def _list_peers(process):
    return [peer for peer in _PROCESSES if peer != process]


def take(state: State, process: int, version: int, guards: Guards) -> State:
    """Return the state after a process received a document."""
    floor = max(state.reported[process]) if guards.has_floor else 0
    is_newer = version > state.versions[process] or not guards.has_order
    if state.held[process] or version < floor or not is_newer:
        return state
    peak = max(version, state.peaks[process])
    return state._replace(
        versions=_replace_item(state.versions, process, version),
        peaks=_replace_item(state.peaks, process, peak),
    )


def report_version(
    state: State, process: int, peer: int, guards: Guards
) -> State:
    """Return the state after a peer reported its version to a process."""
    peer_versions = _replace_item(
        state.reported[process], peer, state.versions[peer]
    )
    reported_count = sum(version >= 0 for version in peer_versions)
    is_in_startup_hold = (
        state.held[process] and reported_count < _PROCESS_COUNT - 1
    )
    return state._replace(
        reported=_replace_item(state.reported, process, peer_versions),
        held=_replace_item(state.held, process, is_in_startup_hold),
    )


def restart(state: State, process: int, guards: Guards) -> State:
    """Return the state after a process restarted and lost its state."""
    highest_version = max(state.versions[peer] for peer in _list_peers(process))
    return state._replace(
        versions=_replace_item(state.versions, process, 0),
        reported=_replace_item(state.reported, process, (-1,) * _PROCESS_COUNT),
        held=_replace_item(state.held, process, guards.has_hold),
        owed=_replace_item(
            state.owed, process, min(state.versions[process], highest_version)
        ),
        peaks=_replace_item(state.peaks, process, 0),
        restarts=state.restarts + 1,
    )


def may_restart(state: State, process: int, max_restarts: int) -> bool:
    """Return whether earlier restarts are complete and one more is allowed."""
    return state.restarts < max_restarts and all(
        state.versions[peer] and not state.held[peer]
        for peer in _list_peers(process)
    )


def find_steps(
    state: State,
    guards: Guards,
    max_restarts: int,
) -> Iterator[tuple[str, State]]:
    """Yield the label of each possible step with the state after it."""
    if state.newest < _MAX_VERSION:
        yield 'publish', state._replace(newest=state.newest + 1)
    for process in _PROCESSES:
        for version in range(1, state.newest + 1):
            next_state = take(state, process, version, guards)
            yield f'read {process} {version}', next_state
        for peer in _list_peers(process):
            yield (
                f'tell {process} {peer}',
                report_version(state, process, peer, guards),
            )
            if state.versions[peer]:
                next_state = take(state, process, state.versions[peer], guards)
                yield f'fetch {process} {peer}', next_state
        if may_restart(state, process, max_restarts):
            yield f'restart {process}', restart(state, process, guards)
        if guards.allows_early_release and state.held[process]:
            held = _replace_item(state.held, process, False)
            yield f'release {process}', state._replace(held=held)


def check_specification(guards: Guards, max_restarts: int) -> dict:
    """Explore the specification exhaustively and return the report."""

    def expand(state):
        return [
            (label, tuple(next_state))
            for label, next_state in find_steps(
                State(*state), guards, max_restarts
            )
            if tuple(next_state) != state
        ]

    model = Protocol(
        name='spreading',
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=expand,
        invariants={
            'never falls in one life': lambda state: (
                state['versions'] == state['peaks']
            ),
            'never reverts by a restart': lambda state: all(
                version == 0 or version >= owed
                for version, owed in zip(
                    state['versions'],
                    state['owed'],
                    strict=True,
                )
            ),
        },
    )
    return check_safety(model, max_states=2_000_000)


class _NoReadPolicy:
    """Policy without reads; the steps deliver the documents."""

    interval: timedelta | None = None

    def find_interval(self, time_since_read: timedelta) -> timedelta | None:
        """Return no interval."""
        return self.interval


def make_exchange(hold_until: timedelta, peer_count: int) -> DocumentExchange:
    """Return the decision classes of one process."""
    configuration = Configuration()
    recorder = CountingRecorder()
    limits = ReaderLimits(
        poll_interval=timedelta(seconds=1),
        watch_timeout=timedelta(0),
        takeover_delay=timedelta(seconds=6),
        readers_per_zone=2,
    )
    return DocumentExchange(
        configuration=configuration,
        dissemination=Dissemination(
            configuration,
            StartupHold(hold_until, peer_count),
            recorder,
        ),
        schedule=ReadSchedule(
            _NoReadPolicy(),
            limits,
            configuration,
        ),
        metrics=recorder,
    )


def make_rules_document(version: int, note: str = '') -> Document:
    """Return rules whose content contains the note."""
    text = f'{{"version": {version}}} // {note}'
    return Document(
        name=DocumentName.rules,
        version=version,
        content=text.encode(),
    )


class RealSystem:
    """Decision classes of all processes, driven by the labels of steps."""

    def __init__(self) -> None:
        self.now = timedelta(0)
        self.exchanges = [make_exchange(timedelta(0), 0) for _ in _PROCESSES]
        for exchange in self.exchanges:
            exchange.take(make_rules_document(1), 'platform')

    def apply(self, label: str) -> None:
        """Apply a step of the specification to the decision classes."""
        self.now += _STEP_TIME
        kind, *numbers = label.split()
        arguments = [int(number) for number in numbers]
        if kind == 'restart':
            until = self.now + _UNLIMITED_HOLD
            self.exchanges[arguments[0]] = make_exchange(
                until, _PROCESS_COUNT - 1
            )
        elif kind == 'read':
            document = make_rules_document(arguments[1])
            self.exchanges[arguments[0]].take(document, 'platform')
        elif kind != 'publish':
            self._deliver(kind, *arguments)

    def read_versions(self) -> tuple[int, ...]:
        """Return the versions in force."""
        return tuple(
            exchange._configuration.stamps[DocumentName.rules].version
            for exchange in self.exchanges
        )

    def read_held(self) -> tuple[bool, ...]:
        """Return which processes are in the start-up hold."""
        return tuple(
            exchange._dissemination.is_in_startup_hold
            for exchange in self.exchanges
        )

    def _deliver(self, kind: str, process: int, peer: int) -> None:
        version = self.read_versions()[peer]
        if kind == 'fetch':
            document = make_rules_document(version)
            self.exchanges[process].take(document, str(peer))
            return
        reported = ConfigurationVersion(
            inventory_version=0, rules_version=version
        )
        requests = self.exchanges[process].record_peer_versions(
            str(peer), reported, timedelta(0)
        )
        for request in requests:
            assert version > self.read_versions()[process], request.message


def compare_with_classes(max_states: int, max_restarts: int) -> int:
    """Compare the decision classes with the specification, breadth first.

    :returns: the number of steps compared.
    """
    guards = Guards()
    visited = {State()}
    queue = [(State(), RealSystem())]
    compared_count = 0
    while queue and len(visited) < max_states:
        state, system = queue.pop(0)
        for label, next_state in find_steps(state, guards, max_restarts):
            next_system = deepcopy(system)
            next_system.apply(label)
            compared_count += 1
            assert next_system.read_versions() == next_state.versions, (
                state,
                label,
            )
            assert next_system.read_held() == next_state.held, (state, label)
            if next_state not in visited:
                visited.add(next_state)
                queue.append((next_state, next_system))
    return compared_count
