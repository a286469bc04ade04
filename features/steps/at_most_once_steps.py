"""Steps that test keys and outcome queries on the decision classes."""

from datetime import timedelta
from typing import Any

from behave import given, then, when
from hypothesis import given as generated
from hypothesis import settings

from buckthornpond_core._generated.inventory import FormerInstance, Rules
from buckthornpond_core._generated.messages import (
    Accepted,
    Attempt,
    Cancel,
    Chunk,
    FenceReply,
    Final,
    KeyState,
    Query,
    Refused,
    Started,
)
from buckthornpond_core.configuration.documents import find_inventory_problems
from buckthornpond_core.routing.placement import join_key, rank_homes
from features.specs.attempts import make_attempt
from features.specs.counts import only, report
from features.specs.key_harnesses import (
    CLOCK_SKEW,
    MILLISECOND,
    PEER_TIMEOUT,
    RETENTION,
    RETRY_WINDOW,
    SECOND,
    START,
    WALL_START,
    AgentHarness,
    EntryHarness,
    make_agent_address,
    make_inventory,
)
from features.specs.key_histories import (
    MOVING_HISTORIES,
    SINGLE_HOME_HISTORIES,
    MovingHomesComparison,
    SingleHomeComparison,
    make_time_key,
)
from features.specs.key_simulation import KeySimulation
from features.specs.key_specification import ASK, ATTEMPT
from features.specs.naive_key_homes import ForgetfulKeyHome

_NAMES = ['plain-a', 'plain-b']


def find_key(home: str) -> str:
    """Return a key that has this home when both instances serve."""
    return next(
        key
        for key in (f'key-{number}' for number in range(1000))
        if rank_homes(join_key('lots', 'gate', key), _NAMES)[0] == home
    )


@given('two homes that are "{kind}"')
def make_homes(context: Any, kind: str) -> None:
    """Make two homes; the second one serves the key."""
    context.simulation = KeySimulation()
    if kind == 'forgetful':
        for driver in context.simulation.homes:
            driver.home = ForgetfulKeyHome()
    context.kind = kind


def use_key(simulation: KeySimulation, number: int, home: int) -> None:
    """Send an attempt, deliver all messages and run the key if allowed."""
    simulation.apply(('send', number, home))
    incarnation = simulation.incarnations[home]
    simulation.apply(('deliver', ATTEMPT, number, home, incarnation))
    for message in sorted(simulation.messages):
        if message[0] == ASK:
            simulation.apply(('deliver', *message))
    for message in sorted(simulation.messages):
        simulation.apply(('deliver', *message))
    if simulation.homes[home].admitted == f'attempt-{number}':
        simulation.apply(('start', home))


@when('the key is used, {events}, and the key is used again')
def use_twice(context: Any, events: str) -> None:
    """Use a key before and after an event."""
    if events == 'the home restarts':
        use_around_restart(context)
    elif events == 'the home moves':
        use_key(context.simulation, 1, 1)
        context.simulation.apply(('learn', 0))
        context.simulation.apply(('learn', 1))
        use_key(context.simulation, 2, 0)
    else:
        context.simulation.apply(('learn', 0))
        use_key(context.simulation, 1, 0)
        use_key(context.simulation, 2, 1)


def use_around_restart(context: Any) -> None:
    """Use a key before and after a restart of its home."""
    simulation = context.simulation
    use_key(simulation, 1, 1)
    simulation.apply(('restart', 1, 1))
    if context.kind == 'forgetful':
        simulation.homes[1].home = ForgetfulKeyHome()
    use_key(simulation, 2, 1)


@then('the lot was accepted {runs:d} times')
def check_runs(context: Any, runs: int) -> None:
    """Count the runs."""
    assert context.simulation.runs == runs, context.simulation.runs


@given('an agent that took over a key from an unreachable home')
def take_over_key(context: Any) -> None:
    """Move a key to an agent that is already running."""
    context.key = find_key('plain-b')
    context.agent = AgentHarness('plain-a', START)
    context.agent.apply_documents(make_inventory(1, _NAMES, _NAMES))
    context.agent.tick(RETENTION)
    context.agent.apply_documents(make_inventory(2, _NAMES[:1], _NAMES[:1]))


