"""Steps on prompts of many parts."""

from datetime import timedelta
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_core.serving.suspect_parts import estimate_length
from buckthornpond_platform_standins.clients import ClientResponse
from buckthornpond_platform_standins.local_clusters import STREAM_PATH
from features.steps.deadly_parts_steps import check_received, start_deadly

_ARRIVAL_INTERVAL_SECONDS = 0.15
_TOKEN_COUNT = '9000,40'
_DEADLY_PART = 'dead'
_DEADLY_PLACE = 1
_SECOND = timedelta(seconds=1)


def _list_shared(count: int) -> list[str]:
    return [f'{number:08x}' for number in range(count)]


@given(
    'two entries before {count:d} llm servers that a part with an ID of '
    '{length:d} characters crashes'
)
def start_with_long_id(context: Any, count: int, length: int) -> None:
    """Start servers that a part with a long ID crashes."""
    context.deadly_part = 'd' * length
    start_deadly(context, count, context.deadly_part)


@when(
    '{callers:d} callers stream prompts of {count:d} parts with the part '
    '{part:w} in place {place:d}, among sound ones'
)
def stream_long(
    context: Any, callers: int, count: int, part: str, place: int
) -> None:
    """Send long prompts, with and without the part, to both entries in turn."""
    context.deadly = []
    context.sound = []
    shared = _list_shared(count)
    for number in range(callers):
        entry_index = number % 2
        deadly = [*shared[:place], part, *shared[place + 1 :], f'own{number}']
        sound = [*shared, f'sound{number}']
        context.deadly.append(_stream(context, entry_index, deadly))
        context.sound.append(_stream(context, entry_index, sound))
        gevent.sleep(_ARRIVAL_INTERVAL_SECONDS)


@when(
    '{callers:d} callers stream prompts of {count:d} parts with the deadly '
    'part in place {place:d}, among sound ones'
)
def stream_long_id(context: Any, callers: int, count: int, place: int) -> None:
    """Send prompts with the part whose ID is long."""
    stream_long(context, callers, count, context.deadly_part, place)


@then('at most {count:d} requests with the deadly part reached the servers')
def check_long_id(context: Any, count: int) -> None:
    """Count what the servers received."""
    check_received(context, count, context.deadly_part)


def _stream(context: Any, entry_index: int, parts: list[str]) -> ClientResponse:
    return context.cluster.connect(entry_index).fetch(
        'POST',
        STREAM_PATH,
        X_Token_Count=_TOKEN_COUNT,
        X_Prefix_Hash=','.join(f'{part}:30' for part in parts),
    )


@when('a request with {count:d} shared parts is answered at each entry')
def answer_shared(context: Any, count: int) -> None:
    """Answer requests that hold all shared parts."""
    for number in context.group.numbers:
        context.group.answer(_list_shared(count), number)
    context.group.advance(_SECOND)


@when(
    '{crashes:d} targets crash one after another while requests with '
    '{count:d} shared parts wait, {deadly:d} of them beside one with the part '
    '{part:w}'
)
def crash_beside(
    context: Any, crashes: int, count: int, deadly: int, part: str
) -> None:
    """Lose targets without any answer in between."""
    shared = _list_shared(count)
    for number in range(crashes):
        requests = [shared]
        if number < deadly:
            requests.append([part, *shared[1:]])
        context.group.crash(requests)
        context.group.advance(_SECOND)


@then('requests with {count:d} shared parts are served at every entry')
def check_shared(context: Any, count: int) -> None:
    """Ask every entry for a request with all shared parts."""
    for number in context.group.numbers:
        assert context.group.may_place(_list_shared(count), number)


@when(
    'requests with the parts {parts} are answered, and later those with '
    '{count:d} shared parts'
)
def answer_in_turn(context: Any, parts: str, count: int) -> None:
    """Answer one request with the part, and later others without it."""
    group = context.group
    group.answer(parts.split(), 0)
    group.advance(_SECOND)
    group.answer(_list_shared(count), 0)
    group.advance(_SECOND)


@when(
    '{crashes:d} targets crash one after another while a request with '
    '{count:d} shared parts and the part {part:w} waits'
)
def crash_with_old(context: Any, crashes: int, count: int, part: str) -> None:
    """Lose targets; between the crashes the shared parts are answered."""
    shared = _list_shared(count)
    for _ in range(crashes):
        context.group.crash([[part, *shared]])
        context.group.advance(_SECOND)
        context.group.answer(shared, 0)
        context.group.advance(_SECOND)


@then('a request with {count:d} shared parts and the part {part:w} is refused')
def check_old_refused(context: Any, count: int, part: str) -> None:
    """Ask for a request with all parts."""
    assert not context.group.may_place([part, *_list_shared(count)], 0)


@then('requests with {count:d} shared parts are served once one is answered')
def check_served_again(context: Any, count: int) -> None:
    """Ask for a request without the part."""
    assert context.group.may_place(_list_shared(count), 0)


@when(
    '{count:d} targets crash one after another, each with {requests:d} '
    'requests of {parts:d} parts of its own'
)
def crash_with_own_parts(
    context: Any, count: int, requests: int, parts: int
) -> None:
    """Lose targets with long prompts that nothing has in common."""
    group = context.group
    for number in range(count):
        group.crash(
            [
                [f'{number}-{each}-{part}' for part in range(parts)]
                for each in range(requests)
            ]
        )
        group.now += timedelta(milliseconds=1)


@then('the parts of the remembered crashes take at most {limit:d} bytes')
def check_memory(context: Any, limit: int) -> None:
    """Add up the parts of all suspects."""
    evidence = list(context.group.entries[0].quarantine.evidence)
    assert evidence
    held_bytes = sum(
        estimate_length(parts) for crash in evidence for parts in crash.suspects
    )
    assert held_bytes <= limit, held_bytes
