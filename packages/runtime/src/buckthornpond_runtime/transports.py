"""ZeroMQ sockets between processes, each owned by one task."""

from collections.abc import Iterator
from typing import Any, TypeAlias

import gevent
from zmq import green as zmq

from buckthornpond_core._generated.messages import (
    Attempt,
    Outcome,
    Refused,
)
from buckthornpond_core.effects import SendToPeer, WireMessage
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import MalformedMessageError, TransportError

from .batches import (
    MAX_BATCH_MESSAGES,
    Batch,
    build_batches,
    count_bytes,
    group_by_peer,
    split_frames,
)
from .codecs import decode_message
from .logs import log_event
from .metrics import Metrics
from .tasks import AnyGreenlet, Inbox, Mailbox

ZmqContext: TypeAlias = 'zmq.Context[Any]'

_MAX_MESSAGE_BYTES = 72_000_000
_RECONNECT_MS = 50
_MAX_SEND_QUEUE_MESSAGES = 100_000
# Other tasks run after this many messages, however many more wait.
_MAX_BURST_MESSAGES = 64
_BURST_PAUSE_SECONDS = 0.001


class ReceivedMessage:
    """Message received from a peer."""

    __slots__ = ('message', 'peer')

    def __init__(self, peer: str, message: WireMessage) -> None:
        self.peer = peer
        self.message = message


class AgentListenerTask:
    """Owns the listening socket of an agent.

    The address stays bound exclusively while the process runs, so that a
    second process cannot start in the same slot.

    :param context: the process's ZeroMQ context.
    :param address: IP address and port to listen on.
    :param inbox: mailbox of the task that handles messages of peers.
    :param metrics: counters of the process.
    """

    __slots__ = ('_address', '_inbox', '_metrics', '_socket', 'mailbox')

    def __init__(
        self,
        context: ZmqContext,
        address: str,
        inbox: Inbox[ReceivedMessage],
        metrics: Metrics,
    ) -> None:
        self.mailbox: Mailbox[SendToPeer] = Mailbox()
        self._address = address
        self._inbox = inbox
        self._metrics = metrics
        self._socket = context.socket(zmq.ROUTER)
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._socket.setsockopt(zmq.ROUTER_HANDOVER, 1)
        self._socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        self._socket.setsockopt(zmq.SNDHWM, _MAX_SEND_QUEUE_MESSAGES)
        try:
            self._socket.bind(f'tcp://{address}')
        except zmq.ZMQError as error:
            raise TransportError(
                str(error),
                step='bind agent port',
                peer=address,
            ) from error

    def run(self) -> None:
        """Receive and send messages until the process ends."""
        gevent.joinall(
            [gevent.spawn(self._read), gevent.spawn(self._write)],
            raise_error=True,
        )

    def _read(self) -> None:
        for identity, *frames in receive_in_bursts(self._socket):
            peer = identity.decode('ascii', 'replace')
            try:
                for each in split_frames(frames, peer):
                    self._deliver(each, peer)
            except MalformedMessageError as error:
                self._report_malformed(error)

    def _deliver(self, frames: list[bytes], peer: str) -> None:
        try:
            message = decode_message(frames, peer)
        except MalformedMessageError as error:
            self._report_malformed(error)
            return
        count_bytes(self._metrics, 'received', frames)
        self._inbox.send(ReceivedMessage(peer, message))

    def _report_malformed(self, error: MalformedMessageError) -> None:
        self._metrics.count('malformed_messages', 'entry')
        log_event(
            EventCode.malformed_entry_message,
            entry=error.peer,
            error=error.message,
        )

    def _write(self) -> None:
        while True:
            effects = self.mailbox.receive_all(MAX_BATCH_MESSAGES)
            for peer, messages in group_by_peer(effects).items():
                for batch in build_batches(messages):
                    self._send(peer, batch)

    def _send(self, peer: str, batch: Batch) -> None:
        frames = [peer.encode(), *batch.frames]
        try:
            self._socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            count = len(batch.messages)
            self._metrics.add('undelivered_messages', 'entry', count)
            return
        for each in split_frames(batch.frames, peer):
            count_bytes(self._metrics, 'sent', each)