@when('the key is used and nothing answers in time')
def send_unanswered_key(context: Any) -> None:
    """Use the key and let the fence request time out."""
    context.agent.send_keyed_request(context.key)
    addresses = {effect.address for effect in context.agent.fence_requests}
    assert addresses == {make_agent_address('plain-b')}, addresses
    context.replies = context.agent.tick(SECOND)


@then('the refusal is "{reason}" with outcome "{outcome}"')
def check_refusal(context: Any, reason: str, outcome: str) -> None:
    """Check the refusal in the last replies."""
    refused = only(
        [each for each in context.replies if isinstance(each, Refused)]
    )
    assert refused.reason == reason, refused
    assert refused.outcome.value == outcome, refused


@when('operators list that home as stopped')
def retire_home(context: Any) -> None:
    """Apply rules that list the home as retired."""
    context.agent.apply_documents(
        context.agent.configuration.inventory,
        Rules(version=1, retired_instances=['plain-b']),
    )


@then('the key is refused as "{reason}" during the retry window')
def check_retired(context: Any, reason: str) -> None:
    """Check the first and the last millisecond of the window."""
    for span in (MILLISECOND, RETENTION - 2 * MILLISECOND):
        context.agent.tick(span)
        context.replies = context.agent.send_keyed_request(context.key)
        check_refusal(context, reason, 'outcome_unknown')
    assert not context.agent.fence_requests


@then('it runs after the retry window')
def check_runs_after_window(context: Any) -> None:
    """Check the first millisecond after the window."""
    context.agent.tick(MILLISECOND)
    context.agent.send_keyed_request(context.key)
    assert len(context.agent.started) == 1


@given('an agent that has just joined the home of a key')
def join_home(context: Any) -> None:
    """Let an agent join once it no longer refuses keys after its start."""
    context.key = find_key('plain-a')
    context.agent = AgentHarness('plain-a', START)
    context.agent.apply_documents(make_inventory(1, _NAMES, _NAMES[1:]))
    context.agent.tick(RETENTION)
    context.agent.apply_documents(make_inventory(2, _NAMES, _NAMES))


@when('the key is used and the earlier home leaves the inventory')
def remove_home_while_asked(context: Any) -> None:
    """Remove the earlier home from the inventory before its reply."""
    context.agent.send_keyed_request(context.key)
    request = only(context.agent.fence_requests)
    assert request.address == make_agent_address('plain-b')
    context.agent.apply_documents(make_inventory(3, _NAMES[:1], _NAMES[:1]))


@when('the earlier home replies that it has fenced the key')
def deliver_fence_reply(context: Any) -> None:
    """Deliver the fence reply."""
    assert not context.agent.started
    reply = FenceReply(
        service='lots',
        organisation='gate',
        idempotency_key=context.key,
        state=KeyState.fenced,
        agent_incarnation='other',
        configuration=context.agent.configuration.version,
    )
    context.agent.receive(reply, make_agent_address('plain-b'))


@then('the key runs')
def check_started(context: Any) -> None:
    """Check that the target was called."""
    assert len(context.agent.started) == 1


@then('an inventory whose former instance still serves is rejected')
def check_former_instance(context: Any) -> None:
    """Check one problem for the serving address, and none for another."""
    inventory = make_inventory(1, _NAMES, _NAMES)
    for address, count in (
        (make_agent_address('plain-a'), 1),
        ('127.0.0.9:1', 0),
    ):
        inventory.former_instances = [
            FormerInstance(
                name='plain-a',
                agent_address=address,
                services=['lots'],
            ),
        ]
        problems = find_inventory_problems(inventory)
        assert len(problems) == count, problems


@given('an agent of a service in which the rules drain the home of a key')
def drain_home(context: Any) -> None:
    """Drain the home before the agent starts, so that it sees no change."""
    context.key = find_key('plain-b')
    context.agent = AgentHarness('plain-a', START)
    context.agent.apply_documents(
        make_inventory(1, _NAMES, _NAMES),
        Rules(version=1, draining_instances=['plain-b']),
    )
    context.agent.tick(RETENTION)


@when('the key is used at the agent')
def use_at_agent(context: Any) -> None:
    """Use the key."""
    context.agent.send_keyed_request(context.key)


