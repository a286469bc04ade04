"""How far the response to one attempt has come."""

from datetime import timedelta

from .._generated.serving import AttemptReport
from .effects import ResponseHead
from .events import EventAssembler, StreamPosition
from .health import AttemptOutcome
from .response_checks import is_success

_MS = timedelta(milliseconds=1)
# A target may still send the first event before it crashes.
_PROOF_EVENT_COUNT = 2


class AttemptProgress:
    """Parts of the response to an attempt that have arrived, and when.

    :param sent_at: when the attempt started, on the monotonic clock.
    :param position: how far the stream has come that the caller gets.
    :param is_resumed: whether the caller has a part of the stream.
    """

    __slots__ = (
        '_event_count',
        '_head_at',
        '_proven_at',
        'body',
        'events',
        'head',
        'is_first_byte_reported',
        'sent_at',
    )

    def __init__(
        self,
        sent_at: timedelta,
        position: StreamPosition,
        *,
        is_resumed: bool = False,
    ) -> None:
        self.sent_at = sent_at
        self.events = EventAssembler(position, is_resumed=is_resumed)
        # Body of a response that is forwarded as a whole.
        self.body = bytearray()
        self.head: ResponseHead | None = None
        self.is_first_byte_reported = False
        self._head_at = timedelta()
        self._event_count = 0
        # When the target had shown that it survives answering the request.
        self._proven_at: timedelta | None = None

    @property
    def has_events(self) -> bool:
        """Return whether events arrived that the caller can use."""
        return self._event_count > 0

    @property
    def held_bytes(self) -> int:
        """Return the size of what is held of the response."""
        return len(self.body) + self.events.held_bytes

    def discard(self) -> None:
        """Release what is held of the response of a failed attempt."""
        self.body = bytearray()
        self.events.discard()

    def elapsed_ms(self, now: timedelta) -> int:
        """Return the time since the start of the attempt.

        :param now: time on the monotonic clock.
        """
        return (now - self.sent_at) // _MS

    def record_head(self, head: ResponseHead, now: timedelta) -> None:
        """Record the head of the response.

        :param head: status and header fields.
        :param now: time on the monotonic clock.
        """
        self.head = head
        self._head_at = now

    def record_event(self, now: timedelta) -> bool:
        """Record events that the caller can use.

        Return whether they are the first to show that the target survives
        answering the request.

        :param now: time on the monotonic clock.
        """
        self._event_count += 1
        is_proof = self._event_count == _PROOF_EVENT_COUNT
        if is_proof:
            self._proven_at = now
        return is_proof

    def make_report(
        self, target: str, outcome: AttemptOutcome, now: timedelta
    ) -> AttemptReport:
        """Return the report of the attempt, without its time to first byte.

        :param target: name of the target to which the outcome applies.
        :param outcome: how the attempt ended.
        :param now: time on the monotonic clock.
        """
        report = AttemptReport(
            target=target,
            outcome=outcome.value,
            load=None,
            elapsed_ms=self.elapsed_ms(now),
            event_count=self._event_count,
        )
        self._report_head(report, now)
        self._report_proof(report, outcome, now)
        return report

    def _report_head(self, report: AttemptReport, now: timedelta) -> None:
        if self.head is None:
            return
        metadata = self.head.metadata
        report.has_head = True
        report.faulty_address = metadata.faulty_address
        report.cold_ms = metadata.cold_ms
        report.load = metadata.load
        report.load_age_ms = (now - self._head_at) // _MS
        report.has_malformed_load = metadata.has_malformed_load

    def _report_proof(
        self, report: AttemptReport, outcome: AttemptOutcome, now: timedelta
    ) -> None:
        proven_at = self._proven_at
        is_whole = (
            outcome is AttemptOutcome.answered
            and self.head is not None
            and is_success(self.head.metadata.status_code)
        )
        if proven_at is None and is_whole:
            proven_at = now
        if proven_at is not None:
            report.is_proven_sound = True
            report.proof_age_ms = (now - proven_at) // _MS
