"""Peers of the entry processes for the scripts of review/6 to review/10.

A store, servers and clients that speak what the users' pages say, on
loopback and the real clock, with nothing but the standard library. The entry
is the project's own, started with the command of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = 'ficu95.example'
KEY = 'n2ctnfzs989anu6wsjnb'
TENANT = 'hule930'
HEARTBEAT_S = 1.2
# The bounds of both sheets.
STABILITY_WINDOW_S = 3.0
DRAIN_S = 2.0
BOUNDS = {
    'seedLagS': 3,
    'reuseAfterS': 2,
    'stabilityWindowMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 8,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'downgradeSlackMs': 250,
    'maxExtensionMs': 5000,
    'strictRevocation': False,
    'revokeMs': 5000,
    'retryBudgetRatio': 0.2,
    'budgetWindowS': 10,
    'retryAllowance': 106,
    'coldBurstFactor': 1.5,
    'coldAllowance': 5,
    'evacuateMs': 5000,
    'recoverS': 12,
    'passMs': 120,
    'retryAfterS': 0,
    'stall_ms': 1500,
    'holdMaxMs': 20000,
    'freeMs': 4000,
    'idleMaxMs': 9000,
}
ENGINE = {
    'slots': 8,
    'kvCapacityTokens': 450_000,
    'step_ms': 0.925,
    'per_seq_ms': 0.01,
    'context_per_k': 0.003,
    'read_per_s': 256_000.0,
    'pairs_per_m': 0.09,
    'chunk': 2048,
    'stride': 46,
    'hopMs': 0.1,
}


class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self):
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, who, what, **details):
        at = self.now()
        self.lines.append((at, who, what, details))
        return at

    def write(self, folder, verdict):
        text = [
            f'{at:8.3f} {who:12} {what:14} {json.dumps(details)}\n'
            for at, who, what, details in sorted(
                self.lines, key=lambda line: line[0]
            )
        ]
        text += [f'{line}\n' for line in verdict]
        (Path(folder) / 'record.txt').write_text(''.join(text))


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    fields = {}
    for line in lines:
        name, _, text = line.partition(':')
        fields[name.strip().lower()] = text.strip()
    return first, fields


async def read_chunk(reader):
    size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
    content = await reader.readexactly(size)
    await reader.readexactly(2)
    return content


async def read_body(reader, fields):
    if 'chunked' in fields.get('transfer-encoding', '').lower():
        body = b''
        while part := await read_chunk(reader):
            body += part
        return body
    return await reader.readexactly(int(fields.get('content-length', 0)))


class Listener:
    """Accepts connections and hands each request to ``serve``."""

    def __init__(self, serve):
        self.serve = serve
        self.port = 0
        self.writers = set()
        self.server = None

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def open(self):
        self.server = await asyncio.start_server(
            self._handle, '127.0.0.1', self.port, backlog=512
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self):
        """Close the port and all connections, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _handle(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, path = first.split(' ')[:2]
                request = Request(method, path, fields, body)
                if not await self.serve(request, writer):
                    break
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


class Request:
    def __init__(self, method, path, fields, body):
        self.method = method
        self.path = path
        self.fields = fields
        self.body = body

    @property
    def id(self):
        return self.fields.get('x-attempt-id', '')

    @property
    def parts(self):
        text = self.fields.get('x-prefix-hash', '')
        return [entry.partition(':')[0] for entry in text.split(',') if entry]


class Store:
    """The platform's store, with its history; acknowledges what it accepts."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.events = []
        self.revision = 1
        self.changed = asyncio.Event()
        self.listener = Listener(self._serve)

    @property
    def address(self):
        return self.listener.address

    def put(self, key, document):
        self.revision += 1
        value = base64.b64encode(json.dumps(document).encode()).decode()
        known = self.items.get(key)
        item = {
            'key': key,
            'value': value,
            'revision': self.revision,
            'created': known['created'] if known else self.revision,
            'lease': 0,
        }
        self.items[key] = item
        self._publish(item)

    def delete(self, key):
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self._publish({'key': key, 'revision': self.revision, 'deleted': True})

    def _publish(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, request, writer):
        url = urlsplit(request.path)
        query = {name: text[0] for name, text in parse_qs(url.query).items()}
        prefix = query.get('prefix', '')
        if url.path == '/kv-range':
            after = query.get('after', '')
            items = [
                self.items[key]
                for key in sorted(self.items)
                if key.startswith(prefix) and key > after
            ]
            answer = {'items': items, 'hasMore': False, 'at': self.revision}
        elif url.path == '/kv-watch':
            after = int(query['after'])
            end = time.monotonic() + int(query['waitMs']) / 1000
            while not (found := self._find(prefix, after)):
                left = end - time.monotonic()
                if left <= 0:
                    break
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), left)
            answer = {'events': found, 'at': self.revision}
        else:
            answer = {}
        body = json.dumps(answer).encode()
        head = (
            'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            f'Store-Era: 1\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        writer.write(head.encode() + body)
        await writer.drain()
        return True

    def _find(self, prefix, after):
        return [
            event
            for event in self.events
            if event['revision'] > after and event['key'].startswith(prefix)
        ]


class Server:
    """A server of one service, which registers and answers as the pages say.

    ``plan`` is called with each request and may return a coroutine function
    that answers it instead of the usual answer.
    """

    def __init__(self, record, store, name, service, *, work_s=0.03):
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.work_s = work_s
        self.first_s = 0.1
        self.event_count = 5
        self.gap_s = 0.05
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.is_up = False
        self.crash_count = 0
        self.extra = []
        self.plan = None
        self.listener = Listener(self._serve)
        self.tasks = set()
        self.sequence = 0

    @property
    def address(self):
        return self.listener.address

    async def start(self):
        self.born = int(time.time() * 1000)
        await self.listener.open()
        self.is_up = True
        self.write_entry()
        self._spawn(self._beat())

    def _spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def write_entry(self):
        self.store.put(
            f'servers/{self.name}',
            {
                'service': self.service,
                'address': self.address,
                'zone': 'lhr-a',
                'version': 'v1',
                'slots': 8,
                'state': self.state,
                'coldRemainingMs': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_up and self.beats():
                self.write_entry()

    def beats(self):
        return True

    def crash(self, back_after_s):
        """End at once; start again under the same id some seconds later."""
        if not self.is_up:
            return
        self.is_up = False
        self.crash_count += 1
        self.record.add(self.name, 'crashes')
        self.listener.close()
        if back_after_s is not None:
            self._spawn(self._return(back_after_s))

    async def _return(self, seconds):
        await asyncio.sleep(seconds)
        self.born = int(time.time() * 1000)
        await self.listener.open()
        self.is_up = True
        self.record.add(self.name, 'is back')
        self.write_entry()

    def leave(self):
        """Exit, and take the entry out of the store."""
        self.is_up = False
        self.record.add(self.name, 'exits')
        self.listener.close()
        self.store.delete(f'servers/{self.name}')

    def head(self, status, request, *fields, signed=True):
        lines = [
            f'HTTP/1.1 {status} X',
            f'X-Attempt-Id: {request.id}',
            *fields,
            *self.extra,
        ]
        if signed:
            lines.append(f'X-Server-Signature: 3e1b.07.{self.name}')
        return '\r\n'.join([*lines, '', '']).encode()

    async def refuse(self, request, writer, status, *fields):
        head = self.head(
            status, request, 'X-Not-Executed: 1', 'Content-Length: 0', *fields
        )
        writer.write(head)
        await writer.drain()
        return True

    async def _serve(self, request, writer):
        self.record.add(self.name, 'receives', id=request.id, path=request.path)
        expected = request.fields.get('x-expect-instance', self.name)
        if expected != self.name:
            return await self.refuse(request, writer, 421)
        planned = self.plan(self, request) if self.plan else None
        if planned is not None:
            return await planned(request, writer)
        if 'x-model' in request.fields:
            return await self.stream(request, writer)
        return await self.answer(request, writer)

    async def answer(self, request, writer):
        self.record.add(self.name, 'runs', id=request.id)
        await asyncio.sleep(self.work_s)
        if not self.is_up:
            return False
        body = f'{self.name} ran {request.id}'.encode()
        self.record.add(self.name, 'has run', id=request.id)
        writer.write(
            self.head(200, request, f'Content-Length: {len(body)}') + body
        )
        await writer.drain()
        return True

    async def short(self, request, writer):
        """Answer with one event, at once."""
        writer.write(
            self.head(
                200,
                request,
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            )
        )
        event = f'id: 1\ndata: {request.id} 1\n\n'.encode()
        writer.write(b'%x\r\n%b\r\n0\r\n\r\n' % (len(event), event))
        await writer.drain()
        return True

    async def stream(self, request, writer):
        await asyncio.sleep(self.first_s)
        if not self.is_up or writer.is_closing():
            return False
        self.record.add(self.name, 'runs', id=request.id)
        first = int(request.fields.get('last-event-id') or 0)
        writer.write(
            self.head(
                200,
                request,
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            )
        )
        for number in range(first + 1, self.event_count + 1):
            if number > first + 1:
                await asyncio.sleep(self.gap_s)
            if not self.is_up or writer.is_closing():
                return False
            event = f'id: {number}\ndata: {request.id} {number}\n\n'.encode()
            writer.write(b'%x\r\n%b\r\n' % (len(event), event))
            await writer.drain()
        self.record.add(self.name, 'has run', id=request.id)
        writer.write(b'0\r\n\r\n')
        await writer.drain()
        return True


def free_port(*ips):
    """Return a port that is free at all of these addresses, TCP and UDP."""
    while True:
        with socket.socket() as probe:
            probe.bind((ips[0], 0))
            port = probe.getsockname()[1]
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((ip, port))
        except OSError:
            continue
        return port


class Entry:
    """An entry process, started with the command of the deploy file."""

    def __init__(self, record, number, ips, ports, store_address):
        self.record = record
        self.name = f'edge-{number + 1}'
        ip = ips[number]
        self.front = (ip, ports['frontend'])
        self.ready = (ip, ports['ready'])
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.process = None
        self.log = None
        settings = {
            'nodeName': self.name,
            'role': 'entry',
            'machineClass': 'edge',
            'serves': ['edge', 'control'],
            'ip': ip,
            'zone': 'lhr-a',
            'region': 'lhr',
            'zones': {'lhr-a': 'lhr'},
            'listen': {
                'frontend': f'{ip}:{ports["frontend"]}',
                'ready': f'{ip}:{ports["ready"]}',
                'controlPlane': f'{ip}:{ports["control"]}',
            },
            'internalPorts': [ports['internal'], ports['internal']],
            'seeds': [f'{each}:{ports["control"]}' for each in ips[:3]],
            'bootstrap': True,
            'limits': {
                'cpuShare': 0.817,
                'cores': 1,
                'memoryMb': 300,
                'maxFds': 4100,
                'linkMbps': 1000.0,
                'diskMb': 0,
            },
            'heartbeatMs': 1200,
            'bounds': BOUNDS,
            'platform': {
                'address': store_address,
                'form': 'read',
                'readsPerS': 2000,
                'historyS': 20,
                'valueBytes': 1048576,
            },
        }
        # JSON is YAML.
        self.settings_path = Path(self.folder) / 'local.yaml'
        self.settings_path.write_text(json.dumps(settings))

    def launch(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['entry']['run'].split(' ')
        command[-1] = str(free_port(self.front[0]))
        self.log = (Path(self.folder) / 'log').open('ab')
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            env={
                'PATH': os.environ['PATH'],
                'HOME': os.environ.get('HOME', '/'),
                'PYTHONPATH': str(ROOT / 'target/deps'),
                'PYTHONDONTWRITEBYTECODE': '1',
                'BUCKTHORNPOND_CONFIG': str(self.settings_path),
            },
        )
        self.record.add(self.name, 'is started')

    async def wait_until_ready(self, limit_s=20.0):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise RuntimeError(f'{self.name} ended: {self.read_log()}')
            if await self.is_ready():
                self.record.add(self.name, 'is ready')
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{self.name} is not ready: {self.read_log()}')

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready)
        except OSError:
            return False
        try:
            writer.write(b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            return ' 200 ' in f'{first} '
        except (OSError, EOFError, TimeoutError):
            return False
        finally:
            writer.close()

    def kill(self):
        self.record.add(self.name, 'is killed')
        self.process.kill()
        self.process.wait()

    def send_signal(self, number):
        self.record.add(self.name, 'gets signal', number=int(number))
        self.process.send_signal(number)

    def read_log(self):
        return (Path(self.folder) / 'log').read_text()[-2000:]

    def close(self):
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        if self.log is not None:
            self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class Deployment:
    """A store, servers and entries; ends all that it started."""

    def __init__(self, entry_count=2):
        self.record = Record()
        self.store = Store(self.record)
        self.servers = []
        self.entry_count = entry_count
        self.entries = []
        self.attempt_count = 0

    async def open(self, config, servers, store_address=None):
        if self.store.listener.server is None:
            await self.store.listener.open()
        self.store.put('op/config', config)
        self.servers = servers
        for server in servers:
            await server.start()
        ips = [f'127.0.1.{number + 1}' for number in range(self.entry_count)]
        names = ('frontend', 'ready', 'control', 'internal')
        ports = {name: free_port(*ips) for name in names}
        for number in range(self.entry_count):
            self.entries.append(
                Entry(
                    self.record,
                    number,
                    ips,
                    ports,
                    store_address or self.store.address,
                )
            )
        for entry in self.entries:
            entry.launch()
        for entry in self.entries:
            await entry.wait_until_ready()

    def close(self):
        for entry in self.entries:
            entry.close()
        for server in self.servers:
            server.listener.close()
        self.store.listener.close()

    async def call(
        self,
        entry,
        method,
        path,
        *,
        body=b'',
        fields=(),
        limit_s,
        connection=None,
    ):
        """Send one client attempt and return its end.

        It goes on a new connection, or on one that the caller keeps.
        """
        self.attempt_count += 1
        attempt_id = f'{self.attempt_count:08x}{os.getpid():08x}'
        sent_at = self.record.add(
            'client', 'sends', id=attempt_id, to=entry.name, path=path
        )
        status, is_whole, is_signed = 0, False, False
        writer = None
        try:
            async with asyncio.timeout(limit_s + 1):
                reader, writer = connection or await asyncio.open_connection(
                    *entry.front
                )
                lines = [
                    f'{method} {path} HTTP/1.1',
                    f'Host: {HOST}',
                    f'X-Attempt-Id: {attempt_id}',
                    f'X-Deadline-Ms: {int(limit_s * 1000)}',
                    f'Authorization: Token {KEY}',
                    f'Content-Length: {len(body)}',
                    *fields,
                ]
                if method == 'GET':
                    lines.pop(5)
                writer.write('\r\n'.join([*lines, '', '']).encode() + body)
                first, answered = await read_head(reader)
                status = int(first.split(' ')[1])
                is_signed = 'x-server-signature' in answered
                await read_body(reader, answered)
                is_whole = True
        except (OSError, EOFError, TimeoutError):
            pass
        finally:
            if writer is not None and not (connection and is_whole):
                writer.close()
        done_at = self.record.add(
            'client', 'gets', id=attempt_id, status=status, whole=is_whole
        )
        return Outcome(
            attempt_id, sent_at, done_at, status, is_whole, is_signed
        )


class Outcome:
    def __init__(self, id, sent_at, done_at, status, is_whole, is_signed):
        self.id = id
        self.sent_at = sent_at
        self.done_at = done_at
        self.status = status
        self.is_whole = is_whole
        self.is_signed = is_signed

    @property
    def is_served(self):
        return self.status == 200 and self.is_whole and self.is_signed


def make_route(name, kind, service, **changes):
    return {
        'name': f'r-{name}',
        'hostname': HOST,
        'prefix': f'/{name}/',
        'routeType': kind,
        'timeoutMs': 10000,
        'targetLatencyMs': 300,
        'priority': 1,
        'service': service,
        'maxAttempts': 2,
        'public': False,
        **changes,
    }


def make_config(routes, services, version=7):
    return {
        'version': version,
        'routes': routes,
        'services': services,
        'tenants': [{'name': TENANT, 'apiKeys': [KEY], 'priority': 1}],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


LLM = {
    'name': 'llm',
    'healthPath': '/healthz',
    'maxConnections': 344,
    'coldStartS': 0,
    'coldPerS': 0,
    'engine': ENGINE,
}
APP = {
    'name': 'app',
    'healthPath': '/healthz',
    'maxConnections': 96,
    'coldStartS': 0,
    'coldPerS': 0,
}


def main(folder, play):
    """Run a case and exit: 1 broken, 0 held, 2 could not run."""

    async def run():
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
        try:
            async with asyncio.timeout(110):
                return await play()
        except Exception as error:  # The case could not run.
            print(f'could not run: {error!r}')
            return NOT_RUN

    sys.exit(asyncio.run(run()))
