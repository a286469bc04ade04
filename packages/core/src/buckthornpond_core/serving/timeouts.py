"""Limits on a target's silence.

After a longer silence, a request that may be repeated moves to another target.
"""

from datetime import timedelta

from .._generated.serving import Placement, Route

_MS = timedelta(milliseconds=1)
_FIRST_EVENT_MARGIN_MS = 700
_FIRST_EVENT_FORECAST_FACTOR = 3
_PLAIN_OBJECTIVE_FACTOR = 1.5
_MIN_PLAIN_TIMEOUT_MS = 150
_MIN_EVENT_GAP_TIMEOUT_MS = 1000
_EVENT_GAP_FACTOR = 4


def find_first_byte_timeout(route: Route, placement: Placement) -> timedelta:
    """Return the longest wait for a whole response or for the first event.

    :param route: route of the request.
    :param placement: placement of the attempt, with its forecast.
    """
    if route.is_stream:
        return _MS * (
            _FIRST_EVENT_MARGIN_MS
            + _FIRST_EVENT_FORECAST_FACTOR * placement.forecast_ms
        )
    return _MS * max(
        route.objective_ms * _PLAIN_OBJECTIVE_FACTOR,
        _MIN_PLAIN_TIMEOUT_MS,
    )


def find_event_timeout(route: Route) -> timedelta:
    """Return the longest wait between two events of a stream.

    :param route: route of the request.
    """
    return _MS * max(
        _MIN_EVENT_GAP_TIMEOUT_MS,
        _EVENT_GAP_FACTOR * route.event_gap_ms,
    )
