"""Stand-in of the platform's store, form "read"."""

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .messages import read_message, render
from .record import Record

_PAGE_ITEMS = 500


class Store:
    """Key-value store with a watchable history that is never dropped.

    :param record: record of the run.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._silent: set[asyncio.StreamWriter] = set()
        self._open: set[asyncio.StreamWriter] = set()
        self._waiting: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.address = ''

    async def start(self, host: str) -> None:
        """Listen on a free port.

        :param host: loopback address.
        """
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def put(self, key: str, value: object, what: str = '') -> float:
        """Write an item; return when it was acknowledged.

        :param key: key of the item.
        :param value: its value, encoded as JSON.
        :param what: remark for the record.
        """
        self._revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(json.dumps(value).encode()).decode(),
            'revision': self._revision,
            'created': self._revision,
            'lease': 0,
        }
        self._items[key] = item
        return self._publish(item, f'store: {key} written {what}'.strip())

    def delete(self, key: str, what: str = '') -> float:
        """Remove an item; return when that was acknowledged.

        :param key: key of the item.
        :param what: remark for the record.
        """
        self._items.pop(key)
        self._revision += 1
        event = {'key': key, 'revision': self._revision, 'deleted': True}
        return self._publish(event, f'store: {key} removed {what}'.strip())

    def silence_open(self) -> None:
        """Let each open connection go silent for good; new ones work."""
        self._silent |= self._open
        self._record.add(
            f'store: {len(self._open)} open connections go silent'
        )

    def cut_watches(self) -> int:
        """Close the connections of the watches that wait; return how many."""
        cut = list(self._waiting)
        for writer in cut:
            writer.close()
        self._record.add(f'store: {len(cut)} waiting watches are cut')
        return len(cut)

    def _publish(self, event: dict[str, Any], text: str) -> float:
        self._events.append(event)
        self._record.add(f'{text} (revision {self._revision})')
        self._changed.set()
        self._changed = asyncio.Event()
        return self._record.now()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._open.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                status, document = await self._respond(
                    message.first_line.split(' ')[1], writer
                )
                if writer in self._silent:
                    # The answer is lost, and nothing comes any more.
                    continue
                body = json.dumps(document).encode()
                fields = {
                    'Content-Type': 'application/json',
                    'Store-Era': '1',
                }
                writer.write(render(f'HTTP/1.1 {status} X', fields, body))
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            # The peer has left, or the run ends.
            return
        finally:
            self._open.discard(writer)
            self._silent.discard(writer)
            writer.close()

    async def _respond(
        self, target: str, writer: asyncio.StreamWriter
    ) -> tuple[int, Any]:
        url = urlsplit(target)
        query = {name: text[0] for name, text in parse_qs(url.query).items()}
        await asyncio.sleep(0.004)
        if url.path == '/kv-range':
            return 200, self._read_range(query)
        if url.path == '/kv-watch':
            return 200, await self._watch(query, writer)
        item = self._items.get(query.get('key', ''))
        return (404, {}) if item is None else (200, item)

    def _read_range(self, query: dict[str, str]) -> Any:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
        )
        return {
            'items': [self._items[key] for key in keys[:_PAGE_ITEMS]],
            'hasMore': len(keys) > _PAGE_ITEMS,
            'at': self._revision,
        }

    async def _watch(
        self, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> Any:
        after = int(query['after'])
        prefix = query.get('prefix', '')
        ends_at = self._record.now() + int(query['waitMs']) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event['revision'] > after and event['key'].startswith(prefix)
            ]
            remaining = ends_at - self._record.now()
            if events or remaining <= 0:
                return {'events': events, 'at': self._revision}
            self._waiting.add(writer)
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                pass
            finally:
                self._waiting.discard(writer)
