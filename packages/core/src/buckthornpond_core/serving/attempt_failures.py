"""Failures of attempts that the exchange finds in their responses."""

from ..input_limits import MAX_RESPONSE_BODY_BYTES, InputLimitError
from .health import AttemptOutcome
from .messages import AttemptFailed

RESPONSE_TOO_LARGE = AttemptFailed(
    AttemptOutcome.response_too_large,
    is_sent=True,
    error=f'body exceeds {MAX_RESPONSE_BODY_BYTES} bytes',
)

# Says nothing about the target: the process holds too many responses.
RESPONSE_BUDGET_FULL = AttemptFailed(
    AttemptOutcome.abandoned,
    is_sent=True,
    error='held responses exceed the memory budget',
)

# The caller has a part of a stream, which an error or a page cannot end.
NO_CONTINUATION = AttemptFailed(
    AttemptOutcome.failed,
    is_sent=True,
    error='answer that does not continue the stream',
)


def make_invalid_response(error: str) -> AttemptFailed:
    """Return the failure of an attempt whose response must not be believed.

    :param error: what is wrong with it.
    """
    return AttemptFailed(AttemptOutcome.failed, is_sent=True, error=error)


def make_exceeded_limit(error: InputLimitError) -> AttemptFailed:
    """Return the failure of an attempt whose response exceeds a limit.

    :param error: names the limit.
    """
    return AttemptFailed(
        AttemptOutcome.limit_exceeded, is_sent=True, error=error.message
    )
