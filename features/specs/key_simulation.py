"""Real homes of keys, driven by the steps of the specification."""

import copy
import random
from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any

from buckthornpond_core._generated.inventory import (
    FormerInstance,
    Instance,
    Inventory,
    Service,
    Target,
    TargetKind,
)
from buckthornpond_core._generated.messages import (
    FenceKey,
    FenceReply,
    KeyState,
)
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.keys.claims import (
    KeyClaim,
    RefuseKey,
    RequestFences,
    RunKey,
)
from buckthornpond_core.keys.fencing_home import FencingKeyHome, KeyLimits
from buckthornpond_core.keys.key_clock import KeyClock
from buckthornpond_core.routing.placement import join_key, rank_homes
from features.specs.key_specification import (
    ASK,
    ASKING,
    ATTEMPT,
    BARRED,
    CLAIMED,
    FREE,
    RAN,
    REPLY,
    KeySpecification,
    State,
    Step,
    find_home_index,
)

NAMES = ('plain-a', 'plain-b')
ADDRESSES = ('127.0.0.1:1001', '127.0.0.1:1002')
RETRY_WINDOW = timedelta(hours=1)
CLOCK_SKEW = timedelta(seconds=10)
RETENTION = RETRY_WINDOW + 2 * CLOCK_SKEW
FENCE_TIMEOUT = timedelta(seconds=1)
WALL_START = datetime(2026, 1, 1, tzinfo=UTC)
STEP_TIME = timedelta(milliseconds=1)
MILLISECOND = timedelta(milliseconds=1)
SPECIFIED_STATES = {
    KeyState.running: CLAIMED,
    KeyState.done: RAN,
    KeyState.fenced: BARRED,
    KeyState.unknown: 'unknown',
}
KEY_STATES = {label: state for state, label in SPECIFIED_STATES.items()}


def make_service(names: list[str]) -> Service:
    """Return the service under test on some instances."""
    return Service(
        name='lots',
        kind=TargetKind.plain,
        instances=names,
        retry_window_ms=RETRY_WINDOW // MILLISECOND,
        clock_skew_ms=CLOCK_SKEW // MILLISECOND,
        settle_ms=10**12,
    )


def make_inventory(version: int) -> Inventory:
    """Return the inventory of a version: home 0 serves the even ones."""
    serving = list(NAMES) if find_home_index(version) == 0 else [NAMES[1]]
    former = [] if find_home_index(version) == 0 or version == 1 else [NAMES[0]]
    return Inventory(
        version=version,
        availability_zones=['zone-0'],
        instances=[
            Instance(
                name=name,
                availability_zone='zone-0',
                agent_address=address,
                target=Target(address='127.0.0.1:1'),
            )
            for name, address in zip(NAMES, ADDRESSES, strict=True)
        ],
        services=[make_service(serving)],
        organisations=[],
        former_instances=[
            FormerInstance(
                name=name,
                agent_address=ADDRESSES[0],
                services=['lots'],
            )
            for name in former
        ],
    )


def find_key() -> str:
    """Return a key whose home is the first instance when both serve."""
    for number in range(1000):
        key = f'key-{number}'
        if rank_homes(join_key('lots', 'gate', key), NAMES)[0] == NAMES[0]:
            return key
    raise AssertionError('no such key')


KEY = find_key()
INVENTORIES = {version: make_inventory(version) for version in range(1, 6)}


def make_copy_memo() -> dict[int, Any]:
    """Return a memo by which deep copies share the inventories."""
    shared: dict[int, Any] = {}
    for inventory in INVENTORIES.values():
        for each in (inventory, *inventory.instances, *inventory.services):
            shared[id(each)] = each
    return shared


COPY_MEMO = make_copy_memo()


class HomeDriver:
    """Driver of one real home with its own clock."""

    def __init__(self, index: int, version: int, now: timedelta) -> None:
        self.index = index
        self.now = now
        self.configuration = Configuration()
        self.home = FencingKeyHome(
            instance=NAMES[index],
            configuration=self.configuration,
            key_clock=KeyClock(now, WALL_START + now),
            limits=KeyLimits(
                fence_timeout=FENCE_TIMEOUT,
                max_replay_bytes=0,
                replay_budget_bytes=0,
            ),
        )
        self.claim: KeyClaim | None = None
        self.admitted = ''
        self.is_asking = False
        self.apply_version(version)

    @property
    def version(self) -> int:
        """Return the inventory version in force."""
        return self.configuration.version.inventory_version

    @property
    def record(self) -> str:
        """Return the state of the key in terms of the specification."""
        if self.is_asking:
            return ASKING
        state = self.home.find_state(join_key('lots', 'gate', KEY))
        return FREE if state is None else SPECIFIED_STATES[state]

    def apply_version(self, version: int) -> None:
        """Apply the inventory of a version."""
        self.configuration.accept_inventory(INVENTORIES[version], b'')
        self.home.apply_configuration(self.now)


