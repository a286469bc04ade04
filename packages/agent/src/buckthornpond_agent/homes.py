"""Links of an agent to earlier homes of keys."""

from buckthornpond_core.effects import SendToHome
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Inbox
from buckthornpond_runtime.transports import (
    LinkTask,
    ReceivedMessage,
    ZmqContext,
)


class HomeLinks:
    """Links to earlier homes, each of which opens with its first message.

    :param context: ZeroMQ context of the process.
    :param incarnation: incarnation of this process, its identity on the links.
    :param inbox: mailbox that gets the messages received on the links.
    :param metrics: counters of the process.
    """

    __slots__ = ('_context', '_inbox', '_incarnation', '_links', '_metrics')

    def __init__(
        self,
        context: ZmqContext,
        incarnation: str,
        inbox: Inbox[ReceivedMessage],
        metrics: Metrics,
    ) -> None:
        self._context = context
        self._incarnation = incarnation
        self._inbox = inbox
        self._metrics = metrics
        self._links: dict[str, LinkTask] = {}

    def send(self, effect: SendToHome) -> None:
        """Queue a message for the link to a home; drop it if the queue is full.

        The sender retries a request that gets no reply.

        :param effect: the home's address and the message.
        """
        link = self._links.get(effect.address)
        if link is None:
            link = self._open(effect.address)
        if not link.mailbox.offer(effect.message):
            self._metrics.count('undelivered_messages', 'home')

    def _open(self, address: str) -> LinkTask:
        link = LinkTask(
            self._context,
            identity=self._incarnation,
            instance=address,
            address=address,
            inbox=self._inbox,
            metrics=self._metrics,
        )
        self._links[address] = link
        link.start()
        return link
