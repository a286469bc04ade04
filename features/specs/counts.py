"""Helpers that print the counts of a test and unpack a single item."""

import sys
from collections.abc import Sequence
from typing import TypeVar

ItemT = TypeVar('ItemT')


def report(text: str) -> None:
    """Print a count to the original standard output, as behave captures it.

    :param text: the count and what it counts.
    """
    if sys.__stdout__ is not None:
        sys.__stdout__.write(f'\ncount: {text}\n')


def only(items: Sequence[ItemT]) -> ItemT:
    """Return the one item of a sequence.

    :param items: sequence that must have exactly one item.
    """
    assert len(items) == 1, items
    return items[0]
