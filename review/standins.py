"""Stand-ins and helpers that the review scripts share.

Only the standard library is used. The store, the servers and the clients
speak what the users' pages say; the entry runs with the command of
``deploy/system.toml``.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
HOST = 'shop.example'
BROKEN, HELD, NOT_RUN = 1, 0, 2


def has_trouble():
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._start = time.monotonic()

    def write(self, text):
        """Write a line with the time since the start."""
        self._file.write(f'{time.monotonic() - self._start:8.3f} {text}\n')
        self._file.flush()


def free_ip():
    """Return a loopback address at which the metrics port is free."""
    while True:
        ip = f'127.{random.randint(60, 250)}.{random.randint(0, 255)}.'
        ip += f'{random.randint(2, 250)}'
        with socket.socket() as probe:
            try:
                probe.bind((ip, 9464))
            except OSError:
                continue
        return ip


def free_port(ip):
    """Return a free port of an address."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Return the start line, the fields and the body of a message.

    A response without a length ends with its connection.
    """
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    start, *lines = head[:-4].split('\r\n')
    fields = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    if 'content-length' in fields:
        body = await reader.readexactly(int(fields['content-length']))
    elif fields.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while size := int(await reader.readuntil(b'\r\n'), 16):
            body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif start.startswith('HTTP/'):
        body = await reader.read()
    else:
        body = b''
    return start, fields, body


class Store:
    """Key-value store that can be read and watched at several ports."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        # Ports at which every call gets 503.
        self.busy_ports = set()
        # Seconds of history that watches can be given; none is dropped at 0.
        self.history_s = 0.0
        self._times = []
        self._dropped_revision = 0
        # Connections that were accepted before it rose answer no more.
        self._generation = 0
        self._changed = asyncio.Event()

    async def listen(self):
        """Open one more port and return its address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        return f'{host}:{port}'

    def put(self, key, document):
        """Write an item; the return is the acknowledgement."""
        content = document
        if not isinstance(content, bytes):
            content = json.dumps(document).encode()
        self.revision += 1
        item = {
            'key': key,
            'value': base64.b64encode(content).decode(),
            'revision': self.revision,
            'created': self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key):
        """Remove an item."""
        del self.items[key]
        self.revision += 1
        self._publish(
            {'key': key, 'revision': self.revision, 'deleted': True}
        )

    def silence_connections(self):
        """Answer nothing more on the open connections; new ones work."""
        self._generation += 1

    def _drop_history(self):
        oldest = time.monotonic() - self.history_s
        while self.history_s and self._times and self._times[0] < oldest:
            self._times.pop(0)
            self._dropped_revision = self.events.pop(0)['revision']

    def _publish(self, event):
        self.events.append(event)
        self._times.append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        port = writer.get_extra_info('sockname')[1]
        generation = self._generation
        try:
            while True:
                start, _, _ = await read_message(reader)
                status, document = await self._answer(start.split(' ')[1], port)
                if generation != self._generation:
                    await reader.read()
                    return
                body = json.dumps(document).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nStore-Era: 1\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.LimitOverrunError):
            writer.close()

    async def _answer(self, target, port):
        url = urlsplit(target)
        query = {name: text[0] for name, text in parse_qs(url.query).items()}
        if port in self.busy_ports:
            return 503, {}
        if url.path == '/kv-range':
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query.get('prefix', ''))
                and key > query.get('after', '')
            )
            return 200, {
                'items': [self.items[key] for key in keys],
                'hasMore': False,
                'at': self.revision,
            }
        if url.path != '/kv-watch':
            return 404, {}
        after = int(query['after'])
        self._drop_history()
        if after < self._dropped_revision:
            return 410, {}
        if not self._since(after):
            wait = asyncio.wait_for(
                self._changed.wait(), int(query['waitMs']) / 1000
            )
            try:
                await wait
            except TimeoutError:
                pass
        if port in self.busy_ports:
            return 503, {}
        return 200, {'events': self._since(after), 'at': self.revision}

    def _since(self, revision):
        return [each for each in self.events if each['revision'] > revision]


class Server:
    """Sound server of a service, which records what it runs."""

    def __init__(self, name, service, record, *, work_s=0.02):
        self.name = name
        self.service = service
        self.address = ''
        self.runs = []
        self._record = record
        self._work_s = work_s

    async def listen(self):
        """Open a port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    def entry(self, **changes):
        """Return what the server writes to the store."""
        return make_server_entry(self.service, self.address, **changes)

    async def _serve(self, reader, writer):
        try:
            while True:
                start, fields, _ = await read_message(reader)
                await self._run(start, fields, writer)
        except (OSError, EOFError, asyncio.LimitOverrunError):
            writer.close()

    async def _run(self, start, fields, writer):
        attempt_id = fields.get('x-attempt-id', '')
        lines = [f'X-Attempt-Id: {attempt_id}']
        status, body = 200, f'answer to {attempt_id}'.encode()
        if fields.get('x-expect-instance', self.name) != self.name:
            status, body = 421, b''
            lines.append('X-Not-Executed: 1')
        else:
            self.runs.append((time.monotonic(), attempt_id, fields))
            self._record.write(
                f'server {self.name} runs {attempt_id} ({start})'
                f' tenant {fields.get("x-tenant", "-")}'
            )
            lines.append(f'X-Server-Signature: s.{self.name}')
            await asyncio.sleep(self._work_s)
        head = '\r\n'.join([f'HTTP/1.1 {status} X', *lines])
        head += f'\r\nContent-Length: {len(body)}\r\n\r\n'
        writer.write(head.encode() + body)
        await writer.drain()


