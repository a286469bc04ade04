"""Steps that play seeded histories of crashes."""

from datetime import timedelta
from typing import Any

from behave import then, when

from features.specs.counts import report
from features.specs.crash_histories import CrashHistory, HistoryPlan

_HISTORY_TIME = timedelta(seconds=25)
_COUNTED_CRASHES = 5
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
        history = CrashHistory(plan, entries)
        history.play(_HISTORY_TIME)
        context.histories.append(history)


@then(
    'at most {count:d} deadly requests are sent 3 seconds after the fifth crash'
)
def check_sent(context: Any, count: int) -> None:
    """Count the requests that were sent too late."""
    late_counts = []
    for history in context.histories:
        crashes = history.deadly_crashes_at[:_COUNTED_CRASHES]
        assert crashes
        late_counts.append(
            sum(
                sent_at > crashes[-1] + _LEARNING_TIME
                for sent_at in history.deadly_sent_at
            )
        )
    report(
        f'deadly requests sent in all: at most'
        f' {max(len(each.deadly_sent_at) for each in context.histories)}'
    )
    assert max(late_counts) <= count, late_counts


@then('at most {count:d} of 100 sound requests are refused')
def check_refused(context: Any, count: int) -> None:
    """Count the sound requests that were refused."""
    refused = [len(each.sound_refused_at) for each in context.histories]
    report(f'sound requests refused: at most {max(refused)}')
    for history in context.histories:
        share = len(history.sound_refused_at) / history.sound_sent_count
        assert share <= count / _PERCENT, (refused, history.sound_sent_count)
