"""Instances that may have run an idempotency key before its home."""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from .._generated.inventory import Service
from .._generated.messages import ConfigurationVersion
from ..configuration.documents import Configuration
from ..routing.placement import rank_home, rank_homes
from .key_clock import Cutoff

_NO_VERSION = ConfigurationVersion(inventory_version=0, rules_version=0)


class HomeInstance:
    """Agent that is or may have been the home of a key.

    An instance whose address has changed counts as another home.

    :param name: name of the instance.
    :param address: IP address and port of its agent.
    """

    __slots__ = ('address', 'name')

    def __init__(self, name: str, address: str) -> None:
        self.name = name
        self.address = address


class _MembershipHistory:
    """Membership changes of a service since the start of the incarnation.

    :param instance: the agent's instance.
    :param now: start of the incarnation on the monotonic clock.
    """

    __slots__ = ('_joined_at', '_left_homes', 'changed_version', 'members')

    def __init__(self, instance: str, now: timedelta) -> None:
        self.members: dict[str, str] = {}
        self.changed_version = _NO_VERSION
        # Changes before the start are unknown, so this instance may be new.
        self._joined_at = {instance: now}
        self._left_homes: dict[str, tuple[HomeInstance, timedelta]] = {}

    def follow(
        self,
        members: dict[str, str],
        version: ConfigurationVersion,
        now: timedelta,
    ) -> None:
        """Apply the homes of the service in a new configuration."""
        if members == self.members:
            return
        if self.changed_version.inventory_version:
            added = set(members) - set(self.members)
            self._joined_at.update(dict.fromkeys(added, now))
        for name, address in self.members.items():
            if members.get(name) != address:
                self._left_homes[address] = HomeInstance(name, address), now
        for address in members.values():
            self._left_homes.pop(address, None)
        self.members = members
        self.changed_version = version

    def drop_settled(self, oldest: timedelta) -> None:
        """Drop changes that every process has applied by now.

        :param oldest: time before which changes are settled.
        """
        for name, joined in list(self._joined_at.items()):
            if joined < oldest:
                self._joined_at.pop(name)
        for address, (_home, left) in list(self._left_homes.items()):
            if left < oldest:
                self._left_homes.pop(address)

    @property
    def unsettled_joined(self) -> set[str]:
        """Return the instances that joined and may not be settled yet."""
        return set(self._joined_at)

    @property
    def unsettled_left(self) -> dict[str, HomeInstance]:
        """Return the homes that left and may not be settled yet."""
        return {
            address: home for address, (home, _left) in self._left_homes.items()
        }


class HomeDirectory:
    """Directory of earlier homes and the versions that they reported.

    :param instance: the agent's instance.
    :param configuration: configuration in force.
    """

    __slots__ = (
        '_acknowledged',
        '_configuration',
        '_histories',
        '_instance',
        '_retired',
    )

    def __init__(self, instance: str, configuration: Configuration) -> None:
        self._instance = instance
        self._configuration = configuration
        self._histories: dict[str, _MembershipHistory] = {}
        self._acknowledged: dict[str, tuple[ConfigurationVersion, Cutoff]] = {}
        self._retired: dict[str, Cutoff] = {}

    def apply_configuration(self, cutoff: Cutoff) -> None:
        """Apply the inventory and the rules in force.

        :param cutoff: current time.
        """
        version = self._configuration.version
        for service in self._configuration.services.values():
            history = self._histories.setdefault(
                service.name,
                _MembershipHistory(self._instance, cutoff.monotonic_time),
            )
            members = self._find_members(service)
            history.follow(members, version, cutoff.monotonic_time)
        for name in self._configuration.rules.retired_instances:
            self._retired.setdefault(name, cutoff)

    def record_version(
        self,
        address: str,
        version: ConfigurationVersion,
        cutoff: Cutoff,
    ) -> None:
        """Record the document versions that another home has in force.

        :param address: address of the home.
        :param version: versions that it reported.
        :param cutoff: current time.
        """
        reported = self._acknowledged.get(address)
        if reported is None or reported[0] != version:
            self._acknowledged[address] = version, cutoff

    def find_earlier_homes(
        self,
        service: Service,
        key: str,
        now: timedelta,
    ) -> list[HomeInstance]:
        """Return the other homes that may have run a key or may still run it.

        :param service: service of the key.
        :param key: result of :func:`join_key`.
        :param now: time on the monotonic clock.
        """
        history = self._histories.get(service.name)
        current = self._configuration.services.get(service.name)
        if history is None or current is None:
            return []
        history.drop_settled(now - timedelta(milliseconds=service.settle_ms))
        joining = history.unsettled_joined | set(current.joining_instances)
        homes, settled_name = _find_member_homes(key, history.members, joining)
        former = {**self._find_listed_homes(current), **history.unsettled_left}
        homes.extend(
            home
            for home in former.values()
            if not settled_name
            or rank_home(key, home.name) >= rank_home(key, settled_name)
        )
        return homes

    def find_retirement_cutoff(self, home: HomeInstance) -> Cutoff | None:
        """Return when this agent first saw a home in the retired instances.

        Returns ``None`` for a home that is not retired, or that the
        configuration in force still contains.

        :param home: home to look up.
        """
        if self._is_configured(home):
            return None
        return self._retired.get(home.name)

    def find_acknowledgement_cutoff(
        self,
        service: Service,
        home: HomeInstance,
    ) -> Cutoff | None:
        """Return when a home first reported its version, if recent enough.

        Returns ``None`` for a version before the service's last change.

        :param service: service of the key.
        :param home: home to look up.
        """
        reported = self._acknowledged.get(home.address)
        history = self._histories.get(service.name)
        if reported is None or history is None:
            return None
        version, cutoff = reported
        changed = history.changed_version
        is_up_to_date = (
            version.inventory_version >= changed.inventory_version
            and version.rules_version >= changed.rules_version
        )
        return cutoff if is_up_to_date else None

    def _find_members(self, service: Service) -> dict[str, str]:
        instances = self._configuration.instances
        return {
            name: instances[name].agent_address
            for name in self._configuration.find_home_instances(service)
        }

    def _find_listed_homes(self, service: Service) -> dict[str, HomeInstance]:
        """Return the homes that the documents list as former or draining."""
        homes = {
            each.agent_address: HomeInstance(each.name, each.agent_address)
            for each in self._configuration.inventory.former_instances
            if service.name in each.services
        }
        serving = self._configuration.find_home_instances(service)
        for name in set(service.instances) - set(serving):
            address = self._configuration.instances[name].agent_address
            homes[address] = HomeInstance(name, address)
        return homes

    def _is_configured(self, home: HomeInstance) -> bool:
        instance = self._configuration.instances.get(home.name)
        return instance is not None and instance.agent_address == home.address


def _find_member_homes(
    key: str,
    members: Mapping[str, str],
    joining: Iterable[str],
) -> tuple[list[HomeInstance], str]:
    """Return the members that may have been home before the current one.

    Also returns the name of the highest-ranked settled member, or an empty
    string. It was the home until members above it joined, so lower-ranked
    members cannot have run the key.
    """
    own, *others = rank_homes(key, list(members))
    if own not in joining:
        return [], own
    homes: list[HomeInstance] = []
    for name in others:
        homes.append(HomeInstance(name, members[name]))
        if name not in joining:
            return homes, name
    return homes, ''
