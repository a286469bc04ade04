"""Request rates that targets state for themselves."""

from datetime import timedelta


class StatedLimit:
    """Request rate that a target takes from all entries together.

    :param requests_per_second: the rate.
    :param heard_at: when the target stated it first, on the monotonic clock.
    """

    __slots__ = ('heard_at', 'requests_per_second')

    def __init__(self, requests_per_second: float, heard_at: timedelta) -> None:
        self.requests_per_second = requests_per_second
        self.heard_at = heard_at
