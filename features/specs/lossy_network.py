"""Decision classes of entries and agents, linked by a lossy network.

Time is simulated: the test advances it, and no code here reads a clock.
"""

import hashlib
import json
import random
from collections import deque
from datetime import UTC, datetime, timedelta

from msgspec import msgpack

from buckthornpond_core._generated.events import (
    CallChunk,
    CallEnded,
    CallStarted,
    Submission,
)
from buckthornpond_core._generated.messages import (
    Chunk,
    Final,
    Outcome,
    Refused,
    Started,
)
from buckthornpond_core.admission.admission import (
    AdmissionController,
    AgentLimits,
)
from buckthornpond_core.admission.forecasts import PrefillForecast
from buckthornpond_core.admission.limits import SlowStartLimit
from buckthornpond_core.admission.priorities import LengthPriority
from buckthornpond_core.admission.queueing import ShortestFirstOrder
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.credits import charge_bytes
from buckthornpond_core.effects import (
    AgentEffect,
    CancelCall,
    GrantCallCredit,
    RouterEffect,
    SendToCaller,
    SendToPeer,
    StartCall,
    WireMessage,
)
from buckthornpond_core.keys.fencing_home import FencingKeyHome, KeyLimits
from buckthornpond_core.keys.key_clock import KeyClock
from buckthornpond_core.keys.keyed_attempts import KeyedAttempts
from buckthornpond_core.routing.placement import FittingPlacement
from buckthornpond_core.routing.retries import RetryBudget
from buckthornpond_core.routing.router import Router, RouterLimits
from buckthornpond_runtime.documents import parse_inventory
from buckthornpond_standins.records import CountingRecorder

PEER_TIMEOUT = timedelta(seconds=2)
RETRY_WINDOW_MS = 10_000
WINDOW_BYTES = 1024
_Packet = tuple[int, int, bytes, type]
_WALL_CLOCK_START = datetime.fromtimestamp(0, UTC)
_TICK = timedelta(milliseconds=100)
_SETTLE_TICKS = 200
_CHUNK_PAYLOAD = b'x' * 100


class Caller:
    """Request of one caller, with the messages that the caller received."""

    __slots__ = (
        'chunks',
        'endings',
        'entry',
        'is_disconnected',
        'submission',
        'unread',
    )

    def __init__(self, entry: int, submission: Submission) -> None:
        self.entry = entry
        self.submission = submission
        self.chunks: list[int] = []
        self.endings: list[Final | Refused] = []
        self.unread: deque[Chunk] = deque()
        self.is_disconnected = False

    @property
    def body(self) -> str:
        """Request body, which identifies the request at a target."""
        return f'{self.entry}/{self.submission.request_number}'


class _Call:
    """Call that a target serves."""

    __slots__ = ('attempt_id', 'body', 'credit_bytes', 'is_started')

    def __init__(self, attempt_id: str, body: str, credit_bytes: int) -> None:
        self.attempt_id = attempt_id
        self.body = body
        self.credit_bytes = credit_bytes
        self.is_started = False


def build_configuration(agent_count: int) -> Configuration:
    """Return a configuration of a model and a plain service.

    Every instance serves both.

    :param agent_count: number of instances.
    """
    names = [f'agent-{number}' for number in range(agent_count)]
    document = {
        'version': 1,
        'availability_zones': ['zone-0'],
        'instances': [
            {
                'name': name,
                'availability_zone': 'zone-0',
                'agent_address': '127.0.0.1:1',
                'target': {
                    'address': '127.0.0.1:2',
                    'memory_tokens': 1000,
                    'cold_tokens': 1000,
                    'concurrency_count': 2,
                },
            }
            for name in names
        ],
        'services': [
            {'name': 'model', 'kind': 'engine', 'instances': names},
            {
                'name': 'lots',
                'kind': 'plain',
                'instances': names,
                'retry_window_ms': RETRY_WINDOW_MS,
            },
        ],
        'organisations': [
            {
                'name': 'gate',
                'credential_sha256': hashlib.sha256(b'x').hexdigest(),
            },
        ],
    }
    content = json.dumps(document).encode()
    configuration = Configuration()
    configuration.accept_inventory(parse_inventory(content, 'test'), content)
    return configuration


