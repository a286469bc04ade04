"""Clients that send requests at a steady rate."""

import asyncio
import itertools
import random
from collections.abc import Callable

from .messages import read_message, render
from .record import Record

HOST = 'ficu95.example'
_IDS = itertools.count(1)


class Request:
    """One client attempt and its answer.

    :param attempt_id: its X-Attempt-Id.
    :param method: method.
    :param path: path.
    :param key: API key.
    :param address: address of the entry.
    """

    def __init__(
        self, attempt_id: str, method: str, path: str, key: str, address: str
    ) -> None:
        self.attempt_id = attempt_id
        self.method = method
        self.path = path
        self.key = key
        self.address = address
        self.sent_at = 0.0
        self.answered_at = 0.0
        # 0 if the connection ended without an answer.
        self.status = 0
        self.fields: dict[str, str] = {}


class Clients:
    """Sends requests, each on a connection of its own.

    :param record: record of the run.
    :param random_source: varies the times between requests.
    """

    def __init__(self, record: Record, random_source: random.Random) -> None:
        self._record = record
        self._random = random_source
        self._tasks: set[asyncio.Task[None]] = set()
        self.requests: list[Request] = []

    async def press(
        self,
        per_second: float,
        until: float,
        choose: Callable[[], tuple[str, str, str, str]],
        deadline_ms: int = 1000,
    ) -> None:
        """Send requests until a time of the record.

        :param per_second: mean number of requests a second.
        :param until: when the last one is sent.
        :param choose: returns address, method, path and key of a request.
        :param deadline_ms: time that a client waits.
        """
        while self._record.now() < until:
            address, method, path, key = choose()
            attempt_id = f'{next(_IDS):016x}'
            request = Request(attempt_id, method, path, key, address)
            self.requests.append(request)
            task = asyncio.create_task(self._send(request, deadline_ms))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._random.expovariate(per_second))

    async def finish(self) -> None:
        """Wait for the last answers."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=5)

    async def _send(self, request: Request, deadline_ms: int) -> None:
        host, _, port = request.address.rpartition(':')
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1
            )
        except (OSError, TimeoutError):
            self._record.add(f'client: {request.attempt_id} no connection')
            return
        fields = {
            'Host': HOST,
            'X-Attempt-Id': request.attempt_id,
            'X-Deadline-Ms': f'{deadline_ms}',
            'Authorization': f'Token {request.key}',
            'Connection': 'close',
        }
        body = b'{"push":1}' if request.method == 'POST' else b''
        line = f'{request.method} {request.path} HTTP/1.1'
        request.sent_at = self._record.now()
        try:
            writer.write(render(line, fields, body))
            answer = await asyncio.wait_for(
                read_message(reader), deadline_ms / 1000 + 1
            )
        except (OSError, TimeoutError):
            answer = None
        finally:
            writer.close()
        request.answered_at = self._record.now()
        if answer is not None:
            request.status = int(answer.first_line.split(' ')[1])
            request.fields = answer.fields
        self._record.add(
            f'client: {request.attempt_id} {line} key={request.key}'
            f' to {request.address} answered {request.status or "nothing"}'
            f' after {request.answered_at - request.sent_at:.3f} s',
            request.sent_at,
        )
