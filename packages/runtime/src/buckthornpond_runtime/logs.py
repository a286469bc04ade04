"""Numbered log events."""

import sys

import eliot

from buckthornpond_core.journal import EventCode


def start_logging() -> None:
    """Write events to the standard error stream as JSON lines."""
    eliot.to_file(sys.stderr)


def log_event(code: EventCode, **fields: object) -> None:
    """Log one event of the catalogue.

    :param code: number of the event.
    :param fields: what the catalogue names for it.
    """
    eliot.log_message(message_type=f'E{code:d}', event=code.name, **fields)