class KeySimulation:
    """Two real homes and the messages between them."""

    def __init__(self) -> None:
        self.homes = [HomeDriver(index, 1, timedelta()) for index in (0, 1)]
        self.incarnations = [0, 0]
        self.messages: set[tuple[Any, ...]] = set()
        self.reported_versions: dict[tuple[Any, ...], int] = {}
        self.deadline: timedelta | None = None
        self.runs = 0
        self.advance_time(RETENTION)

    def clone(self) -> 'KeySimulation':
        """Return an independent copy."""
        return copy.deepcopy(self, dict(COPY_MEMO))

    def advance_time(self, span: timedelta) -> None:
        """Advance the clocks of both homes."""
        for driver in self.homes:
            driver.now += span

    def observe(self) -> tuple[Any, ...]:
        """Return the state in the form of :func:`read_specified`."""
        return (
            tuple(driver.version for driver in self.homes),
            tuple(driver.record for driver in self.homes),
            frozenset(self.messages),
            self.runs,
        )

    def apply(self, label: tuple[Any, ...]) -> None:
        """Execute a step of the specification."""
        self.advance_time(STEP_TIME)
        name, *fields = label
        if name == 'deliver':
            self.messages.discard(tuple(fields))
            self._deliver(*fields)
        else:
            getattr(self, f'do_{name.replace(" ", "_")}')(*fields)

    def do_send(self, number: int, home: int) -> None:
        """Send an attempt; the first one starts the retry window."""
        if self.deadline is None:
            self.deadline = self.homes[0].now + RETRY_WINDOW
        self.messages.add((ATTEMPT, number, home, self.incarnations[home]))

    def do_learn(self, home: int) -> None:
        """Apply the next version."""
        driver = self.homes[home]
        driver.apply_version(driver.version + 1)

    def do_close(self) -> None:
        """Pass the deadline of every attempt."""
        self.advance_time(RETRY_WINDOW + CLOCK_SKEW + STEP_TIME)

    def do_start(self, home: int) -> None:
        """Run the key at the target to its end."""
        driver = self.homes[home]
        self.runs += 1
        assert driver.claim is not None
        driver.home.finish(driver.claim, KeyState.done, None, driver.now)

    def do_withdraw(self, home: int) -> None:
        """Withdraw the queued attempt."""
        driver = self.homes[home]
        assert driver.claim is not None
        driver.home.withdraw(driver.claim)

    def do_ask_again(self, home: int) -> None:
        """Resend the fence request on the next tick."""
        driver = self.homes[home]
        for decision in driver.home.tick(driver.now):
            self._apply_decision(driver, decision)

    def do_give_up(self, home: int) -> None:
        """Let the fence request time out."""
        self.homes[home].now += FENCE_TIMEOUT
        self.do_ask_again(home)

    def do_expire(self, home: int) -> None:
        """Pass the retention of the records of one home."""
        self.homes[home].now += RETENTION
        self.do_ask_again(home)

    def do_trust(self, home: int) -> None:
        """Pass the time for which a restarted home refuses old keys."""
        self.homes[home].now += RETENTION

    def do_acknowledge(self, home: int) -> None:
        """Let the other home report its version for another key."""
        driver = self.homes[home]
        other = self.homes[1 - home]
        reply = self._reply('other-key', KeyState.fenced, other)
        driver.home.handle_fence_reply(ADDRESSES[1 - home], reply, driver.now)
        self.advance_time(RETENTION)

    def do_restart(self, home: int, version: int) -> None:
        """Replace a home by one without records."""
        self.incarnations[home] += 1
        now = self.homes[home].now
        self.homes[home] = HomeDriver(home, version, now)
        if self.deadline is None:
            self.advance_time(RETENTION)

    def _deliver(self, kind: str, *fields: Any) -> None:
        if kind == ATTEMPT:
            self._deliver_attempt(*fields)
        elif kind == ASK:
            self._deliver_ask(*fields)
        else:
            self._deliver_reply(*fields)

    def _deliver_attempt(
        self, number: int, home: int, incarnation: int
    ) -> None:
        if incarnation != self.incarnations[home]:
            return
        driver = self.homes[home]
        assert self.deadline is not None
        deadline = WALL_START + self.deadline
        claim = KeyClaim(
            f'attempt-{number}',
            driver.configuration.services['lots'],
            'gate',
            KEY,
            deadline_wall_ms=int(deadline.timestamp() * 1000),
        )
        self._apply_decision(driver, driver.home.claim(claim, driver.now))

    def _deliver_ask(self, asker: int, incarnation: int, version: int) -> None:
        driver = self.homes[1 - asker]
        asked = copy.copy(driver.configuration.version)
        asked.inventory_version = version
        request = FenceKey(
            service='lots',
            organisation='gate',
            idempotency_key=KEY,
            configuration=asked,
            retention_ms=RETENTION // MILLISECOND,
        )
        state, decisions = driver.home.fence(request, driver.now)
        for decision in decisions:
            self._apply_decision(driver, decision)
        message = (REPLY, asker, incarnation, SPECIFIED_STATES[state])
        self.messages.add(message)
        self.reported_versions[message] = driver.version

    def _deliver_reply(self, home: int, incarnation: int, answer: str) -> None:
        if incarnation != self.incarnations[home]:
            return
        driver = self.homes[home]
        reply = self._reply(KEY, KEY_STATES[answer], self.homes[1 - home])
        reply.configuration.inventory_version = self.reported_versions[
            (REPLY, home, incarnation, answer)
        ]
        decisions = driver.home.handle_fence_reply(
            ADDRESSES[1 - home], reply, driver.now
        )
        for decision in decisions:
            self._apply_decision(driver, decision)

    def _reply(
        self, key: str, state: KeyState, driver: HomeDriver
    ) -> FenceReply:
        return FenceReply(
            service='lots',
            organisation='gate',
            idempotency_key=key,
            state=state,
            agent_incarnation=str(self.incarnations[driver.index]),
            configuration=driver.configuration.version,
        )

    def _apply_decision(self, driver: HomeDriver, decision: Any) -> None:
        if isinstance(decision, RequestFences):
            assert decision.addresses == [ADDRESSES[1 - driver.index]]
            driver.is_asking = True
            driver.claim = decision.claim
            version = decision.message.configuration.inventory_version
            incarnation = self.incarnations[driver.index]
            self.messages.add((ASK, driver.index, incarnation, version))
        elif isinstance(decision, RunKey):
            driver.is_asking = False
            driver.claim = decision.claim
            driver.admitted = decision.claim.attempt_id
        else:
            assert isinstance(decision, RefuseKey), decision
            if driver.claim is decision.claim:
                driver.is_asking = False


