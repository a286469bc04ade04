"""Placement policies, and the home instances of keys."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from .._generated.events import Submission
from .._generated.inventory import Target
from .._generated.messages import Hint, TargetPhase
from ..rendezvous import score
from ..types import RandomSource

_SAMPLE_COUNT = 2


class AgentView:
    """View that an entry has of one agent.

    ``pending_tokens`` counts the tokens sent since the last hint and
    corrects the hint for its delay.
    """

    __slots__ = (
        'hint',
        'instance',
        'last_heartbeat_at',
        'last_heard_at',
        'pending_tokens',
    )

    def __init__(self, instance: str) -> None:
        self.instance = instance
        self.hint: Hint | None = None
        self.last_heartbeat_at: timedelta | None = None
        self.last_heard_at: timedelta | None = None
        self.pending_tokens = 0

    @property
    def incarnation(self) -> str:
        """Return the agent's incarnation, empty before the first hint."""
        return self.hint.agent_incarnation if self.hint else ''

    @property
    def backlog_tokens(self) -> int:
        """Return the tokens ahead of a new request, by the last hint."""
        if self.hint is None:
            return self.pending_tokens
        held_tokens = self.hint.limit_tokens - self.hint.free_tokens
        return held_tokens + self.hint.queued_tokens + self.pending_tokens

    @property
    def prefill_tokens(self) -> int:
        """Return the prompt tokens ahead of a new request."""
        reported_tokens = self.hint.prefill_tokens if self.hint else 0
        return reported_tokens + self.pending_tokens

    @property
    def free_tokens(self) -> int:
        """Return the tokens free for a new request, by the last hint."""
        if self.hint is None:
            return 0
        return (
            self.hint.free_tokens
            - self.hint.queued_tokens
            - self.pending_tokens
        )

    @property
    def accepts_work(self) -> bool:
        """Tell whether the agent accepts new work."""
        return self.hint is not None and self.hint.phase in {
            TargetPhase.cold,
            TargetPhase.warm,
        }

    def mark_leaving(self) -> None:
        """Exclude the agent from placement until its next hint."""
        if self.hint is not None:
            self.hint.phase = TargetPhase.leaving

    def accepts_request(self, total_tokens: int, target: Target) -> bool:
        """Tell whether the agent accepts a request of this size.

        :param total_tokens: tokens of the prompt and the output.
        :param target: configured target of the agent.
        """
        if self.hint is None or not self.accepts_work:
            return False
        if self.hint.phase is TargetPhase.cold:
            return total_tokens <= self.hint.limit_tokens
        return total_tokens <= target.memory_tokens

    def update(self, hint: Hint, now: timedelta) -> None:
        """Apply a new hint from the agent.

        :param hint: the agent's load report.
        :param now: time of receipt on the monotonic clock.
        """
        self.hint = hint
        self.last_heard_at = now
        self.pending_tokens = 0


class Placement(Protocol):
    """Placement policy for attempts."""

    def choose(
        self,
        candidates: Sequence[AgentView],
        submission: Submission,
        random: RandomSource,
    ) -> AgentView:
        """Return the agent that gets the attempt.

        :param candidates: agents that accept the request, never empty.
        :param submission: the request to place.
        :param random: source of random choices.
        """


class RandomPlacement:
    """Baseline: a random candidate."""

    __slots__ = ()

    def choose(
        self,
        candidates: Sequence[AgentView],
        submission: Submission,
        random: RandomSource,
    ) -> AgentView:
        """Return a random candidate."""
        return random.sample(candidates, 1)[0]


class RoundRobinPlacement:
    """Baseline: round robin over the candidates."""

    __slots__ = ('_placement_count',)

    def __init__(self) -> None:
        self._placement_count = 0

    def choose(
        self,
        candidates: Sequence[AgentView],
        submission: Submission,
        random: RandomSource,
    ) -> AgentView:
        """Return the next candidate."""
        self._placement_count += 1
        return candidates[self._placement_count % len(candidates)]


class LeastLoadedPlacement:
    """Baseline: the candidate with the least known backlog."""

    __slots__ = ()

    def choose(
        self,
        candidates: Sequence[AgentView],
        submission: Submission,
        random: RandomSource,
    ) -> AgentView:
        """Return the candidate with the smallest backlog."""
        return min(candidates, key=_get_backlog_tokens)


class TwoChoicesPlacement:
    """Power of two choices by backlog, robust against stale hints."""

    __slots__ = ()

    def choose(
        self,
        candidates: Sequence[AgentView],
        submission: Submission,
        random: RandomSource,
    ) -> AgentView:
        """Return the less loaded of two random candidates."""
        count = min(_SAMPLE_COUNT, len(candidates))
        return min(random.sample(candidates, count), key=_get_backlog_tokens)


class FittingPlacement:
    """Power of two choices among candidates with enough free memory."""

    __slots__ = ()

    def choose(
        self,
        candidates: Sequence[AgentView],
        submission: Submission,
        random: RandomSource,
    ) -> AgentView:
        """Return the less loaded of two candidates with enough free memory."""
        needed_tokens = submission.prompt_tokens + submission.output_tokens
        fitting = [
            view for view in candidates if view.free_tokens >= needed_tokens
        ]
        pool = fitting or candidates
        return min(
            random.sample(pool, min(_SAMPLE_COUNT, len(pool))),
            key=_get_backlog_tokens,
        )


class LeastPrefillPlacement:
    """Power of two choices by pending prefill, with enough free memory."""

    __slots__ = ()

    def choose(
        self,
        candidates: Sequence[AgentView],
        submission: Submission,
        random: RandomSource,
    ) -> AgentView:
        """Return the one with less pending prefill of two that fit."""
        needed_tokens = submission.prompt_tokens + submission.output_tokens
        fitting = [
            view for view in candidates if view.free_tokens >= needed_tokens
        ]
        pool = fitting or candidates
        return min(
            random.sample(pool, min(_SAMPLE_COUNT, len(pool))),
            key=_get_prefill_tokens,
        )


def _get_prefill_tokens(view: AgentView) -> int:
    return view.prefill_tokens


def _get_backlog_tokens(view: AgentView) -> int:
    return view.backlog_tokens


def join_key(service: str, organisation: str, idempotency_key: str) -> str:
    """Return the key of a request, unique over services and organisations.

    :param service: name of the service, which holds no slash.
    :param organisation: name of the caller's organisation, which holds no
        slash either.
    :param idempotency_key: key that the caller sent.
    """
    return f'{service}/{organisation}/{idempotency_key}'


def rank_homes(key: str, instances: Sequence[str]) -> list[str]:
    """Return instances in rendezvous-hash order, the home of the key first.

    :param key: what :func:`join_key` returned.
    :param instances: names of the configured instances.
    """

    def rank(name: str) -> tuple[int, str]:
        return rank_home(key, name)

    return sorted(instances, key=rank, reverse=True)


def find_home(key: str, instances: Sequence[str]) -> str:
    """Return the home of a key, the instance that runs its requests.

    :param key: what :func:`join_key` returned.
    :param instances: names over which keys are distributed, never empty.
    """
    digests = [score(key, name) for name in instances]
    highest = max(digests)
    return max(
        name
        for name, digest in zip(instances, digests, strict=True)
        if digest == highest
    )


def rank_home(key: str, instance: str) -> tuple[int, str]:
    """Return the rendezvous-hash rank of an instance for a key.

    :param key: what :func:`join_key` returned.
    :param instance: name of the instance.
    """
    return score(key, instance), instance
