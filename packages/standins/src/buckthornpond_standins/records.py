"""Counters and request records of one run."""

from collections import Counter

from buckthornpond_core.event_codes import EventCode

from .engine import EngineCosts
from .mixes import Arrival

LINK_DELAY_SECONDS = 0.0005


class CountingRecorder:
    """Recorder that counts the counters and log events of one run."""

    __slots__ = ('counts',)

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def count(self, name: str, reason: str) -> None:
        """Add one to a counter."""
        self.counts[f'{name}/{reason}'] += 1

    def sum_counts(self, prefix: str) -> int:
        """Return the sum of the counters with a prefix.

        :param prefix: name of the counter and a slash.
        """
        return sum(
            count
            for name, count in self.counts.items()
            if name.startswith(prefix)
        )

    def log(self, code: EventCode, **fields: object) -> None:
        """Count a log event by its name."""
        self.counts[f'events/{code.name}'] += 1


class RequestRecord:
    """Outcome and times of one request.

    :param arrival: request and its arrival time.
    """

    __slots__ = ('arrival', 'ended_seconds', 'first_seconds', 'outcome')

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.outcome = 'lost'
        self.first_seconds = 0.0
        self.ended_seconds = 0.0

    @property
    def is_good(self) -> bool:
        """Return whether the response was complete and in time."""
        return self.outcome == 'complete'

    @property
    def is_refused_in_time(self) -> bool:
        """Return whether it was refused, unexecuted, before its deadline."""
        is_not_run = self.outcome.endswith('/not_run')
        return is_not_run and not self.outcome.startswith('deadline_exceeded')

    def slowdown(self, costs: EngineCosts) -> float:
        """Return the time to first token relative to an idle fleet.

        :param costs: costs of the engines.
        """
        prompt_tokens = self.arrival.submission.prompt_tokens
        idle_seconds = (
            prompt_tokens / costs.prefill_tokens_per_second
            + 2 * LINK_DELAY_SECONDS
        )
        return (self.first_seconds - self.arrival.at_seconds) / idle_seconds
