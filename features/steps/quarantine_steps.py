"""Steps on quarantines of prompt parts, with a fake clock and no network."""

import itertools
from datetime import timedelta
from typing import Any

import msgspec
from behave import given, then, when

from buckthornpond_core._generated.hints import LoadHint, QuarantineHint
from features.specs.quarantines import EntryGroup

_SECOND = timedelta(seconds=1)
_NONE = 'nobody'


def _split(text: str) -> list[list[str]]:
    return [part_set.split() for part_set in text.split(';')]


@given('{count:d} entries that exchange hints')
def start_group(context: Any, count: int) -> None:
    """Start entries that share what they know of crashes."""
    context.group = EntryGroup(count)


@when(
    '{count:d} targets crash one after another while a request with the parts'
    ' {parts} is unanswered'
)
def crash_in_turn(context: Any, count: int, parts: str) -> None:
    """Lose one target after another, as seen by entries in turn."""
    for _ in range(count):
        context.group.crash([parts.split()])
        context.group.advance(_SECOND)


@when(
    '{count:d} targets crash one after another while requests with the parts'
    ' {parts} and in turn with the parts {others} wait'
)
def crash_with_victims(
    context: Any, count: int, parts: str, others: str
) -> None:
    """Lose targets at which two entries have a request each."""
    victims = itertools.cycle(_split(others))
    for _ in range(count):
        context.group.crash([parts.split(), next(victims)])
        context.group.advance(_SECOND)


@when(
    '{count:d} targets crash one after another with {victims:d} requests of the'
    ' part {part:w} and one of the parts {parts}'
)
def crash_with_sharers(
    context: Any, count: int, victims: int, part: str, parts: str
) -> None:
    """Lose targets at which requests share a part with the cause."""
    for _ in range(count):
        sharers = [[part] for _ in range(victims)]
        context.group.crash([*sharers, parts.split()])
        context.group.advance(_SECOND)


@when(
    '{count:d} targets crash at once while a request with the parts {parts}'
    ' is unanswered'
)
def crash_at_once(context: Any, count: int, parts: str) -> None:
    """Lose many targets in the same moment."""
    for _ in range(count):
        context.group.crash([parts.split()])
    context.group.advance(_SECOND)


@when(
    '{count:d} targets crash {interval:d} ms apart, each by the next attempt of'
    ' a request with the parts {parts}'
)
def crash_by_attempts(
    context: Any, count: int, interval: int, parts: str
) -> None:
    """Lose targets to a request that is sent again after each loss."""
    group = context.group
    for _ in range(count):
        duration = timedelta(milliseconds=interval)
        group.crash([parts.split()], duration)
        group.advance(duration)


@when(
    '{count:d} targets crash {interval:d} ms apart while requests with the'
    ' parts {parts} wait'
)
def crash_apart(context: Any, count: int, interval: int, parts: str) -> None:
    """Lose targets at which the same requests wait each time."""
    for _ in range(count):
        context.group.crash(_split(parts))
        context.group.advance(timedelta(milliseconds=interval))


@when('a request with the parts {parts} is answered at entry {number:d}')
def answer(context: Any, parts: str, number: int) -> None:
    """Answer a request."""
    context.group.answer(parts.split(), number)
    context.group.advance(_SECOND)


@when(
    'entry {number:d} learns that a request with the parts {parts} was answered'
    ' {age:d} ms ago'
)
def learn_answer(context: Any, number: int, parts: str, age: int) -> None:
    """Record an answer late."""
    group = context.group
    proven_at = group.now - timedelta(milliseconds=age)
    group.entries[number].quarantine.record_sound(parts.split(), proven_at)
    group.advance(_SECOND)


@when('no request comes for {count:d} seconds')
def advance(context: Any, count: int) -> None:
    """Let time pass with a full hint each second."""
    for _ in range(count):
        context.group.advance(_SECOND)


@when(
    '{count:d} targets crash, {first:S} {first_ms:d} ms after it was sent and'
    ' {second:S} {second_ms:d} ms after'
)
def crash_apart_sent(
    context: Any,
    count: int,
    first: str,
    first_ms: int,
    second: str,
    second_ms: int,
) -> None:
    """Lose targets at which two requests had run for different times."""
    run_times = {
        first: timedelta(milliseconds=first_ms),
        second: timedelta(milliseconds=second_ms),
    }
    for _ in range(count):
        context.group.crash_with(run_times)
        context.group.advance(_SECOND)


@when(
    'entry {number:d} is cut off for {count:d} seconds and loses'
    ' {crashes:d} targets with the parts {parts}'
)
def crash_behind_cut(
    context: Any, number: int, count: int, crashes: int, parts: str
) -> None:
    """Let one entry alone see crashes, long before the others hear of it."""
    group = context.group
    group.isolated.add(number)
    for _ in range(crashes):
        group.crash_at(number, parts.split())
        group.advance(_SECOND)
    advance(context, count - crashes)
    group.isolated.discard(number)
    group.advance(_SECOND)


