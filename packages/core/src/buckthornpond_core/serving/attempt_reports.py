"""Reports of an exchange to the dispatcher on attempts and their targets."""

from datetime import timedelta
from http import HTTPStatus

from .._generated.serving import AttemptReport, Placement
from .admissions import AdmittedRequest
from .effects import ExchangeEffect, ReportProof, ReportStatement, ResponseHead
from .health import AttemptOutcome

MISDIRECTED = HTTPStatus.MISDIRECTED_REQUEST


def make_unused_report(
    placement: Placement, outcome: AttemptOutcome
) -> AttemptReport:
    """Return the report of an attempt that was not started.

    :param placement: placement of the attempt.
    :param outcome: why it was not started.
    """
    return AttemptReport(
        target=placement.target, outcome=outcome.value, load=None
    )


def report_statement(
    placement: Placement | None, head: ResponseHead
) -> list[ExchangeEffect]:
    """Report what a target states of itself, or that it states nothing more.

    :param placement: placement of the running attempt, if there is one.
    :param head: head of its response.
    """
    metadata = head.metadata
    if placement is None or metadata.status_code == MISDIRECTED:
        # Another target answered.
        return []
    if metadata.statement is None and not placement.has_statement:
        return []
    return [ReportStatement(placement, metadata.statement)]


def report_proof(
    admission: AdmittedRequest, now: timedelta
) -> list[ExchangeEffect]:
    """Report that a request crashes no target.

    :param admission: the request.
    :param now: when that showed, on the monotonic clock.
    """
    parts = admission.suspect_parts
    return [ReportProof(parts, now)] if parts else []
