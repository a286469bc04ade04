"""Policies that choose the targets of an attempt."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from .._generated.serving import EngineCosts, Service
from ..types import RandomSource
from .engine_load import EngineLoad, RequestProfile, late_probability
from .fleet import TargetView

# Numbers of engines over which the prefill of a long prompt may be split.
_PREFILL_PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
# Shorter parts save less time than waiting for the slowest engine costs.
_MIN_PART_TOKENS = 8000
_FAILURE_RATE_PENALTY = 1.5
_PAUSED_PENALTY = 1000.0
_COLD_PENALTY = 0.5
# Possible cost of other entries' load on a target in another zone.
_OTHER_ZONE_PENALTY = 0.08
_NO_CAPACITY_PENALTY = 2.0
_FIRST_EVENT_WEIGHT = 0.1
# Bonus per answer that already runs on the engine, which keeps others free.
_PACKING_BONUS = 0.06
_ENTRIES_PER_FREE_SLOT = 8
_SHORT_PREFILL_MS = 50
_HELPER_PENALTY = 0.01
_RESERVATION_PENALTY = 0.3
# Engines allocate memory in blocks.
_MEMORY_BLOCK_TOKENS = 64
# Less than all, since other entries place attempts at the same time.
_PLANNED_MEMORY_SHARE = 0.97


class Candidate:
    """A target that may receive an attempt, or a part of one.

    :param view: the target.
    :param is_same_zone: whether the target is in the entry's availability zone.
    """

    __slots__ = ('is_same_zone', 'view')

    def __init__(self, view: TargetView, *, is_same_zone: bool) -> None:
        self.view = view
        self.is_same_zone = is_same_zone

    def base_cost(self, now: timedelta) -> float:
        """Return the part of the cost that does not depend on the request.

        :param now: time on the monotonic clock.
        """
        health = self.view.health
        # Rounded, so that an old failure does not break a tie.
        cost = round(health.failure_rate(now), 1) * _FAILURE_RATE_PENALTY
        if health.is_paused(now):
            cost += _PAUSED_PENALTY
        if self.view.is_cold(now):
            cost += _COLD_PENALTY
        if not self.is_same_zone:
            cost += _OTHER_ZONE_PENALTY
        return cost


class TargetSelection:
    """Targets that a policy selected for one attempt.

    :param target: the target that receives the request.
    :param helpers: further engines, which prefill parts of its prompt.
    :param first_ms: forecast of the time to the first byte of the answer.
    :param prefill_ms: prefill time at each of these engines.
    :param reserved_tokens: tokens to reserve at each of the first helpers.
    :param fits_memory: whether the memory of the engines can hold the request.
    """

    __slots__ = (
        'first_ms',
        'fits_memory',
        'helpers',
        'prefill_ms',
        'reserved_tokens',
        'target',
    )

    def __init__(
        self,
        target: TargetView,
        helpers: Sequence[TargetView] = (),
        first_ms: float = 0,
        prefill_ms: float = 0,
        reserved_tokens: Sequence[int] = (),
        *,
        fits_memory: bool = True,
    ) -> None:
        self.target = target
        self.fits_memory = fits_memory
        self.reserved_tokens = reserved_tokens
        self.helpers = helpers
        self.first_ms = first_ms
        self.prefill_ms = prefill_ms


class PlacementPolicy(Protocol):
    """Policy that selects the targets of an attempt."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        service: Service,
        profile: RequestProfile,
        now: timedelta,
        *,
        entry_count: int,
    ) -> TargetSelection:
        """Return the targets of an attempt.

        :param candidates: eligible targets, at least one.
        :param service: service of the candidates.
        :param profile: size and urgency of the request.
        :param now: time on the monotonic clock.
        :param entry_count: number of live entries, zero while it is unknown.
        """


