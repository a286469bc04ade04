"""Steps on what an attempt that broke off leaves to the next one."""

from datetime import timedelta
from typing import Any

from behave import then, when
from hypothesis import strategies as st

from buckthornpond_core._generated.serving import (
    Placement,
    RequestMetadata,
    ResponseMetadata,
    Route,
)
from buckthornpond_core.serving.admissions import AdmittedRequest
from buckthornpond_core.serving.effects import (
    EndStream,
    ExchangeEffect,
    ResponseHead,
    SendEvents,
    StartAttempt,
)
from buckthornpond_core.serving.exchange import RequestExchange
from buckthornpond_core.serving.health import AttemptOutcome
from buckthornpond_core.serving.messages import (
    AttemptBody,
    AttemptCompleted,
    AttemptFailed,
    AttemptHead,
    AttemptMessage,
)
from buckthornpond_platform_standins.server_responses import render_event
from features.steps.direct_fuzz_steps import run_generated
from features.steps.direct_steps import list_servers

_ATTEMPT_ID = 'a1'
_EVENT_COUNT = 5
_MAX_RUNS = 4
_PERCENT = 100
_ROUTE = Route(
    name='stream',
    host_name='',
    path_prefix='/',
    shares=[],
    is_stream=True,
    may_repeat=True,
    time_limit_ms=60_000,
    objective_ms=1000,
    max_runs=_MAX_RUNS,
    event_gap_ms=100,
)
_REQUEST = RequestMetadata(
    attempt_id=_ATTEMPT_ID, host_name='', method='POST', path='/'
)
_EVENTS = [
    render_event(number, _ATTEMPT_ID) for number in range(1, _EVENT_COUNT + 1)
]
_BROKEN_OFF = AttemptFailed(
    AttemptOutcome.connection_lost, is_sent=True, error='closed'
)
# Where each attempt breaks off, in percent of what it has to send, where the
# bytes before are split, and whether it ends as if it were complete.
_BREAKS = st.lists(
    st.tuples(
        st.integers(0, _PERCENT - 1),
        st.integers(0, _PERCENT),
        st.booleans(),
    ),
    max_size=_MAX_RUNS - 1,
)


def make_admission() -> AdmittedRequest:
    """Return a request for a stream that may be resumed."""
    return AdmittedRequest(_REQUEST, _ROUTE, None, 'llm')


class BreakingTargets:
    """Targets that break off one after another; the last one does not.

    :param breaks: where and how each attempt breaks off.
    """

    __slots__ = ('_breaks', '_exchange', '_now', 'has_end', 'received')

    def __init__(self, breaks: list[tuple[int, int, bool]]) -> None:
        self._breaks = list(breaks)
        self._now = timedelta(seconds=1)
        self._exchange = RequestExchange(make_admission(), self._now)
        # What the caller got.
        self.received = b''
        self.has_end = False

    def run(self) -> None:
        """Serve the request until the caller has its answer."""
        self._exchange.start()
        while self._exchange.is_awaiting_placement:
            placement = Placement(
                target='t', address='10.0.0.1:80', service='llm'
            )
            effects = self._exchange.handle_placement(placement, self._now)
            for effect in effects:
                if isinstance(effect, StartAttempt):
                    self._answer(effect)

    def _answer(self, attempt: StartAttempt) -> None:
        metadata = ResponseMetadata(
            200,
            load=None,
            statement=None,
            attempt_id=_ATTEMPT_ID,
            is_signed=True,
        )
        self._handle(AttemptHead(ResponseHead(metadata, [])))
        rest = b''.join(_EVENTS[int(attempt.last_event_id or 0) :])
        if not self._breaks:
            self._handle(AttemptBody(rest))
            self._handle(AttemptCompleted())
            return
        end_percent, split_percent, looks_complete = self._breaks.pop(0)
        sent = rest[: len(rest) * end_percent // _PERCENT]
        split = len(sent) * split_percent // _PERCENT
        for part in filter(None, (sent[:split], sent[split:])):
            self._handle(AttemptBody(part))
        # Between events, the end of the connection looks like a whole stream.
        is_inside_event = bool(sent) and not sent.endswith(b'\n\n')
        if looks_complete and is_inside_event:
            self._handle(AttemptCompleted(is_delimited=False))
        else:
            self._handle(_BROKEN_OFF)

    def _handle(self, message: AttemptMessage) -> None:
        effects = self._exchange.handle_attempt_message(message, self._now)
        for effect in effects:
            self._record(effect)

    def _record(self, effect: ExchangeEffect) -> None:
        if isinstance(effect, SendEvents):
            self.received += effect.events
        self.has_end = self.has_end or isinstance(effect, EndStream)


@when('{count:d} requests meet targets that break off at random positions')
def break_off(context: Any, count: int) -> None:
    """Serve each request and compare what its caller got with the stream."""

    def check(breaks: list[tuple[int, int, bool]]) -> None:
        targets = BreakingTargets(breaks)
        targets.run()
        assert targets.received == b''.join(_EVENTS), targets.received
        assert targets.has_end

    run_generated(count, _BREAKS, check)
    context.is_checked = True


@then("no caller got a byte that is not the stream's")
def check_callers(context: Any) -> None:
    """Check that the previous step compared the bytes."""
    assert context.is_checked


@then('the signature is that of the target that sent the events')
def check_sender(context: Any) -> None:
    """Compare the signature with the name of the one that sent events."""
    signature = context.answers[-1].fields['x-server-signature']
    senders = [
        server.name
        for server in list_servers(context, 'llm')
        if server.streamed_bytes
    ]
    assert [signature.rpartition('.')[2]] == senders, (signature, senders)
