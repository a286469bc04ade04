"""Steps on servers that write their refusals once more, late."""

from collections import deque
from functools import partial
from typing import Any

from behave import given, then, when

from buckthornpond_platform_standins.clients import Client, ClientResponse
from buckthornpond_platform_standins.local_clusters import (
    STREAM_PATH,
    WRITE_PATH,
    make_config,
)
from buckthornpond_platform_standins.refusals import (
    CopyMoment,
    RefusalCopies,
    render_refusal,
)
from buckthornpond_platform_standins.server_responses import Behaviour
from features.steps.direct_steps import list_servers
from features.steps.doubled_answers_steps import is_whole_answer

_WRITE = 'write'
_STREAM = 'stream'
_STREAM_FIELDS = {'X_Token_Count': '100,40'}
_DEADLINE_MS = '500'
_MAX_ROUNDS = 40


@given('{apps:d} app servers and {llms:d} llm servers in another zone')
def add_distant_servers(context: Any, apps: int, llms: int) -> None:
    """Start servers that are chosen where none in the zone is left."""
    for _ in range(apps):
        context.cluster.add_server('app', 'zone-b')
    for _ in range(llms):
        context.cluster.add_server('llm', 'zone-b')


def _replace_ended_servers(context: Any) -> None:
    """List other servers that ended, one at each address in the zone."""
    store = context.cluster.store
    for ended_name in context.ended_names:
        store.delete(f'servers/{ended_name}')
    context.ended_names = []
    for server in context.cluster.servers:
        if server.zone == 'zone-a':
            new_name = f'{server.name}-{store.revision}'
            store.put(f'servers/{new_name}', server.entry())
            context.ended_names.append(new_name)
    context.cluster.wait_until_synced()


@given('servers write each refusal once more: {moment:w}')
def copy_refusals(context: Any, moment: str) -> None:
    """Let every server write copies, and no stream be repeated."""
    copy_moment = CopyMoment(moment)
    for server in context.cluster.servers:
        server.refusal_copies = RefusalCopies(partial(_same, copy_moment))
    routes = make_config(0)['routes']
    for route in routes:
        route['streamResume'] = False
    context.cluster.configure(routes=routes)
    context.cluster.wait_until_synced()
    context.exchanged = []


@given('the copy comes after {count:d} further answers and {verb} the request')
def delay_copies(context: Any, count: int, verb: str) -> None:
    """Let copies come later, and with or without the ID."""
    for server in context.cluster.servers:
        server.refusal_copies.wait_count = count
        server.refusal_copies.names_request = verb == 'names'


def _same(moment: CopyMoment) -> CopyMoment:
    return moment


def _send(context: Any, client: Client, kind: str) -> ClientResponse:
    if kind == _STREAM:
        answer = client.fetch('POST', STREAM_PATH, **_STREAM_FIELDS)
    else:
        answer = client.fetch('POST', WRITE_PATH, X_Deadline_Ms=_DEADLINE_MS)
    context.answers.append(answer)
    context.exchanged.append((kind, answer))
    return answer


@when(
    'a caller sends {kind:w}s until {count:d} met a server that took the address'
    ' of one that ended'
)
def send_beside_ended(context: Any, kind: str, count: int) -> None:
    """Send requests, each beside another server that ended."""
    client = context.cluster.connect()
    context.ended_names = []
    for _ in range(_MAX_ROUNDS):
        _replace_ended_servers(context)
        _send(context, client, kind)
        if _count_moved(context) >= count:
            return
    raise AssertionError(_count_moved(context))


def _count_moved(context: Any) -> int:
    return sum(
        received.fields['x-expect-instance'] != server.name
        for server in context.cluster.servers
        for received in server.received
    )


@when('{count:d} times a caller sends {kind:w}s in turn')
def send_in_turn(context: Any, count: int, kind: str) -> None:
    """Send requests of one kind, none of which may be repeated."""
    client = context.cluster.connect()
    for _ in range(count):
        _send(context, client, kind)


@when(
    '{count:d} times a caller writes, is refused by both servers with'
    ' {refusal:w}, and writes again with the same ID'
)
def send_again(context: Any, count: int, refusal: str) -> None:
    """Send each request twice, and let the first one be refused."""
    client = context.cluster.connect()
    for number in range(count):
        attempt_id = f'again-{number}'
        _refuse_next(context, refusal)
        client.fetch('POST', WRITE_PATH, X_Attempt_Id=attempt_id)
        answer = client.fetch('POST', WRITE_PATH, X_Attempt_Id=attempt_id)
        answer.attempt_id = attempt_id
        context.answers.append(answer)


def _refuse_next(context: Any, refusal: str) -> None:
    for server in list_servers(context, 'app'):
        server.behaviours = deque((Behaviour(refusal),))


@then(
    'all answers but the first are 200 and the whole answer to their requests'
)
def check_later(context: Any) -> None:
    """Check the answers behind the refused request."""
    for kind, answer in context.exchanged[1:]:
        assert answer.status == 200, (answer.status, answer.body)
        assert is_whole_answer(kind, answer), (answer.body, answer.error)


@when(
    'for each length of the copy a caller is refused with {refusal:w} and'
    ' writes again'
)
def cut_copies(context: Any, refusal: str) -> None:
    """Send two requests for each place at which a copy can break off."""
    client = context.cluster.connect()
    sample = _send(context, client, _WRITE)
    whole = render_refusal(sample.attempt_id, Behaviour(refusal))
    lengths_bytes = range(1, len(whole))
    for length_bytes in lengths_bytes:
        for server in list_servers(context, 'app'):
            server.refusal_copies.cut_bytes = length_bytes
        _refuse_next(context, refusal)
        for _ in range(3):
            _send(context, client, _WRITE)


@when(
    'a caller writes {count:d} times with one ID, each time on a new connection'
    ' of its own'
)
def write_with_one_id(context: Any, count: int) -> None:
    """Use an ID again after each answer."""
    for _ in range(count):
        client = context.cluster.connect()
        answer = client.fetch('POST', WRITE_PATH, X_Attempt_Id='one')
        assert answer.status == 200, (answer.status, answer.reason)


@then('the app servers saw {count:d} connections with a request each')
def check_apart(context: Any, count: int) -> None:
    """Count the connections from the entry, and what came on them."""
    servers = list_servers(context, 'app')
    received = sum(len(server.received) for server in servers)
    connections = sum(server.connection_count for server in servers)
    assert (received, connections) == (count, count), (received, connections)
