"""Specification of the share of each entry in the limit of a cold target.

The number of running entries is unknown. Each keeps to its own share in a
window of two ticks. An entry may stall between its decision and the arrival
of its request, and it loses the state of its window when it restarts.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

ENTRY_COUNT = 3
# Requests that the target can serve in one window.
_MAX_WINDOW_REQUESTS = 3
_WINDOW_TICKS = 2


class ShareGuards(NamedTuple):
    """Rules of the protocol; a variant lacks one."""

    divides: bool = True
    restarts_slowly: bool = True
    remembers: bool = True


class ShareState(NamedTuple):
    """State of the entries and of the requests sent in the window."""

    # Ticks since each entry's last request, at most the window's length.
    ages: tuple[int, ...] = (_WINDOW_TICKS,) * ENTRY_COUNT
    # Ticks until each entry is running again, 0 for a running one.
    down: tuple[int, ...] = (0,) * ENTRY_COUNT
    # Ages of the requests that were sent and arrived inside the window.
    arrived: tuple[int, ...] = ()
    # Requests sent in this tick and in flight.
    under_way: int = 0
    restarts: int = 0


Step = tuple[str, ShareState]
_ALL_GUARDS = ShareGuards()


class ShareSpecification:
    """Transitions of the protocol with the given guards."""

    def __init__(self, guards: ShareGuards = _ALL_GUARDS) -> None:
        self._guards = guards

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return Protocol(
            name='shares of a cold target',
            candidate=False,
            fields=ShareState._fields,
            initial=ShareState(),
            transitions=lambda state: list(self.steps(state)),
            invariants={
                'the arrivals in a window fit the limit': lambda state: (
                    len(state['arrived']) <= _MAX_WINDOW_REQUESTS
                ),
            },
        )

    def steps(self, state: ShareState) -> Iterator[Step]:
        """Yield every labelled successor of a state."""
        if len(state.arrived) > _MAX_WINDOW_REQUESTS:
            return
        for number in range(ENTRY_COUNT):
            yield from self._entry_steps(state, number)
        if state.under_way:
            yield (
                'arrive',
                state._replace(
                    under_way=state.under_way - 1,
                    arrived=(0, *state.arrived),
                ),
            )
        yield 'tick', self._tick(state)

    def _entry_steps(self, state: ShareState, number: int) -> Iterator[Step]:
        if state.down[number]:
            return
        share = 1 if self._guards.divides else 2
        if state.ages[number] >= _WINDOW_TICKS:
            age = 0 if self._guards.remembers else _WINDOW_TICKS
            yield (
                f'entry {number} sends',
                state._replace(
                    ages=_replace_item(state.ages, number, age),
                    under_way=min(
                        state.under_way + share, _MAX_WINDOW_REQUESTS + 1
                    ),
                ),
            )
        if not state.restarts:
            pause = _WINDOW_TICKS if self._guards.restarts_slowly else 0
            yield (
                f'entry {number} restarts',
                state._replace(
                    ages=_replace_item(state.ages, number, _WINDOW_TICKS),
                    down=_replace_item(state.down, number, pause),
                    restarts=1,
                ),
            )

    def _tick(self, state: ShareState) -> ShareState:
        return state._replace(
            ages=tuple(min(age + 1, _WINDOW_TICKS) for age in state.ages),
            down=tuple(max(left - 1, 0) for left in state.down),
            arrived=tuple(
                age + 1 for age in state.arrived if age + 1 < _WINDOW_TICKS
            ),
            # A request that arrives in a later window was not sent in it.
            under_way=0,
        )


def _replace_item(
    ages: tuple[int, ...], number: int, age: int
) -> tuple[int, ...]:
    return (*ages[:number], age, *ages[number + 1 :])
