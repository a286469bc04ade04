"""Test harnesses that drive one agent and one entry on a manual clock."""

import random
from datetime import UTC, datetime, timedelta
from typing import Any

from buckthornpond_core._generated.events import (
    CallChunk,
    CallEnded,
    CallStarted,
    Submission,
)
from buckthornpond_core._generated.inventory import (
    Instance,
    Inventory,
    Rules,
    Service,
    Target,
    TargetKind,
)
from buckthornpond_core._generated.messages import Attempt, Heartbeat
from buckthornpond_core.admission.admission import (
    AdmissionController,
    AgentLimits,
)
from buckthornpond_core.admission.limits import FixedLimit
from buckthornpond_core.admission.queueing import FifoOrder
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.effects import (
    SendToCaller,
    SendToHome,
    SendToPeer,
    StartCall,
)
from buckthornpond_core.keys.fencing_home import FencingKeyHome, KeyLimits
from buckthornpond_core.keys.key_clock import KeyClock
from buckthornpond_core.keys.keyed_attempts import KeyedAttempts
from buckthornpond_core.routing.placement import LeastLoadedPlacement
from buckthornpond_core.routing.retries import RetryBudget
from buckthornpond_core.routing.router import Router, RouterLimits
from buckthornpond_standins.records import CountingRecorder
from features.specs.attempts import make_attempt

WALL_START = datetime(2026, 1, 1, tzinfo=UTC)
RETRY_WINDOW = timedelta(hours=1)
CLOCK_SKEW = timedelta(seconds=2)
RETENTION = RETRY_WINDOW + 2 * CLOCK_SKEW
START = timedelta()
SECOND = timedelta(seconds=1)
MILLISECOND = timedelta(milliseconds=1)
PEER_TIMEOUT = timedelta(seconds=2)


def make_agent_address(name: str) -> str:
    """Return an agent address that is derived from the instance's name."""
    number = sum(name.encode())
    return f'127.0.0.1:{1000 + number}'


def make_inventory(
    version: int,
    names: list[str],
    serving: list[str],
    concurrency_count: int = 8,
) -> Inventory:
    """Return an inventory with one plain service."""
    return Inventory(
        version=version,
        availability_zones=['zone-0'],
        instances=[
            Instance(
                name=name,
                availability_zone='zone-0',
                agent_address=make_agent_address(name),
                target=Target(
                    address='127.0.0.1:1',
                    concurrency_count=concurrency_count,
                ),
            )
            for name in names
        ],
        services=[
            Service(
                name='lots',
                kind=TargetKind.plain,
                instances=serving,
                retry_window_ms=RETRY_WINDOW // MILLISECOND,
                clock_skew_ms=CLOCK_SKEW // MILLISECOND,
                settle_ms=10**12,
            ),
        ],
        organisations=[],
    )


