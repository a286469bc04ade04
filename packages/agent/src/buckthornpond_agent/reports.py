"""Task that polls the load reports of the engine."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from buckthornpond_core._generated.platform import LoadReport
from buckthornpond_core.exceptions import BuckthornpondError
from buckthornpond_core.types import DECODE_ERRORS
from buckthornpond_runtime.calls import HttpCall
from buckthornpond_runtime.metrics import Metrics
from buckthornpond_runtime.tasks import Mailbox

_STATUS_OK = 200
_MAX_REPORT_BYTES = 65_536
_POLL_TIMEOUT = timedelta(seconds=2)
_CALL_ERRORS = (BuckthornpondError, *DECODE_ERRORS)


class PollEngine:
    """Tells the report task, from the admission task, which engine to poll.

    :param address: IP address and port of the engine, empty for none.
    """

    __slots__ = ('address',)

    def __init__(self, address: str) -> None:
        self.address = address


class LoadReportTask:
    """Owns the connection that polls the engine's load.

    :param interval: time between two polls.
    :param post: sends a load report to the admission task.
    :param metrics: counters of the process.
    """

    __slots__ = ('_address', '_interval', '_metrics', '_post', 'mailbox')

    def __init__(
        self,
        interval: timedelta,
        post: Callable[[LoadReport], None],
        metrics: Metrics,
    ) -> None:
        self.mailbox: Mailbox[PollEngine] = Mailbox()
        self._address = ''
        self._interval = interval
        self._post = post
        self._metrics = metrics

    def run(self) -> None:
        """Poll until the process ends."""
        while True:
            message = self.mailbox.receive(self._interval.total_seconds())
            if message is not None:
                self._address = message.address
            if self._address:
                self._poll()

    def _poll(self) -> None:
        call = HttpCall(self._address, _POLL_TIMEOUT, _POLL_TIMEOUT)
        try:
            report = _read_report(call)
        except _CALL_ERRORS as error:
            self._metrics.count('report_errors', type(error).__name__)
            return
        finally:
            call.close()
        if report is None:
            self._metrics.count('report_errors', 'status')
        else:
            self._post(report)


def _read_report(call: HttpCall) -> LoadReport | None:
    call.send('GET', '/load', b'', {})
    if call.response.status_code != _STATUS_OK:
        return None
    content = call.read_block(_MAX_REPORT_BYTES)
    return msgspec.json.decode(content, type=LoadReport)