def build_router(
    incarnation: str,
    configuration: Configuration,
) -> Router:
    """Return the router of one entry.

    :param incarnation: incarnation of the entry.
    :param configuration: the configuration in force.
    """
    router = Router(
        incarnation=incarnation,
        configuration=configuration,
        limits=RouterLimits(
            max_held_requests=100,
            max_attempts=4,
            stream_window_bytes=WINDOW_BYTES,
            peer_timeout=PEER_TIMEOUT,
        ),
        placement=FittingPlacement(),
        budget=RetryBudget(20, 100),
        random=random.Random(1),
        recorder=CountingRecorder(),
    )
    router.apply_configuration()
    return router


def build_admission(
    instance: str,
    incarnation: str,
    configuration: Configuration,
    now: timedelta,
) -> AdmissionController:
    """Return the admission of one agent.

    :param instance: instance of the agent.
    :param incarnation: incarnation of the agent.
    :param configuration: the configuration in force.
    :param now: start time of the agent.
    """
    admission = AdmissionController(
        instance=instance,
        incarnation=incarnation,
        configuration=configuration,
        limits=AgentLimits(
            max_queued_count=4,
            body_budget_bytes=1000,
            peer_timeout=PEER_TIMEOUT,
        ),
        limit=SlowStartLimit(cold_tokens=1, memory_tokens=1),
        order=ShortestFirstOrder(LengthPriority()),
        keyed=KeyedAttempts(
            incarnation=incarnation,
            configuration=configuration,
            home=FencingKeyHome(
                instance=instance,
                configuration=configuration,
                key_clock=KeyClock(now, _WALL_CLOCK_START + now),
                limits=KeyLimits(
                    fence_timeout=timedelta(seconds=1),
                    max_replay_bytes=1000,
                    replay_budget_bytes=1000,
                ),
            ),
            max_replay_bytes=1000,
            recorder=CountingRecorder(),
        ),
        recorder=CountingRecorder(),
        forecast=PrefillForecast(),
    )
    admission.apply_configuration(now)
    return admission


class Agent:
    """Agent with its target."""

    __slots__ = ('admission', 'calls', 'executions', 'instance')

    def __init__(self, instance: str, admission: AdmissionController) -> None:
        self.instance = instance
        self.admission = admission
        self.calls: dict[str, _Call] = {}
        self.executions: list[str] = []


