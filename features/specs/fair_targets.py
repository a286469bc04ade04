"""Target that runs one request at a time, on a fake clock."""

import itertools
import random
from datetime import timedelta

from buckthornpond_core._generated.inventory import (
    Inventory,
    Organisation,
    Rules,
)
from buckthornpond_core.admission.queueing import (
    AdmissionOrder,
    QueuedAttempt,
    TargetLoad,
)
from buckthornpond_core.configuration.documents import Configuration
from features.specs.attempts import make_attempt

TOKENS_PER_SECOND = 1000
_TIME_LIMIT = timedelta(hours=1)
_FREE_TOKENS = 1_000_000
_MAX_WAITING_COUNT = 8


def make_queued_attempt(
    organisation: str,
    tokens: int,
    now: timedelta,
    attempt_id: str = '',
) -> QueuedAttempt:
    """Return a queued attempt."""
    attempt = make_attempt(
        attempt_id,
        organisation=organisation,
        prompt_tokens=tokens,
    )
    return QueuedAttempt(attempt, now, now + _TIME_LIMIT)


def accept_weights(
    configuration: Configuration, weights: dict[str, int]
) -> None:
    """Accept an inventory with these organisations."""
    inventory = Inventory(
        version=configuration.inventory.version + 1,
        availability_zones=[],
        instances=[],
        services=[],
        organisations=[
            Organisation(
                name=name,
                credential_sha256=f'{number:064x}',
                weight=weight,
            )
            for number, (name, weight) in enumerate(weights.items())
        ],
    )
    assert configuration.accept_inventory(inventory, b'{}')


def accept_organisation_order(
    configuration: Configuration, names: list[str]
) -> None:
    """Accept rules with this order of organisations."""
    version = configuration.rules.version + 1
    rules = Rules(version=version, organisation_order=names)
    assert configuration.accept_rules(rules, b'{}')


class RequestSource:
    """Organisation that sends at a fixed rate, or keeps its queue filled.

    With a seed the requests have random sizes, from a tenth of the largest
    one.
    """

    __slots__ = (
        '_random',
        'is_fixed',
        'largest_tokens',
        'name',
        'next_time',
        'tokens_per_second',
    )

    def __init__(
        self,
        name: str,
        largest_tokens: int,
        tokens_per_second: float = 0,
        seed: int | None = None,
    ) -> None:
        self.name = name
        self.largest_tokens = largest_tokens
        self.tokens_per_second = tokens_per_second
        self.is_fixed = seed is None
        self.next_time = timedelta()
        self._random = random.Random(seed)

    def send(self, waiting_count: int, now: timedelta) -> list[QueuedAttempt]:
        """Return the attempts that the organisation sent until now."""
        sent: list[QueuedAttempt] = []
        if not self.tokens_per_second:
            missing_count = _MAX_WAITING_COUNT - waiting_count
            return [self._make_request(now) for _ in range(missing_count)]
        while self.next_time <= now:
            queued = self._make_request(self.next_time)
            seconds = queued.total_tokens / self.tokens_per_second
            self.next_time += timedelta(seconds=seconds)
            sent.append(queued)
        return sent

    def _make_request(self, now: timedelta) -> QueuedAttempt:
        tokens = self.largest_tokens
        if not self.is_fixed:
            tokens = self._random.randint(tokens // 10, tokens)
        return make_queued_attempt(self.name, tokens, now)


class SerialTarget:
    """Runs the requests that an order chooses, one after the other."""

    __slots__ = ('_order', 'now', 'sources', 'starts', 'waiting')

    def __init__(self, order: AdmissionOrder) -> None:
        self._order = order
        self.sources: list[RequestSource] = []
        self.waiting: list[QueuedAttempt] = []
        self.starts: list[tuple[timedelta, QueuedAttempt]] = []
        self.now = timedelta()

    def run(self, count: int) -> None:
        """Run a number of requests to their end."""
        for _ in itertools.repeat(None, count):
            for source in self.sources:
                waiting = [
                    queued
                    for queued in self.waiting
                    if queued.attempt.organisation == source.name
                ]
                self.waiting.extend(source.send(len(waiting), self.now))
            load = TargetLoad(self.waiting, [], _FREE_TOKENS)
            chosen = self._order.choose(load, self.now)
            assert chosen is not None
            self.waiting.remove(chosen)
            self.starts.append((self.now, chosen))
            seconds = chosen.total_tokens / TOKENS_PER_SECOND
            self.now += timedelta(seconds=seconds)
