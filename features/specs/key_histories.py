"""Generated histories of keys, run at real homes and reference models."""

from datetime import datetime, timedelta
from typing import Any
from uuid import UUID

from hypothesis import strategies as st

from buckthornpond_core._generated.messages import FenceReply, KeyState
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.keys.claims import (
    KeyClaim,
    ReplayKey,
    RequestFences,
    RunKey,
)
from buckthornpond_core.keys.fencing_home import FencingKeyHome, KeyLimits
from buckthornpond_core.keys.key_clock import KeyClock
from buckthornpond_core.keys.register import RecordedResponse
from buckthornpond_core.routing.placement import join_key, rank_homes
from features.specs.key_simulation import (
    ADDRESSES,
    CLOCK_SKEW,
    FENCE_TIMEOUT,
    INVENTORIES,
    NAMES,
    RETENTION,
    RETRY_WINDOW,
    WALL_START,
    HomeDriver,
)
from features.specs.naive_key_homes import LogKeyHome

_KEY_COUNT = 4
_SPANS = (
    timedelta(milliseconds=1),
    CLOCK_SKEW,
    CLOCK_SKEW + timedelta(milliseconds=1),
    RETRY_WINDOW / 2,
    RETRY_WINDOW,
    RETENTION,
)
KEYS = st.integers(min_value=0, max_value=_KEY_COUNT - 1)
OPERATIONS = st.one_of(
    st.tuples(st.just('claim'), KEYS, st.integers(min_value=1, max_value=2)),
    st.tuples(st.just('claim'), KEYS, st.just(1)),
    st.tuples(st.just('end'), KEYS),
    st.tuples(st.just('cancel'), KEYS),
    st.tuples(st.just('wait'), st.sampled_from(_SPANS)),
)
SINGLE_HOME_OPERATIONS = st.one_of(
    OPERATIONS,
    st.tuples(st.just('restart')),
    st.tuples(st.just('create'), KEYS, st.sampled_from((-1, 0, 1, 2))),
)
SINGLE_HOME_HISTORIES = st.lists(SINGLE_HOME_OPERATIONS, max_size=30)
MOVING_HISTORIES = st.lists(
    st.one_of(
        OPERATIONS.filter(lambda each: each[0] != 'wait'), st.just(('move',))
    ),
    max_size=30,
)


def make_time_key(created: datetime, number: int) -> str:
    """Return a UUIDv7 key with the given creation time."""
    timestamp_ms = int(created.timestamp() * 1000)
    value = timestamp_ms << 80 | 7 << 76 | 2 << 62 | number
    return str(UUID(int=value))


class SingleHomeComparison:
    """Comparison of a real home with a home that keeps a complete log."""

    def __init__(self) -> None:
        self.now = timedelta()
        self.configuration = Configuration()
        self.configuration.accept_inventory(INVENTORIES[1], b'')
        self.log = LogKeyHome(self.now, WALL_START)
        self.keys = [f'opaque-{number}' for number in range(_KEY_COUNT)]
        self.claims: dict[str, KeyClaim] = {}
        self.count = 0
        self.do_restart()
        self.now += RETENTION

    def run(self, history: list[tuple[Any, ...]]) -> None:
        """Apply a history and compare every decision."""
        for name, *fields in history:
            self.now += timedelta(milliseconds=1)
            self.home.tick(self.now)
            getattr(self, f'do_{name}')(*fields)
        self.check_runs()

    def check_runs(self) -> None:
        """Check that no key ran twice within its retry window."""
        started_at: dict[str, timedelta] = {}
        for use in self.log.uses:
            if use.state == 'cancelled':
                continue
            earlier = started_at.get(use.claim.key)
            if earlier is not None:
                assert use.last - earlier >= RETRY_WINDOW, use.claim.key
            started_at[use.claim.key] = use.last

    def do_wait(self, span: timedelta) -> None:
        """Advance the clock."""
        self.now += span
        self.home.tick(self.now)

    def do_restart(self) -> None:
        """Replace the home by one without records."""
        self.log.restart(self.now)
        self.home = FencingKeyHome(
            instance=NAMES[1],
            configuration=self.configuration,
            key_clock=KeyClock(self.now, WALL_START + self.now),
            limits=KeyLimits(
                fence_timeout=FENCE_TIMEOUT,
                max_replay_bytes=100,
                replay_budget_bytes=10_000,
            ),
        )
        self.home.apply_configuration(self.now)

    def do_create(self, slot: int, skews: int) -> None:
        """Create a UUIDv7 key by a clock that is off by ``skews`` clock skews."""
        self.count += 1
        created = WALL_START + self.now + skews * CLOCK_SKEW
        self.keys[slot] = make_time_key(created, self.count)

    def do_claim(self, slot: int, digest: int) -> None:
        """Claim a key and compare the decisions."""
        self.count += 1
        claim = KeyClaim(
            f'attempt-{self.count}',
            self.configuration.services['lots'],
            'gate',
            self.keys[slot],
            digest,
        )
        actual = self.home.claim(claim, self.now)
        expected = self.log.decide(claim, self.now)
        assert describe_decision(actual) == expected, (
            describe_decision(actual),
            expected,
        )
        if expected == 'run':
            self.claims[self.keys[slot]] = claim

    def do_end(self, slot: int) -> None:
        """Complete a run with a response."""
        use = self._find_use(slot)
        if use is not None:
            use.state = 'done'
            use.last = self.now
            use.body = use.claim.attempt_id.encode()
            response = RecordedResponse(200, 'text/plain', use.body)
            self.home.finish(use.claim, KeyState.done, response, self.now)

    def do_cancel(self, slot: int) -> None:
        """Let an attempt end before it runs."""
        use = self._find_use(slot)
        if use is not None:
            use.state = 'cancelled'
            self.home.withdraw(use.claim)

    def _find_use(self, slot: int) -> Any:
        claim = self.claims.get(self.keys[slot])
        return None if claim is None else self.log.find(claim.attempt_id)


