"""Store, servers and one entry process, with the peers of a scenario."""

from typing import Protocol

from buckthornpond_platform_standins.local_clusters import LocalCluster
from buckthornpond_platform_standins.processes import EntryProcess


class ClosablePeer(Protocol):
    """Peer of the process that a scenario starts."""

    def close(self) -> None:
        """Stop the peer."""


class ProcessWorld(LocalCluster):
    """Store, servers and one entry process."""

    def __init__(self) -> None:
        super().__init__()
        self.process: EntryProcess | None = None
        self.peers: list[ClosablePeer] = []

    def close(self) -> None:
        """Stop the process, the peers, the servers and the store."""
        if self.process is not None:
            self.process.stop()
        for peer in self.peers:
            peer.close()
        super().close()
