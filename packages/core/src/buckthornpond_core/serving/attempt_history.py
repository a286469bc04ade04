"""Attempts that were made for one request."""

from .._generated.serving import Placement, Route

# Sends allowed beyond the route's runs, since a target may refuse to run one.
_EXTRA_SEND_COUNT = 2


class AttemptHistory:
    """Counts the attempts of a request and remembers their targets.

    :param route: route of the request, which limits its runs.
    """

    __slots__ = (
        '_max_runs',
        '_run_count',
        '_send_count',
        'excluded_targets',
        'summaries',
    )

    def __init__(self, route: Route) -> None:
        self._max_runs = route.max_runs
        self._run_count = 0
        self._send_count = 0
        # Targets to which the request need not be sent again.
        self.excluded_targets: list[str] = []
        # Target, outcome and time of each attempt, for the log.
        self.summaries: list[str] = []

    @property
    def is_empty(self) -> bool:
        """Return whether nothing was sent yet."""
        return not self._send_count

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        return self._run_count > 0

    @property
    def is_exhausted(self) -> bool:
        """Return whether no further attempt is allowed."""
        return (
            self._run_count >= self._max_runs
            or self._send_count >= self._max_runs + _EXTRA_SEND_COUNT
        )

    @property
    def may_add_run(self) -> bool:
        """Return whether one more run is allowed beside a running attempt."""
        return self._run_count + 1 < self._max_runs

    def record_send(self) -> None:
        """Record the start of an attempt."""
        self._send_count += 1

    def record_run(self) -> None:
        """Record that the target of an attempt may have run it."""
        self._run_count += 1

    def record_end(
        self,
        target: str,
        outcome: str,
        elapsed_ms: int,
        error: str,
        unfinished_bytes: int = 0,
    ) -> None:
        """Record the end of an attempt.

        :param target: name of the target.
        :param outcome: how the attempt ended.
        :param elapsed_ms: time since its start.
        :param error: description of the failure, or empty.
        :param unfinished_bytes: size of the event inside which its response
            ended.
        """
        remark = ''
        if unfinished_bytes:
            remark = f', inside an event after {unfinished_bytes} bytes of it'
        summary = f'{target} {outcome} {elapsed_ms} ms {error}'.strip()
        self.summaries.append(f'{summary}{remark}')
        self.excluded_targets.append(target)

    def list_tried(self, running: Placement | None) -> list[str]:
        """Return the names of the targets that were tried.

        :param running: placement of the running attempt, if there is one.
        """
        if running is None:
            return list(self.excluded_targets)
        return [*self.excluded_targets, running.target]
