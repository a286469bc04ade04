"""Specification of one attempt without a key whose outcome is uncertain.

The entry sends an attempt, loses the connection and queries the outcome. It
may place the request again only when the agent has fenced the first
attempt.
"""

from collections.abc import Iterator
from typing import NamedTuple

from minicheck import Protocol


class OutcomeGuards(NamedTuple):
    """Guards of the protocol; each variant of the model lacks one."""

    bars: bool = True
    remembers_end: bool = True
    checks_incarnation: bool = True


class OutcomeState(NamedTuple):
    """State of the agent, the entry and the messages between them."""

    incarnation: int = 0
    record: str = 'unseen'
    is_attempt_in_flight: bool = True
    question: int = -1
    answer: str = ''
    verdict: str = ''
    known_incarnation: int = 0
    runs: int = 0


Step = tuple[str, OutcomeState]


_ALL_GUARDS = OutcomeGuards()


class OutcomeSpecification:
    """Transitions of the protocol under the given guards."""

    def __init__(self, guards: OutcomeGuards = _ALL_GUARDS) -> None:
        self.guards = guards

    def protocol(self) -> Protocol:
        """Return the protocol for the model checker."""
        return Protocol(
            name='outcome of an attempt',
            candidate=False,
            fields=OutcomeState._fields,
            initial=OutcomeState(),
            transitions=lambda state: list(self.steps(state)),
            invariants={
                'not run is true': lambda state: (
                    state['verdict'] != 'not_run' or not state['runs']
                ),
            },
        )

    def steps(self, state: OutcomeState) -> Iterator[Step]:
        """Yield each successor of a state with its label."""
        yield from self._agent_steps(state)
        yield from self._entry_steps(state)

    def _agent_steps(self, state: OutcomeState) -> Iterator[Step]:
        if state.is_attempt_in_flight:
            is_accepted = state.incarnation == 0 and state.record == 'unseen'
            yield (
                'deliver attempt',
                state._replace(
                    is_attempt_in_flight=False,
                    record='queued' if is_accepted else state.record,
                ),
            )
        if state.record == 'queued':
            yield 'start', state._replace(record='running', runs=1)
            yield 'drop', state._replace(record='unseen')
        if state.record == 'running':
            ended = 'ended' if self.guards.remembers_end else 'unseen'
            yield 'end', state._replace(record=ended)
        if not state.incarnation:
            yield (
                'restart',
                state._replace(incarnation=1, record='unseen'),
            )
        if state.question >= 0:
            yield 'deliver question', self._answer(state)

    def _answer(self, state: OutcomeState) -> OutcomeState:
        answer = state.record
        record = state.record
        if state.incarnation and self.guards.checks_incarnation:
            return state._replace(question=-1, answer='unknown')
        if record in {'unseen', 'queued', 'barred'}:
            answer = 'barred'
            record = 'barred' if self.guards.bars else record
        return state._replace(question=-1, answer=answer, record=record)

    def _entry_steps(self, state: OutcomeState) -> Iterator[Step]:
        if state.verdict:
            return
        if state.known_incarnation != state.incarnation:
            yield (
                'hear of restart',
                state._replace(known_incarnation=state.incarnation),
            )
        if state.question < 0 and not state.answer:
            yield 'ask', state._replace(question=0)
        if state.known_incarnation:
            yield 'give up', state._replace(verdict='unknown')
        if state.answer:
            verdict = {'barred': 'not_run', 'running': ''}.get(
                state.answer, 'unknown'
            )
            yield 'take answer', state._replace(answer='', verdict=verdict)
