"""Counters, gauges and duration histograms in Prometheus text format."""

from collections import Counter
from collections.abc import Callable, Iterable
from datetime import timedelta

from hdrh.histogram import HdrHistogram

from buckthornpond_core.event_codes import EventCode

from .logs import log_event

_LOWEST_MS = 1
_HIGHEST_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_PERCENTILES = (50.0, 95.0, 99.0)
_PREFIX = 'buckthornpond'


class Metrics:
    """Counters, gauges and histograms of one process."""

    __slots__ = ('_counters', '_gauges', '_histograms')

    def __init__(self) -> None:
        self._counters: Counter[tuple[str, str]] = Counter()
        self._gauges: dict[str, Callable[[], float]] = {}
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

    def count(self, name: str, reason: str) -> None:
        """Add one to a counter.

        :param name: name of the counter, in the plural.
        :param reason: value of its label.
        """
        self._counters[name, reason] += 1

    def add(self, name: str, reason: str, amount: int) -> None:
        """Add an amount to a counter.

        :param name: name of the counter, in the plural.
        :param reason: value of its label.
        :param amount: what to add.
        """
        self._counters[name, reason] += amount

    def log(self, code: EventCode, **fields: object) -> None:
        """Log a numbered event with its fields."""
        log_event(code, **fields)

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Export a value that is read at each scrape.

        :param name: name of the gauge with its unit.
        :param read: returns the value.
        """
        self._gauges[name] = read

    def observe(self, name: str, label: str, duration: timedelta) -> None:
        """Record a duration.

        :param name: name of the histogram without its unit.
        :param label: value of its label.
        :param duration: the time to record.
        """
        histogram = self._histograms.get((name, label))
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS
            )
            self._histograms[name, label] = histogram
        elapsed_ms = duration // timedelta(milliseconds=1)
        histogram.record_value(min(max(elapsed_ms, _LOWEST_MS), _HIGHEST_MS))

    def render(self) -> str:
        """Return every value in the text format of Prometheus."""
        lines = [*self._render_counters(), *self._render_gauges()]
        lines.extend(self._render_histograms())
        return '\n'.join([*lines, ''])

    def _render_counters(self) -> Iterable[str]:
        previous = ''
        for (name, reason), total in sorted(self._counters.items()):
            if name != previous:
                yield f'# TYPE {_PREFIX}_{name}_total counter'
                previous = name
            yield f'{_PREFIX}_{name}_total{{reason="{reason}"}} {total}'

    def _render_gauges(self) -> Iterable[str]:
        for name, read in sorted(self._gauges.items()):
            yield f'# TYPE {_PREFIX}_{name} gauge'
            yield f'{_PREFIX}_{name} {read()}'

    def _render_histograms(self) -> Iterable[str]:
        previous = ''
        for (name, label), histogram in sorted(self._histograms.items()):
            metric = f'{_PREFIX}_{name}_ms'
            if name != previous:
                yield f'# TYPE {metric} summary'
                previous = name
            for percentile in _PERCENTILES:
                duration_ms = histogram.get_value_at_percentile(percentile)
                yield (
                    f'{metric}{{kind="{label}",quantile="{percentile / 100}"}} '
                    f'{duration_ms}'
                )
            total = histogram.get_total_count()
            yield f'{metric}_count{{kind="{label}"}} {total}'
