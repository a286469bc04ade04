"""Effects that decision classes return for their tasks to carry out."""

from datetime import timedelta
from typing import TypeAlias

from ._generated.events import CallChunk, CallEnded, CallStarted
from ._generated.messages import (
    Accepted,
    Attempt,
    Cancel,
    Chunk,
    Credit,
    Document,
    DocumentName,
    DocumentRequest,
    FenceKey,
    FenceReply,
    Final,
    Heartbeat,
    Hint,
    Query,
    QueryReply,
    Refused,
    Started,
)

WireMessage: TypeAlias = (
    Accepted
    | Attempt
    | Cancel
    | Chunk
    | Credit
    | Document
    | DocumentRequest
    | FenceKey
    | FenceReply
    | Final
    | Heartbeat
    | Hint
    | Query
    | QueryReply
    | Refused
    | Started
)
ResponseMessage: TypeAlias = Started | Chunk | Final | Refused
CallMessage: TypeAlias = CallStarted | CallChunk | CallEnded


class SendToPeer:
    """Request to send a message to a peer process.

    :param peer: instance of an agent, or incarnation of an entry.
    """

    __slots__ = ('message', 'peer')

    def __init__(self, peer: str, message: WireMessage) -> None:
        self.peer = peer
        self.message = message


class SendToHome:
    """Request to send a fence message to an earlier home of a key.

    :param address: IP address and port of that home's agent.
    """

    __slots__ = ('address', 'message')

    def __init__(self, address: str, message: FenceKey) -> None:
        self.address = address
        self.message = message


class SendToCaller:
    """Request to pass part of a response to the task of its caller."""

    __slots__ = ('message', 'request_number')

    def __init__(self, request_number: int, message: ResponseMessage) -> None:
        self.request_number = request_number
        self.message = message


class StartCall:
    """Request to call the target for an attempt.

    :param attempt: the attempt.
    :param address: IP address and port of the target.
    :param time_limit: time that the attempt has left.
    :param priority: rank at an engine, which serves the lowest one first.
    """

    __slots__ = ('address', 'attempt', 'priority', 'time_limit')

    def __init__(
        self,
        attempt: Attempt,
        address: str,
        time_limit: timedelta,
        priority: int = 0,
    ) -> None:
        self.attempt = attempt
        self.address = address
        self.time_limit = time_limit
        self.priority = priority


class GrantCallCredit:
    """Request to let a call read more of the target's response."""

    __slots__ = ('attempt_id', 'credit_bytes')

    def __init__(self, attempt_id: str, credit_bytes: int) -> None:
        self.attempt_id = attempt_id
        self.credit_bytes = credit_bytes


class CancelCall:
    """Request to close the call to the target."""

    __slots__ = ('attempt_id',)

    def __init__(self, attempt_id: str) -> None:
        self.attempt_id = attempt_id


class ReadDocument:
    """Request to read a document of the platform.

    :param name: name of the document.
    :param after_version: version already known; only a newer one is read.
    :param watch_timeout: how long the read waits for a change.
    """

    __slots__ = ('after_version', 'name', 'watch_timeout')

    def __init__(
        self,
        name: DocumentName,
        after_version: int,
        watch_timeout: timedelta,
    ) -> None:
        self.name = name
        self.after_version = after_version
        self.watch_timeout = watch_timeout


RouterEffect: TypeAlias = SendToPeer | SendToCaller
AgentEffect: TypeAlias = (
    SendToPeer | SendToHome | StartCall | GrantCallCredit | CancelCall
)