@then('the agent requests a fence from the drained home first')
def check_asked(context: Any) -> None:
    """Check that nothing runs before the fence reply."""
    addresses = [effect.address for effect in context.agent.fence_requests]
    assert addresses == [make_agent_address('plain-b')], addresses
    assert not context.agent.started


@given('a home that has just restarted')
def restart_home(context: Any) -> None:
    """Start the only agent of the service."""
    context.agent = AgentHarness('plain-a', START)
    context.agent.apply_documents(make_inventory(1, _NAMES[:1], _NAMES[:1]))


def get_refusal_reason(agent: AgentHarness, key: str) -> str:
    """Use a key; return the refusal reason, or nothing if the key runs."""
    return next(
        (
            each.reason
            for each in agent.send_keyed_request(key)
            if isinstance(each, Refused)
        ),
        '',
    )


@then('it refuses UUIDv7 keys created up to {span_ms:d} ms after its start')
def check_keys_before_start(context: Any, span_ms: int) -> None:
    """Check keys that may have been used before the start."""
    for offset in (-SECOND, START, span_ms * MILLISECOND):
        key = make_time_key(WALL_START + offset, 1)
        assert get_refusal_reason(context.agent, key) == 'key_unknown', offset


@then('it runs a UUIDv7 key created {span_ms:d} ms after its start at once')
def check_new_key(context: Any, span_ms: int) -> None:
    """Check the first key that cannot have been used before the start."""
    agent = AgentHarness('plain-a', START)
    agent.apply_documents(make_inventory(1, _NAMES[:1], _NAMES[:1]))
    agent.tick(span_ms * MILLISECOND)
    assert not get_refusal_reason(
        agent, make_time_key(WALL_START + span_ms * MILLISECOND, 1)
    )
    report(f'UUIDv7 keys: refused for {span_ms} ms after a restart')


@given('a home that ran for a retry window')
def make_settled_home(context: Any) -> None:
    """Start a home whose earlier runs of opaque keys are all forgotten."""
    restart_home(context)
    context.agent.tick(RETENTION)
    context.wall_now = WALL_START + RETENTION


@then('a UUIDv7 key created {ahead_ms:d} ms ahead is refused as "{reason}"')
def check_key_ahead(context: Any, ahead_ms: int, reason: str) -> None:
    """Use a key whose creation time lies beyond the clock skew."""
    context.key = make_time_key(context.wall_now + ahead_ms * MILLISECOND, 1)
    actual = get_refusal_reason(context.agent, context.key)
    assert actual == reason, actual


@then(
    'the same key runs once after {span_ms:d} ms, also if the home restarts'
    ' before or after'
)
def check_key_once(context: Any, span_ms: int) -> None:
    """Use the key at its time, and again at two restarted homes."""
    context.agent.tick(span_ms * MILLISECOND)
    assert not get_refusal_reason(context.agent, context.key)
    for restarted_ms, ran_before in ((span_ms - 1, False), (span_ms, True)):
        restarted = timedelta(milliseconds=restarted_ms) + RETENTION
        agent = AgentHarness('plain-a', START + restarted)
        agent.apply_documents(make_inventory(1, _NAMES[:1], _NAMES[:1]))
        agent.tick(MILLISECOND)
        reason = get_refusal_reason(agent, context.key)
        assert (reason == 'key_unknown') == ran_before, (restarted_ms, reason)


@then('it refuses an opaque key for {span_ms:d} ms')
def check_opaque_key(context: Any, span_ms: int) -> None:
    """Check the last refusal after the start and the first run."""
    agent = AgentHarness('plain-a', START)
    agent.apply_documents(make_inventory(1, _NAMES[:1], _NAMES[:1]))
    agent.tick((span_ms - 1) * MILLISECOND)
    assert get_refusal_reason(agent, 'opaque') == 'key_unknown'
    agent.tick(MILLISECOND)
    assert not get_refusal_reason(agent, 'opaque')
    report(f'opaque keys: refused for {span_ms} ms after a restart')


