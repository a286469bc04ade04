"""Groups of callers that use the entries of a fleet in turn."""

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
    """Start callers that stream a completion each.

    :param addresses: callers' listeners of the entries.
    :param count: number of callers.
    :param kind: label of the results, which a number follows.
    :param prompt_tokens: length of each prompt.
    :param output_tokens: tokens asked for.
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
    """Start callers that book a lot each, with a key of its own.

    :param addresses: callers' listeners of the entries.
    :param count: number of callers.
    :param delay_seconds: wait before the first call.
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
    """Wait for callers and return those without a whole answer.

    :param callers: what the functions above started.
    """
    gevent.joinall(callers)
    results = [caller.value for caller in callers]
    return [
        f'{found.kind} {found.outcome} {found.code} {found.word_count}'
        for found in results
        if found.outcome != 'complete'
    ]
