"""Effects of a request that its tasks have to carry out."""

from collections.abc import Collection, Sequence
from datetime import timedelta
from typing import TypeAlias

from .._generated.serving import (
    AttemptReport,
    Placement,
    ResponseMetadata,
    TargetStatement,
)

HeaderFields: TypeAlias = Sequence[tuple[str, str]]


class TargetControlRequest:
    """HTTP request that controls a target, such as a memory reservation.

    :param method: HTTP method.
    :param path: path of the request.
    :param fields: header fields.
    :param body: encoded body.
    """

    __slots__ = ('body', 'fields', 'method', 'path')

    def __init__(
        self,
        method: str,
        path: str,
        fields: HeaderFields,
        body: bytes,
    ) -> None:
        self.method = method
        self.path = path
        self.fields = fields
        self.body = body


class ResponseHead:
    """Head of a target's response.

    :param metadata: properties stated by the head.
    :param fields: header fields forwarded to the caller unchanged.
    :param is_first_on_connection: whether no request was sent before on the
        connection, so that the response cannot belong to an earlier one.
    """

    __slots__ = ('fields', 'is_first_on_connection', 'metadata')

    def __init__(
        self,
        metadata: ResponseMetadata,
        fields: HeaderFields,
        *,
        is_first_on_connection: bool = False,
    ) -> None:
        self.metadata = metadata
        self.fields = fields
        self.is_first_on_connection = is_first_on_connection


class RequestPlacement:
    """Request to the dispatcher to place the next attempt.

    :param excluded: names of targets that the request was already sent to.
    :param is_repeat: whether a target may already have received the request.
    """

    __slots__ = ('excluded', 'is_repeat')

    def __init__(self, excluded: Collection[str], *, is_repeat: bool) -> None:
        self.excluded = excluded
        self.is_repeat = is_repeat


class StartAttempt:
    """Start of an attempt at a target.

    :param placement: target and helpers of the attempt.
    :param time_limit: time left until the request's deadline.
    :param attempt_id: identifies the request.
    :param last_event_id: last event that the caller has, or empty.
    :param detects_dead_target: whether the attempt fails once the target's
        machine acknowledges nothing, or waits until the time limit.
    """

    __slots__ = (
        'attempt_id',
        'detects_dead_target',
        'last_event_id',
        'placement',
        'time_limit',
    )

    def __init__(
        self,
        placement: Placement,
        time_limit: timedelta,
        *,
        attempt_id: str,
        last_event_id: str,
        detects_dead_target: bool,
    ) -> None:
        self.attempt_id = attempt_id
        self.detects_dead_target = detects_dead_target
        self.placement = placement
        self.time_limit = time_limit
        self.last_event_id = last_event_id


class StopAttempt:
    """Cancellation of the running attempt, which closes its connection."""

    __slots__ = ()


class ReportFirstByte:
    """Notice to the dispatcher that a target started its response.

    :param placement: placement of the attempt.
    """

    __slots__ = ('placement',)

    def __init__(self, placement: Placement) -> None:
        self.placement = placement


class ReportProof:
    """Notice to the dispatch task that a target survives a request.

    :param parts: parts of its prompt that others may hold too, and its
        identity.
    :param proven_at: time on the monotonic clock.
    """

    __slots__ = ('parts', 'proven_at')

    def __init__(self, parts: Sequence[str], proven_at: timedelta) -> None:
        self.parts = parts
        self.proven_at = proven_at


class ReportStatement:
    """Notice to the dispatch task of what a target says of itself.

    :param placement: placement of the attempt.
    :param statement: the statement, or ``None`` if an earlier one ended.
    """

    __slots__ = ('placement', 'statement')

    def __init__(
        self, placement: Placement, statement: TargetStatement | None
    ) -> None:
        self.placement = placement
        self.statement = statement


class ReportAttempt:
    """Notice to the dispatcher that an attempt ended.

    :param placement: placement of the attempt.
    :param report: outcome of the attempt.
    """

    __slots__ = ('placement', 'report')

    def __init__(self, placement: Placement, report: AttemptReport) -> None:
        self.placement = placement
        self.report = report


class SendResponse:
    """Complete response of a target, to send to the caller.

    :param head: head of the response.
    :param body: body of the response.
    """

    __slots__ = ('body', 'head')

    def __init__(self, head: ResponseHead, body: bytes) -> None:
        self.head = head
        self.body = body


class SendHead:
    """Head of a stream, to send to the caller.

    :param head: response head of the first target that answered.
    """

    __slots__ = ('head',)

    def __init__(self, head: ResponseHead) -> None:
        self.head = head


class SendEvents:
    """Complete events of a stream, to send to the caller.

    :param events: encoded events.
    """

    __slots__ = ('events',)

    def __init__(self, events: bytes) -> None:
        self.events = events


class EndStream:
    """Regular end of a stream."""

    __slots__ = ()


class SendRefusal:
    """Refusal by the entry itself, to send to the caller.

    :param reason: stable code of the refusal.
    :param retry_after_ms: delay before a retry, zero for no retry.
    """

    __slots__ = ('reason', 'retry_after_ms')

    def __init__(self, reason: str, retry_after_ms: int) -> None:
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class AbortResponse:
    """Abort of the caller's connection, so that the response is incomplete.

    :param reason: stable code for log event and counter.
    """

    __slots__ = ('reason',)

    def __init__(self, reason: str) -> None:
        self.reason = reason


ExchangeEffect: TypeAlias = (
    RequestPlacement
    | AbortResponse
    | ReportFirstByte
    | ReportProof
    | ReportStatement
    | ReportAttempt
    | EndStream
    | SendEvents
    | SendHead
    | SendRefusal
    | SendResponse
    | StartAttempt
    | StopAttempt
)
