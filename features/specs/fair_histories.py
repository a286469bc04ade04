"""Generated histories and the bound of start-time fair queueing."""

from collections.abc import Callable
from datetime import timedelta
from itertools import combinations

from hypothesis import given, settings
from hypothesis import strategies as st

from buckthornpond_core.admission.queueing import (
    AdmissionOrder,
    QueuedAttempt,
    TargetLoad,
)
from buckthornpond_core.configuration.documents import Configuration
from features.specs.fair_targets import accept_weights, make_queued_attempt

_WEIGHTS = {'a': 1, 'b': 2, 'c': 5, 'd': 1}
_LARGEST_TOKENS = 50
_FREE_TOKENS = 1_000_000
# Each of a pair may be one largest request above the lowest virtual time, at
# weight one.
_BOUND_TOKENS = 2 * _LARGEST_TOKENS
_ROUNDING_TOKENS = 0.01

_HISTORIES = st.lists(
    st.one_of(
        st.tuples(
            st.sampled_from(sorted(_WEIGHTS)),
            st.integers(1, _LARGEST_TOKENS),
        ),
        st.sampled_from(['start', 'start', 'withdraw']),
    ),
    min_size=20,
    max_size=200,
)
_Step = str | tuple[str, int]


class _PairWindow:
    """Range of the service difference of two organisations that both wait."""

    __slots__ = ('_difference', '_highest', '_lowest', 'pair')

    def __init__(self, pair: tuple[str, str]) -> None:
        self.pair = pair
        self.close()

    def close(self) -> None:
        """Reset the range, as one of the organisations does not wait."""
        self._difference = 0.0
        self._highest = 0.0
        self._lowest = 0.0

    def record(self, queued: QueuedAttempt) -> None:
        """Add a started attempt and check the bound."""
        name = queued.attempt.organisation
        if name not in self.pair:
            return
        sign = 1 if name == self.pair[0] else -1
        self._difference += sign * queued.total_tokens / _WEIGHTS[name]
        self._highest = max(self._highest, self._difference)
        self._lowest = min(self._lowest, self._difference)
        assert self._highest - self._lowest <= _BOUND_TOKENS + _ROUNDING_TOKENS


class _History:
    """Waiting attempts, and a window for each pair of organisations."""

    __slots__ = ('_order', '_waiting', '_windows')

    def __init__(self, order: AdmissionOrder) -> None:
        self._order = order
        self._waiting: list[QueuedAttempt] = []
        self._windows = [
            _PairWindow(pair) for pair in combinations(sorted(_WEIGHTS), 2)
        ]

    def take(self, step: _Step) -> None:
        """Apply the arrival, start or withdrawal of an attempt."""
        if isinstance(step, tuple):
            self._waiting.append(make_queued_attempt(*step, timedelta()))
        elif self._waiting and step == 'withdraw':
            self._waiting.pop(0)
        elif self._waiting:
            self._start()
        waiting = {queued.attempt.organisation for queued in self._waiting}
        for window in self._windows:
            if not waiting.issuperset(window.pair):
                window.close()

    def _start(self) -> None:
        load = TargetLoad(self._waiting, [], _FREE_TOKENS)
        chosen = self._order.choose(load, timedelta())
        assert chosen is not None
        self._waiting.remove(chosen)
        for window in self._windows:
            window.record(chosen)


def check_histories(
    make_order: Callable[[Configuration], AdmissionOrder],
) -> None:
    """Check the bound on generated histories of an order."""

    @settings(derandomize=True, deadline=None, max_examples=200, database=None)
    @given(_HISTORIES)
    def check(steps: list[_Step]) -> None:
        configuration = Configuration()
        accept_weights(configuration, _WEIGHTS)
        history = _History(make_order(configuration))
        for step in steps:
            history.take(step)

    check()
