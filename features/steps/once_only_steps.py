"""Steps on answers that must not be taken for the refusal of a request."""

from collections import deque
from collections.abc import Sequence
from typing import Any

from behave import given, then, when
from gevent.socket import socket

from buckthornpond_entry.direct.requests import CallerRequest
from buckthornpond_platform_standins.clients import Client, ClientResponse
from buckthornpond_platform_standins.local_clusters import (
    STREAM_PATH,
    WRITE_PATH,
    make_config,
)
from buckthornpond_platform_standins.server_responses import (
    NOT_RUN_LINE,
    SIGNATURE_LINE,
    ReceivedRequest,
    render_body,
    send_response,
)
from buckthornpond_platform_standins.servers import ServerStandIn
from features.specs.answer_histories import (
    EVENT_COUNT,
    HISTORIES,
    History,
    HistoryServer,
)
from features.steps.direct_fuzz_steps import run_generated
from features.steps.direct_steps import count_runs, list_servers, start_world

_BODY = b'a'
_LAST = 'last'
_STREAM_SERVICE = 'llm'
_SUCCESS = 200
_TOKEN_COUNT = '100,40'
_TWICE = 'two times'
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
# Enough for a retry of each request.
_RETRY_BUDGET_RATIO = 5.0


class CutCopyServer(ServerStandIn):
    """Server that begins a refusal of the last request before an answer.

    :param status: status of the refusals.
    """

    def __init__(self, status: int) -> None:
        super().__init__('app')
        self.status = status
        # Bytes of the refusal.
        self.copied_bytes = 0
        self._last_ids: dict[socket, str] = {}

    def render_refusal(self, attempt_id: str) -> bytes:
        """Return a refusal without a body.

        :param attempt_id: attempt that it refuses.
        """
        lines = [
            f'HTTP/1.1 {self.status} Refused',
            NOT_RUN_LINE,
            f'X-Attempt-Id: {attempt_id}',
            'Content-Length: 0',
        ]
        return '\r\n'.join([*lines, '', '']).encode()

    def _serve(self, connection: socket, request: CallerRequest) -> bool:
        attempt_id = ReceivedRequest(request).fields['x-attempt-id']
        last_id = self._last_ids.get(connection)
        self._last_ids[connection] = attempt_id
        self.run_counts[attempt_id] += 1
        copy = b''
        if last_id is not None:
            copy = self.render_refusal(last_id)[: self.copied_bytes]
        body = render_body(attempt_id)
        lines = [
            'HTTP/1.1 200 OK',
            f'X-Attempt-Id: {attempt_id}',
            SIGNATURE_LINE,
            f'Content-Length: {len(body)}',
        ]
        connection.sendall(copy + '\r\n'.join([*lines, '', '']).encode() + body)
        return True


class TwoIdServer(ServerStandIn):
    """Server that answers, and then names two requests in its refusals.

    It has run the present request, and refused neither.

    :param is_last_first: whether the last request stands first.
    """

    def __init__(self, *, is_last_first: bool) -> None:
        super().__init__('app')
        self._is_last_first = is_last_first
        self._last_ids: dict[socket, str] = {}

    def _serve(self, connection: socket, request: CallerRequest) -> bool:
        attempt_id = ReceivedRequest(request).fields['x-attempt-id']
        self.run_counts[attempt_id] += 1
        last_id = self._last_ids.get(connection)
        self._last_ids[connection] = attempt_id
        if last_id is None:
            body = render_body(attempt_id)
            return send_response(
                connection, 200, attempt_id, body, SIGNATURE_LINE
            )
        ids = [last_id, attempt_id]
        if not self._is_last_first:
            ids.reverse()
        further_line = f'X-Attempt-Id: {ids[1]}'
        return send_response(
            connection, 503, ids[0], b'', further_line, NOT_RUN_LINE
        )


@given(
    'an entry before {count:d} servers that begin a refusal with {status:d}'
    ' before each answer'
)
def start_cutting(context: Any, count: int, status: int) -> None:
    """Start an entry and the servers."""
    _start(context, [CutCopyServer(status) for _ in range(count)])


@given(
    'an entry before {count:d} servers whose refusals name the {order:w} one'
    ' first, of the present and the last request'
)
def start_naming_two(context: Any, count: int, order: str) -> None:
    """Start an entry and the servers."""
    is_last_first = order == _LAST
    _start(
        context,
        [TwoIdServer(is_last_first=is_last_first) for _ in range(count)],
    )