class LeastInFlight:
    """Prefers the plain target with the fewest requests.

    These are the attempts that entries have in flight there, and what the
    target reported beyond them.

    :param random: source of random tie breakers.
    """

    __slots__ = ('_random',)

    def __init__(self, random: RandomSource) -> None:
        self._random = random

    def choose(
        self,
        candidates: Sequence[Candidate],
        service: Service,
        profile: RequestProfile,
        now: timedelta,
        *,
        entry_count: int,
    ) -> TargetSelection:
        """Return the candidate that will probably answer first."""

        def cost(candidate: Candidate) -> tuple[float, float]:
            view = candidate.view
            unexplained_count = view.unexplained_load.count(now)
            request_count = len(view.all_attempts) + unexplained_count
            load = request_count / max(view.record.slots, 1)
            smoothed_latency_ms = view.smoothed_latency_ms(now)
            # Rounded, so that entries do not all prefer the same target.
            slowness = round(
                smoothed_latency_ms / max(profile.objective_ms, 1), 1
            )
            return candidate.base_cost(now) + load + slowness, (
                self._random.random()
            )

        best = min(candidates, key=cost).view
        return TargetSelection(best, first_ms=best.smoothed_latency_ms(now))


class LeastExpectedLoss:
    """Minimises the expected loss of an attempt and of those beside it.

    Used for services whose targets are engines.

    :param random: source of random tie breakers.
    """

    __slots__ = ('_random',)

    def __init__(self, random: RandomSource) -> None:
        self._random = random

    def choose(
        self,
        candidates: Sequence[Candidate],
        service: Service,
        profile: RequestProfile,
        now: timedelta,
        *,
        entry_count: int,
    ) -> TargetSelection:
        """Return the targets with the lowest expected loss."""
        costs = service.engine
        if costs is None:
            return TargetSelection(candidates[0].view)
        engines = [
            _EngineCandidate(
                candidate,
                costs,
                now,
                self._random,
                _pack_limit(costs, entry_count),
            )
            for candidate in candidates
        ]
        plans = [
            _make_plan(engines, profile, costs, count)
            for count in _PREFILL_PART_COUNTS
            if _is_worthwhile(count, len(engines), profile)
        ]
        return min(plans, key=_cost_of).selection


class _EngineCandidate:
    __slots__ = ('base_cost', 'load', 'pack_limit', 'tie', 'view')

    def __init__(
        self,
        candidate: Candidate,
        costs: EngineCosts,
        now: timedelta,
        random: RandomSource,
        pack_limit: int,
    ) -> None:
        self.view = candidate.view
        self.load = EngineLoad(costs, candidate.view.all_attempts, now)
        self.base_cost = candidate.base_cost(now)
        # Answers up to which an engine in this zone is packed.
        self.pack_limit = pack_limit if candidate.is_same_zone else 0
        self.tie = random.random()

    def prefill_cost(self, prefill_ms: float) -> tuple[float, float]:
        """Return the cost of a part's prefill here, and a tie breaker."""
        wait_cost = self.load.pending_prefill_ms / _WAIT_MS_PER_COST_UNIT
        return (
            self.base_cost + self.load.added_loss(prefill_ms) + wait_cost,
            self.tie,
        )

    def free_tokens(self, costs: EngineCosts) -> int:
        """Return the memory that is probably free, in tokens."""
        return max(
            int(costs.memory_tokens * _PLANNED_MEMORY_SHARE)
            - (self.load.held_tokens),
            0,
        )

    def decode_cost(
        self,
        profile: RequestProfile,
        prefill_ms: float,
        costs: EngineCosts,
    ) -> float:
        """Return the cost of decoding the answer here."""
        cost = 0.0
        if self.load.sequence_count >= costs.slots:
            cost += _NO_CAPACITY_PENALTY * profile.weight
        if prefill_ms <= _SHORT_PREFILL_MS:
            cost -= _PACKING_BONUS * self._packing_gain(
                self.load.sequence_count
            )
        # Prefill that is already queued here delays the new answer as well.
        late = late_probability(
            self.load.event_interval_ms(0), profile.event_gap_ms
        )
        return cost + profile.weight * late

    def _packing_gain(self, count: int) -> int:
        """Return the benefit of one more answer, negative at the limit."""
        return count if count < self.pack_limit else self.pack_limit - count - 1


