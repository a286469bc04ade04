"""Which requests an entry still takes while it stops."""

from datetime import timedelta

# By then, load balancers have seen two failed checks, one a second. A request
# that is taken later than it was sent needs the rest of the grace period.
_NOTICE_PERIOD_MS = 2500
_NOTICE_PERIOD = timedelta(milliseconds=_NOTICE_PERIOD_MS)
_MAX_NOTICE_SHARE = 0.5
# Time before the kill in which requests in flight are ended.
_STOP_MARGIN_MS = 700
_STOP_MARGIN = timedelta(milliseconds=_STOP_MARGIN_MS)
_MAX_MARGIN_SHARE = 0.125
# Part of the margin in which callers that still wait are answered.
_FINAL_ANSWER_SHARE = 0.43


class PlannedStop:
    """Schedule of a planned stop, counted from its signal.

    The process is killed at the end of the grace period. Until the notice
    ends, every request is taken; later only those that end before the stop
    does, whatever their targets do.

    :param signalled_at: when the signal came, on the monotonic clock.
    :param grace: time between the signal and the kill.
    """

    __slots__ = (
        'ends_at',
        'final_answer_time',
        'notice_ends_at',
        'signalled_at',
    )

    def __init__(self, signalled_at: timedelta, grace: timedelta) -> None:
        margin = min(_STOP_MARGIN, grace * _MAX_MARGIN_SHARE)
        notice = min(_NOTICE_PERIOD, grace * _MAX_NOTICE_SHARE)
        self.signalled_at = signalled_at
        self.notice_ends_at = signalled_at + notice
        # When requests in flight get their final answer.
        self.ends_at = signalled_at + grace - margin
        self.final_answer_time = margin * _FINAL_ANSWER_SHARE

    def accepts(self, deadline: timedelta, now: timedelta) -> bool:
        """Return whether a request is taken.

        :param deadline: when it has its final answer at the latest, on the
            monotonic clock.
        :param now: time on the monotonic clock.
        """
        return now < self.notice_ends_at or deadline <= self.ends_at
