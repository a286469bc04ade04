"""A planned stop takes requests that it cannot finish, and cuts them off."""

import asyncio
import itertools
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers_2 import (
    BOUNDS,
    BROKEN,
    HELD,
    LLM,
    STABILITY_WINDOW_S,
    TROUBLE,
    Deployment,
    Server,
    main,
    make_config,
    make_route,
)

FOLDER = Path(__file__).resolve().parent
GRACE_S = BOUNDS['graceS']
# Requests a second that the one machine gets.
RATE = 100
FIRST_S, LAST_S = 2.6, 3.4
# Requests sent later than this after the signal are owed an answer.
EXCUSED_S = 3.0


class Case:
    def __init__(self):
        self.deployment = Deployment(4)
        self.record = self.deployment.record
        # Time of each stop, and what its clients got.
        self.stops = []
        self.numbers = itertools.count(1)

    def fields(self, number):
        return (
            'X-Model: m',
            'X-Token-Count: 5000,1600',
            f'X-Prefix-Hash: a0000001:40,{number:08x}:4960',
        )

    async def ask(self, entry, connection, path, note):
        number = next(self.numbers)
        outcome = await self.deployment.call(
            entry,
            'POST',
            f'{path}{number}',
            body=f'question {number}'.encode(),
            fields=self.fields(number),
            limit_s=10,
            connection=connection,
        )
        note.append(outcome)

    async def stop(self, entry):
        """Stop a machine while its clients go on; return what they got."""
        count = int(RATE * (LAST_S - FIRST_S))
        connections = [
            await asyncio.open_connection(*entry.front) for _ in range(count)
        ]
        # Each connection has carried a request, and is kept.
        first = []
        for connection in connections:
            await self.ask(entry, connection, '/short/', first)
        if not all(each.is_served for each in first):
            raise RuntimeError('a request before the stop was not served')
        if TROUBLE:
            entry.send_signal(signal.SIGTERM)
        stopped_at = self.record.now()
        outcomes, tasks = [], []
        for number, connection in enumerate(connections):
            due = stopped_at + FIRST_S + number / RATE
            await asyncio.sleep(max(due - self.record.now(), 0))
            tasks.append(
                asyncio.create_task(
                    self.ask(entry, connection, '/draft/', outcomes)
                )
            )
        await asyncio.gather(*tasks)
        if TROUBLE:
            await asyncio.to_thread(entry.process.wait, 10)
            self.record.add(entry.name, 'has ended')
        self.stops.append((stopped_at, outcomes))

    async def play(self):
        record, store = self.record, self.deployment.store
        servers = [
            Server(record, store, f'i-{number:08x}', 'llm')
            for number in range(1, 9)
        ]
        for server in servers:
            server.event_count, server.gap_s = 26, 0.2
            server.plan = plan
        routes = [
            make_route('draft', 'streaming', 'llm', targetGapMs=300),
            make_route('short', 'streaming', 'llm', targetGapMs=300),
        ]
        try:
            await self.deployment.open(make_config(routes, [LLM]), servers)
            await asyncio.sleep(STABILITY_WINDOW_S)
            # The last one stays: a roll never stops all at once.
            for entry in self.deployment.entries[:-1]:
                await self.stop(entry)
        finally:
            self.deployment.close()
        return self.judge()

    def judge(self):
        passed_on = {
            details['id']
            for _, who, what, details in self.record.lines
            if what == 'receives' and who.startswith('i-')
        }
        outcomes = [each for _, found in self.stops for each in found]
        served = sum(each.is_served for each in outcomes)
        refused = sum(each.status == 503 for each in outcomes)
        cut = sum(
            each.id in passed_on and not each.is_whole for each in outcomes
        )
        # Sent so long after the signal, in ms, and lost.
        lost = [
            sorted(
                round((each.sent_at - stopped_at) * 1000)
                for each in found
                if each.id in passed_on
                and not each.is_whole
                and each.sent_at > stopped_at + EXCUSED_S
            )
            for stopped_at, found in self.stops
        ]
        verdict = [
            f'requests: {len(outcomes)} sent, {served} served,'
            f' {refused} refused with 503, {cut} passed on and cut off',
            f'of those cut off, sent later than {EXCUSED_S} s after the'
            f' SIGTERM: {sum(map(len, lost))}, 0 allowed; for each stop, ms'
            f' after it: {lost}',
        ]
        print('\n'.join(verdict))
        self.record.write(FOLDER, verdict)
        return BROKEN if any(lost) else HELD


def plan(server, request):
    return server.short if request.path.startswith('/short/') else None


if __name__ == '__main__':
    main(FOLDER, Case().play)
