"""Specification of one idempotency key at two homes.

Home 0 runs the key under even versions of the configuration, home 1 under
odd ones. Entries have no state here: an attempt may go to the home of any
version, however old, which covers any number of stale entries. A message in
flight may arrive at any time or never, which covers broken connections, late
messages and receivers that are paused and resumed.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol

FREE = 'free'
ASKING = 'asking'
CLAIMED = 'claimed'
RAN = 'ran'
BARRED = 'barred'

ATTEMPT = 'attempt'
ASK = 'ask'
REPLY = 'reply'

Pair = tuple[Any, Any]


class Bounds(NamedTuple):
    """Bounds of the exploration."""

    versions: int = 2
    attempts: int = 2
    restarts: int = 1


class Guards(NamedTuple):
    """Rules of the protocol, each of which a variant can leave out.

    :param fences_earlier_homes: a home asks the earlier home before it runs
        the key.
    :param records_fences: the earlier home records the fence that it grants.
    :param quarantines: a restarted home refuses a key that may have been
        used before its start.
    :param yields_to_newer: of two claims that wait, the one under the older
        version gives way.
    :param refuses_unanswered: a claim is refused if its request times out.
    :param checks_deadline: messages after the deadline are refused.
    :param keeps_reported_version: a restarted home starts with at least the
        version that it has reported.
    """

    fences_earlier_homes: bool = True
    records_fences: bool = True
    quarantines: bool = True
    yields_to_newer: bool = True
    refuses_unanswered: bool = True
    checks_deadline: bool = True
    keeps_reported_version: bool = True


class State(NamedTuple):
    """State of both homes and the messages in flight between them."""

    versions: Pair = (1, 1)
    records: Pair = (FREE, FREE)
    incarnations: Pair = (0, 0)
    quarantined: Pair = (False, False)
    acknowledged: Pair = (0, 0)
    reported: Pair = (1, 1)
    messages: frozenset[tuple[Any, ...]] = frozenset()
    sent: int = 0
    restarted: int = 0
    is_window_over: bool = False
    runs: int = 0


Step = tuple[tuple[Any, ...], State]


def find_home_index(version: int) -> int:
    """Return the index of the key's home under a version."""
    return version % 2


def replace_side(pair: Pair, index: int, value: Any) -> Pair:
    """Return a copy of the pair with one item replaced."""
    return (value, pair[1]) if index == 0 else (pair[0], value)


_ALL_GUARDS = Guards()
_DEFAULT_BOUNDS = Bounds()


