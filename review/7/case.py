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
GRACE_S = BOUNDS['graceS']
# Requests a second that the one machine gets.
RATE = 100
FIRST_S, LAST_S = 2.6, 3.4
# Requests sent later than this after the signal are owed an answer.
EXCUSED_S = 3.0


class Case:
    def __init__(self):
        self.deployment = Deployment(2)
        self.record = self.deployment.record
        self.outcomes = []
        self.numbers = itertools.count(1)

    def fields(self, number):
        return (
            'X-Model: m',
            'X-Token-Count: 5000,1600',
            f'X-Prefix-Hash: a0000001:40,{number:08x}:4960',
        )

    async def ask(self, connection, path, note):
        number = next(self.numbers)
        outcome = await self.deployment.call(
            self.deployment.entries[0],
            'POST',
            f'{path}{number}',
            body=f'question {number}'.encode(),
            fields=self.fields(number),
            limit_s=10,
            connection=connection,
        )
        note.append(outcome)

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
        entry = self.deployment.entries
        try:
            await self.deployment.open(make_config(routes, [LLM]), servers)
            entry = self.deployment.entries[0]
            await asyncio.sleep(STABILITY_WINDOW_S)
            count = int(RATE * (LAST_S - FIRST_S))
            connections = [
                await asyncio.open_connection(*entry.front)
                for _ in range(count)
            ]
            # Each connection has carried a request, and is kept.
            first = []
            for connection in connections:
                await self.ask(connection, '/short/', first)
            if not all(each.is_served for each in first):
                return NOT_RUN
            self.stopped_at = record.now()
            if TROUBLE:
                entry.send_signal(signal.SIGTERM)
                self.stopped_at = record.now()
            tasks = []
            for number, connection in enumerate(connections):
                due = self.stopped_at + FIRST_S + number / RATE
                await asyncio.sleep(max(due - record.now(), 0))
                tasks.append(
                    asyncio.create_task(
                        self.ask(connection, '/draft/', self.outcomes)
                    )
                )
            await asyncio.gather(*tasks)
            if TROUBLE:
                await asyncio.to_thread(entry.process.wait, 10)
                record.add(entry.name, 'has ended')
        finally:
            self.deployment.close()
        return self.judge()

    def judge(self):
        passed_on = {
            details['id']
            for _, who, what, details in self.record.lines
            if what == 'receives' and who.startswith('i-')
        }
        served = sum(each.is_served for each in self.outcomes)
        refused = sum(each.status == 503 for each in self.outcomes)
        cut = [
            each
            for each in self.outcomes
            if each.id in passed_on and not each.is_served
        ]
        lost = [
            each for each in cut if each.sent_at > self.stopped_at + EXCUSED_S
        ]
        unsure = len(self.outcomes) - served - refused - len(cut)
        after = [
            round((each.sent_at - self.stopped_at) * 1000) for each in lost
        ]
        verdict = [
            f'requests: {len(self.outcomes)} sent, {served} served,'
            f' {refused} refused with 503, {len(cut)} passed on and cut off,'
            f' {unsure} neither',
            f'of those cut off, sent later than {EXCUSED_S} s after the'
            f' SIGTERM: {len(lost)}, 0 allowed (ms after it: {after})',
        ]
        print('\n'.join(verdict))
        self.record.write(FOLDER, verdict)
        return BROKEN if lost else HELD


def plan(server, request):
    return server.short if request.path.startswith('/short/') else None


if __name__ == '__main__':
    main(FOLDER, Case().play)
