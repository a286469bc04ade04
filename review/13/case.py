"""A server that has left gets requests after connections went silent."""

import asyncio
from pathlib import Path

from bed.beds import KEYS, PUSH, READ, ZONES, Bed, run_case

DRAIN_S = 2.0
STABILITY_S = 3.0
# Requests this close to a bound aren't counted.
MARGIN_S = 0.1
SILENT_AT_S = 6.0
NEW_BEFORE_S = 0.35
LEAVES_BEFORE_S = 0.1
# It goes on for drainMs "and a little longer (at times many seconds)".
SERVES_S = 6.5
END_S = 14.0


async def play(bed: Bed, is_troubled: bool) -> bool:
    """Return whether the server got nothing too late."""
    bed.configure()
    for number, zone in enumerate((*ZONES, *ZONES)):
        await bed.add_server(f'i-{number:08x}', zone)
    await bed.start_entries(3)
    start = bed.record.now()

    def choose() -> tuple[str, str, str, str]:
        entry = bed.random.choice(bed.entries)
        number = bed.random.randrange(1000)
        key = bed.random.choice([*KEYS.values()])
        if bed.random.random() < 0.5:
            return entry.address, 'GET', f'/{READ}/{number:x}', key
        return entry.address, 'POST', f'/{PUSH}/{number:x}', key

    pressing = asyncio.create_task(
        bed.clients.press(60, start + END_S, choose)
    )
    # A server is replaced: the new one starts first, then the old one leaves.
    await bed.sleep_until(start + SILENT_AT_S - NEW_BEFORE_S)
    await bed.add_server('i-000000ff', ZONES[0])
    await bed.sleep_until(start + SILENT_AT_S - LEAVES_BEFORE_S)
    leaver = bed.servers[0]
    left_at = bed.store.delete(
        f'servers/{leaver.name}', '(it leaves without reporting draining)'
    )
    await bed.sleep_until(start + SILENT_AT_S)
    if is_troubled:
        bed.store.silence_open()
    silent_at = bed.record.now()
    await asyncio.sleep(SERVES_S)
    leaver.stop()
    await pressing
    await bed.clients.finish()
    bed.check_alive()
    sent_at = {each.attempt_id: each.sent_at for each in bed.clients.requests}
    bound = left_at + DRAIN_S + MARGIN_S
    in_touch_at = silent_at + STABILITY_S + MARGIN_S
    late = [
        run
        for run in leaver.runs
        if run.at > bound and sent_at[run.attempt_id] > in_touch_at
    ]
    last = max((run.at - left_at for run in leaver.runs), default=0)
    text = (
        f'{len(late)} requests reached {leaver.name} later than drainMs after'
        ' it left, sent on by machines in touch; the last one'
        f' {last:.2f} s after it left'
    )
    bed.record.add(text)
    print(text)
    return not late


run_case(Path(__file__).resolve().parent, play)
