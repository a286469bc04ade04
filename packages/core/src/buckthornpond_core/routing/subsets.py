"""Subsetting: the instances that an entry keeps links to."""

from collections.abc import Collection, Sequence
from datetime import timedelta
from itertools import chain, zip_longest
from typing import Protocol

from .._generated.inventory import Service
from ..configuration.documents import Configuration
from .placement import rank_homes


class SubsetPolicy(Protocol):
    """Policy that selects the instances of a service that an entry uses."""

    def choose(
        self,
        service: Service,
        configuration: Configuration,
    ) -> Collection[str]:
        """Return the instances to keep links to.

        :param service: a service of the configuration.
        :param configuration: documents in force.
        """


class AllInstances:
    """Baseline: every instance of the service."""

    __slots__ = ()

    def choose(
        self,
        service: Service,
        configuration: Configuration,
    ) -> Collection[str]:
        """Return every instance."""
        return service.instances


class ZoneSubset:
    """Subset spread evenly over zones, by rendezvous hash of the entry.

    A change of the inventory moves only the links of instances that were
    added or removed. A service no larger than the subset is used in full.

    :param entry: instance of the entry.
    :param size: most instances of one service.
    """

    __slots__ = ('_entry', '_size')

    def __init__(self, entry: str, size: int) -> None:
        self._entry = entry
        self._size = size

    def choose(
        self,
        service: Service,
        configuration: Configuration,
    ) -> Collection[str]:
        """Return the first of each zone, then the second, up to the size."""
        if len(service.instances) <= self._size:
            return service.instances
        zones: dict[str, list[str]] = {}
        for name in service.instances:
            zone = configuration.instances[name].availability_zone
            zones.setdefault(zone, []).append(name)
        ordered_zones = [
            zones[zone] for zone in rank_homes(self._entry, list(zones))
        ]
        return self._interleave(ordered_zones)

    def _interleave(self, zones: Sequence[list[str]]) -> list[str]:
        ranked_by_zone = (rank_homes(self._entry, names) for names in zones)
        interleaved = chain.from_iterable(zip_longest(*ranked_by_zone))
        return [name for name in interleaved if name is not None][: self._size]


class LinkPlan:
    """Instances that an entry links to: its subsets and recent requests.

    :param policy: selects the instances of each service.
    :param configuration: documents in force.
    :param idle_timeout: time after which a link that was requested expires.
    """

    __slots__ = (
        '_configuration',
        '_requested_at',
        '_idle_timeout',
        '_last_now',
        '_policy',
        '_subset',
        '_version',
    )

    def __init__(
        self,
        policy: SubsetPolicy,
        configuration: Configuration,
        idle_timeout: timedelta,
    ) -> None:
        self._policy = policy
        self._configuration = configuration
        self._idle_timeout = idle_timeout
        self._last_now = timedelta(0)
        self._requested_at: dict[str, timedelta] = {}
        self._subset: frozenset[str] = frozenset()
        self._version = 0

    def request_link(self, instance: str) -> None:
        """Request a link to an instance, such as the home of a key.

        :param instance: the instance, inside or outside the subset.
        """
        self._requested_at[instance] = self._last_now

    def find_wanted_links(self, now: timedelta | None = None) -> frozenset[str]:
        """Return the instances that need a link.

        :param now: time on the monotonic clock; the last one if omitted.
        """
        now = self._last_now if now is None else now
        self._last_now = now
        self._update_subset()
        cutoff = now - self._idle_timeout
        for instance, requested_at in list(self._requested_at.items()):
            if requested_at < cutoff:
                self._requested_at.pop(instance)
        configured = self._configuration.instances
        return self._subset.union(
            name for name in self._requested_at if name in configured
        )

    def _update_subset(self) -> None:
        version = self._configuration.inventory.version
        if version == self._version:
            return
        self._version = version
        self._subset = frozenset(
            chain.from_iterable(
                self._policy.choose(service, self._configuration)
                for service in self._configuration.services.values()
            ),
        )