@then('it refuses a UUIDv7 key older than the retry window as "{reason}"')
def check_old_key(context: Any, reason: str) -> None:
    """Check a key whose retry window has ended."""
    key = make_time_key(WALL_START, 1)
    context.agent.tick(RETRY_WINDOW + CLOCK_SKEW + MILLISECOND)
    assert get_refusal_reason(context.agent, key) == reason


@given('an agent that ran a key with a response of {size:d} bytes')
def run_key(context: Any, size: int) -> None:
    """Run a key to its end."""
    start_keyed_call(context)
    context.body = b'x' * size
    context.agent.complete_call('attempt-1', context.body)


@given('an agent that runs a key')
def start_keyed_call(context: Any) -> None:
    """Start a call with a key."""
    context.key = 'key'
    context.agent = AgentHarness('plain-a', START)
    context.agent.apply_documents(make_inventory(1, _NAMES[:1], _NAMES[:1]))
    context.agent.tick(RETENTION)
    context.agent.send_keyed_request(context.key)
    assert len(context.agent.started) == 1


@when('the entry cancels the attempt and the call completes')
def cancel_and_end(context: Any) -> None:
    """Cancel the attempt, then complete the call."""
    context.agent.receive(Cancel(attempt_id='attempt-1', reason='caller_gone'))
    context.body = b'accepted'
    assert not context.agent.complete_call('attempt-1', context.body)


@when('the key is used again')
def use_again(context: Any) -> None:
    """Send the same request once more."""
    context.replies = context.agent.send_keyed_request(context.key)


@then('the caller gets the recorded response')
def check_replay(context: Any) -> None:
    """Check the whole response, and that the target got no second call."""
    _accepted, started, chunk, final = context.replies
    kinds = [type(each) for each in context.replies[1:]]
    assert kinds == [Started, Chunk, Final], kinds
    assert (started.status_code, started.content_type) == (201, 'text/plain')
    assert chunk.payload == context.body
    assert final.chunk_count == 1
    assert len(context.agent.started) == 1


@then('another request with the same key is refused as "{reason}"')
def check_reused(context: Any, reason: str) -> None:
    """Send another body with the key."""
    context.replies = context.agent.send_keyed_request(
        context.key, b'another lot'
    )
    check_refusal(context, reason, 'outcome_unknown')


@then('no response bytes are held')
def check_no_bytes(context: Any) -> None:
    """Check the size of the stored responses."""
    assert context.agent.home.replay_bytes == 0


@given('an agent that ran {count:d} keys with responses of {size:d} bytes')
def run_many_keys(context: Any, count: int, size: int) -> None:
    """Complete more responses than the budget holds."""
    context.agent = AgentHarness('plain-a', START)
    context.agent.apply_documents(make_inventory(1, _NAMES[:1], _NAMES[:1]))
    context.agent.tick(RETENTION)
    for number in range(1, count + 1):
        context.agent.send_keyed_request(f'key-{number}')
        context.agent.complete_call(f'attempt-{number}', b'x' * size)


@then('at most {limit:d} bytes of responses are held')
def check_budget(context: Any, limit: int) -> None:
    """Compare the size of the stored responses with the budget."""
    held_bytes = context.agent.home.replay_bytes
    assert 0 < held_bytes <= limit, held_bytes


@then('after the retry window nothing is held')
def check_expired(context: Any) -> None:
    """Let the records expire."""
    context.agent.tick(RETENTION)
    assert context.agent.home.replay_bytes == 0
    assert context.agent.home.key_count == 0


@given('an entry whose attempt without a key was lost')
def lose_attempt(context: Any) -> None:
    """Send an attempt that does not arrive."""
    make_entry_and_agent(context)
    context.entry.submit(60_000)
    context.attempt = only(context.entry.find_messages(Attempt, 'plain-a'))


@given('an entry whose attempt without a key ran while the link was down')
def run_without_reply(context: Any) -> None:
    """Run an attempt whose response is lost."""
    lose_attempt(context)
    context.agent.receive(context.attempt)
    context.agent.complete_call(context.attempt.attempt_id, b'accepted')


