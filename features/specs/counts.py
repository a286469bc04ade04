"""Figures of a run for the summary of the tests."""

import sys
from collections.abc import Sequence
from typing import TypeVar

ItemT = TypeVar('ItemT')


def report(text: str) -> None:
    """Print a figure past behave, which captures the standard output.

    :param text: the figure and what it counts.
    """
    if sys.__stdout__ is not None:
        sys.__stdout__.write(f'\ncount: {text}\n')


def only(items: Sequence[ItemT]) -> ItemT:
    """Return the one item of a sequence.

    :param items: what has to hold one item.
    """
    assert len(items) == 1, items
    return items[0]