class AgentHarness:
    """Decision classes of an agent, with a record of their effects."""

    def __init__(
        self,
        name: str,
        now: timedelta,
        incarnation: str = 'first',
    ) -> None:
        self.name = name
        self.now = now
        self.incarnation = incarnation
        self.sent: list[Any] = []
        self.started: list[Attempt] = []
        self.fence_requests: list[SendToHome] = []
        self.configuration = Configuration()
        self.home = FencingKeyHome(
            instance=name,
            configuration=self.configuration,
            key_clock=KeyClock(now, WALL_START + now),
            limits=KeyLimits(
                fence_timeout=SECOND,
                max_replay_bytes=16_384,
                replay_budget_bytes=4_194_304,
            ),
        )
        self.admission = AdmissionController(
            instance=name,
            incarnation=incarnation,
            configuration=self.configuration,
            limits=AgentLimits(
                max_queued_count=2000,
                peer_timeout=timedelta(days=1),
            ),
            limit=FixedLimit(10**9),
            order=FifoOrder(),
            keyed=KeyedAttempts(
                incarnation=incarnation,
                configuration=self.configuration,
                home=self.home,
                max_replay_bytes=16_384,
                recorder=CountingRecorder(),
            ),
            recorder=CountingRecorder(),
        )
        self.attempt_count = 0

    def apply_documents(
        self, inventory: Inventory, rules: Rules | None = None
    ) -> None:
        """Apply documents."""
        self.configuration.accept_inventory(inventory, b'')
        if rules is not None:
            self.configuration.accept_rules(rules, b'')
        self.admission.apply_configuration(self.now)

    def receive(self, message: Any, peer: str = 'entry') -> list[Any]:
        """Deliver a message and return the replies."""
        return self._apply(self.admission.receive(peer, message, self.now))

    def tick(self, span: timedelta) -> list[Any]:
        """Advance the clock and return the replies."""
        self.now += span
        return self._apply(self.admission.tick(self.now))

    def send_keyed_request(self, key: str, body: bytes = b'lot') -> list[Any]:
        """Send a new attempt with a key and return the replies."""
        self.attempt_count += 1
        return self.receive(
            make_attempt(
                f'attempt-{self.attempt_count}',
                agent_incarnation=self.incarnation,
                idempotency_key=key,
                body=body,
            ),
        )

    def complete_call(self, attempt_id: str, body: bytes) -> list[Any]:
        """Complete a call with a response and return the replies."""
        replies: list[Any] = []
        for message in (
            CallStarted(
                attempt_id=attempt_id,
                status_code=201,
                content_type='text/plain',
            ),
            CallChunk(attempt_id=attempt_id, payload=body),
            CallEnded(attempt_id=attempt_id, error='', is_sent=True),
        ):
            replies.extend(
                self._apply(
                    self.admission.handle_call_message(message, self.now)
                ),
            )
        return replies

    def _apply(self, effects: list[Any]) -> list[Any]:
        replies: list[Any] = []
        for effect in effects:
            if isinstance(effect, SendToPeer):
                replies.append(effect.message)
            elif isinstance(effect, SendToHome):
                self.fence_requests.append(effect)
            elif isinstance(effect, StartCall):
                self.started.append(effect.attempt)
        self.sent.extend(replies)
        return replies


class EntryHarness:
    """Decision classes of an entry, with a record of their effects."""

    def __init__(self, inventory: Inventory) -> None:
        self.now = timedelta()
        self.configuration = Configuration()
        self.configuration.accept_inventory(inventory, b'')
        self.router = Router(
            incarnation='entry',
            configuration=self.configuration,
            limits=RouterLimits(
                max_held_requests=100,
                max_attempts=8,
                stream_window_bytes=65_536,
                peer_timeout=PEER_TIMEOUT,
            ),
            placement=LeastLoadedPlacement(),
            budget=RetryBudget(100, 100),
            random=random.Random(1),
            recorder=CountingRecorder(),
        )
        self.router.apply_configuration()
        self.messages: list[SendToPeer] = []
        self.answers: list[Any] = []

    def submit(
        self, time_limit_ms: int, key: str = '', service: str = 'lots'
    ) -> None:
        """Submit a caller's request that is not idempotent."""
        self.apply(
            self.router.submit(
                Submission(
                    request_number=1,
                    organisation='gate',
                    service=service,
                    method='POST',
                    path='/accept',
                    content_type='',
                    idempotency_key=key,
                    is_idempotent=False,
                    is_stream=False,
                    prompt_tokens=0,
                    output_tokens=0,
                    time_limit_ms=time_limit_ms,
                    body=b'lot',
                ),
                self.now,
            ),
        )

    def deliver(self, instance: str, message: Any) -> None:
        """Deliver a message of an agent."""
        self.apply(self.router.receive(instance, message, self.now))

    def tick(self, span: timedelta) -> None:
        """Advance the clock."""
        self.now += span
        self.apply(self.router.tick(self.now))

    def exchange_heartbeat(self, agent: AgentHarness) -> None:
        """Exchange a heartbeat and a hint with an agent."""
        heartbeat = Heartbeat(
            sender_incarnation='entry',
            configuration=self.configuration.version,
        )
        for reply in agent.receive(heartbeat):
            self.deliver(agent.name, reply)

    def find_messages(self, kind: type, instance: str) -> list[Any]:
        """Return the messages of a kind to an agent, in order."""
        return [
            effect.message
            for effect in self.messages
            if effect.peer == instance and isinstance(effect.message, kind)
        ]

    def apply(self, effects: list[Any]) -> None:
        """Record the effects."""
        for effect in effects:
            if isinstance(effect, SendToCaller):
                self.answers.append(effect.message)
            else:
                self.messages.append(effect)