class LinkTask:
    """Owns the socket from this process to one agent.

    :param context: the process's ZeroMQ context.
    :param identity: incarnation of this process.
    :param instance: the agent's instance.
    :param address: the agent's IP address and port.
    :param inbox: mailbox of the task that handles messages of the agent.
    :param metrics: counters of the process.
    """

    __slots__ = (
        '_greenlets',
        '_inbox',
        '_instance',
        '_metrics',
        '_socket',
        'address',
        'mailbox',
    )

    def __init__(
        self,
        context: ZmqContext,
        *,
        identity: str,
        instance: str,
        address: str,
        inbox: Inbox[ReceivedMessage],
        metrics: Metrics,
    ) -> None:
        self.mailbox: Mailbox[WireMessage] = Mailbox()
        self.address = address
        self._instance = instance
        self._inbox = inbox
        self._metrics = metrics
        self._greenlets: list[AnyGreenlet] = []
        self._socket = context.socket(zmq.DEALER)
        self._socket.setsockopt(zmq.ROUTING_ID, identity.encode())
        self._socket.setsockopt(zmq.LINGER, 0)
        self._socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        # Queue nothing for a peer that is down, since the next process at its
        # address would receive it.
        self._socket.setsockopt(zmq.IMMEDIATE, 1)
        self._socket.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        self._socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1000)
        self._socket.connect(f'tcp://{address}')

    def start(self) -> None:
        """Start to receive and send messages."""
        self._greenlets = [gevent.spawn(self._read), gevent.spawn(self._write)]
        log_event(
            EventCode.link_opened, agent=self._instance, address=self.address
        )

    def close(self) -> None:
        """Close the socket."""
        gevent.killall(self._greenlets)
        self._socket.close()

    def _read(self) -> None:
        for frames in receive_in_bursts(self._socket):
            try:
                for each in split_frames(frames, self._instance):
                    self._deliver(each)
            except MalformedMessageError as error:
                self._report_malformed(error)

    def _deliver(self, frames: list[bytes]) -> None:
        try:
            message = decode_message(frames, self._instance)
        except MalformedMessageError as error:
            self._report_malformed(error)
            return
        count_bytes(self._metrics, 'received', frames)
        self._inbox.send(ReceivedMessage(self._instance, message))

    def _report_malformed(self, error: MalformedMessageError) -> None:
        self._metrics.count('malformed_messages', 'agent')
        log_event(
            EventCode.malformed_agent_message,
            agent=self._instance,
            error=error.message,
        )

    def _write(self) -> None:
        while True:
            messages = self.mailbox.receive_all(MAX_BATCH_MESSAGES)
            for batch in build_batches(messages):
                self._send(batch)

    def _send(self, batch: Batch) -> None:
        try:
            self._socket.send_multipart(batch.frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            self._report_undelivered(batch)
            return
        for each in split_frames(batch.frames, self._instance):
            count_bytes(self._metrics, 'sent', each)

    def _report_undelivered(self, batch: Batch) -> None:
        count = len(batch.messages)
        self._metrics.add('undelivered_messages', 'agent', count)
        for message in batch.messages:
            if isinstance(message, Attempt):
                refused = refuse_attempt(message)
                self._inbox.send(ReceivedMessage(self._instance, refused))


def receive_in_bursts(source: Any) -> Iterator[list[bytes]]:
    """Yield the frames of each message, without an end.

    A socket that always holds a message would keep its reader running.

    :param source: ZeroMQ socket.
    """
    while True:
        for _ in range(_MAX_BURST_MESSAGES):
            yield source.recv_multipart()
        gevent.sleep(_BURST_PAUSE_SECONDS)


def refuse_attempt(attempt: Attempt) -> Refused:
    """Return the refusal of an attempt that was never sent.

    :param attempt: the attempt.
    """
    return Refused(
        attempt_id=attempt.attempt_id,
        reason='agent_unreachable',
        outcome=Outcome.not_run,
        retry_after_ms=0,
    )