@when('after {count:d} seconds another entry starts')
def start_another(context: Any, count: int) -> None:
    """Let time pass, and start an entry that knows nothing."""
    advance(context, count)
    context.group.add()
    advance(context, 1)


@when(
    'every entry gets a request with the parts {parts} each second for'
    ' {seconds:d} seconds, which crashes its target'
)
def send_regularly(context: Any, parts: str, seconds: int) -> None:
    """Send requests for a long time and count those that are let through."""
    context.sent_count = 0
    for _ in range(seconds):
        for number in context.group.numbers:
            if context.group.may_place(parts.split(), number):
                context.sent_count += 1
                context.group.crash([parts.split()])
        context.group.advance(_SECOND)


@then('{count:d} of them were sent')
def check_sent(context: Any, count: int) -> None:
    """Compare the number of requests that were let through."""
    assert context.sent_count == count, context.sent_count


@then('requests with the parts {parts} are refused at every entry')
@when('requests with the parts {parts} are refused at every entry')
def check_refused(context: Any, parts: str) -> None:
    """Ask each entry whether it would send the requests."""
    if parts == _NONE:
        return
    for part_set in _split(parts):
        for number in context.group.numbers:
            is_sent = context.group.may_place(part_set, number)
            assert not is_sent, (part_set, number)


@then('requests with the parts {parts} are served at every entry')
def check_served(context: Any, parts: str) -> None:
    """Ask each entry whether it would send the requests."""
    for part_set in _split(parts):
        for number in context.group.numbers:
            is_sent = context.group.may_place(part_set, number)
            assert is_sent, (part_set, number)


@then(
    'a quarantine of the part {part:w} is logged with {count:d} crashes and'
    ' without an answer'
)
def check_logged(context: Any, part: str, count: int) -> None:
    """Compare the evidence in the log with the crashes."""
    events = context.group.log.events
    assert len(events) == 1, events
    assert events[0]['parts'] == [part], events
    assert len(events[0]['crashes']) == count, events
    assert events[0]['crashes'][-1].endswith(' 0 ms'), events
    assert events[0]['answered_ms'] == {part: None}, events


@when('a hint quarantines no parts')
def quarantine_nothing(context: Any) -> None:
    """Send a hint with an empty set of parts."""
    quarantine = QuarantineHint(
        parts=[], crash_count=9, age_ms=0, remaining_ms=600_000
    )
    hint = LoadHint('peer', 1, 1, is_full=True, targets=[])
    hint.quarantines = [quarantine]
    for entry in context.group.entries:
        entry.quarantine.apply_hint(hint, context.group.now)


@when(
    '{count:d} targets crash one after another, each with {requests:d}'
    ' requests of parts of its own'
)
def crash_many(context: Any, count: int, requests: int) -> None:
    """Lose targets with requests that nothing has in common."""
    group = context.group
    for number in range(count):
        group.crash([[f'part-{number}-{each}'] for each in range(requests)])
        group.now += timedelta(milliseconds=1)


@when(
    '{count:d} targets crash one after another, each with {requests:d}'
    ' requests of {parts:d} long parts'
)
def crash_long(context: Any, count: int, requests: int, parts: int) -> None:
    """Lose targets with requests of many parts of their own."""
    group = context.group
    for number in range(count):
        group.crash(
            [
                [f'{part:02}-{each:02}-{number:010}' for part in range(parts)]
                for each in range(requests)
            ]
        )
        group.now += timedelta(milliseconds=1)


@then('a hint tells of a crash and takes at most {count:d} bytes')
def check_told(context: Any, count: int) -> None:
    """Encode a full hint after the crashes."""
    hint = context.group.make_hint(0)
    assert hint.crashes
    assert len(msgspec.msgpack.encode(hint)) <= count


@then(
    'at most {crashes:d} crashes with at most {requests:d} requests are remembered'
)
def check_bounded(context: Any, crashes: int, requests: int) -> None:
    """Count what the entry remembers."""
    evidence = list(context.group.entries[0].quarantine.evidence)
    assert 0 < len(evidence) <= crashes, len(evidence)
    largest = max(len(crash.suspects) for crash in evidence)
    assert 0 < largest <= requests, largest


@then('a hint takes at most {count:d} bytes')
def check_size(context: Any, count: int) -> None:
    """Encode a full hint."""
    hint = context.group.make_hint(0)
    assert hint.crashes
    size = len(msgspec.msgpack.encode(hint))
    assert size <= count, size
