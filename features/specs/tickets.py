"""Specification of memory reserved at another engine for one request.

Time advances in ticks of half a second. Reservation requests arrive at once,
or late and out of order. The entry may crash or stall at any moment.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol

# A renewal is due each tick.
_LEASE_TICKS = 4
_LONG_LEASE_TICKS = 12
# After the end of a request its memory may stay reserved for this time.
_RELEASE_TICKS = 8
# Memory that stays reserved for this much longer counts as leaked.
_LEAK_TICKS = 4
# The engine that uses the memory may fall silent, which ends the request
# there; the entry finds that out, or else waits until the deadline.
_DETECTION_TICKS = 6
_DEADLINE_TICKS = 20
# The exploration stops this long after the end of the request.
_MAX_TICKS_AFTER_END = 30
# Reservation requests presumed lost that may still arrive, at one time.
_MAX_LATE_ORDERS = 2


class TicketGuards(NamedTuple):
    """Rules of the protocol; a variant lacks one."""

    has_short_lease: bool = True
    releases: bool = True
    renews: bool = True
    repeats_release: bool = True
    detects_silence: bool = True


class TicketState(NamedTuple):
    """State of the lease, the entry and the requests in flight."""

    lease: int = 0
    request: str = 'new'
    is_alive: bool = True
    is_due: bool = False
    late_orders: int = 0
    since_end: int = 0
    stretch: int = 0
    was_cut: bool = False


Step = tuple[str, TicketState]
# The entry knows of a request that has not ended, as far as it can tell.
_HOLDING = frozenset(('running', 'silent'))
_ALL_GUARDS = TicketGuards()


class TicketSpecification:
    """Transitions of the protocol with the given guards."""

    def __init__(self, guards: TicketGuards = _ALL_GUARDS) -> None:
        self._guards = guards
        self._lease = (
            _LEASE_TICKS if guards.has_short_lease else _LONG_LEASE_TICKS
        )
        self._unnoticed_ticks = (
            _DETECTION_TICKS if guards.detects_silence else _DEADLINE_TICKS
        )

    def protocol(self) -> Protocol:
        """Return the model for the checker."""
        return Protocol(
            name='memory of a ticket',
            candidate=False,
            fields=TicketState._fields,
            initial=TicketState(),
            transitions=lambda state: list(self.steps(state)),
            invariants={
                'memory is freed and no calm request is cut': lambda state: (
                    state['stretch'] < _LEAK_TICKS and not state['was_cut']
                ),
            },
        )

    def steps(self, state: TicketState) -> Iterator[Step]:
        """Yield every labelled successor of a state."""
        if state.since_end > _MAX_TICKS_AFTER_END:
            return
        if state.is_alive:
            yield from self._entry_steps(state)
        if state.late_orders:
            # A reservation or renewal presumed lost takes effect.
            yield (
                'late order',
                state._replace(
                    lease=self._lease,
                    late_orders=state.late_orders - 1,
                ),
            )
        if not state.is_due or not state.is_alive:
            yield 'tick', self._tick(state)

    def _entry_steps(self, state: TicketState) -> Iterator[Step]:
        if state.request == 'new':
            yield (
                'reserve and send',
                state._replace(request='running', lease=self._lease),
            )
            yield (
                'reservation unanswered',
                state._replace(request='ended', late_orders=1),
            )
        if state.request == 'running':
            yield 'engine falls silent', state._replace(request='silent')
        if state.request not in _HOLDING:
            return
        if state.is_due:
            yield 'renew', state._replace(is_due=False, lease=self._lease)
            if state.late_orders < _MAX_LATE_ORDERS and state.lease > 1:
                yield (
                    'renewal lost',
                    state._replace(
                        is_due=False,
                        late_orders=state.late_orders + 1,
                    ),
                )
        lease = 0 if self._guards.releases else state.lease
        yield (
            'end and release',
            state._replace(request='ended', is_due=False, lease=lease),
        )
        if state.late_orders < _MAX_LATE_ORDERS:
            # A crash with two late requests is outside the model.
            yield (
                'entry dies',
                state._replace(
                    request='ended',
                    is_due=False,
                    is_alive=False,
                ),
            )

    def _tick(self, state: TicketState) -> TicketState:
        lease = max(state.lease - 1, 0)
        is_running = state.request == 'running'
        was_cut = state.was_cut or (is_running and not lease)
        request = state.request
        is_due = request in _HOLDING and self._guards.renews
        if request in ('new', 'running'):
            return state._replace(lease=lease, is_due=is_due, was_cut=was_cut)
        since_end = state.since_end + 1
        if request == 'silent' and since_end >= self._unnoticed_ticks:
            request = 'ended'
            lease = 0
        if request == 'ended' and state.is_alive:
            is_due = False
            lease = 0 if self._guards.repeats_release else lease
        is_leaked = lease > 0 and since_end > _RELEASE_TICKS
        return state._replace(
            lease=lease,
            request=request,
            is_due=is_due,
            since_end=since_end,
            stretch=state.stretch + 1 if is_leaked else 0,
        )
