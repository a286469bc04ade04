"""Steps for messages between processes that do not end."""

from typing import Any

import gevent
from behave import given, then, when
from zmq import green as zmq

from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import find_free_port
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox
from buckthornpond_runtime.transports import AgentListenerTask, LinkTask
from features.specs.endless_messages import EndlessMessage

_MEBIBYTE = 1_048_576
_MAX_SENT_BYTES = 16 * _MEBIBYTE


class MessageReader:
    """Socket of an entry or of an agent, with a peer that does not end.

    :param part: what the peer sends without end.
    :param reader: which socket.
    """

    def __init__(self, part: str, reader: str) -> None:
        self._context: Any = zmq.Context()
        self._link: LinkTask | None = None
        self._running: Any = None
        if reader == 'an entry':
            self.peer = EndlessMessage(part, 'ROUTER', _MAX_SENT_BYTES)
            self._link = LinkTask(
                self._context,
                identity='entry-1',
                instance='agent-1',
                address=self.peer.listen(),
                inbox=Mailbox(),
                metrics=Metrics(),
            )
            self._link.start()
            return
        self.peer = EndlessMessage(part, 'DEALER', _MAX_SENT_BYTES)
        address = f'127.0.0.1:{find_free_port()}'
        listener = AgentListenerTask(
            self._context, address, Mailbox(), Metrics()
        )
        self._running = gevent.spawn(listener.run)
        self.peer.connect(address)

    def close(self) -> None:
        """Close the sockets."""
        self.peer.close()
        if self._link is not None:
            self._link.close()
        if self._running is not None:
            self._running.kill()
        self._context.destroy(linger=0)


@given('{reader} whose peer sends {part} without end')
def start_reader(context: Any, reader: str, part: str) -> None:
    """Start the socket and its peer."""
    context.fleet = MessageReader(part, reader)


@when('the peer is cut off or has sent 16 MiB')
def wait_ended(context: Any) -> None:
    """Wait until nothing more is sent."""
    wait_until(lambda: context.fleet.peer.has_ended)


@then('it was cut off after at most {mebibytes:d} MiB')
def check_cut_off(context: Any, mebibytes: int) -> None:
    """Compare what the peer could send, with kernel buffers."""
    peer = context.fleet.peer
    assert peer.is_cut_off, peer.sent_bytes
    assert peer.sent_bytes <= mebibytes * _MEBIBYTE, peer.sent_bytes