class _PlacementPlan:
    __slots__ = ('cost', 'selection')

    def __init__(self, selection: TargetSelection, cost: float) -> None:
        self.selection = selection
        self.cost = cost


_WAIT_MS_PER_COST_UNIT = 1000.0


def _make_plan(
    engines: Sequence[_EngineCandidate],
    profile: RequestProfile,
    costs: EngineCosts,
    part_count: int,
) -> _PlacementPlan:
    prefill_ms = profile.prefill_ms(costs, part_count)

    def total_cost(engine: _EngineCandidate) -> tuple[float, float]:
        cost, tie = engine.prefill_cost(prefill_ms)
        return cost + engine.decode_cost(profile, prefill_ms, costs), tie

    def helper_cost(engine: _EngineCandidate) -> tuple[float, float]:
        return engine.prefill_cost(prefill_ms)

    primary = min(engines, key=total_cost)
    others = [engine for engine in engines if engine is not primary]
    helpers = sorted(others, key=helper_cost)[: part_count - 1]
    prefill_engines = (primary, *helpers)
    first_ms = max(
        engine.load.first_ms(profile, prefill_ms) for engine in prefill_engines
    )
    loss = profile.weight * (
        late_probability(first_ms, profile.objective_ms)
        + _FIRST_EVENT_WEIGHT * first_ms / max(profile.objective_ms, 1)
    )
    cost = loss + total_cost(primary)[0]
    cost += sum(helper_cost(engine)[0] + _HELPER_PENALTY for engine in helpers)
    reservations = _split_memory(
        profile,
        [each.free_tokens(costs) for each in prefill_engines],
    )
    if reservations is None:
        cost += _NO_CAPACITY_PENALTY * profile.weight
    else:
        cost += _RESERVATION_PENALTY * len(reservations)
    return _PlacementPlan(
        TargetSelection(
            primary.view,
            tuple(engine.view for engine in helpers),
            first_ms,
            prefill_ms,
            reservations or (),
            fits_memory=reservations is not None
            or profile.context_tokens <= costs.memory_tokens,
        ),
        cost,
    )


def _split_memory(
    profile: RequestProfile,
    free_tokens: Sequence[int],
) -> list[int] | None:
    """Return the tokens to reserve at helpers, or none if it does not fit.

    The list is empty if the primary engine can hold the whole request.

    :param profile: size of the request.
    :param free_tokens: free memory of the primary engine and of each helper.
    """
    if profile.context_tokens <= free_tokens[0]:
        return []
    for holder_count in range(2, len(free_tokens) + 1):
        share = profile.context_tokens // holder_count + _MEMORY_BLOCK_TOKENS
        if share <= min(free_tokens[:holder_count]):
            return [share for _ in range(1, holder_count)]
    return None


def _pack_limit(costs: EngineCosts, entry_count: int) -> int:
    if not entry_count:
        # Until entries know of each other they may pack the same engines.
        return 0
    # The more entries place attempts before a hint of these arrives, the more
    # slots have to stay free.
    free_slots = 1 + entry_count // _ENTRIES_PER_FREE_SLOT
    return max(costs.slots - free_slots, costs.slots // 2)


def _is_worthwhile(
    part_count: int,
    engine_count: int,
    profile: RequestProfile,
) -> bool:
    if part_count == 1:
        return True
    part_tokens = profile.prompt_tokens / part_count
    return part_count <= engine_count and part_tokens >= _MIN_PART_TOKENS


def _cost_of(plan: _PlacementPlan) -> float:
    return plan.cost