class LossyNetwork:
    """Entries and agents whose channels keep order and may lose messages.

    :param entry_count: number of entries.
    :param agent_count: number of agents.
    """

    def __init__(self, entry_count: int = 2, agent_count: int = 2) -> None:
        # The first agents started two retry windows ago, so that no key can
        # have been used before their start.
        self.now = timedelta(milliseconds=2 * RETRY_WINDOW_MS)
        self.configuration = build_configuration(agent_count)
        self.routers: list[Router | None] = []
        self.incarnations: list[str] = []
        for number in range(entry_count):
            incarnation = f'entry-{number}.0'
            self.incarnations.append(incarnation)
            self.routers.append(build_router(incarnation, self.configuration))
        self.agents = [
            self._build_agent(instance, 0, timedelta())
            for instance in self.configuration.instances
        ]
        self.callers: list[Caller] = []
        self.is_frozen = [False for _agent in self.agents]
        self._restart_count = 0
        self._requests: deque[_Packet] = deque()
        self._replies: deque[_Packet] = deque()
        self._exchange_heartbeats()

    def submit(
        self,
        entry: int,
        *,
        is_keyed: bool,
        is_idempotent: bool,
        tokens: int,
        time_limit_ms: int,
    ) -> None:
        """Submit one caller's request, unless the entry was killed.

        :param entry: index of the entry.
        :param is_keyed: whether the request has an idempotency key.
        :param is_idempotent: whether the request may run more than once.
        :param tokens: prompt tokens of the request.
        :param time_limit_ms: time limit of the request.
        """
        router = self.routers[entry]
        if router is None:
            return
        number = len(self.callers) + 1
        deadline = self.now + timedelta(milliseconds=time_limit_ms)
        submission = Submission(
            request_number=number,
            organisation='gate',
            service='model' if is_idempotent else 'lots',
            method='POST',
            path='/',
            content_type='',
            idempotency_key=f'key-{number}' if is_keyed else '',
            is_idempotent=is_idempotent,
            is_stream=True,
            prompt_tokens=tokens,
            output_tokens=0,
            time_limit_ms=time_limit_ms,
            deadline_wall_ms=deadline // timedelta(milliseconds=1),
            body=f'{entry}/{number}'.encode(),
        )
        self.callers.append(Caller(entry, submission))
        self._apply_router_effects(entry, router.submit(submission, self.now))

    def deliver(self, count: int) -> None:
        """Deliver messages of both directions in order.

        :param count: maximum number of messages in each direction.
        """
        for packet in self._take_deliverable_requests(count):
            self._deliver_request(*packet)
        for _number in range(min(count, len(self._replies))):
            self._deliver_reply(*self._replies.popleft())

    def cut(self, entry: int, agent: int) -> None:
        """Lose the messages in flight between an entry and an agent."""
        for channel in (self._requests, self._replies):
            kept = [each for each in channel if each[:2] != (entry, agent)]
            channel.clear()
            channel.extend(kept)

    def advance(self, ticks: int) -> None:
        """Advance the time; frozen agents do nothing meanwhile.

        :param ticks: number of 100 ms ticks.
        """
        for _number in range(ticks):
            self.now += _TICK
            for entry, router in enumerate(self.routers):
                if router is not None:
                    self._apply_router_effects(entry, router.tick(self.now))
            for number, agent in enumerate(self.agents):
                if not self.is_frozen[number]:
                    effects = agent.admission.tick(self.now)
                    self._apply_agent_effects(number, effects)

    def heartbeat(self) -> None:
        """Send the heartbeats of every entry."""
        for entry, router in enumerate(self.routers):
            if router is not None:
                self._apply_router_effects(entry, router.beat(self.now))

    def serve(self, agent: int, step: int) -> None:
        """Let a target continue its first call.

        :param agent: index of the agent.
        :param step: 0 to respond, 1 to end, 2 to fail after the request was
            sent, 3 to fail before.
        """
        serving_agent = self.agents[agent]
        call = next(iter(serving_agent.calls.values()), None)
        if call is None or self.is_frozen[agent]:
            return
        if step == 0:
            self._respond(agent, call)
            return
        error = '' if step == 1 and call.is_started else 'target_failed'
        self._end_call(agent, call, error, is_sent=step != 3 or call.is_started)

    def read(self, caller_number: int) -> None:
        """Let a caller consume one chunk.

        :param caller_number: index of the caller, modulo their number.
        """
        if not self.callers:
            return
        caller = self.callers[caller_number % len(self.callers)]
        router = self.routers[caller.entry]
        if caller.unread and router is not None and not caller.is_disconnected:
            charge = charge_bytes(caller.unread.popleft().payload)
            number = caller.submission.request_number
            self._apply_router_effects(
                caller.entry, router.consume(number, charge)
            )

    def hang_up(self, caller_number: int) -> None:
        """Let a caller disconnect.

        :param caller_number: index of the caller, modulo their number.
        """
        if not self.callers:
            return
        caller = self.callers[caller_number % len(self.callers)]
        router = self.routers[caller.entry]
        caller.is_disconnected = True
        if router is not None:
            number = caller.submission.request_number
            self._apply_router_effects(caller.entry, router.hang_up(number))

    def restart_agent(self, agent: int) -> None:
        """Restart an agent; the messages in flight to and from it are lost.

        :param agent: index of the agent.
        """
        for entry, _router in enumerate(self.routers):
            self.cut(entry, agent)
        self._restart_count += 1
        replaced_agent = self.agents[agent]
        new_agent = self._build_agent(
            replaced_agent.instance,
            self._restart_count,
            self.now,
        )
        new_agent.executions = replaced_agent.executions
        self.agents[agent] = new_agent
        self.is_frozen[agent] = False

    def begin_stop(self, agent: int) -> None:
        """Let an agent refuse new attempts, as before a planned stop.

        :param agent: index of the agent.
        """
        self._apply_agent_effects(
            agent, self.agents[agent].admission.begin_stop()
        )

    def kill_entry(self, entry: int) -> None:
        """Kill an entry, which disconnects its callers; the last one stays.

        :param entry: index of the entry.
        """
        if sum(router is not None for router in self.routers) < 2:
            return
        self.routers[entry] = None
        for agent, _served in enumerate(self.agents):
            self.cut(entry, agent)
        for caller in self.callers:
            caller.is_disconnected |= caller.entry == entry

    def settle(self) -> None:
        """End all faults and let every deadline and window pass."""
        self.is_frozen = [False for _agent in self.agents]
        for _number in range(_SETTLE_TICKS):
            self.heartbeat()
            self.deliver(10_000)
            for agent, _served in enumerate(self.agents):
                self.serve(agent, 0)
                self.serve(agent, 1)
            for position, _caller in enumerate(self.callers):
                self.read(position)
            self.advance(1)
        self.deliver(10_000)

    def _deliver_request(
        self,
        entry: int,
        agent: int,
        encoded: bytes,
        kind: type,
    ) -> None:
        message = msgpack.decode(encoded, type=kind)
        effects = self.agents[agent].admission.receive(
            self.incarnations[entry],
            message,
            self.now,
        )
        self._apply_agent_effects(agent, effects)

    def _deliver_reply(
        self,
        entry: int,
        agent: int,
        encoded: bytes,
        kind: type,
    ) -> None:
        router = self.routers[entry]
        if router is None:
            return
        message = msgpack.decode(encoded, type=kind)
        instance = self.agents[agent].instance
        effects = router.receive(instance, message, self.now)
        self._apply_router_effects(entry, effects)

    def _take_deliverable_requests(self, count: int) -> list[_Packet]:
        """Take messages to running agents; keep those to frozen ones."""
        taken: list[_Packet] = []
        kept: deque[_Packet] = deque()
        for packet in self._requests:
            is_deliverable = (
                len(taken) < count and not self.is_frozen[packet[1]]
            )
            (taken if is_deliverable else kept).append(packet)
        self._requests = kept
        return taken

    def _build_agent(
        self,
        instance: str,
        number: int,
        started: timedelta,
    ) -> Agent:
        admission = build_admission(
            instance,
            f'{instance}.{number}',
            self.configuration,
            started,
        )
        return Agent(instance, admission)

    def _exchange_heartbeats(self) -> None:
        self.heartbeat()
        self.deliver(100)

    def _respond(self, agent: int, call: _Call) -> None:
        report: CallStarted | CallChunk = CallStarted(
            attempt_id=call.attempt_id,
            status_code=200,
            content_type='text/event-stream',
        )
        if call.is_started:
            if call.credit_bytes <= 0:
                return
            call.credit_bytes -= charge_bytes(_CHUNK_PAYLOAD)
            report = CallChunk(
                attempt_id=call.attempt_id, payload=_CHUNK_PAYLOAD
            )
        call.is_started = True
        effects = self.agents[agent].admission.handle_call_message(
            report, self.now
        )
        self._apply_agent_effects(agent, effects)

    def _end_call(
        self,
        agent: int,
        call: _Call,
        error: str,
        *,
        is_sent: bool,
    ) -> None:
        serving_agent = self.agents[agent]
        serving_agent.calls.pop(call.attempt_id)
        if not is_sent:
            serving_agent.executions.remove(call.body)
        ended = CallEnded(
            attempt_id=call.attempt_id,
            error=error,
            is_sent=is_sent,
        )
        self._apply_agent_effects(
            agent, serving_agent.admission.handle_call_message(ended, self.now)
        )

    def _apply_agent_effects(
        self, agent: int, effects: list[AgentEffect]
    ) -> None:
        serving_agent = self.agents[agent]
        for effect in effects:
            if isinstance(effect, SendToPeer):
                entry = self.incarnations.index(effect.peer)
                self._replies.append((entry, agent, *_encode(effect.message)))
            elif isinstance(effect, StartCall):
                attempt = effect.attempt
                body = attempt.body.decode()
                serving_agent.executions.append(body)
                serving_agent.calls[attempt.attempt_id] = _Call(
                    attempt.attempt_id,
                    body,
                    attempt.credit_bytes,
                )
            elif isinstance(effect, GrantCallCredit):
                serving_agent.calls[
                    effect.attempt_id
                ].credit_bytes += effect.credit_bytes
            elif isinstance(effect, CancelCall):
                call = serving_agent.calls[effect.attempt_id]
                self._end_call(agent, call, 'cancelled', is_sent=True)

    def _apply_router_effects(
        self, entry: int, effects: list[RouterEffect]
    ) -> None:
        for effect in effects:
            if isinstance(effect, SendToCaller):
                self._deliver_to_caller(effect)
                continue
            agent = int(effect.peer.rsplit('-', 1)[1])
            self._requests.append((entry, agent, *_encode(effect.message)))

    def _deliver_to_caller(self, effect: SendToCaller) -> None:
        caller = self.callers[effect.request_number - 1]
        message = effect.message
        if isinstance(message, Chunk):
            caller.chunks.append(message.sequence_number)
            caller.unread.append(message)
        elif not isinstance(message, Started):
            caller.endings.append(message)


