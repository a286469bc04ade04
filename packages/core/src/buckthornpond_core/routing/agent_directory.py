"""State of the agents that an entry has links to."""

from collections.abc import Collection, Iterable
from datetime import timedelta

from .heartbeats import HeartbeatTiming
from .placement import AgentView
from .subsets import LinkPlan


class AgentDirectory:
    """Views of the linked agents, with their heartbeats and timeouts.

    :param plan: selects the instances to link to.
    :param timing: interval and timeout of heartbeats.
    """

    __slots__ = ('_timing', '_plan', '_views')

    def __init__(self, plan: LinkPlan, timing: HeartbeatTiming) -> None:
        self._plan = plan
        self._timing = timing
        self._views: dict[str, AgentView] = {}

    def __getitem__(self, instance: str) -> AgentView:
        """Return the view of a linked instance."""
        return self._views[instance]

    @property
    def linked_instances(self) -> frozenset[str]:
        """Return the instances that need a link."""
        return frozenset(self._views)

    @property
    def interval(self) -> timedelta:
        """Return the time between two heartbeats on each link."""
        return self._timing.find_interval(len(self._views))

    def get(self, instance: str) -> AgentView | None:
        """Return the view of an instance, if it is linked.

        :param instance: name of the instance.
        """
        return self._views.get(instance)

    def values(self) -> Iterable[AgentView]:
        """Return every view."""
        return self._views.values()

    def request_link(self, instance: str) -> None:
        """Request a link outside the subset, such as to the home of a key.

        :param instance: name of the instance.
        """
        self._plan.request_link(instance)

    def update_links(
        self,
        busy_instances: Collection[str],
        now: timedelta | None = None,
    ) -> None:
        """Add agents that need a link; drop unwanted ones without requests.

        :param busy_instances: instances that have a request in flight.
        :param now: time on the monotonic clock; the last one if omitted.
        """
        wanted_instances = self._plan.find_wanted_links(now)
        for instance in wanted_instances.difference(self._views):
            self._views[instance] = AgentView(instance)
        for instance in self._views.keys() - wanted_instances:
            if instance not in busy_instances:
                self._views.pop(instance)

    def collect_due(self, now: timedelta) -> list[str]:
        """Return the agents due for a heartbeat, and record it as sent.

        An agent without a hint so far is due at each call.

        :param now: time on the monotonic clock.
        """
        cutoff = now - self.interval
        due = [
            each
            for each in self._views.values()
            if each.hint is None
            or each.last_heartbeat_at is None
            or each.last_heartbeat_at <= cutoff
        ]
        for view in due:
            view.last_heartbeat_at = now
        return [each.instance for each in due]

    def find_unresponsive(self, now: timedelta) -> list[str]:
        """Return the agents that sent nothing within the timeout.

        :param now: time on the monotonic clock.
        """
        cutoff = now - self._timing.find_timeout(len(self._views))
        return [
            each.instance
            for each in self._views.values()
            if each.last_heard_at is not None and each.last_heard_at < cutoff
        ]
