"""Exponentially decaying averages that take the time as an argument."""

import math
from datetime import timedelta

_MIN_SPAN_DIVISOR = 5


class DecayingRatio:
    """Mean amount per second, weighted towards recent samples.

    :param time_constant: measured time in which the weight of a sample falls
        to 1/e.
    """

    __slots__ = ('_amount', '_seconds', '_time_constant')

    def __init__(self, time_constant: timedelta) -> None:
        self._time_constant = time_constant
        self._amount = 0.0
        self._seconds = 0.0

    @property
    def mean(self) -> float:
        """Return the mean per second, or zero before the first sample."""
        return self._amount / self._seconds if self._seconds else 0.0

    @property
    def has_enough_samples(self) -> bool:
        """Tell whether the samples span a fifth of the time constant."""
        return (
            self._seconds * _MIN_SPAN_DIVISOR
            >= self._time_constant.total_seconds()
        )

    def add(self, amount: float, duration: timedelta) -> None:
        """Add a sample.

        :param amount: amount of work done.
        :param duration: time that the work took.
        """
        decay = math.exp(-(duration / self._time_constant))
        self._amount = self._amount * decay + amount
        self._seconds = self._seconds * decay + duration.total_seconds()


class DecayingRate:
    """Amount per second of events that arrive at any time.

    :param time_constant: time in which the weight of an event falls to 1/e.
    """

    __slots__ = ('_amount', '_time_constant', '_updated_at')

    def __init__(self, time_constant: timedelta) -> None:
        self._time_constant = time_constant
        self._amount = 0.0
        self._updated_at = timedelta()

    def add(self, amount: float, now: timedelta) -> None:
        """Add an event.

        :param amount: size of the event.
        :param now: time on the monotonic clock.
        """
        self._amount = self._decayed_amount(now) + amount
        self._updated_at = now

    def per_second(self, now: timedelta) -> float:
        """Return the amount per second.

        :param now: time on the monotonic clock.
        """
        return self._decayed_amount(now) / self._time_constant.total_seconds()

    def _decayed_amount(self, now: timedelta) -> float:
        elapsed = now - self._updated_at
        return self._amount * math.exp(-(elapsed / self._time_constant))
