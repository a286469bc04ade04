"""Links from an entry to agents."""

from collections.abc import Mapping
from datetime import timedelta

from zmq import green as zmq

from buckthornpond_core._generated.settings import EntrySettings
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.effects import SendToPeer
from buckthornpond_core.routing.agent_directory import AgentDirectory
from buckthornpond_core.routing.heartbeats import HeartbeatTiming
from buckthornpond_core.routing.subsets import LinkPlan, ZoneSubset
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Inbox
from buckthornpond_runtime.transports import LinkTask, ReceivedMessage


def build_agent_directory(
    settings: EntrySettings,
    configuration: Configuration,
) -> AgentDirectory:
    """Return the directory of agents with the limits of the settings.

    :param settings: settings of the process.
    :param configuration: the configuration in force.
    """
    plan = LinkPlan(
        ZoneSubset(settings.instance, settings.subset_size),
        configuration,
        timedelta(milliseconds=settings.link_idle_ms),
    )
    timing = HeartbeatTiming(
        interval=timedelta(milliseconds=settings.heartbeat_interval_ms),
        budget_bytes=settings.control_budget_bytes,
        peer_timeout=timedelta(milliseconds=settings.peer_timeout_ms),
    )
    return AgentDirectory(plan, timing)


class LinkPool:
    """Opens and closes link tasks and passes messages to them.

    :param incarnation: identity of this process.
    :param inbox: mailbox of the task that owns the pool.
    :param metrics: counters of the process.
    """

    __slots__ = (
        '_context',
        '_inbox',
        '_incarnation',
        '_links',
        '_metrics',
        'startup_peers',
    )

    def __init__(
        self,
        incarnation: str,
        inbox: Inbox[ReceivedMessage],
        metrics: Metrics,
    ) -> None:
        self._context = zmq.Context()
        self._incarnation = incarnation
        self._inbox = inbox
        self._metrics = metrics
        self._links: dict[str, LinkTask] = {}
        self.startup_peers: list[str] = []

    def open_startup_links(self, addresses: list[str]) -> None:
        """Open links to the agents that a starting entry queries.

        These links use a separate identity, because an agent keeps one
        connection for each identity.

        :param addresses: IP addresses and ports of agents.
        """
        for address in addresses:
            name = f'startup {address}'
            identity = f'{self._incarnation}.startup'
            self._links[name] = self._open_link(name, address, identity)
            self.startup_peers.append(name)

    def update_links(self, wanted_addresses: Mapping[str, str]) -> list[str]:
        """Open and close links and return the instances whose link was closed.

        :param wanted_addresses: agent address of each instance to link to.
        """
        closed = [
            name
            for name, link in self._links.items()
            if name not in self.startup_peers
            and wanted_addresses.get(name) != link.address
        ]
        for name in closed:
            self._links.pop(name).close()
        for name, address in wanted_addresses.items():
            if name not in self._links:
                self._links[name] = self._open_link(
                    name,
                    address,
                    self._incarnation,
                )
        return closed

    def send(self, effect: SendToPeer) -> bool:
        """Pass a message to the link of its peer; return False on failure.

        :param effect: the peer and the message.
        """
        link = self._links.get(effect.peer)
        if link is not None and link.mailbox.offer(effect.message):
            return True
        self._metrics.count('undelivered_messages', 'agent')
        return False

    def _open_link(self, name: str, address: str, identity: str) -> LinkTask:
        link = LinkTask(
            self._context,
            identity=identity,
            instance=name,
            address=address,
            inbox=self._inbox,
            metrics=self._metrics,
        )
        link.start()
        return link
