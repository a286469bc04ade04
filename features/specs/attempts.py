"""Attempts with default fields for tests."""

from datetime import timedelta
from typing import Any

from buckthornpond_core._generated.messages import Attempt
from buckthornpond_core.configuration.documents import Configuration

_TIME_LIMIT = timedelta(minutes=10)


def make_attempt(attempt_id: str, **changes: Any) -> Attempt:
    """Return a non-idempotent attempt.

    :param attempt_id: identifier of the attempt.
    :param changes: fields that differ from the defaults.
    """
    fields: dict[str, Any] = {
        'entry_incarnation': 'entry',
        'agent_incarnation': 'agent',
        'organisation': 'gate',
        'service': 'lots',
        'method': 'POST',
        'path': '/accept',
        'content_type': '',
        'idempotency_key': '',
        'is_idempotent': False,
        'is_stream': False,
        'prompt_tokens': 0,
        'output_tokens': 0,
        'remaining_ms': _TIME_LIMIT // timedelta(milliseconds=1),
        'credit_bytes': 65_536,
        'configuration': Configuration().version,
        'body': b'',
    }
    return Attempt(attempt_id=attempt_id, **{**fields, **changes})
