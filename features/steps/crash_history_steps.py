"""Steps that play seeded histories of crashes."""

from datetime import timedelta
from typing import Any

from behave import then, when

from features.specs.counts import only, report
from features.specs.crash_histories import (
    CrashHistory,
    HistoryPlan,
    IdentitySource,
    PartSource,
)

_HISTORY_TIME = timedelta(seconds=25)
_COUNTED_CRASHES = 5
_COUNTED_CRASHES_OF_REQUEST = 3
# As the platform's rules count from the fifth crash.
_LEARNING_TIME = timedelta(seconds=3)
_PERCENT = 100


@when(
    '{seeds:d} histories of {entries:d} entries are played with'
    ' {deadly:d} of 100 requests deadly and {crashes:d} other crashes in ten'
    ' seconds'
)
def play(
    context: Any, seeds: int, entries: int, deadly: int, crashes: int
) -> None:
    """Play histories that differ in their seed."""
    context.histories = []
    for seed in range(seeds):
        plan = HistoryPlan(seed, deadly / _PERCENT, crashes / 10)
        history = CrashHistory(plan, entries, PartSource())
        history.play(_HISTORY_TIME)
        context.histories.append(history)


@when(
    '{seeds:d} histories of {entries:d} entries are played with'
    ' {deadly:d} of 100 requests deadly as a whole and {crashes:d} other'
    ' crashes in ten seconds'
)
def play_identified(
    context: Any, seeds: int, entries: int, deadly: int, crashes: int
) -> None:
    """Play histories in which entries know each request by an identity."""
    context.histories = []
    for seed in range(seeds):
        plan = HistoryPlan(seed, deadly / _PERCENT, crashes / 10)
        history = CrashHistory(plan, entries, IdentitySource())
        history.play(_HISTORY_TIME)
        context.histories.append(history)


@then(
    'at most {count:d} deadly requests are sent 3 seconds after the fifth crash'
)
def check_sent(context: Any, count: int) -> None:
    """Count the requests that were sent too late."""
    sent_counts = []
    late_counts = []
    for history in context.histories:
        name = only(tuple(history.deadly_crashes_at))
        sent_at = history.deadly_sent_at[name]
        crashes = history.deadly_crashes_at[name][:_COUNTED_CRASHES]
        sent_counts.append(len(sent_at))
        late_counts.append(_count_late(sent_at, crashes[-1]))
    report(f'deadly requests sent in all: at most {max(sent_counts)}')
    assert max(late_counts) <= count, late_counts


@then(
    'at most {count:d} sends of each deadly request are later than 3 seconds'
    ' after its third crash'
)
def check_each_sent(context: Any, count: int) -> None:
    """Count the sends of each deadly request that were too late."""
    sent_counts = []
    late_counts = []
    for history in context.histories:
        for name, sent_at in history.deadly_sent_at.items():
            crashes = history.deadly_crashes_at.get(name, ())
            sent_counts.append(len(sent_at))
            if len(crashes) >= _COUNTED_CRASHES_OF_REQUEST:
                third_at = crashes[_COUNTED_CRASHES_OF_REQUEST - 1]
                late_counts.append(_count_late(sent_at, third_at))
    report(f'sends of each deadly request: at most {max(sent_counts)}')
    assert late_counts
    assert max(late_counts) <= count, late_counts


def _count_late(sent_at: list[timedelta], crashed_at: timedelta) -> int:
    """Count the sends for which the entries had time to learn of a crash."""
    return sum(each > crashed_at + _LEARNING_TIME for each in sent_at)


@then('at most {count:d} of 100 sound requests are refused')
def check_refused(context: Any, count: int) -> None:
    """Count the sound requests that were refused."""
    refused = [len(each.sound_refused_at) for each in context.histories]
    report(f'sound requests refused: at most {max(refused)}')
    for history in context.histories:
        share = len(history.sound_refused_at) / history.sound_sent_count
        assert share <= count / _PERCENT, (refused, history.sound_sent_count)
