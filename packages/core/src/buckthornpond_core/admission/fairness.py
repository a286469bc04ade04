"""Weighted fair queueing between organisations at one target."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from ..configuration.documents import Configuration
from .queueing import AdmissionOrder, QueuedAttempt, TargetLoad

# Virtual time is an integer number of token fractions, so that it is exact.
_FRACTIONS_PER_TOKEN = 1_048_576

_WaitingByOrganisation = Mapping[str, list[QueuedAttempt]]


class FairOrder:
    """Weighted fair order over the organisations that have waiting attempts.

    Each organisation has a virtual time: the tokens of its started attempts,
    divided by its weight. The organisation with the lowest one comes next.
    Organisations that the operators' rules list come first, in the listed
    order, while they have not started more than their share. The inner
    order chooses among the attempts of an organisation, and of
    organisations with the same virtual time.

    :param inner: order within an organisation.
    :param configuration: source of the weights and of the listed
        organisations.
    """

    __slots__ = ('_configuration', '_inner', '_virtual_times')

    def __init__(
        self,
        inner: AdmissionOrder,
        configuration: Configuration,
    ) -> None:
        self._inner = inner
        self._configuration = configuration
        self._virtual_times = _VirtualTimes(configuration)

    @property
    def tracked_count(self) -> int:
        """Return the number of organisations that have a virtual time."""
        return self._virtual_times.tracked_count

    def choose(
        self,
        load: TargetLoad,
        now: timedelta,
    ) -> QueuedAttempt | None:
        """Return the attempt to start now, and charge its organisation.

        :param load: load of the target, with at least one waiting attempt.
        :param now: time on the monotonic clock.
        """
        waiting = _group_by_organisation(load.waiting)
        self._virtual_times.update_waiting(waiting)
        candidates = [
            queued
            for name in self._find_candidates(waiting)
            for queued in waiting[name]
        ]
        chosen = self._inner.choose(
            TargetLoad(candidates, load.prefilling, load.free_tokens),
            now,
        )
        if chosen is None:
            return None
        if len(load.waiting) == 1:
            # No attempt is left waiting, so no virtual time is needed.
            self._virtual_times.clear()
        else:
            self._virtual_times.charge(chosen)
        return chosen

    def priority(self, queued: QueuedAttempt) -> int:
        """Return the priority that the inner order gives at the engine."""
        return self._inner.priority(queued)

    def _find_candidates(self, waiting: _WaitingByOrganisation) -> list[str]:
        for name in self._configuration.rules.organisation_order:
            if name in waiting and self._virtual_times.is_within_share(name):
                return [name]
        return self._virtual_times.find_lowest(waiting)


class _VirtualTimes:
    """Virtual times of organisations, in fractions of a token by weight.

    The weighted mean over the waiting organisations is the virtual time of
    an ideally fair target. An organisation that begins to wait starts at
    the mean or at its own last virtual time, whichever is later, so it gains
    no credit while it is idle.
    """

    __slots__ = ('_configuration', '_mean', '_times', '_waiting')

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration
        self._times: dict[str, int] = {}
        self._waiting: frozenset[str] = frozenset()
        self._mean = 0

    @property
    def tracked_count(self) -> int:
        """Return the number of organisations that have a virtual time."""
        return len(self._times)

    def update_waiting(self, waiting: Iterable[str]) -> None:
        """Update the set of waiting organisations and the mean virtual time.

        :param waiting: names of the organisations; at least one.
        """
        names = frozenset(waiting)
        self._update_mean(names & self._waiting)
        for name in names - self._waiting:
            self._times[name] = max(self._mean, self._times.get(name, 0))
        self._waiting = names
        self._update_mean(names)
        self._drop_idle()

    def is_within_share(self, name: str) -> bool:
        """Tell whether an organisation has not started more than its share.

        :param name: an organisation that waits.
        """
        return self._times[name] <= self._mean

    def find_lowest(self, waiting: Iterable[str]) -> list[str]:
        """Return the organisations with the lowest virtual time.

        :param waiting: names of the organisations; at least one.
        """
        names = list(waiting)
        lowest = min(self._times[name] for name in names)
        return [name for name in names if self._times[name] == lowest]

    def charge(self, chosen: QueuedAttempt) -> None:
        """Add the tokens of a starting attempt to its organisation.

        :param chosen: the attempt.
        """
        name = chosen.attempt.organisation
        weight = self._configuration.find_weight(name)
        fractions = chosen.total_tokens * _FRACTIONS_PER_TOKEN
        self._times[name] += fractions // weight

    def clear(self) -> None:
        """Reset all virtual times, as no attempt waits."""
        self._times.clear()
        self._waiting = frozenset()
        self._mean = 0

    def _update_mean(self, names: frozenset[str]) -> None:
        if not names:
            return
        lowest = min(self._times[name] for name in names)
        weights = {
            name: self._configuration.find_weight(name) for name in names
        }
        excess = sum(
            weight * (self._times[name] - lowest)
            for name, weight in weights.items()
        )
        self._mean = lowest + excess // sum(weights.values())

    def _drop_idle(self) -> None:
        self._times = {
            name: time
            for name, time in self._times.items()
            if name in self._waiting or time > self._mean
        }


def _group_by_organisation(
    waiting: Iterable[QueuedAttempt],
) -> _WaitingByOrganisation:
    groups: dict[str, list[QueuedAttempt]] = {}
    for queued in waiting:
        groups.setdefault(queued.attempt.organisation, []).append(queued)
    return groups