def _start(context: Any, servers: Sequence[ServerStandIn]) -> None:
    # The entry is ready with a server of the other service.
    is_stream = servers[0].service == _STREAM_SERVICE
    cluster = start_world(
        context,
        int(is_stream),
        int(not is_stream),
        retry_budget_ratio=_RETRY_BUDGET_RATIO,
    )
    for server in servers:
        cluster.servers.append(server)
        cluster.register(server)
    cluster.wait_until_synced()


@when('for each place in the head a caller posts twice')
def post_twice(context: Any) -> None:
    """Send a request, and one on its connection behind a part of a refusal."""
    client = context.cluster.connect()
    servers = list_servers(context, 'app')
    attempt_id = client.fetch('POST', WRITE_PATH, body=_BODY).attempt_id
    head_bytes = len(servers[0].render_refusal(attempt_id))
    for copied_bytes in range(head_bytes + 1):
        for server in servers:
            server.copied_bytes = copied_bytes
        for _ in range(2):
            answer = client.fetch('POST', WRITE_PATH, body=_BODY)
            context.answers.append(answer)


@given(
    'an entry before {count:d} {service:w} servers that play histories, each'
    ' listed {listed}'
)
def start_playing(context: Any, count: int, service: str, listed: str) -> None:
    """Start an entry and the servers, some under a former name as well."""
    context.service = service
    context.turns = deque()
    servers = [HistoryServer(service, context.turns) for _ in range(count)]
    _start(context, servers)
    routes = make_config(0)['routes']
    for route in routes:
        route['streamResume'] = False
    context.cluster.configure(routes=routes)
    if listed == _TWICE:
        for server in servers:
            context.cluster.store.put(
                f'servers/former-{server.name}', server.entry()
            )
    context.cluster.wait_until_synced()


@given('servers whose answers hold the field {line}')
def add_field(context: Any, line: str) -> None:
    """Let every server add a header field to its answers."""
    for server in context.cluster.servers:
        server.statement_lines = [line]


@then('each answer is 200 and belongs to its request')
def check_answers(context: Any) -> None:
    """Compare each answer with what its request is answered with."""
    assert context.answers
    for answer in context.answers:
        assert answer.status == _SUCCESS, (answer.status, answer.reason)
        assert answer.body == render_body(answer.attempt_id), answer.body


@when(
    '{count:d} histories are played while a caller sends requests that may run'
    ' once'
)
def play_histories(context: Any, count: int) -> None:
    """Send requests until each history has ended, and judge the answers."""

    def check(history: History) -> None:
        for server in context.cluster.servers:
            server.drop_connections()
        context.turns.clear()
        context.turns.extend(history)
        client = context.cluster.connect()
        answers = []
        while context.turns:
            answers.append(_send_once(client, context.service))
        answers.append(_send_once(client, context.service))
        client.connection.close()
        _judge(context, answers)

    run_generated(count, HISTORIES, check)
    context.is_checked = True


@then(
    'each request ran at most once, and each refusal and each success was true'
)
def check_histories(context: Any) -> None:
    """Check that the previous step judged each history."""
    assert context.is_checked


def _send_once(client: Client, service: str) -> ClientResponse:
    """Send a request that may run once."""
    if service == _STREAM_SERVICE:
        return client.fetch('POST', STREAM_PATH, X_Token_Count=_TOKEN_COUNT)
    return client.fetch('POST', WRITE_PATH, body=_BODY)


def _judge(context: Any, answers: Sequence[ClientResponse]) -> None:
    run_counts = count_runs(context)
    for answer in answers:
        runs = run_counts.get(answer.attempt_id, 0)
        assert runs <= 1, (answer.attempt_id, runs)
        if answer.status in _NOT_RUN_STATUSES:
            assert not runs, (answer.attempt_id, answer.status)
        if answer.status == _SUCCESS and not answer.error:
            assert runs == 1, (answer.attempt_id, runs)
            assert _is_own(answer, context.service), answer.body


def _is_own(answer: ClientResponse, service: str) -> bool:
    if service == _STREAM_SERVICE:
        return answer.is_stream_of(1, EVENT_COUNT)
    return answer.body == render_body(answer.attempt_id)
