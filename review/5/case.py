"""An entry that began with stale seeds accepts a withdrawn key for long."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    SIGHUP,
    Entry,
    Server,
    Store,
    fetch,
    free_ip,
    has_trouble,
    make_config,
    make_route,
    run_case,
)

KEPT_KEY, WITHDRAWN_KEY = 'key-1', 'key-2'
# How long the store turns one of three machines away.
TURNED_AWAY_S = 9.0
CONFIG_APPLY_S = 2.0
MAX_EXTENSION_S = 5.0
INTERVAL_S = 0.1


async def play(record, entries):
    """Withdraw a key while the store turns one machine away."""
    store = Store()
    server = Server('i-1', 'app', record)
    await server.listen()
    store.put('servers/i-1', server.entry())
    routes = [make_route('read', 'idempotent', 'app')]
    keys = [KEPT_KEY, WITHDRAWN_KEY]
    store.put('op/config', make_config(1, routes, ['app'], keys))
    for _ in range(3):
        entries.append(Entry(await store.listen()))
    first, *others = entries
    for entry in others:
        entry.seeds = [each.ip for each in others]
        entry.launch()
    for entry in others:
        await entry.wait_ready()
    right_seeds = [each.ip for each in others]
    first.seeds = right_seeds
    if has_trouble() and os.environ.get('SEEDS') != 'right':
        # Machines that are gone; nothing answers there.
        first.seeds = [free_ip() for _ in range(3)]
    record.write(f'{first.ip} starts with the seeds {first.seeds}')
    first.launch()
    await first.wait_ready()
    await asyncio.sleep(2)
    first.seeds = right_seeds
    first.write_settings()
    first.send_signal(SIGHUP)
    record.write(f'{first.ip} gets SIGHUP; its seeds are now {right_seeds}')
    await asyncio.sleep(10)
    if has_trouble():
        store.busy_ports.add(int(first.store_address.split(':')[1]))
        record.write(f'the store turns {first.ip} away')
        await asyncio.sleep(0.2)
    store.put('op/config', make_config(2, routes, ['app'], [KEPT_KEY]))
    acknowledged_at = time.monotonic()
    record.write(f'version 2 without {WITHDRAWN_KEY} acknowledged')
    tasks = []
    while time.monotonic() < acknowledged_at + TURNED_AWAY_S - 0.4:
        for entry in entries:
            tasks.append(asyncio.create_task(send(record, entry)))
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    store.busy_ports.clear()
    limit_s = CONFIG_APPLY_S + MAX_EXTENSION_S
    late = {
        answer.attempt_id
        for answer in answers
        if answer.sent_at > acknowledged_at + limit_s
    }
    run = [attempt for _, attempt, _ in server.runs if attempt in late]
    text = (
        f'{len(late)} requests with the withdrawn key were sent later than'
        f' {limit_s} s after the acknowledgement; {len(run)} of them ran'
    )
    record.write(text)
    print(text)
    return BROKEN if run else HELD


async def send(record, entry):
    """Send a request with the withdrawn key and record its end."""
    answer = await fetch(
        entry.frontend, 'GET', '/read/1', key=WITHDRAWN_KEY, limit_s=1.0
    )
    record.write(
        f'client GET /read/1 with {WITHDRAWN_KEY} at {entry.ip}'
        f' {answer.attempt_id}: {answer.status or answer.error}'
    )
    return answer


run_case(FOLDER, play)
