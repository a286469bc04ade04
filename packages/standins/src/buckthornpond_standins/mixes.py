"""Generated loads: prompt lengths, organisations, arrivals and time limits."""

import math
import random
from collections.abc import Iterable

from buckthornpond_core._generated.events import Submission

SHORT_TOKENS = 10_000
LONG_TOKENS = 100_000
_SHORTEST_TOKENS = 1000
_LONGEST_TOKENS = 1_000_000
_OUTPUT_RANGE = (20, 150)
_BASE_LIMIT_MS = 5000
_LIMIT_TOKENS_PER_MS = 10
_ORGANISATION_COUNT = 10
_MEAN_SAMPLES = 20_000


class Mix:
    """Fleet and callers of one user.

    :param name: label of the mix.
    :param target_count: model engines.
    :param entry_count: entry processes.
    :param large_count: large organisations among ten.
    :param large_share: share of the requests that they send.
    """

    __slots__ = (
        'entry_count',
        'large_count',
        'large_share',
        'name',
        'target_count',
    )

    def __init__(
        self,
        name: str,
        *,
        target_count: int,
        entry_count: int,
        large_count: int,
        large_share: float,
    ) -> None:
        self.name = name
        self.target_count = target_count
        self.entry_count = entry_count
        self.large_count = large_count
        self.large_share = large_share


NILWAVE = Mix(
    'nilwave',
    target_count=16,
    entry_count=3,
    large_count=2,
    large_share=0.6,
)
RAVI = Mix(
    'ravi',
    target_count=14,
    entry_count=3,
    large_count=3,
    large_share=0.7,
)
MIXES = (NILWAVE, RAVI)


class Arrival:
    """One request of a load.

    :param at_seconds: when the caller sends it.
    :param submission: the request.
    """

    __slots__ = ('at_seconds', 'submission')

    def __init__(self, at_seconds: float, submission: Submission) -> None:
        self.at_seconds = at_seconds
        self.submission = submission


def organisation_names() -> list[str]:
    """Return the names of the organisations, the large ones first."""
    return [f'organisation-{number}' for number in range(_ORGANISATION_COUNT)]


def generate_load(
    mix: Mix,
    *,
    tokens_per_second: float,
    memory_tokens: int,
    duration_seconds: float,
    long_share: float,
    seed: int,
) -> list[Arrival]:
    """Return Poisson arrivals that offer the wanted tokens a second.

    Prompts that no engine holds are part of the load but not of the tokens.

    :param mix: fleet and callers.
    :param tokens_per_second: prompt tokens offered a second.
    :param memory_tokens: KV cache of one engine.
    :param duration_seconds: length of the load.
    :param long_share: share of prompts over a hundred thousand tokens.
    :param seed: seed of the generator.
    """
    source = random.Random(seed)
    rate = tokens_per_second / _mean_tokens(memory_tokens, long_share)
    arrivals: list[Arrival] = []
    at_seconds = source.expovariate(rate)
    while at_seconds < duration_seconds:
        tokens = _draw_tokens(source, long_share)
        submission = _make_submission(mix, source, len(arrivals) + 1, tokens)
        arrivals.append(Arrival(at_seconds, submission))
        at_seconds += source.expovariate(rate)
    return arrivals


def without_long(arrivals: Iterable[Arrival]) -> list[Arrival]:
    """Return the same arrivals without the long prompts.

    :param arrivals: the whole load.
    """
    return [
        arrival
        for arrival in arrivals
        if arrival.submission.prompt_tokens <= LONG_TOKENS
    ]


def _mean_tokens(memory_tokens: int, long_share: float) -> float:
    source = random.Random(0)
    drawn = [_draw_tokens(source, long_share) for _ in range(_MEAN_SAMPLES)]
    borne = [tokens for tokens in drawn if tokens <= memory_tokens]
    return sum(borne) / len(drawn)


def _draw_tokens(source: random.Random, long_share: float) -> int:
    lowest, highest = _SHORTEST_TOKENS, LONG_TOKENS
    if source.random() < long_share:
        lowest, highest = LONG_TOKENS, _LONGEST_TOKENS
    exponent = source.uniform(math.log(lowest), math.log(highest))
    return round(math.exp(exponent))


def _make_submission(
    mix: Mix,
    source: random.Random,
    number: int,
    prompt_tokens: int,
) -> Submission:
    names = organisation_names()
    is_large = source.random() < mix.large_share
    senders = names[: mix.large_count]
    if not is_large:
        senders = names[mix.large_count :]
    limit_ms = _BASE_LIMIT_MS + prompt_tokens // _LIMIT_TOKENS_PER_MS
    return Submission(
        request_number=number,
        organisation=source.choice(senders),
        service='model-a',
        method='POST',
        path='/v1/completions',
        content_type='application/json',
        idempotency_key='',
        is_idempotent=True,
        is_stream=True,
        prompt_tokens=prompt_tokens,
        output_tokens=source.randint(*_OUTPUT_RANGE),
        time_limit_ms=limit_ms,
        body=b'{}',
    )
