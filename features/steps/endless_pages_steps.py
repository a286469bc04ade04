"""Steps for a store whose pages do not end."""

import json
from typing import Any

import gevent
from behave import given, then, when
from gevent.server import StreamServer
from gevent.socket import socket

from buckthornpond_core._generated.serving import SourceLost
from buckthornpond_core.serving.fleet_follower import FleetChange
from buckthornpond_platform.store import StoreClient, StoreSource
from buckthornpond_platform_standins.endless import read_head
from buckthornpond_platform_standins.local_clusters import FixedRandom
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox

_MEBIBYTE = 1_048_576
_TIMEOUT_SECONDS = 20


class EndlessPages:
    """Store whose pages always promise another one.

    :param is_repeated: whether each page holds the same small item, or the
        next one, of a mebibyte.
    """

    def __init__(self, *, is_repeated: bool) -> None:
        self._is_repeated = is_repeated
        self.page_count = 0
        self._server = StreamServer(('127.0.0.1', 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """Return the IP address and port."""
        return f'127.0.0.1:{self._server.server_port}'

    def close(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop(timeout=0)

    def _serve(self, connection: socket, peer: tuple[str, int]) -> None:
        with connection:
            read_head(connection)
            self.page_count += 1
            stored_item = {'key': 'a', 'value': '', 'revision': 1}
            if not self._is_repeated:
                stored_item['key'] = f'k{self.page_count:09d}'
                stored_item['value'] = 'a' * _MEBIBYTE
            page = {'at': 1, 'items': [stored_item], 'hasMore': True}
            content = json.dumps(page).encode()
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(content), content)
            )


@given('a store that answers each read with {page}, and more to come')
def start_store(context: Any, page: str) -> None:
    """Start the store."""
    context.fleet = EndlessPages(is_repeated=page == 'the same keys')


@when('an entry reads everything')
def read_all(context: Any) -> None:
    """Let the source read until it tells the first message."""
    client = StoreClient(context.fleet.address, Metrics())
    source = StoreSource(client, FixedRandom())
    inbox: Mailbox[FleetChange] = Mailbox()
    running = gevent.spawn(source.run, inbox)
    context.told = inbox.receive(_TIMEOUT_SECONDS)
    running.kill()


@then(
    'it takes the store for lost with "{error}", after at most {count:d} pages'
)
def check_lost(context: Any, error: str, count: int) -> None:
    """Compare the message and the number of pages."""
    told = context.told
    assert isinstance(told, SourceLost), told
    assert error in told.error, told.error
    assert context.fleet.page_count <= count, context.fleet.page_count