class KeySpecification:
    """Transitions of the protocol under some guards and bounds."""

    def __init__(
        self,
        guards: Guards = _ALL_GUARDS,
        bounds: Bounds = _DEFAULT_BOUNDS,
    ) -> None:
        self.guards = guards
        self.bounds = bounds

    def protocol(self) -> Protocol:
        """Return the model for the model checker."""
        return Protocol(
            name='at most once',
            candidate=False,
            fields=State._fields,
            initial=State(),
            transitions=lambda state: [
                (' '.join(map(str, label)), following)
                for label, following in self.steps(state)
            ],
            invariants={'at most once': lambda state: state['runs'] <= 1},
        )

    def steps(self, state: State) -> Iterator[Step]:
        """Yield every labelled successor of a state."""
        for home in (0, 1):
            yield from self._local_steps(state, home)
        for message in sorted(state.messages):
            following = state._replace(messages=state.messages - {message})
            yield ('deliver', *message), self._deliver(following, message)
        if not state.is_window_over:
            if state.sent < self.bounds.attempts:
                yield from self._send_steps(state)
            yield ('close',), state._replace(is_window_over=True)

    def _send_steps(self, state: State) -> Iterator[Step]:
        for home in {
            find_home_index(each) for each in range(1, self.bounds.versions + 1)
        }:
            number = state.sent + 1
            message = (ATTEMPT, number, home, state.incarnations[home])
            yield (
                ('send', number, home),
                state._replace(
                    sent=number,
                    messages=state.messages | {message},
                ),
            )

    def _local_steps(self, state: State, home: int) -> Iterator[Step]:
        version = state.versions[home]
        record = state.records[home]
        if version < self.bounds.versions:
            yield (
                ('learn', home),
                state._replace(
                    versions=replace_side(state.versions, home, version + 1),
                ),
            )
        if record == CLAIMED:
            yield (
                ('start', home),
                state._replace(
                    records=replace_side(state.records, home, RAN),
                    runs=state.runs + 1,
                ),
            )
            yield ('withdraw', home), self._set_record(state, home, FREE)
        if record == ASKING:
            if not (state.is_window_over and self.guards.checks_deadline):
                yield ('ask again', home), self._ask(state, home)
            record_after_timeout = (
                FREE if self.guards.refuses_unanswered else CLAIMED
            )
            yield (
                ('give up', home),
                self._set_record(state, home, record_after_timeout),
            )
        if state.is_window_over:
            yield from self._steps_after_window(state, home)
        other = 1 - home
        if not state.sent and state.versions[other] >= version:
            yield (
                ('acknowledge', home),
                state._replace(
                    acknowledged=replace_side(
                        state.acknowledged, home, state.versions[other]
                    ),
                    reported=self._report_version(state, other),
                ),
            )
        if state.restarted < self.bounds.restarts:
            yield from self._restart_steps(state, home)

    def _steps_after_window(self, state: State, home: int) -> Iterator[Step]:
        if state.records[home] in {RAN, BARRED}:
            yield ('expire', home), self._set_record(state, home, FREE)
        if state.quarantined[home]:
            yield (
                ('trust', home),
                state._replace(
                    quarantined=replace_side(state.quarantined, home, False)
                ),
            )

    def _restart_steps(self, state: State, home: int) -> Iterator[Step]:
        lowest = 1
        if self.guards.keeps_reported_version:
            lowest = state.reported[home]
        is_quarantined = self.guards.quarantines and state.sent > 0
        for version in range(lowest, state.versions[home] + 1):
            yield (
                ('restart', home, version),
                state._replace(
                    versions=replace_side(state.versions, home, version),
                    records=replace_side(state.records, home, FREE),
                    incarnations=replace_side(
                        state.incarnations, home, state.incarnations[home] + 1
                    ),
                    quarantined=replace_side(
                        state.quarantined, home, is_quarantined
                    ),
                    acknowledged=replace_side(state.acknowledged, home, 0),
                    restarted=state.restarted + 1,
                ),
            )

    def _deliver(self, state: State, message: tuple[Any, ...]) -> State:
        kind, *fields = message
        if kind == ATTEMPT:
            return self._handle_attempt(state, *fields[1:])
        if kind == ASK:
            return self._handle_ask(state, *fields)
        return self._handle_reply(state, *fields)

    def _handle_attempt(
        self, state: State, home: int, incarnation: int
    ) -> State:
        if incarnation != state.incarnations[home]:
            return state
        if state.is_window_over and self.guards.checks_deadline:
            return state
        version = state.versions[home]
        is_free = state.records[home] == FREE and not state.quarantined[home]
        if find_home_index(version) != home or not is_free:
            return state
        may_run_at_once = version == 1 or state.acknowledged[home] >= version
        if may_run_at_once or not self.guards.fences_earlier_homes:
            return self._set_record(state, home, CLAIMED)
        return self._ask(self._set_record(state, home, ASKING), home)

    def _handle_ask(
        self,
        state: State,
        asker: int,
        incarnation: int,
        version: int,
    ) -> State:
        home = 1 - asker
        answer = self._answer_ask(state, home, version)
        keeps_claim = (
            state.records[home] == ASKING and not self.guards.yields_to_newer
        )
        if answer == BARRED and self.guards.records_fences and not keeps_claim:
            state = self._set_record(state, home, BARRED)
        message = (REPLY, asker, incarnation, answer)
        return state._replace(
            messages=state.messages | {message},
            reported=self._report_version(state, home),
        )

    def _answer_ask(self, state: State, home: int, version: int) -> str:
        record: str = state.records[home]
        is_newer = state.versions[home] > version
        if record == ASKING and is_newer and self.guards.yields_to_newer:
            return CLAIMED
        if record not in {FREE, ASKING}:
            return record
        return 'unknown' if state.quarantined[home] else BARRED

    def _handle_reply(
        self,
        state: State,
        home: int,
        incarnation: int,
        answer: str,
    ) -> State:
        is_current = incarnation == state.incarnations[home]
        if not is_current or state.records[home] != ASKING:
            return state
        is_late = state.is_window_over and self.guards.checks_deadline
        if is_late or answer != BARRED:
            return self._set_record(state, home, FREE)
        is_home = find_home_index(state.versions[home]) == home
        return self._set_record(state, home, CLAIMED if is_home else FREE)

    def _ask(self, state: State, home: int) -> State:
        message = (
            ASK,
            home,
            state.incarnations[home],
            state.versions[home],
        )
        return state._replace(messages=state.messages | {message})

    def _report_version(self, state: State, home: int) -> Pair:
        version = max(state.reported[home], state.versions[home])
        return replace_side(state.reported, home, version)

    def _set_record(self, state: State, home: int, record: str) -> State:
        return state._replace(records=replace_side(state.records, home, record))
