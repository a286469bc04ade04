"""Home of idempotency keys that fences keys at earlier homes."""

from datetime import datetime, timedelta

from .._generated.messages import (
    ConfigurationVersion,
    FenceKey,
    FenceReply,
    KeyState,
)
from ..configuration.documents import Configuration
from ..routing.placement import find_home, join_key
from .claims import (
    KeyClaim,
    KeyDecision,
    RefuseKey,
    ReplayKey,
    RequestFences,
    RunKey,
)
from .earlier_homes import HomeDirectory, HomeInstance
from .key_clock import Cutoff, KeyClock, read_creation_time
from .register import KeyRecord, KeyRegister, RecordedResponse


class KeyLimits:
    """Limits of a home on time and memory.

    :param fence_timeout: longest wait for fence replies.
    :param max_replay_bytes: largest response body kept for replay.
    :param replay_budget_bytes: limit on the total size of kept bodies.
    """

    __slots__ = ('fence_timeout', 'max_replay_bytes', 'replay_budget_bytes')

    def __init__(
        self,
        *,
        fence_timeout: timedelta,
        max_replay_bytes: int,
        replay_budget_bytes: int,
    ) -> None:
        self.fence_timeout = fence_timeout
        self.max_replay_bytes = max_replay_bytes
        self.replay_budget_bytes = replay_budget_bytes


class _PendingClaim:
    """Claim that waits for the fence replies of earlier homes."""

    __slots__ = ('claim', 'deadline', 'fenced_addresses', 'pending_addresses')

    def __init__(self, claim: KeyClaim, deadline: timedelta) -> None:
        self.claim = claim
        self.deadline = deadline
        self.fenced_addresses: set[str] = set()
        self.pending_addresses: list[str] = []


