"""Messages from the task of an attempt to the task of its request."""

from typing import TypeAlias

from .effects import ResponseHead
from .health import AttemptOutcome


class AttemptHead:
    """Head of the target's response.

    :param head: status and header fields.
    """

    __slots__ = ('head',)

    def __init__(self, head: ResponseHead) -> None:
        self.head = head


class AttemptBody:
    """Part of the response body.

    :param content: bytes of the part.
    """

    __slots__ = ('content',)

    def __init__(self, content: bytes) -> None:
        self.content = content


class AttemptCompleted:
    """End of a response that nothing shows to be incomplete.

    :param is_delimited: whether its head or framing told where it ends, not
        only the end of the connection.
    """

    __slots__ = ('is_delimited',)

    def __init__(self, *, is_delimited: bool = True) -> None:
        self.is_delimited = is_delimited


class AttemptFailed:
    """Failure of the attempt before the response was complete.

    :param outcome: kind of the failure.
    :param is_sent: whether any byte may have reached the target.
    :param error: description with the failed step and the peer.
    :param target: name of the failed target if it is a helper, else empty.
    """

    __slots__ = ('error', 'is_sent', 'outcome', 'target')

    def __init__(
        self,
        outcome: AttemptOutcome,
        *,
        is_sent: bool,
        error: str,
        target: str = '',
    ) -> None:
        self.outcome = outcome
        self.is_sent = is_sent
        self.error = error
        self.target = target


AttemptMessage: TypeAlias = (
    AttemptBody | AttemptCompleted | AttemptFailed | AttemptHead
)
