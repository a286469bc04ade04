"""A small deployment: a store, servers, entries and clients."""

import asyncio
import os
import random
import resource
import signal
import socket
import subprocess
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from .clients import HOST, Clients
from .entries import ZONES, Entry
from .record import Record
from .servers import AppServer
from .store import Store

READ = 'puxa403'
PUSH = 'keno118'
SERVICE = 'gate-app'
KEYS = {'hule930': 'n2ctnfzs989anu6wsjnb', 'bado551': 'k8vrqmw2tt6xy31dhpea'}
_READY_SECONDS = 15
_CROWD_OF_PROCESS = 250
_MAX_FILES = 4200


class CannotRunError(Exception):
    """The case could not run."""


class Bed:
    """A small deployment on loopback addresses.

    :param record: record of the run.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.random = random.Random()
        self.store = Store(record)
        self.servers: list[AppServer] = []
        self.entries: list[Entry] = []
        self.clients = Clients(record, self.random)
        self.version = 0
        # The addresses of one run differ from those of another.
        self._network = f'127.{os.getpid() % 200 + 20}'
        self._hosts = 0
        self._crowds: list[subprocess.Popen[bytes]] = []

    def new_host(self) -> str:
        """Return a loopback address that the run has not used."""
        self._hosts += 1
        return f'{self._network}.1.{self._hosts}'

    def configure(self, what: str = '', **changes: Any) -> float:
        """Write the next version of the configuration; return when.

        :param what: remark for the record.
        :param changes: fields that replace the defaults.
        """
        self.version += self.random.randint(1, 4)
        config = make_config(self.version)
        config.update(changes)
        return self.store.put('op/config', config, what)

    async def add_server(
        self, name: str, zone: str, service: str = SERVICE, **options: Any
    ) -> AppServer:
        """Start a server and register it.

        :param name: its id.
        :param zone: its zone.
        :param service: name of its service.
        :param options: see :class:`AppServer`.
        """
        server = AppServer(name, service, zone, self.record, **options)
        await server.start(self.new_host())
        self.servers.append(server)
        self.store.put(f'servers/{name}', server.entry())
        return server

    async def start_entries(self, count: int) -> None:
        """Start entries and wait until they are ready.

        :param count: number of entries.
        """
        hosts = [self.new_host() for _ in range(count)]
        ports = find_ports(hosts)
        seeds = [f'{host}:{ports[2]}' for host in hosts[:3]]
        for number, host in enumerate(hosts):
            entry = Entry(number, host, self.store.address, seeds, ports)
            self.entries.append(entry)
            entry.start()
        for _ in range(_READY_SECONDS * 10):
            ready = [await entry.is_ready() for entry in self.entries]
            if all(ready):
                self.record.add('entries are ready')
                return
            await asyncio.sleep(0.1)
        raise CannotRunError('the entries do not become ready')

    async def sleep_until(self, at: float) -> None:
        """Sleep until a time of the record.

        :param at: seconds since the start of the run.
        """
        await asyncio.sleep(max(at - self.record.now(), 0))

    def start_crowd(
        self, entry: Entry, clients: int, requests: int, shape: str
    ) -> None:
        """Start clients that nobody controls, in processes of their own.

        :param entry: the entry to which they connect.
        :param clients: number of clients.
        :param requests: requests that each sends ahead.
        :param shape: shape of their requests, see :mod:`bed.crowd`.
        """
        for start in range(0, clients, _CROWD_OF_PROCESS):
            count = min(_CROWD_OF_PROCESS, clients - start)
            words = [sys.executable, '-m', 'bed.crowd', entry.address]
            self._crowds.append(
                subprocess.Popen([*words, str(count), str(requests), shape])
            )
        self.record.add(
            f'crowd: {clients} clients connect to {entry.address}; each sends'
            f' {requests} requests ahead ({shape}) and reads nothing'
        )

    def end_crowd(self) -> None:
        """End the clients that nobody controls."""
        for crowd in self._crowds:
            crowd.kill()
            crowd.wait()
        self._crowds.clear()

    def check_alive(self) -> None:
        """Check that all entries still run.

        :raises CannotRunError: when one has ended.
        """
        for entry in self.entries:
            if entry.process is None or entry.process.poll() is not None:
                raise CannotRunError('an entry has ended')

    def stop(self) -> None:
        """End all processes and servers."""
        self.end_crowd()
        for entry in self.entries:
            entry.stop()
        for server in self.servers:
            server.stop()


def make_config(version: int) -> dict[str, Any]:
    """Return a configuration with a safe and an unsafe route.

    :param version: its version.
    """
    return {
        'version': version,
        'routes': [
            make_route(READ, 'idempotent', 2),
            make_route(PUSH, 'non_idempotent', 1),
        ],
        'services': [
            {
                'name': SERVICE,
                'healthPath': '/healthz',
                'maxConnections': 96,
                'coldStartS': 0.0,
                'coldPerS': 0.0,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [
            {'name': tenant, 'apiKeys': [key], 'priority': 1}
            for tenant, key in KEYS.items()
        ],
    }


def make_route(name: str, kind: str, attempts: int) -> dict[str, Any]:
    """Return a route.

    :param name: its name, and its prefix.
    :param kind: its type.
    :param attempts: most servers of one request.
    """
    return {
        'name': name,
        'hostname': HOST,
        'prefix': f'/{name}/',
        'routeType': kind,
        'service': SERVICE,
        'timeoutMs': 1000,
        'targetLatencyMs': 200,
        'maxAttempts': attempts,
        'priority': 2,
        'public': False,
    }


def find_ports(hosts: list[str]) -> tuple[int, int, int, int]:
    """Return ports that are free on all addresses, as entries share them.

    :param hosts: loopback addresses.
    """
    found: list[int] = []
    port = 7200 + os.getpid() % 500
    while len(found) < 4:
        port += 1
        if all(_is_free(host, port) for host in hosts):
            found.append(port)
    return found[0], found[1], found[2], found[3]


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def run_case(
    folder: Path, play: Callable[[Bed, bool], Awaitable[bool]]
) -> None:
    """Play a case and exit: 1 rule broken, 0 rule held, 2 it could not run.

    :param folder: folder of the case, for record.txt.
    :param play: plays it with or without trouble; returns whether the rule
        held.
    """
    record = Record(folder / 'record.txt')
    # As the platform does for a machine with these descriptors.
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    files = _MAX_FILES if hard < 0 else min(_MAX_FILES, hard)
    resource.setrlimit(resource.RLIMIT_NOFILE, (files, hard))
    is_troubled = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        bed = Bed(record)
        task = asyncio.current_task()
        if task is not None:
            # Whoever ends the script ends its processes too.
            loop = asyncio.get_running_loop()
            loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            await bed.store.start(bed.new_host())
            return 0 if await play(bed, is_troubled) else 1
        except Exception as error:
            # Whatever it is, it says nothing about the rule.
            record.add(f'cannot run: {error!r}')
            traceback.print_exc()
            return 2
        except asyncio.CancelledError:
            record.add('cannot run: ended from outside')
            return 2
        finally:
            bed.stop()

    try:
        code = asyncio.run(run())
    finally:
        record.write()
    outcome = ('held', 'broken', 'could not run')[code]
    print(f'{folder.name}: {outcome}')
    sys.exit(code)


__all__ = ('KEYS', 'PUSH', 'READ', 'SERVICE', 'ZONES', 'Bed', 'run_case')