class MovingHomesComparison:
    """Comparison of two real homes with a single table of keys.

    Messages between the homes arrive at once.
    """

    def __init__(self) -> None:
        self.homes = [HomeDriver(index, 1, timedelta()) for index in (0, 1)]
        for driver in self.homes:
            driver.now += RETENTION
        self.move_count = 0
        self.table: dict[str, tuple[str, int]] = {}
        self.claims: dict[str, tuple[HomeDriver, KeyClaim]] = {}
        self.count = 0

    def run(self, history: list[tuple[Any, ...]]) -> None:
        """Apply a history and compare every decision."""
        for name, *fields in history:
            getattr(self, f'do_{name}')(*fields)

    def do_move(self) -> None:
        """Apply the next version at both homes."""
        if self.move_count < len(INVENTORIES) - 1:
            self.move_count += 1
            for driver in self.homes:
                driver.apply_version(driver.version + 1)

    def do_claim(self, slot: int, digest: int) -> None:
        """Claim a key at its home and check the decision."""
        self.count += 1
        name = f'opaque-{slot}'
        driver = self._find_home(name)
        claim = KeyClaim(
            f'attempt-{self.count}',
            driver.configuration.services['lots'],
            'gate',
            name,
            digest,
        )
        decision: Any = driver.home.claim(claim, driver.now)
        while isinstance(decision, RequestFences):
            decision = self._ask(driver, decision)
        self._compare(name, describe_decision(decision), digest)
        if isinstance(decision, RunKey):
            self.table[name] = 'running', digest
            self.claims[name] = driver, claim

    def do_end(self, slot: int) -> None:
        """Complete a run."""
        name = f'opaque-{slot}'
        if self.table.get(name, ('', 0))[0] == 'running':
            driver, claim = self.claims[name]
            self.table[name] = 'done', claim.digest
            driver.home.finish(claim, KeyState.done, None, driver.now)

    def do_cancel(self, slot: int) -> None:
        """Let an attempt end before it runs."""
        name = f'opaque-{slot}'
        if self.table.get(name, ('', 0))[0] == 'running':
            driver, claim = self.claims[name]
            self.table.pop(name)
            driver.home.withdraw(claim)

    def _find_home(self, name: str) -> HomeDriver:
        service = self.homes[0].configuration.services['lots']
        ranked = rank_homes(join_key('lots', 'gate', name), service.instances)
        return self.homes[NAMES.index(ranked[0])]

    def _ask(self, driver: HomeDriver, decision: RequestFences) -> Any:
        address = decision.addresses[0]
        other = self.homes[ADDRESSES.index(address)]
        state, _decisions = other.home.fence(decision.message, other.now)
        reply = FenceReply(
            service='lots',
            organisation='gate',
            idempotency_key=decision.claim.idempotency_key,
            state=state,
            agent_incarnation='',
            configuration=other.configuration.version,
        )
        return driver.home.handle_fence_reply(address, reply, driver.now)[0]

    def _compare(self, name: str, actual: str, digest: int) -> None:
        known = self.table.get(name)
        if known is None:
            is_fenced = self.move_count > 1 and actual == 'key_fenced'
            assert actual == 'run' or is_fenced, actual
            return
        state, known_digest = known
        allowed = {f'key_{state}'}
        if digest != known_digest:
            # A fence reply has the key's state but no digest of the request.
            allowed.add('key_reused')
        if self.move_count > 1:
            allowed.add('key_fenced')
        assert actual in allowed, (actual, allowed)


def describe_decision(decision: Any) -> str:
    """Return a decision as a text."""
    if isinstance(decision, RunKey):
        return 'run'
    if isinstance(decision, ReplayKey):
        return f'replay {decision.response.body!r}'
    return str(decision.reason)
