"""Stand-in of an application server."""

import asyncio
import hashlib
import time

from .messages import Message, read_message, render
from .record import Record

_BODY = b'x' * 800
_REFUSAL = {'X-Not-Executed': '1'}


class Run:
    """A request that a server began to run.

    :param at: when it arrived, in seconds of the record.
    :param fields: its header fields, names in lower case.
    :param line: its request line.
    """

    def __init__(self, at: float, fields: dict[str, str], line: str) -> None:
        self.at = at
        self.fields = fields
        self.line = line
        self.attempt_id = fields.get('x-attempt-id', '')


class AppServer:
    """Application server that registers itself in the store.

    :param name: its id.
    :param service: name of its service.
    :param zone: its zone.
    :param record: record of the run.
    :param work_s: seconds of work of a request.
    :param keep_alive_s: idle time after which it closes a connection.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        record: Record,
        *,
        work_s: float = 0.02,
        keep_alive_s: int = 5,
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.runs: list[Run] = []
        self.born = int(time.time() * 1000)
        self.address = ''
        # What it says of itself in its answers, beside the usual fields.
        self.said: dict[str, str] = {}
        self._record = record
        self._work_s = work_s
        self._keep_alive_s = keep_alive_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port.

        :param host: loopback address.
        """
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def entry(self, state: str = 'ready') -> dict[str, object]:
        """Return the value of its entry in the store.

        :param state: state that it reports.
        """
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': '1',
            'slots': 6,
            'state': state,
            'coldRemainingMs': 0,
            'sequence': 0,
            'born': self.born,
        }

    def stop(self) -> None:
        """End at once, with all connections."""
        self._record.add(f'server {self.name}: exits')
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await asyncio.wait_for(
                    read_message(reader), self._keep_alive_s
                )
                if message is None:
                    return
                writer.write(await self._answer(message))
                await writer.drain()
        except (OSError, TimeoutError, asyncio.CancelledError):
            # The peer has left, or the run ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message: Message) -> bytes:
        fields = {
            'X-Attempt-Id': message.fields.get('x-attempt-id', ''),
            'Keep-Alive': f'timeout={self._keep_alive_s}',
            'Content-Type': 'text/plain',
            **self.said,
        }
        if message.fields.get('x-expect-instance', self.name) != self.name:
            return render('HTTP/1.1 421 X', {**fields, **_REFUSAL})
        run = Run(self._record.now(), message.fields, message.first_line)
        self.runs.append(run)
        self._record.add(
            f'server {self.name}: runs {run.attempt_id} {run.line}'
            f' tenant={run.fields.get("x-tenant", "")}',
            run.at,
        )
        await asyncio.sleep(self._work_s)
        digest = hashlib.sha256(run.attempt_id.encode()).hexdigest()[:12]
        return render(
            'HTTP/1.1 200 OK',
            {**fields, 'X-Server-Signature': f'{digest}.{self.name}'},
            _BODY,
        )
