"""What the end of an attempt tells of its request and of parts of it."""

from datetime import timedelta

from .._generated.serving import AttemptReport, Placement
from .admissions import AdmittedRequest
from .fleet import Fleet
from .health import AttemptOutcome
from .part_quarantine import PartQuarantine
from .target_crashes import Suspect

_MS = timedelta(milliseconds=1)
_MAX_LOGGED_PARTS = 32


class EndedAttempt:
    """An attempt that has ended.

    :param admission: the request.
    :param placement: placement of the attempt.
    :param report: outcome and progress of the attempt.
    """

    __slots__ = ('_admission', '_placement', '_report')

    def __init__(
        self,
        admission: AdmittedRequest,
        placement: Placement,
        report: AttemptReport,
    ) -> None:
        self._admission = admission
        self._placement = placement
        self._report = report

    @property
    def is_connection_lost(self) -> bool:
        """Return whether the target closed the connection too early."""
        return self._report.outcome == AttemptOutcome.connection_lost

    def add_evidence(self, quarantine: PartQuarantine, now: timedelta) -> None:
        """Record that the parts are sound, or that they are suspects.

        :param quarantine: judges the parts of all requests.
        :param now: time on the monotonic clock.
        """
        parts = self._admission.suspect_parts
        if not parts:
            return
        report = self._report
        if report.is_proven_sound:
            quarantine.record_sound(parts, now - report.proof_age_ms * _MS)
        elif self._is_answered_with_error and self._admission.identity:
            # The target may have looked at no part of the prompt.
            quarantine.record_sound([self._admission.identity], now)
        elif self.is_connection_lost:
            placement = self._placement
            quarantine.record_loss(
                placement.target,
                placement.started_ms,
                Suspect(
                    frozenset(parts),
                    now - report.elapsed_ms * _MS,
                    has_begun=report.has_head,
                ),
                now,
            )

    def describe_loss(self, fleet: Fleet, now: timedelta) -> dict[str, object]:
        """Return what was known of the target, as fields of a log event.

        :param fleet: known targets, with this attempt still in flight.
        :param now: time on the monotonic clock.
        """
        placement = self._placement
        view = fleet.find(placement.target)
        attempts = view.all_attempts if view else []
        parts = self._admission.metadata.shared_parts
        return {
            'request': self._admission.metadata.attempt_id,
            'target': placement.target,
            'address': placement.address,
            'started_ms': placement.started_ms,
            'has_head': self._report.has_head,
            'event_count': self._report.event_count,
            'in_flight_count': len(attempts),
            'held_tokens': sum(each.held_tokens for each in attempts),
            'is_cold': view is not None and view.is_cold(now),
            'shared_parts': parts[:_MAX_LOGGED_PARTS],
            'shared_part_count': len(parts),
            'identity': self._admission.identity,
        }

    @property
    def _is_answered_with_error(self) -> bool:
        """Return whether the caller got the target's own error."""
        report = self._report
        is_answered = report.outcome == AttemptOutcome.answered
        return is_answered and not report.is_proven_sound
