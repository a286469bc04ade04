"""Steps for a store whose pages do not end."""

import itertools
import json
import tracemalloc
from typing import Any

import gevent
from behave import given, then, when
from gevent.server import StreamServer
from gevent.socket import socket

from buckthornpond_core._generated.serving import SourceLost
from buckthornpond_core.serving.fleet_follower import FleetChange
from buckthornpond_platform.store import StoreSource
from buckthornpond_platform.store_client import StoreClient
from buckthornpond_platform_standins.endless import read_head
from buckthornpond_platform_standins.local_clusters import FixedRandom
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox

_MEBIBYTE = 1_048_576
_TIMEOUT_SECONDS = 20
_PAGE = b'{"at":1,"hasMore":true,"items":[%b]}'
_EMPTY_ITEM = b'{"key":"ab"}'
# Just below the limit on the bytes of a reply.
_EMPTY_ITEM_COUNT = 2_500_000


class EndlessPages:
    """Store whose pages always promise another one.

    :param page: what each page holds.
    """

    def __init__(self, page: str) -> None:
        self._page = page
        # Made before the memory of the reader is measured.
        self._long_page = b''
        if page == 'millions of empty items':
            items = itertools.repeat(_EMPTY_ITEM, _EMPTY_ITEM_COUNT)
            self._long_page = _PAGE % b','.join(items)
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
            content = self._render_page()
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
                b'Content-Length: %d\r\n\r\n' % len(content)
            )
            connection.sendall(content)

    def _render_page(self) -> bytes:
        if self._long_page:
            return self._long_page
        stored_item = {'key': 'a', 'value': '', 'revision': 1}
        if self._page == 'the next key and 1 MiB':
            stored_item['key'] = f'k{self.page_count:09d}'
            stored_item['value'] = 'a' * _MEBIBYTE
        return _PAGE % json.dumps(stored_item).encode()


@given('a store that answers each read with {page}, and more to come')
def start_store(context: Any, page: str) -> None:
    """Start the store."""
    context.fleet = EndlessPages(page)


@when('an entry reads everything')
def read_all(context: Any) -> None:
    """Let the source read until it tells the first message."""
    client = StoreClient(context.fleet.address, Metrics())
    source = StoreSource(client, FixedRandom())
    inbox: Mailbox[FleetChange] = Mailbox()
    running = gevent.spawn(source.run, inbox)
    tracemalloc.start()
    context.told = inbox.receive(_TIMEOUT_SECONDS)
    context.peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    running.kill()


@then(
    'it takes the store for lost with "{error}", after at most {count:d} pages'
    ' and {mebibytes:d} MiB'
)
def check_lost(context: Any, error: str, count: int, mebibytes: int) -> None:
    """Compare the message, the number of pages and the peak of memory."""
    told = context.told
    assert isinstance(told, SourceLost), told
    assert error in told.error, told.error
    assert context.fleet.page_count <= count, context.fleet.page_count
    peak_bytes = context.peak_bytes
    assert peak_bytes <= mebibytes * _MEBIBYTE, peak_bytes
