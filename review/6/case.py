"""A part that crashes servers stands early in a long list of parts."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers_2 import (
    BROKEN,
    HELD,
    LLM,
    NOT_RUN,
    STABILITY_WINDOW_S,
    TROUBLE,
    Deployment,
    Server,
    main,
    make_config,
    make_route,
)

FOLDER = Path(__file__).resolve().parent
DEADLY = 'dead0001'
# Place of the part in the list, of 20 parts; the last is never deadly.
PLACE = int(os.environ.get('PLACE', '1'))
SHARED = [f'{0xB0000000 + number:08x}' for number in range(19)]
# Seconds between two sound requests on each of the two routes.
SOUND_S = float(os.environ.get('SOUND_S', '0.25'))
# Seconds between two requests with the part: 0.05 of all, for 22 s, as on the
# day that the letter of issue 25 gives.
DEADLY_S = float(os.environ.get('DEADLY_S', '2.5'))
DEADLY_FOR_S = 22.0
BACK_AFTER_S = 2.0
SECONDS = 30.0
ENTRY_COUNT = 2


def plan(server, request):
    if TROUBLE and DEADLY in request.parts:
        return server.write_deadly
    return None


class EngineServer(Server):
    async def write_deadly(self, request, writer):
        """Begin to write an answer, and crash."""
        await asyncio.sleep(self.first_s)
        if not self.is_up or writer.is_closing():
            return False
        self.record.add(self.name, 'runs', id=request.id)
        writer.write(
            self.head(
                200,
                request,
                'Content-Type: text/event-stream',
                'Transfer-Encoding: chunked',
            )
        )
        await writer.drain()
        self.crash(BACK_AFTER_S)
        return False


class Case:
    def __init__(self):
        self.deployment = Deployment(ENTRY_COUNT)
        self.record = self.deployment.record
        self.sound = []
        self.deadly = []
        self.deadly_ids = set()
        self.count = 0

    async def ask(self, path, *, is_deadly):
        self.count += 1
        parts = list(SHARED)
        if is_deadly:
            parts[PLACE] = DEADLY
        parts.append(f'{0xC0000000 + self.count:08x}')
        tokens = [40, *[260] * 19]
        prefix = ','.join(
            f'{part}:{count}' for part, count in zip(parts, tokens, strict=True)
        )
        entry = self.deployment.entries[self.count % ENTRY_COUNT]
        outcome = await self.deployment.call(
            entry,
            'POST',
            f'{path}{self.count}',
            body=f'question {self.count}'.encode(),
            fields=(
                'X-Model: m',
                f'X-Token-Count: {sum(tokens)},200',
                f'X-Prefix-Hash: {prefix}',
            ),
            limit_s=10,
        )
        (self.deadly if is_deadly else self.sound).append(outcome)
        if is_deadly:
            self.deadly_ids.add(outcome.id)

    async def send(self, path, interval_s, end, *, is_deadly):
        tasks = []
        while self.record.now() < end:
            tasks.append(
                asyncio.create_task(self.ask(path, is_deadly=is_deadly))
            )
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)

    async def play(self):
        record = self.record
        store = self.deployment.store
        servers = [
            EngineServer(record, store, f'i-{number:08x}', 'llm')
            for number in range(1, 9)
        ]
        for server in servers:
            server.plan = plan
        routes = [
            make_route('draft', 'streaming', 'llm', streamResume=True),
            make_route('review', 'streaming', 'llm', targetLatencyMs=1500),
        ]
        for route in routes:
            route.update(targetGapMs=200, sessionAffinity=True)
        try:
            await self.deployment.open(make_config(routes, [LLM]), servers)
            # The entries learn of each other.
            await asyncio.sleep(STABILITY_WINDOW_S)
            end = record.now() + SECONDS
            sound = [
                asyncio.create_task(
                    self.send(path, SOUND_S, end, is_deadly=False)
                )
                for path in ('/draft/', '/review/')
            ]
            await asyncio.sleep(4)
            until = record.now() + DEADLY_FOR_S
            await self.send('/draft/', DEADLY_S, until, is_deadly=True)
            await asyncio.gather(*sound)
        finally:
            self.deployment.close()
        return self.judge()

    def judge(self):
        lines = self.record.lines
        crashes = sorted(at for at, _, what, _ in lines if what == 'crashes')
        arrivals = sorted(
            at
            for at, _, what, details in lines
            if what == 'receives' and details['id'] in self.deadly_ids
        )
        late = []
        if len(crashes) >= 5:
            since = crashes[4] + STABILITY_WINDOW_S
            late = [at for at in arrivals if at > since]
        refused = sum(each.status == 503 for each in self.deadly)
        cut = sum(
            each.status == 200 and not each.is_whole for each in self.sound
        )
        served = sum(each.is_served for each in self.sound)
        barred = sum(each.status == 503 for each in self.sound)
        verdict = [
            f'crashes of servers: {len(crashes)}',
            f'requests with the part: {len(self.deadly)} sent,'
            f' {refused} refused with 503, {len(arrivals)} arrivals at servers',
            f'arrivals later than {STABILITY_WINDOW_S} s after the fifth'
            f' crash: {len(late)}, 3 allowed',
            f'sound requests: {len(self.sound)} sent, {served} served,'
            f' {cut} cut off in the middle of their stream,'
            f' {barred} refused with 503',
        ]
        print('\n'.join(verdict))
        self.record.write(FOLDER, verdict)
        if not served:
            return NOT_RUN
        return BROKEN if len(late) > 3 else HELD


if __name__ == '__main__':
    main(FOLDER, Case().play)
