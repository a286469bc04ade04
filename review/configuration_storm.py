"""Large configurations in quick succession stop all followers for long.

No case: its storm is far larger than those of the sheets. The open
connections to the store go silent once, 25 configurations of 1,044,461 bytes
follow in 1.5 s, and the last one withdraws a key. ``StoreClient``
(platform/store.py) refuses a reply above 32 MiB (``_MAX_REPLY_BYTES``), and
``StoreSource.run`` asks for the same changes again, which have not become
fewer, until the store drops its history after 20 s. Exits like ``run.sh`` of
a case; ``TROUBLE=0`` plays a single change without silent connections.
"""

import asyncio
import json
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

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
    run_case,
)

KEPT_KEY, WITHDRAWN_KEY = 'key-1', 'key-2'
# Largest value that the store takes, and what is used of it.
VALUE_BYTES = 1_048_576
CONFIG_BYTES = 1_045_000
# A change each 0.06 s for 1.5 s.
STORM_S = 1.5
GAP_S = 0.06
HISTORY_S = 20
CONFIG_APPLY_S = 2.0
# After the open connections went silent, machines are in touch again.
STABILITY_WINDOW_S = 3.0
INTERVAL_S = 0.2
WATCHED_S = 14.0


def make_large_routes():
    """Return routes that fill a configuration."""
    routes = [make_route('read', 'idempotent', 'app')]
    size = len(json.dumps(make_config(1000, routes, ['app'], ['', ''])))
    number = 0
    while size < CONFIG_BYTES - 600:
        number += 1
        route = make_route(f'lohu{number:05}', 'idempotent', 'app')
        routes.append(route)
        size += len(json.dumps(route)) + 2
    return routes


async def play(record, entries):
    """Withdraw a key right after a storm of configurations."""
    store = Store()
    store.history_s = HISTORY_S
    server = Server('i-1', 'app', record)
    await server.listen()
    store.put('servers/i-1', server.entry())
    routes = make_large_routes()
    keys = [KEPT_KEY, WITHDRAWN_KEY]
    version = 1
    config = make_config(version, routes, ['app'], keys)
    size = len(json.dumps(config))
    record.write(f'{len(routes)} routes, {size} bytes of {VALUE_BYTES}')
    store.put('op/config', config)
    for _ in range(2):
        entries.append(Entry(await store.listen()))
    for entry in entries:
        entry.seeds = [each.ip for each in entries]
        entry.launch()
    for entry in entries:
        await entry.wait_ready()
    await asyncio.sleep(4)
    in_touch_at = 0.0
    if has_trouble():
        store.silence_connections()
        record.write('the open connections to the store go silent')
        begin = time.monotonic()
        in_touch_at = begin + STABILITY_WINDOW_S
        while time.monotonic() < begin + STORM_S:
            version += 1
            routes[0]['timeoutMs'] = 1000 + version
            store.put(
                'op/config', make_config(version, routes, ['app'], keys)
            )
            await asyncio.sleep(
                max(begin + (version - 1) * GAP_S - time.monotonic(), 0)
            )
        record.write(f'storm over, version {version} acknowledged')
    version += 1
    store.put('op/config', make_config(version, routes, ['app'], [KEPT_KEY]))
    acknowledged_at = time.monotonic()
    record.write(f'version {version} without {WITHDRAWN_KEY} acknowledged')
    tasks = []
    while time.monotonic() < acknowledged_at + WATCHED_S:
        for entry in entries:
            tasks.append(asyncio.create_task(send(record, entry)))
        await asyncio.sleep(INTERVAL_S)
    answers = await asyncio.gather(*tasks)
    judged_from = max(acknowledged_at + CONFIG_APPLY_S, in_touch_at)
    late = {
        answer.attempt_id
        for answer in answers
        if answer.sent_at > judged_from
    }
    run = [attempt for _, attempt, _ in server.runs if attempt in late]
    text = (
        f'{len(late)} requests with the withdrawn key were sent later than'
        f' {CONFIG_APPLY_S} s after the acknowledgement; {len(run)} of them ran'
    )
    record.write(text)
    print(text)
    for entry in entries:
        for line in entry.log.read_text(errors='replace').splitlines():
            if '"event":"source_' in line:
                record.write(f'log of {entry.ip}: {line[:200]}')
    return BROKEN if run else HELD


async def send(record, entry):
    """Send a request with the withdrawn key and record its end."""
    answer = await fetch(
        entry.frontend, 'GET', '/read/1', key=WITHDRAWN_KEY, limit_s=1.5
    )
    record.write(
        f'client GET /read/1 with {WITHDRAWN_KEY} at {entry.ip}'
        f' {answer.attempt_id}: {answer.status or answer.error}'
    )
    return answer


run_case(FOLDER, play)
