"""Claims of idempotency keys and the decisions of a home on them."""

from datetime import timedelta
from typing import Protocol, TypeAlias

from .._generated.inventory import Service
from .._generated.messages import FenceKey, FenceReply, KeyState
from ..routing.placement import join_key
from .register import RecordedResponse


class KeyClaim:
    """Request of one attempt to run under its idempotency key.

    :param attempt_id: identifier of the attempt.
    :param service: service that it calls.
    :param organisation: the caller's organisation.
    :param idempotency_key: key that the caller sent.
    :param digest: digest of the request, to detect another request with
        the same key.
    :param deadline_wall_ms: deadline in milliseconds since 1970, or 0 for
        none.
    """

    __slots__ = (
        'attempt_id',
        'deadline_wall_ms',
        'digest',
        'idempotency_key',
        'organisation',
        'service',
    )

    def __init__(
        self,
        attempt_id: str,
        service: Service,
        organisation: str,
        idempotency_key: str,
        digest: int = 0,
        deadline_wall_ms: int = 0,
    ) -> None:
        self.attempt_id = attempt_id
        self.deadline_wall_ms = deadline_wall_ms
        self.organisation = organisation
        self.service = service
        self.idempotency_key = idempotency_key
        self.digest = digest

    @property
    def key(self) -> str:
        """Return the key, unique over all services and organisations."""
        return join_key(
            self.service.name,
            self.organisation,
            self.idempotency_key,
        )

    @property
    def retry_window(self) -> timedelta:
        """Return the time for which callers may retry the key."""
        return timedelta(milliseconds=self.service.retry_window_ms)

    @property
    def clock_skew(self) -> timedelta:
        """Return the largest difference between two wall clocks."""
        return timedelta(milliseconds=self.service.clock_skew_ms)

    @property
    def retention(self) -> timedelta:
        """Return how long a record is kept after the last use of the key."""
        return self.retry_window + 2 * self.clock_skew


class RunKey:
    """Decision that the attempt may run, since no other run is possible."""

    __slots__ = ('claim',)

    def __init__(self, claim: KeyClaim) -> None:
        self.claim = claim


class RefuseKey:
    """Decision that the attempt may not run."""

    __slots__ = ('claim', 'reason')

    def __init__(self, claim: KeyClaim, reason: str) -> None:
        self.claim = claim
        self.reason = reason


class ReplayKey:
    """Decision to send the recorded response of the key's earlier run."""

    __slots__ = ('claim', 'response')

    def __init__(self, claim: KeyClaim, response: RecordedResponse) -> None:
        self.claim = claim
        self.response = response


class RequestFences:
    """Decision that the attempt waits until earlier homes fence the key.

    :param addresses: addresses of the homes that have not replied yet.
    :param message: fence request to send to each of them.
    """

    __slots__ = ('addresses', 'claim', 'message')

    def __init__(
        self,
        claim: KeyClaim,
        addresses: list[str],
        message: FenceKey,
    ) -> None:
        self.claim = claim
        self.addresses = addresses
        self.message = message


KeyDecision: TypeAlias = RunKey | RefuseKey | ReplayKey | RequestFences


class KeyHome(Protocol):
    """Policy that decides whether a key may run at this agent."""

    def apply_configuration(self, now: timedelta) -> None:
        """Apply the documents in force.

        :param now: time on the monotonic clock.
        """

    def claim(self, claim: KeyClaim, now: timedelta) -> KeyDecision:
        """Decide whether an attempt may run.

        :param claim: the attempt and its key.
        :param now: time on the monotonic clock.
        """

    def withdraw(self, claim: KeyClaim) -> None:
        """Drop the claim of an attempt that has not run and will not run.

        :param claim: the attempt and its key.
        """

    def finish(
        self,
        claim: KeyClaim,
        state: KeyState,
        response: RecordedResponse | None,
        now: timedelta,
    ) -> None:
        """Record how a run ended.

        :param claim: the attempt and its key.
        :param state: ``done``, or ``unknown`` when the target failed.
        :param response: complete response, or ``None`` if it was not kept.
        :param now: time on the monotonic clock.
        """

    def fence(
        self,
        request: FenceKey,
        now: timedelta,
    ) -> tuple[KeyState, list[KeyDecision]]:
        """Fence a key for another home and refuse a waiting local claim.

        Returns the state of the key for the reply, and the decisions on
        local claims.

        :param request: request of the other home.
        :param now: time on the monotonic clock.
        """

    def handle_fence_reply(
        self,
        address: str,
        reply: FenceReply,
        now: timedelta,
    ) -> list[KeyDecision]:
        """Handle an earlier home's reply to a fence request.

        :param address: address of the earlier home.
        :param reply: its reply.
        :param now: time on the monotonic clock.
        """

    def tick(self, now: timedelta) -> list[KeyDecision]:
        """Expire records, resend fence requests and refuse overdue claims.

        :param now: time on the monotonic clock.
        """