def _encode(message: WireMessage) -> tuple[bytes, type]:
    return msgpack.encode(message), type(message)


def find_leaks(network: LossyNetwork) -> list[str]:
    """Return what entries and agents still hold.

    :param network: a settled network.
    """
    leaks = [
        f'entry {entry} holds {router.held_count} requests'
        for entry, router in enumerate(network.routers)
        if router is not None and router.held_count
    ]
    for agent in network.agents:
        held = (
            agent.admission.held_count,
            agent.admission.reserved_tokens,
            agent.admission.held_body_bytes,
            len(agent.calls),
        )
        if any(held):
            leaks.append(f'{agent.instance} holds {held}')
    return leaks


def find_faults(network: LossyNetwork) -> list[str]:
    """Return every duplicate execution and every wrong ending.

    :param network: a settled network.
    """
    faults: list[str] = []
    executions = [body for agent in network.agents for body in agent.executions]
    for caller in network.callers:
        run_count = executions.count(caller.body)
        if caller.submission.is_idempotent is False and run_count > 1:
            faults.append(f'{caller.body} ran {run_count} times')
        if caller.is_disconnected:
            continue
        if len(caller.endings) != 1:
            faults.append(f'{caller.body} got {len(caller.endings)} endings')
            continue
        faults.extend(_check_ending(caller, run_count))
    return faults


def _check_ending(caller: Caller, run_count: int) -> list[str]:
    ending = caller.endings[0]
    if caller.chunks != list(range(len(caller.chunks))):
        return [f'{caller.body} got chunks {caller.chunks}']
    if isinstance(ending, Final):
        if ending.chunk_count == len(caller.chunks):
            return []
        return [f'{caller.body} is incomplete but was reported as complete']
    if ending.outcome is Outcome.not_run and run_count:
        return [f'{caller.body} ran but was reported as not run']
    return []
