"""Generated histories of answers, refusals and copies on kept connections."""

from collections import deque
from enum import Enum
from typing import TypeAlias

import gevent
from gevent.socket import IPPROTO_TCP, TCP_NODELAY, socket
from hypothesis import strategies as st

from buckthornpond_entry.direct.requests import CallerRequest
from buckthornpond_platform_standins.server_responses import (
    NOT_RUN_LINE,
    SIGNATURE_LINE,
    ReceivedRequest,
    render_body,
    render_event,
)
from buckthornpond_platform_standins.servers import ServerStandIn

EVENT_COUNT = 2
_LAST_CHUNK = b'0\r\n\r\n'
_PERCENT = 100
_MAX_EXTRAS = 3
_AGES = (0, 0, 0, 1, 2, 3)
_MIN_TURNS = 6
_MAX_TURNS = 16
_PAUSE_SECONDS = 0.002


class TurnResult(Enum):
    """What a server does with one request."""

    answered = 'answered'
    failed = 'failed'
    refused = 'refused'
    misdirected = 'misdirected'
    # It runs the request and closes the connection.
    lost = 'lost'


RUN_RESULTS = frozenset(
    (TurnResult.answered, TurnResult.failed, TurnResult.lost)
)


class Extra:
    """Copy of an earlier response on the connection, or a part of it.

    :param age: how many responses ago the original was sent.
    :param sent_percent: part of the copy that is sent.
    :param result: what it tells of the original's request, ``None`` if that is
        what the original told.
    :param is_named: whether it has the ID of the original.
    """

    __slots__ = ('age', 'is_named', 'result', 'sent_percent')

    def __init__(
        self,
        age: int,
        sent_percent: int,
        result: TurnResult | None,
        *,
        is_named: bool,
    ) -> None:
        self.age = age
        self.sent_percent = sent_percent
        self.result = result
        self.is_named = is_named

    def __repr__(self) -> str:
        """Return what a failure shows of it."""
        return (
            f'Extra({self.age}, {self.sent_percent}, {self.result},'
            f' {self.is_named})'
        )


class Turn:
    """What a server does when a request arrives.

    :param result: what becomes of the request.
    :param before: copies that are sent before the response.
    :param after: copies that are sent behind it.
    :param split_percent: where all these bytes are sent in two parts.
    :param is_after_late: whether the copies behind it come a little later.
    """

    __slots__ = ('after', 'before', 'is_after_late', 'result', 'split_percent')

    def __init__(
        self,
        result: TurnResult,
        before: list[Extra],
        after: list[Extra],
        split_percent: int,
        *,
        is_after_late: bool,
    ) -> None:
        self.result = result
        self.before = before
        self.after = after
        self.split_percent = split_percent
        self.is_after_late = is_after_late

    def __repr__(self) -> str:
        """Return what a failure shows of it."""
        return (
            f'Turn({self.result.value}, {self.before}, {self.after},'
            f' {self.split_percent}, {self.is_after_late})'
        )


History: TypeAlias = list[Turn]

_EXTRAS = st.lists(
    st.builds(
        Extra,
        st.sampled_from(_AGES),
        st.just(_PERCENT) | st.integers(0, _PERCENT),
        st.sampled_from((None, TurnResult.refused, TurnResult.misdirected)),
        is_named=st.sampled_from((True, True, False)),
    ),
    max_size=_MAX_EXTRAS,
)
# Connections are kept after most responses.
_RARE_EXTRAS = st.sampled_from((False, False, True)).flatmap(
    lambda is_any: _EXTRAS if is_any else st.just([])
)
_RESULTS = st.sampled_from(
    (
        TurnResult.answered,
        TurnResult.answered,
        TurnResult.refused,
        TurnResult.refused,
        TurnResult.misdirected,
        TurnResult.failed,
        TurnResult.lost,
    )
)
HISTORIES = st.lists(
    st.builds(
        Turn,
        _RESULTS,
        _EXTRAS,
        _RARE_EXTRAS,
        st.integers(0, _PERCENT),
        is_after_late=st.booleans(),
    ),
    min_size=_MIN_TURNS,
    max_size=_MAX_TURNS,
)