def read_specified(state: State) -> tuple[Any, ...]:
    """Return the part of a state that real homes expose."""
    return state.versions, state.records, state.messages, state.runs


def compare_all_steps(specification: KeySpecification) -> tuple[int, int]:
    """Compare real homes on every step; return counts of states and steps.

    :param specification: the protocol, with all its guards.
    """
    initial = State()
    waiting = [(initial, KeySimulation())]
    seen = {initial}
    step_count = 0
    while waiting:
        state, simulation = waiting.pop()
        for label, following in specification.steps(state):
            clone = simulation.clone()
            check_step(clone, label, following)
            step_count += 1
            if following not in seen:
                seen.add(following)
                waiting.append((following, clone))
    return len(seen), step_count


def compare_random_walks(
    specification: KeySpecification,
    *,
    walks: int,
    length: int,
    seed: int,
    make_simulation: Callable[[], 'KeySimulation'] = KeySimulation,
) -> int:
    """Compare real homes on random walks; return the number of steps.

    :param specification: the protocol, with all its guards.
    :param walks: number of walks.
    :param length: steps of one walk.
    :param seed: seed of the choices.
    :param make_simulation: creates the homes.
    """
    choices = random.Random(seed)
    step_count = 0
    for _walk in range(walks):
        state, simulation = State(), make_simulation()
        for _step in range(length):
            steps: list[Step] = list(specification.steps(state))
            if not steps:
                break
            label, state = choices.choice(steps)
            check_step(simulation, label, state)
            step_count += 1
    return step_count


def check_step(
    simulation: KeySimulation, label: tuple[Any, ...], state: State
) -> None:
    """Apply one step and compare the outcome."""
    simulation.apply(label)
    actual, expected = simulation.observe(), read_specified(state)
    assert actual == expected, f'{label}: real {actual}, specified {expected}'