class FencingKeyHome:
    """Runs a key at most once across restarts and moves of its home.

    A key runs here only if this instance is its home, if its creation time
    has come, if it cannot have been used before this incarnation started,
    and if each earlier home has fenced it or cannot have run it.

    :param instance: the agent's instance.
    :param configuration: configuration in force.
    :param key_clock: clocks, started with the incarnation.
    :param limits: limits on time and memory.
    """

    __slots__ = (
        '_configuration',
        '_directory',
        '_fence_timeout',
        '_instance',
        '_key_clock',
        '_pending',
        '_register',
        '_start_cutoff',
    )

    def __init__(
        self,
        *,
        instance: str,
        configuration: Configuration,
        key_clock: KeyClock,
        limits: KeyLimits,
    ) -> None:
        self._instance = instance
        self._configuration = configuration
        self._key_clock = key_clock
        self._fence_timeout = limits.fence_timeout
        self._register = KeyRegister(
            max_replay_bytes=limits.max_replay_bytes,
            replay_budget_bytes=limits.replay_budget_bytes,
        )
        self._start_cutoff = key_clock.cutoff()
        self._directory = HomeDirectory(instance, configuration)
        self._pending: dict[str, _PendingClaim] = {}

    @property
    def key_count(self) -> int:
        """Return the number of recorded keys."""
        return len(self._register)

    @property
    def replay_bytes(self) -> int:
        """Return the total size of the response bodies kept."""
        return self._register.replay_bytes

    def find_state(self, key: str) -> KeyState | None:
        """Return the recorded state of a key, or ``None``.

        :param key: result of :func:`join_key`.
        """
        record = self._register.find(key)
        return None if record is None else record.state

    def apply_configuration(self, now: timedelta) -> None:
        """Apply the documents in force."""
        self._key_clock.advance_to(now)
        self._directory.apply_configuration(self._key_clock.cutoff())

    def claim(self, claim: KeyClaim, now: timedelta) -> KeyDecision:
        """Decide whether an attempt may run."""
        self._key_clock.advance_to(now)
        if not self._is_home(claim):
            return RefuseKey(claim, 'wrong_home')
        if self._is_overdue(claim):
            return RefuseKey(claim, 'deadline_exceeded')
        if claim.key in self._pending:
            return RefuseKey(claim, 'key_running')
        record = self._register.find(claim.key)
        if record is not None:
            return _decide_repeated(claim, record)
        refusal_reason = self._find_refusal_reason(claim)
        if refusal_reason is not None:
            return RefuseKey(claim, refusal_reason)
        pending = _PendingClaim(claim, now + self._fence_timeout)
        return self._run_or_request_fences(pending)

    def withdraw(self, claim: KeyClaim) -> None:
        """Drop the claim of an attempt that has not run and will not run."""
        pending = self._pending.get(claim.key)
        if pending is not None:
            if pending.claim.attempt_id == claim.attempt_id:
                self._pending.pop(claim.key)
            return
        self._register.forget(claim.key)

    def finish(
        self,
        claim: KeyClaim,
        state: KeyState,
        response: RecordedResponse | None,
        now: timedelta,
    ) -> None:
        """Record how a run ended."""
        self._key_clock.advance_to(now)
        record = self._register.record(
            claim.key,
            state,
            expires_at=self._key_clock.now + claim.retention,
            digest=claim.digest,
        )
        if response is not None:
            self._register.store_response(record, response)

    def fence(
        self,
        request: FenceKey,
        now: timedelta,
    ) -> tuple[KeyState, list[KeyDecision]]:
        """Fence a key for another home and refuse a waiting local claim."""
        self._key_clock.advance_to(now)
        key = join_key(
            request.service,
            request.organisation,
            request.idempotency_key,
        )
        pending = self._pending.get(key)
        if pending is not None and self._is_newer_than(request):
            return KeyState.running, []
        record = self._register.find(key)
        if record is not None:
            return record.state, []
        if not self._is_after_start(request):
            return KeyState.unknown, []
        self._register.record(
            key,
            KeyState.fenced,
            expires_at=now + timedelta(milliseconds=request.retention_ms),
        )
        if pending is None:
            return KeyState.fenced, []
        self._pending.pop(key)
        return KeyState.fenced, [RefuseKey(pending.claim, 'key_fenced')]

    def handle_fence_reply(
        self,
        address: str,
        reply: FenceReply,
        now: timedelta,
    ) -> list[KeyDecision]:
        """Handle an earlier home's reply to a fence request."""
        self._key_clock.advance_to(now)
        self._directory.record_version(
            address,
            reply.configuration,
            self._key_clock.cutoff(),
        )
        key = join_key(
            reply.service,
            reply.organisation,
            reply.idempotency_key,
        )
        pending = self._pending.get(key)
        if pending is None or address not in pending.pending_addresses:
            return []
        if now >= pending.deadline or self._is_overdue(pending.claim):
            self._pending.pop(key)
            return [RefuseKey(pending.claim, 'home_unreachable')]
        if reply.state is not KeyState.fenced:
            self._pending.pop(key)
            return [RefuseKey(pending.claim, f'key_{reply.state}')]
        pending.fenced_addresses.add(address)
        pending.pending_addresses.remove(address)
        if pending.pending_addresses:
            return []
        self._pending.pop(key)
        if not self._is_home(pending.claim):
            return [RefuseKey(pending.claim, 'wrong_home')]
        return [self._run_or_request_fences(pending)]

    def tick(self, now: timedelta) -> list[KeyDecision]:
        """Expire records, resend fence requests and refuse overdue claims."""
        self._key_clock.advance_to(now)
        self._register.expire(now)
        decisions: list[KeyDecision] = []
        for key, pending in list(self._pending.items()):
            if now >= pending.deadline:
                self._pending.pop(key)
                decisions.append(RefuseKey(pending.claim, 'home_unreachable'))
            else:
                decisions.append(self._request_fences(pending))
        return decisions

    def _run_or_request_fences(self, pending: _PendingClaim) -> KeyDecision:
        """Run the key, or request the fences that are still missing."""
        claim = pending.claim
        pending.pending_addresses = []
        for home in self._find_possible_homes(claim):
            if self._directory.find_retirement_cutoff(home) is not None:
                return RefuseKey(claim, 'key_unknown')
            if home.address not in pending.fenced_addresses:
                pending.pending_addresses.append(home.address)
        if pending.pending_addresses:
            self._pending[claim.key] = pending
            return self._request_fences(pending)
        self._register.record(
            claim.key,
            KeyState.running,
            expires_at=self._key_clock.now + claim.retention,
            digest=claim.digest,
        )
        return RunKey(claim)

    def _request_fences(self, pending: _PendingClaim) -> RequestFences:
        claim = pending.claim
        message = FenceKey(
            service=claim.service.name,
            organisation=claim.organisation,
            idempotency_key=claim.idempotency_key,
            configuration=self._configuration.version,
            retention_ms=claim.retention // timedelta(milliseconds=1),
        )
        return RequestFences(claim, list(pending.pending_addresses), message)

    def _find_possible_homes(self, claim: KeyClaim) -> list[HomeInstance]:
        earlier = self._directory.find_earlier_homes(
            claim.service,
            claim.key,
            self._key_clock.now,
        )
        return [home for home in earlier if not self._is_excluded(claim, home)]

    def _is_excluded(self, claim: KeyClaim, home: HomeInstance) -> bool:
        cutoffs = (
            self._directory.find_retirement_cutoff(home),
            self._directory.find_acknowledgement_cutoff(claim.service, home),
        )
        return any(
            cutoff is not None and self._is_after_cutoff(claim, cutoff)
            for cutoff in cutoffs
        )

    def _find_refusal_reason(self, claim: KeyClaim) -> str | None:
        """Return why a key without a record may not run, or ``None``."""
        created = read_creation_time(claim.idempotency_key)
        if created is not None:
            # If it ran before its time, a later incarnation would trust that
            # time and take the key for one that cannot have run before.
            if self._key_clock.is_ahead(created, claim.clock_skew):
                return 'key_not_yet_valid'
            if self._is_expired(claim, created):
                return 'key_expired'
        if self._is_after_cutoff(claim, self._start_cutoff):
            return None
        return 'key_unknown'

    def _is_home(self, claim: KeyClaim) -> bool:
        service = self._configuration.services.get(claim.service.name)
        if service is None or self._instance not in service.instances:
            return False
        names = self._configuration.find_home_instances(service)
        return bool(names) and find_home(claim.key, names) == self._instance

    def _is_newer_than(self, request: FenceKey) -> bool:
        return _rank_version(self._configuration.version) > _rank_version(
            request.configuration,
        )

    def _is_expired(self, claim: KeyClaim, created: datetime) -> bool:
        return (
            created + claim.retry_window + claim.clock_skew
            < self._key_clock.wall_time
        )

    def _is_overdue(self, claim: KeyClaim) -> bool:
        return self._key_clock.is_overdue(
            claim.deadline_wall_ms, claim.clock_skew
        )

    def _is_after_cutoff(self, claim: KeyClaim, cutoff: Cutoff) -> bool:
        return self._key_clock.is_after_cutoff(
            cutoff,
            self._key_clock.read_trusted_creation_time(
                claim.idempotency_key, claim.clock_skew
            ),
            retention=claim.retention,
            clock_skew=claim.clock_skew,
        )

    def _is_after_start(self, request: FenceKey) -> bool:
        service = self._configuration.services.get(request.service)
        if service is None:
            retention = timedelta(milliseconds=request.retention_ms)
            return (
                self._key_clock.now - self._start_cutoff.monotonic_time
                >= retention
            )
        claim = KeyClaim(
            '',
            service,
            request.organisation,
            request.idempotency_key,
        )
        return self._is_after_cutoff(claim, self._start_cutoff)


def _rank_version(version: ConfigurationVersion) -> tuple[int, int]:
    return version.inventory_version, version.rules_version


def _decide_repeated(claim: KeyClaim, record: KeyRecord) -> KeyDecision:
    if record.digest and record.digest != claim.digest:
        return RefuseKey(claim, 'key_reused')
    if record.response is not None:
        return ReplayKey(claim, record.response)
    return RefuseKey(claim, f'key_{record.state}')
