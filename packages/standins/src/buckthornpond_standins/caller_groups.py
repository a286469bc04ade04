"""Groups of callers that take the entries of a fleet in rotation."""

from collections.abc import Sequence
from typing import Any

import gevent

from .callers import call_completion, call_service
from .fleets import CREDENTIAL


def start_completions(
    addresses: Sequence[str],
    count: int,
    *,
    kind: str,
    prompt_tokens: int,
    output_tokens: int,
) -> list[Any]:
    """Start callers that each stream one completion.

    :param addresses: addresses of the entries for callers.
    :param count: number of callers.
    :param kind: prefix of the result labels; a number follows it.
    :param prompt_tokens: length of each prompt in tokens.
    :param output_tokens: requested number of tokens of each caller.
    :return: the greenlets.
    """
    return [
        gevent.spawn(
            call_completion,
            addresses[number % len(addresses)],
            CREDENTIAL,
            kind=f'{kind}-{number}',
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
        )
        for number in range(count)
    ]


def start_bookings(
    addresses: Sequence[str],
    count: int,
    *,
    delay_seconds: float,
) -> list[Any]:
    """Start callers that each book a lot, with an idempotency key each.

    :param addresses: addresses of the entries for callers.
    :param count: number of callers.
    :param delay_seconds: delay before the calls.
    :return: the greenlets.
    """
    return [
        gevent.spawn_later(
            delay_seconds,
            call_service,
            addresses[number % len(addresses)],
            CREDENTIAL,
            kind=f'lot-{number}',
            path='/v1/services/lots/accept',
            body=f'lot-{number}'.encode(),
            key=f'key-{number}',
        )
        for number in range(count)
    ]


def find_incomplete(callers: list[Any]) -> list[str]:
    """Wait for callers and describe those without a complete response.

    :param callers: greenlets of the callers.
    """
    gevent.joinall(callers)
    results = [caller.value for caller in callers]
    return [
        f'{result.kind} {result.outcome} {result.code} {result.word_count}'
        for result in results
        if result.outcome != 'complete'
    ]
