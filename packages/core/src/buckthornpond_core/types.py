"""Protocols of replaceable parts, and base classes of records."""

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import Protocol, TypeVar

from msgspec import MsgspecError, Struct

from .event_codes import EventCode

ItemT = TypeVar('ItemT')

# What decoding raises for bytes from outside. Values that are nested too deeply
# exhaust the recursion limit, also in fields that are skipped.
DECODE_ERRORS = (MsgspecError, RecursionError)


class StrictRecord(Struct, forbid_unknown_fields=True):
    """Base class of settings and operators' documents; no unknown keys."""


class WireRecord(Struct, array_like=True):
    """Base class of messages between processes, sent without field names.

    A new field goes last and has a default, so that processes of two
    versions can decode each other's messages.
    """


class Clock(Protocol):
    """Source of time."""

    def monotonic(self) -> timedelta:
        """Return the time since an origin private to this process."""

    def utcnow(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""


class RandomSource(Protocol):
    """Source of random choices, seeded in tests."""

    def random(self) -> float:
        """Return a number in the range from 0 up to, not including, 1."""

    def sample(self, population: Sequence[ItemT], k: int) -> list[ItemT]:  # noqa: WPS111
        """Return ``k`` distinct members of the population."""


class Recorder(Protocol):
    """Receiver of counters and log events."""

    def count(self, name: str, reason: str) -> None:
        """Add one to the counter ``name`` under the label ``reason``."""

    def log(self, code: EventCode, **fields: object) -> None:
        """Log a numbered event with its fields."""