def make_server_entry(service, address, **changes):
    """Return the record of a server in the store."""
    return {
        'service': service,
        'address': address,
        'zone': 'zone-a',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'coldRemainingMs': 0,
        'sequence': 1,
        'born': int(time.time() * 1000),
        **changes,
    }


def make_route(name, kind, service, **changes):
    """Return a route of a configuration."""
    return {
        'name': f'r-{name}',
        'hostname': HOST,
        'prefix': f'/{name}/',
        'routeType': kind,
        'service': service,
        'timeoutMs': 1000,
        'targetLatencyMs': 200,
        'maxAttempts': 2 if kind == 'idempotent' else 1,
        'priority': 1,
        'public': False,
        **changes,
    }


def make_config(version, routes, services, keys):
    """Return a configuration with one tenant."""
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': each,
                'healthPath': '/healthz',
                'maxConnections': 344,
                'coldStartS': 0,
                'coldPerS': 0,
            }
            for each in services
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': [{'name': 'north', 'apiKeys': keys, 'priority': 1}],
    }


class Entry:
    """An entry, run with the command of the deploy file."""

    def __init__(self, store_address, *, seeds=None, link_mbps=1000.0):
        self.ip = free_ip()
        self.frontend = f'{self.ip}:{free_port(self.ip)}'
        self.ready_address = f'{self.ip}:{free_port(self.ip)}'
        self.store_address = store_address
        self.seeds = seeds or []
        self.link_mbps = link_mbps
        self.process = None
        self._folder = tempfile.TemporaryDirectory()
        self._settings = Path(self._folder.name) / 'local.yaml'
        self.log = Path(self._folder.name) / 'log'

    def write_settings(self):
        """Write the settings file; YAML takes JSON as it is."""
        document = {
            'nodeName': f'edge-{self.ip}',
            'role': 'entry',
            'machineClass': 'edge',
            'serves': ['edge', 'control'],
            'ip': self.ip,
            'zone': 'zone-a',
            'region': 'north',
            'zones': {'zone-a': 'north'},
            'listen': {
                'frontend': self.frontend,
                'ready': self.ready_address,
                'controlPlane': f'{self.ip}:8229',
            },
            'internalPorts': [7340, 7355],
            'seeds': [f'{ip}:8229' for ip in self.seeds],
            'bootstrap': False,
            'limits': {
                'cpuShare': 0.817,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4200,
                'linkMbps': self.link_mbps,
                'diskMb': 0,
            },
            'dataDir': None,
            'heartbeatMs': 1200,
            'bounds': {
                'seedLagS': 3,
                'stabilityWindowMs': 3000,
                'drainMs': 2000,
                'graceS': 8,
                'configApplyMs': 2000,
                'maxExtensionMs': 5000,
                'retryBudgetRatio': 0.2,
                'budgetWindowS': 10,
                'coldBurstFactor': 1.5,
                'coldAllowance': 5,
                'recoverS': 12,
            },
            'platform': {
                'address': self.store_address,
                'form': 'read',
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
            },
        }
        self._settings.write_text(json.dumps(document))

    def launch(self):
        """Start the process."""
        self.write_settings()
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BUCKTHORNPOND_CONFIG'] = str(self._settings)
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self.log.open('ab'),
            stderr=subprocess.STDOUT,
        )

    def send_signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def close(self):
        """Kill the process and remove its folder."""
        self.kill()
        self._folder.cleanup()

    async def is_ready(self):
        """Return whether the platform would count the machine as ready."""
        answer = await fetch(self.ready_address, 'GET', '/readyz', limit_s=1)
        return answer.status == 200

    async def wait_ready(self, limit_s=20):
        """Wait until the machine is ready."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f'{self.ip} is not ready: {self.tail()}')

    def tail(self):
        """Return the end of the log."""
        return self.log.read_text(errors='replace')[-2000:]


class Answer:
    """What a client got for a request."""

    def __init__(self, attempt_id):
        self.attempt_id = attempt_id
        self.sent_at = 0.0
        self.ended_at = 0.0
        self.status = 0
        self.fields = {}
        self.body = b''
        self.error = ''


async def fetch(
    address, method, path, *, key='', limit_s=3.0, body=b'', fields=()
):
    """Send a request on a new connection and return what came back."""
    answer = Answer(f'{random.getrandbits(64):016x}')
    answer.sent_at = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            host, port = address.split(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [
                f'{method} {path} HTTP/1.1',
                f'Host: {HOST}',
                f'X-Attempt-Id: {answer.attempt_id}',
                f'X-Deadline-Ms: {int(limit_s * 1000)}',
                f'Content-Length: {len(body)}',
                *fields,
            ]
            if key:
                lines.append(f'Authorization: Token {key}')
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            start, answer.fields, answer.body = await read_message(reader)
            answer.status = int(start.split(' ')[1])
    except TimeoutError:
        answer.error = 'no answer in time'
    except (OSError, EOFError) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            writer.close()
    answer.ended_at = time.monotonic()
    return answer


def run_case(folder, play):
    """Play a case and exit with its result.

    :param folder: folder of the case.
    :param play: called with the record and the list of entries to end.
    """
    record = Record(folder)
    entries = []

    async def guarded():
        async with asyncio.timeout(115):
            return await play(record, entries)

    code = NOT_RUN
    try:
        code = asyncio.run(guarded())
    except Exception as error:  # noqa: BLE001
        record.write(f'could not run: {error!r}')
        print(f'could not run: {error!r}')
    finally:
        for entry in entries:
            entry.close()
    record.write(f'exit {code}')
    print({BROKEN: 'broken', HELD: 'held', NOT_RUN: 'could not run'}[code])
    sys.stdout.flush()
    os._exit(code)


SIGHUP = signal.SIGHUP
