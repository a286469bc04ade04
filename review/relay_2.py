"""A relay for TCP connections that can hold everything back, as a cut does."""

import asyncio
import contextlib


class Relay:
    """Passes bytes on until it is cut; then it accepts, and passes nothing."""

    def __init__(self):
        self.target = ('127.0.0.1', 0)
        self.port = 0
        self.server = None
        self.open_way = asyncio.Event()
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def open(self, target):
        host, _, port = target.rpartition(':')
        self.target = (host, int(port))
        self.open_way.set()
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def cut(self):
        """Pass nothing on, in either direction, and close nothing."""
        self.open_way.clear()

    def heal(self):
        self.open_way.set()

    def close(self):
        if self.server is not None:
            self.server.close()
        for task in tuple(self.tasks):
            task.cancel()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        self.writers.add(writer)
        try:
            await self.open_way.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            self.writers.add(far_writer)
            await asyncio.gather(
                self._pass(reader, far_writer), self._pass(far_reader, writer)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _pass(self, reader, writer):
        while content := await reader.read(65536):
            await self.open_way.wait()
            writer.write(content)
            await writer.drain()
        await self.open_way.wait()
        with contextlib.suppress(Exception):
            writer.close()
