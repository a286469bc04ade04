"""Detection of cold targets, by failed calls and by the engine's report."""

from .._generated.events import CallEnded
from .._generated.platform import LoadReport
from ..event_codes import EventCode
from ..types import Recorder
from .limits import TargetLimit


class ColdTargetDetector:
    """Lowers the token limit of a target that appears to be cold.

    :param limit: token limit of the target.
    :param recorder: receiver of log events.
    """

    __slots__ = ('_last_report', '_limit', '_recorder')

    def __init__(self, limit: TargetLimit, recorder: Recorder) -> None:
        self._limit = limit
        self._recorder = recorder
        self._last_report: LoadReport | None = None

    def handle_failed_call(self, ended: CallEnded) -> None:
        """Lower the limit after a failed call.

        A call that could not be sent marks the target as cold. One that
        failed after it was sent is recorded as a failure.

        :param ended: end of the call.
        """
        if ended.is_sent:
            self._limit.record_failure()
        else:
            self.mark_cold('connection refused')

    def handle_report(self, report: LoadReport) -> None:
        """Apply the engine's own report, which lags.

        :param report: report of the engine.
        """
        previous = self._last_report
        self._last_report = report
        self._limit.record_report(is_warm=report.is_warm)
        if previous is None:
            return
        if previous.incarnation != report.incarnation:
            self.mark_cold('engine restarted')
        elif previous.is_warm and not report.is_warm:
            self.mark_cold('engine report')

    def mark_cold(self, sign: str) -> None:
        """Treat the target as cold.

        :param sign: evidence that it is cold, for the log.
        """
        if not self._limit.is_cold:
            self._recorder.log(EventCode.target_cold, sign=sign)
        self._limit.reset_to_cold()
