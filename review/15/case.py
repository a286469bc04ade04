"""A server that has left gets requests after a watch was cut."""

import asyncio
from pathlib import Path

from bed.beds import KEYS, READ, ZONES, Bed, run_case

DRAIN_S = 2.0
MARGIN_S = 0.1
# 4 of 12 servers are replaced: 0.33, one at a time.
SERVERS = 12
ROUNDS = 4
ROUND_S = 5.0
FIRST_AT_S = 4.0
NEW_BEFORE_S = 1.5
# "and a little longer"
SERVES_S = 3.0


async def play(bed: Bed, is_troubled: bool) -> bool:
    """Return whether the servers got nothing too late."""
    bed.configure()
    for number in range(SERVERS):
        await bed.add_server(f'i-{number:08x}', ZONES[number % 3])
    await bed.start_entries(3)
    start = bed.record.now()

    def choose() -> tuple[str, str, str, str]:
        entry = bed.random.choice(bed.entries)
        path = f'/{READ}/{bed.random.randrange(1000):x}'
        return entry.address, 'GET', path, bed.random.choice([*KEYS.values()])

    end = start + FIRST_AT_S + ROUNDS * ROUND_S
    pressing = asyncio.create_task(bed.clients.press(120, end, choose))
    late = 0
    latest = 0.0
    for number in range(ROUNDS):
        at = start + FIRST_AT_S + number * ROUND_S
        # The new one starts first.
        await bed.sleep_until(at - NEW_BEFORE_S)
        await bed.add_server(f'i-{SERVERS + number:08x}', ZONES[number % 3])
        await bed.sleep_until(at)
        leaver = bed.servers[number]
        if is_troubled:
            bed.store.cut_watches()
        await asyncio.sleep(0.05)
        left_at = bed.store.delete(
            f'servers/{leaver.name}', '(it leaves without reporting draining)'
        )
        await asyncio.sleep(SERVES_S)
        leaver.stop()
        after = [run.at - left_at for run in leaver.runs if run.at > left_at]
        late += sum(each > DRAIN_S + MARGIN_S for each in after)
        latest = max([latest, *after])
    await pressing
    await bed.clients.finish()
    bed.check_alive()
    text = (
        f'{late} requests reached a server later than drainMs after it left,'
        f' the last one {latest:.2f} s after'
    )
    bed.record.add(text)
    print(text)
    return not late


run_case(Path(__file__).resolve().parent, play)
