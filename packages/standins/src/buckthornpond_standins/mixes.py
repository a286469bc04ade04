"""Generator of loads: prompt lengths, organisations, arrivals, time limits."""

import math
import random
from collections.abc import Iterable

from buckthornpond_core._generated.events import Submission

SHORT_TOKENS = 10_000
LONG_TOKENS = 100_000
_MIN_PROMPT_TOKENS = 1000
_MAX_PROMPT_TOKENS = 1_000_000
_OUTPUT_TOKEN_RANGE = (20, 150)
_BASE_TIME_LIMIT_MS = 5000
_PROMPT_TOKENS_PER_LIMIT_MS = 10
_ORGANISATION_COUNT = 10
_MEAN_SAMPLE_COUNT = 20_000


class Mix:
    """Fleet size and caller population of one deployment.

    :param name: label of the mix.
    :param target_count: number of model engines.
    :param entry_count: number of entry processes.
    :param large_count: number of large organisations out of ten.
    :param large_share: share of the requests sent by large organisations.
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

    :param at_seconds: time of arrival since the start of the load.
    :param submission: the request as submitted to a router.
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
    """Return Poisson arrivals at a given rate of prompt tokens.

    Prompts that exceed the KV cache of an engine are part of the load but
    do not count towards the token rate.

    :param mix: fleet and callers.
    :param tokens_per_second: offered prompt tokens per second.
    :param memory_tokens: KV cache capacity of one engine.
    :param duration_seconds: duration of the load.
    :param long_share: share of prompts over 100,000 tokens.
    :param seed: seed of the random number generator.
    """
    generator = random.Random(seed)
    requests_per_second = tokens_per_second / _estimate_mean_tokens(
        memory_tokens,
        long_share,
    )
    arrivals: list[Arrival] = []
    at_seconds = generator.expovariate(requests_per_second)
    while at_seconds < duration_seconds:
        tokens = _draw_prompt_tokens(generator, long_share)
        submission = _make_submission(mix, generator, len(arrivals) + 1, tokens)
        arrivals.append(Arrival(at_seconds, submission))
        at_seconds += generator.expovariate(requests_per_second)
    return arrivals


def drop_long_prompts(arrivals: Iterable[Arrival]) -> list[Arrival]:
    """Return the arrivals whose prompts are not long.

    :param arrivals: the complete load.
    """
    return [
        arrival
        for arrival in arrivals
        if arrival.submission.prompt_tokens <= LONG_TOKENS
    ]


def _estimate_mean_tokens(memory_tokens: int, long_share: float) -> float:
    generator = random.Random(0)
    samples = [
        _draw_prompt_tokens(generator, long_share)
        for _ in range(_MEAN_SAMPLE_COUNT)
    ]
    fitting = [tokens for tokens in samples if tokens <= memory_tokens]
    return sum(fitting) / len(samples)


def _draw_prompt_tokens(generator: random.Random, long_share: float) -> int:
    lowest, highest = _MIN_PROMPT_TOKENS, LONG_TOKENS
    if generator.random() < long_share:
        lowest, highest = LONG_TOKENS, _MAX_PROMPT_TOKENS
    exponent = generator.uniform(math.log(lowest), math.log(highest))
    return round(math.exp(exponent))


def _make_submission(
    mix: Mix,
    generator: random.Random,
    number: int,
    prompt_tokens: int,
) -> Submission:
    names = organisation_names()
    is_large = generator.random() < mix.large_share
    senders = names[: mix.large_count]
    if not is_large:
        senders = names[mix.large_count :]
    time_limit_ms = (
        _BASE_TIME_LIMIT_MS + prompt_tokens // _PROMPT_TOKENS_PER_LIMIT_MS
    )
    return Submission(
        request_number=number,
        organisation=generator.choice(senders),
        service='model-a',
        method='POST',
        path='/v1/completions',
        content_type='application/json',
        idempotency_key='',
        is_idempotent=True,
        is_stream=True,
        prompt_tokens=prompt_tokens,
        output_tokens=generator.randint(*_OUTPUT_TOKEN_RANGE),
        time_limit_ms=time_limit_ms,
        body=b'{}',
    )
