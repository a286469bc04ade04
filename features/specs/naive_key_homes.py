"""Naive homes of keys: a baseline that fails and one that searches a log."""

from datetime import datetime, timedelta
from typing import Any

from buckthornpond_core._generated.messages import (
    FenceKey,
    FenceReply,
    KeyState,
)
from buckthornpond_core.keys.claims import (
    KeyClaim,
    KeyDecision,
    RefuseKey,
    RunKey,
)
from buckthornpond_core.keys.key_clock import read_creation_time
from buckthornpond_core.keys.register import RecordedResponse
from buckthornpond_core.routing.placement import join_key


class ForgetfulKeyHome:
    """Baseline that records its own runs and ignores restarts and moves.

    It runs any key that it has no record of, and requests no fences.
    """

    __slots__ = ('_states',)

    def __init__(self) -> None:
        self._states: dict[str, KeyState] = {}

    def apply_configuration(self, now: timedelta) -> None:
        """Ignore the configuration."""

    def find_state(self, key: str) -> KeyState | None:
        """Return the recorded state of a key, or ``None``."""
        return self._states.get(key)

    def claim(self, claim: KeyClaim, now: timedelta) -> KeyDecision:
        """Run every key that has no record."""
        state = self._states.get(claim.key)
        if state is not None:
            return RefuseKey(claim, f'key_{state}')
        self._states[claim.key] = KeyState.running
        return RunKey(claim)

    def withdraw(self, claim: KeyClaim) -> None:
        """Drop the record of the key."""
        self._states.pop(claim.key, None)

    def finish(
        self,
        claim: KeyClaim,
        state: KeyState,
        response: RecordedResponse | None,
        now: timedelta,
    ) -> None:
        """Record how the run ended."""
        self._states[claim.key] = state

    def fence(
        self,
        request: FenceKey,
        now: timedelta,
    ) -> tuple[KeyState, list[KeyDecision]]:
        """Return the state without fencing the key."""
        key = join_key(
            request.service,
            request.organisation,
            request.idempotency_key,
        )
        return self._states.get(key, KeyState.fenced), []

    def handle_fence_reply(
        self,
        address: str,
        reply: FenceReply,
        now: timedelta,
    ) -> list[KeyDecision]:
        """Ignore the reply, since this home sends no requests."""
        return []

    def tick(self, now: timedelta) -> list[KeyDecision]:
        """Do nothing."""
        return []


class _LoggedRun:
    """Logged run of a key."""

    def __init__(
        self, claim: KeyClaim, now: timedelta, incarnation: int
    ) -> None:
        self.claim = claim
        self.last = now
        self.incarnation = incarnation
        self.state = 'running'
        self.body = b''


class LogKeyHome:
    """Reference home that keeps a complete log and searches it each time.

    The log survives restarts, so that a test can check it for double runs;
    decisions use only what the current incarnation can know.
    """

    def __init__(self, now: timedelta, wall: datetime) -> None:
        self.uses: list[_LoggedRun] = []
        self._origin = wall - now
        self._incarnation = 0
        self._start = now

    def restart(self, now: timedelta) -> None:
        """Start the next incarnation."""
        self._incarnation += 1
        self._start = now

    def decide(self, claim: KeyClaim, now: timedelta) -> str:
        """Return the decision on a claim as a text, and log a run."""
        for use in reversed(self.uses):
            if self._is_recorded(use, claim, now):
                if use.claim.digest != claim.digest:
                    return 'key_reused'
                is_done = use.state == 'done'
                return f'replay {use.body!r}' if is_done else f'key_{use.state}'
        decision = self._decide_new(claim, now)
        if decision == 'run':
            self.uses.append(_LoggedRun(claim, now, self._incarnation))
        return decision

    def find(self, attempt_id: str) -> Any:
        """Return the run of an attempt that this incarnation still executes."""
        return next(
            (
                use
                for use in self.uses
                if use.claim.attempt_id == attempt_id
                and use.incarnation == self._incarnation
                and use.state == 'running'
            ),
            None,
        )

    def _is_recorded(
        self,
        use: _LoggedRun,
        claim: KeyClaim,
        now: timedelta,
    ) -> bool:
        is_retained = use.state == 'running' or use.last + claim.retention > now
        return (
            use.claim.key == claim.key
            and use.incarnation == self._incarnation
            and use.state != 'cancelled'
            and is_retained
        )

    def _decide_new(self, claim: KeyClaim, now: timedelta) -> str:
        created = read_creation_time(claim.idempotency_key)
        wall = self._origin + now
        if created is not None:
            if created > wall + claim.clock_skew:
                return 'key_not_yet_valid'
            if created + claim.retry_window + claim.clock_skew < wall:
                return 'key_expired'
            if created > self._origin + self._start + claim.clock_skew:
                return 'run'
        if now - self._start >= claim.retention:
            return 'run'
        return 'key_unknown'