class SentResponse:
    """Response that a server sent on a connection.

    :param attempt_id: attempt that it answers.
    :param result: what became of the attempt.
    :param is_stream: whether an answer is a stream of events.
    """

    __slots__ = ('_attempt_id', '_is_stream', '_result')

    def __init__(
        self, attempt_id: str, result: TurnResult, *, is_stream: bool
    ) -> None:
        self._attempt_id = attempt_id
        self._result = result
        self._is_stream = is_stream

    def render_copy(self, extra: Extra) -> bytes:
        """Return the bytes of a copy, or of a part of it.

        :param extra: how it differs from the response.
        """
        told = SentResponse(
            self._attempt_id,
            extra.result or self._result,
            is_stream=self._is_stream,
        )
        copy = told.render(is_named=extra.is_named)
        return copy[: len(copy) * extra.sent_percent // _PERCENT]

    def render(self, *, is_named: bool = True) -> bytes:
        """Return the bytes of the response.

        :param is_named: whether it has the ID of the attempt.
        """
        head = {
            TurnResult.answered: ['HTTP/1.1 200 OK', SIGNATURE_LINE],
            TurnResult.failed: ['HTTP/1.1 500 Failed', SIGNATURE_LINE],
            TurnResult.refused: ['HTTP/1.1 503 Busy', NOT_RUN_LINE],
            TurnResult.misdirected: ['HTTP/1.1 421 Misdirected', NOT_RUN_LINE],
        }[self._result]
        if is_named:
            head.append(f'X-Attempt-Id: {self._attempt_id}')
        if self._is_stream and self._result is TurnResult.answered:
            return _render_stream(head, self._attempt_id)
        body = render_body(self._attempt_id)
        lines = [*head, f'Content-Length: {len(body)}', '', '']
        return '\r\n'.join(lines).encode() + body


class HistoryServer(ServerStandIn):
    """Server that plays the turns of a history, and then answers.

    :param service: name of the service; requests with a token count get
        streams.
    :param turns: turns that all servers of the scenario share.
    """

    def __init__(self, service: str, turns: deque[Turn]) -> None:
        super().__init__(service)
        self._turns = turns
        self._sent: dict[socket, list[SentResponse]] = {}

    def _serve(self, connection: socket, request: CallerRequest) -> bool:
        connection.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        fields = ReceivedRequest(request).fields
        attempt_id = fields['x-attempt-id']
        turn = self._take_turn()
        if fields['x-expect-instance'] != self.name:
            turn.result = TurnResult.misdirected
        if turn.result in RUN_RESULTS:
            self.run_counts[attempt_id] += 1
        sent = self._sent.setdefault(connection, [])
        before = _render_copies(sent, turn.before)
        if turn.result is TurnResult.lost:
            connection.sendall(before)
            return False
        response = SentResponse(
            attempt_id, turn.result, is_stream='x-token-count' in fields
        )
        sent.append(response)
        after = _render_copies(sent, turn.after)
        content = before + response.render()
        if turn.is_after_late:
            _send_split(connection, content, turn.split_percent)
            gevent.sleep(_PAUSE_SECONDS)
            connection.sendall(after)
        else:
            _send_split(connection, content + after, turn.split_percent)
        return True

    def _take_turn(self) -> Turn:
        if self._turns:
            return self._turns.popleft()
        return Turn(TurnResult.answered, [], [], 0, is_after_late=False)


def _render_stream(head: list[str], attempt_id: str) -> bytes:
    fields = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked']
    parts = ['\r\n'.join([*head, *fields, '', '']).encode()]
    for number in range(1, EVENT_COUNT + 1):
        event = render_event(number, attempt_id)
        parts.append(b'%x\r\n%b\r\n' % (len(event), event))
    parts.append(_LAST_CHUNK)
    return b''.join(parts)


def _send_split(connection: socket, content: bytes, percent: int) -> None:
    first_bytes = len(content) * percent // _PERCENT
    connection.sendall(content[:first_bytes])
    gevent.sleep(0)
    connection.sendall(content[first_bytes:])


def _render_copies(sent: list[SentResponse], extras: list[Extra]) -> bytes:
    return b''.join(
        sent[-1 - extra.age].render_copy(extra)
        for extra in extras
        if extra.age < len(sent)
    )
