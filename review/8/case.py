"""A server that leaves says so in its answers; the entry sends on."""

import asyncio
import itertools
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from peers_2 import (
    APP,
    BROKEN,
    DRAIN_S,
    HELD,
    NOT_RUN,
    STABILITY_WINDOW_S,
    TROUBLE,
    Deployment,
    Server,
    main,
    make_config,
    make_route,
)
from relay_2 import Relay

FOLDER = Path(__file__).resolve().parent
# How long the machine is partitioned from the store.
CUT_S = 5.5
# The server leaves so long after the cut has begun.
NOTICE_S = 0.3
# It serves so long after the store has accepted that it leaves.
LINGER_S = DRAIN_S + 2.0
SECONDS = 12.0


class Case:
    def __init__(self):
        self.deployment = Deployment(1)
        self.record = self.deployment.record
        self.outcomes = []
        self.numbers = itertools.count(1)

    async def ask(self):
        number = next(self.numbers)
        self.outcomes.append(
            await self.deployment.call(
                self.deployment.entries[0],
                'POST',
                f'/push/{number}',
                body=f'push {number}'.encode(),
                limit_s=1.0,
            )
        )

    async def send(self, interval_s, end):
        tasks = []
        while self.record.now() < end:
            tasks.append(asyncio.create_task(self.ask()))
            await asyncio.sleep(interval_s)
        await asyncio.gather(*tasks)

    async def play(self):
        record, store = self.record, self.deployment.store
        servers = [
            Server(record, store, f'i-{number:08x}', 'app', work_s=0.045)
            for number in range(1, 5)
        ]
        leaver = servers[0]
        route = make_route(
            'push', 'non_idempotent', 'app', timeoutMs=1000, targetLatencyMs=200
        )
        relay = Relay()
        await store.listener.open()
        await relay.open(store.address)
        try:
            await self.deployment.open(
                make_config([route], [APP]), servers, relay.address
            )
            await asyncio.sleep(STABILITY_WINDOW_S)
            requests = asyncio.create_task(
                self.send(0.02, record.now() + SECONDS)
            )
            await asyncio.sleep(2)
            if TROUBLE:
                relay.cut()
                record.add('edge-1', 'is cut off', of='the store')
            await asyncio.sleep(NOTICE_S)
            leaver.state = 'draining'
            leaver.extra = ['Server-Leaving: 1']
            leaver.write_entry()
            record.add('store', 'accepts', leaves=leaver.name)
            await asyncio.sleep(LINGER_S)
            leaver.leave()
            await asyncio.sleep(CUT_S - NOTICE_S - LINGER_S)
            relay.heal()
            record.add('edge-1', 'is back')
            await requests
        finally:
            self.deployment.close()
            relay.close()
        return self.judge(leaver.name)

    def judge(self, leaver):
        lines = self.record.lines
        leaves_at = min(at for at, _, what, _ in lines if what == 'accepts')
        received = {
            details['id']: at
            for at, who, what, details in lines
            if who == leaver and what == 'receives'
        }
        has_run = {
            details['id'] for _, _, what, details in lines if what == 'has run'
        }
        started = {
            details['id'] for _, _, what, details in lines if what == 'runs'
        }
        # The first answer with the field that the machine passed on.
        told_at = min(
            (
                each.done_at
                for each in self.outcomes
                if each.is_served and received.get(each.id, 0) > leaves_at
            ),
            default=None,
        )
        late, lost = [], []
        for each in self.outcomes:
            is_there = each.id in received
            if told_at is not None and is_there:
                if each.sent_at > told_at + DRAIN_S:
                    late.append(each)
                    if not each.is_served and each.id in started:
                        lost.append(each)
        served = sum(each.is_served for each in self.outcomes)
        verdict = [
            f'requests: {len(self.outcomes)} sent, {served} served',
            f'the machine passed on an answer with Server-Leaving at'
            f' {told_at and round(told_at, 3)}',
            f'requests sent later than {DRAIN_S} s after that which reached'
            f' the server: {len(late)}, 0 allowed',
            f'of these, begun there and without an answer: {len(lost)}'
            f' (finished there: {sum(each.id in has_run for each in lost)})',
        ]
        print('\n'.join(verdict))
        self.record.write(FOLDER, verdict)
        if served < len(self.outcomes) / 2:
            return NOT_RUN
        return BROKEN if late else HELD


if __name__ == '__main__':
    main(FOLDER, Case().play)