@given("an entry whose attempt without a key waits in the agent's queue")
def queue_attempt(context: Any) -> None:
    """Queue an attempt behind one that occupies the only slot."""
    make_entry_and_agent(context, concurrency_count=1)
    context.agent.receive(
        make_attempt('other', agent_incarnation='first', body=b'other')
    )
    context.entry.submit(60_000)
    context.attempt = only(context.entry.find_messages(Attempt, 'plain-a'))
    for reply in context.agent.receive(context.attempt):
        context.entry.deliver('plain-a', reply)


def make_entry_and_agent(context: Any, concurrency_count: int = 8) -> None:
    """Make an entry and the only agent of a service."""
    inventory = make_inventory(1, _NAMES[:1], _NAMES[:1], concurrency_count)
    context.agent = AgentHarness('plain-a', START)
    context.agent.apply_documents(inventory)
    context.entry = EntryHarness(inventory)
    context.entry.exchange_heartbeat(context.agent)


@when('the agent is unresponsive and reconnects')
def reconnect_agent(context: Any) -> None:
    """Let the peer timeout pass, then exchange a heartbeat."""
    context.entry.tick(PEER_TIMEOUT + MILLISECOND)
    assert not context.entry.answers, context.entry.answers
    context.entry.exchange_heartbeat(context.agent)


@when('the agent restarts and the entry has not learned of the restart')
def restart_before_contact(context: Any) -> None:
    """Replace the agent and deliver the entry's query to the new one.

    Other messages from the address keep the link alive, so that the entry
    does not notice the restart.
    """
    context.agent = AgentHarness('plain-a', START, 'second')
    context.agent.apply_documents(make_inventory(1, _NAMES[:1], _NAMES[:1]))
    for _heartbeat in range(60):
        context.entry.deliver('plain-a', Accepted(attempt_id='other'))
        context.entry.tick(SECOND - 4 * MILLISECOND)
        if context.entry.find_messages(Query, 'plain-a'):
            break
    check_query(context)


@when('its time limit has almost passed')
def wait_until_deadline(context: Any) -> None:
    """Let time pass while the agent sends heartbeats."""
    for _heartbeat in range(60):
        context.entry.exchange_heartbeat(context.agent)
        context.entry.tick(SECOND - 3 * MILLISECOND)


@then('the entry queries the outcome of the attempt')
def check_query(context: Any) -> None:
    """Deliver the query and its reply."""
    query = only(context.entry.find_messages(Query, 'plain-a'))
    assert query.attempt_id == context.attempt.attempt_id
    for reply in context.agent.receive(query):
        context.entry.deliver('plain-a', reply)


@then('the agent fences it and the entry places the request again')
def check_placed_again(context: Any) -> None:
    """Check the second attempt."""
    for _wait in range(10):
        context.entry.tick(SECOND / 2)
        context.entry.exchange_heartbeat(context.agent)
    _first, second = context.entry.find_messages(Attempt, 'plain-a')
    assert second.attempt_id != context.attempt.attempt_id
    assert not context.entry.answers


@then('the lost attempt is refused when it arrives late')
def check_late_attempt(context: Any) -> None:
    """Deliver the first attempt late."""
    refused = only(context.agent.receive(context.attempt))
    assert refused.reason == 'attempt_fenced'
    assert not context.agent.started


@then('the caller is refused with "{reason}" and outcome "{outcome}"')
def check_caller_refusal(context: Any, reason: str, outcome: str) -> None:
    """Check the refusal that the caller receives."""
    refused = only(context.entry.answers)
    assert refused.reason == reason, refused
    assert refused.outcome.value == outcome, refused


@given('an entry that does not know the service of a key')
def submit_unknown(context: Any) -> None:
    """Submit a request for an unknown service."""
    make_entry_and_agent(context)
    context.entry.submit(60_000, key='key', service='unknown')


@then('{count:d} generated histories of one home agree with the log')
def check_single_home(context: Any, count: int) -> None:
    """Run generated histories."""

    @settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @generated(SINGLE_HOME_HISTORIES)
    def check(history: list[Any]) -> None:
        SingleHomeComparison().run(history)

    check()


@then('{count:d} generated histories of moving homes agree with the table')
def check_moving_homes(context: Any, count: int) -> None:
    """Run generated histories."""

    @settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @generated(MOVING_HISTORIES)
    def check(history: list[Any]) -> None:
        MovingHomesComparison().run(history)

    check()
