"""What targets say of themselves, which binds who has heard it."""

from datetime import timedelta

from .._generated.serving import Placement, TargetStatement
from ..event_codes import EventCode
from ..types import Recorder
from .fleet import Fleet, TargetView
from .stated_limits import StatedLimit

_MS = timedelta(milliseconds=1)


class TargetStatements:
    """Keeps what each start of a target has said of itself.

    :param fleet: known targets.
    :param recorder: receives counters and log events.
    """

    __slots__ = ('_fleet', '_recorder')

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self._fleet = fleet
        self._recorder = recorder

    def record(
        self,
        placement: Placement,
        statement: TargetStatement | None,
        now: timedelta,
    ) -> None:
        """Record what the response to an attempt says of its target.

        :param placement: targets of the attempt.
        :param statement: the statement, or ``None`` if there is none.
        :param now: time on the monotonic clock.
        """
        if statement is not None and statement.has_malformed_limit:
            self._recorder.count('malformed_messages', 'target_limit')
            return
        view = self._fleet.find(placement.target)
        if view is None or view.record.started_ms != placement.started_ms:
            # Another start of the target owes nothing of it.
            return
        limit = None if statement is None else statement.requests_per_second
        self._set_limit(view, limit, now)

    def _set_limit(
        self, view: TargetView, limit: float | None, now: timedelta
    ) -> None:
        stated = view.stated_limit
        if limit is None:
            if stated is not None:
                view.stated_limit = None
                self._log(EventCode.target_limit_ended, view, stated, now)
        elif stated is None:
            view.stated_limit = StatedLimit(limit, now)
            self._log(EventCode.target_limited, view, view.stated_limit, now)
        else:
            stated.requests_per_second = limit

    def _log(
        self,
        code: EventCode,
        view: TargetView,
        limit: StatedLimit,
        now: timedelta,
    ) -> None:
        self._recorder.log(
            code,
            target=view.record.name,
            address=view.record.address,
            started_ms=view.record.started_ms,
            requests_per_second=limit.requests_per_second,
            age_ms=(now - limit.heard_at) // _MS,
        )
