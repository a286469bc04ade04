"""One faulty answer stops a whole entry for seconds."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    Entry,
    Server,
    Store,
    fetch,
    has_trouble,
    make_config,
    make_route,
    make_server_entry,
    run_case,
)

KEY = 'key-1'
TIMEOUT_S = 1.0
# CONFIG: half a second after the route's timeout an answer is due.
LATE_S = 0.5
CLIENT_DEADLINE_S = 4.0
INTERVAL_S = 0.025
TROUBLE_S = 5.0
RUN_S = 20.0


async def play(record, entries):
    """Send calm traffic while two of four servers spoil some answers."""
    store = Store()
    store_address = await store.listen()
    servers = [Server(f'i-{number}', 'app', record) for number in range(2)]
    for server in servers:
        await server.listen()
        store.put(f'servers/{server.name}', server.entry())
    faulty = [launch_faulty(store, f'i-f{number}') for number in range(2)]
    try:
        routes = [
            make_route('read', 'idempotent', 'app'),
            make_route('write', 'non_idempotent', 'app'),
        ]
        store.put('op/config', make_config(1, routes, ['app'], [KEY]))
        entry = Entry(store_address)
        entries.append(entry)
        entry.launch()
        await entry.wait_ready()
        return await judge(record, entry, faulty)
    finally:
        for process in faulty:
            process.kill()
            for line in process.stdout.read().decode().splitlines():
                record.write(f'server {process.args[-1]} {line}')
            process.wait()


def launch_faulty(store, name):
    """Start a server that can be told to spoil answers."""
    process = subprocess.Popen(
        [sys.executable, str(FOLDER / 'faulty_server.py'), name],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    address = process.stdout.readline().decode().strip()
    store.put(f'servers/{name}', make_server_entry('app', address))
    return process


def switch(record, faulty, word):
    """Tell the servers to spoil answers or to stop that."""
    record.write(f'spoiling {word}')
    for process in faulty:
        process.stdin.write(f'{word}\n'.encode())
        process.stdin.flush()


async def judge(record, entry, faulty):
    """Return whether most of the late requests stay unanswered."""
    tasks = []
    begin = time.monotonic()
    switches = []
    if has_trouble():
        switches = [(begin + 3, 'on'), (begin + 3 + TROUBLE_S, 'off')]
    number = 0
    while time.monotonic() < begin + RUN_S:
        method, path = ('GET', '/read/1') if number % 2 else ('POST', '/write/1')
        tasks.append(asyncio.create_task(send(record, entry, method, path)))
        number += 1
        if switches and time.monotonic() >= switches[0][0]:
            switch(record, faulty, switches.pop(0)[1])
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    unanswered = [
        each for each in answers if each.ended_at - each.sent_at > TIMEOUT_S
    ]
    late = [
        each
        for each in unanswered
        if each.ended_at - each.sent_at > TIMEOUT_S + LATE_S
    ]
    never = sum(not each.status for each in answers)
    text = (
        f'{len(answers)} requests, {len(unanswered)} unanswered at timeoutMs,'
        f' {len(late)} of them half a second later, {never} never answered'
    )
    record.write(text)
    print(text)
    return BROKEN if len(late) * 2 > len(unanswered) else HELD


async def send(record, entry, method, path):
    """Send one request and record its end."""
    answer = await fetch(
        entry.frontend, method, path, key=KEY, limit_s=CLIENT_DEADLINE_S
    )
    took_ms = round((answer.ended_at - answer.sent_at) * 1000)
    record.write(
        f'client {method} {path} {answer.attempt_id}: '
        f'{answer.status or answer.error} after {took_ms} ms'
    )
    return answer


run_case(FOLDER, play)
