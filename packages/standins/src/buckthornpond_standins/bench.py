"""Discrete-event simulation of routers and admission controllers.

The decision classes run on a fake clock, against engine models.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from datetime import timedelta
from functools import partial
from typing import TypeAlias

from buckthornpond_core._generated.inventory import Rules
from buckthornpond_core._generated.messages import Chunk, Final, Refused
from buckthornpond_core._generated.platform import LoadReport
from buckthornpond_core.admission.admission import AdmissionController
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.effects import (
    AgentEffect,
    CallMessage,
    CancelCall,
    RouterEffect,
    SendToCaller,
    SendToPeer,
    StartCall,
)
from buckthornpond_core.process_limits import AgentLimits, RouterLimits
from buckthornpond_core.routing.retries import RetryBudget
from buckthornpond_core.routing.router import Router

from .engine import EngineCosts
from .keyed import build_keyed_attempts
from .mix_inventories import build_inventory
from .mixes import Arrival, Mix
from .models import EngineModel
from .policies import PolicySet
from .records import LINK_DELAY_SECONDS, CountingRecorder, RequestRecord

_TICK_SECONDS = 0.05
_HEARTBEAT_SECONDS = 0.5
# Both the lag of a load report and the interval between two reports.
_REPORT_LAG_SECONDS = 1.0
_PEER_TIMEOUT = timedelta(seconds=2)
_WARM_UP_SECONDS = 1.0
_COMPLETION_LIMIT_SECONDS = 130.0


_Event: TypeAlias = tuple[float, int, Callable[[], None]]


class _SimulatedAgent:
    __slots__ = (
        'admission',
        'configuration',
        'engine',
        'is_up',
        'wake_seconds',
    )

    def __init__(
        self,
        admission: AdmissionController,
        configuration: Configuration,
        engine: EngineModel,
    ) -> None:
        self.admission = admission
        self.configuration = configuration
        self.engine = engine
        self.is_up = True
        self.wake_seconds = -1.0


class DecisionBench:
    """Simulates the entries and agents of a mix, with messages on a fake clock.

    :param mix: fleet and callers.
    :param costs: speed and memory of the engines.
    :param policies: policies under test.
    :param seed: seed of every random choice.
    :param is_warm: whether the engines start warm.
    """

    __slots__ = (
        '_costs',
        '_end_seconds',
        '_entries',
        '_entry_configuration',
        '_events',
        '_incarnations',
        '_inventory',
        '_event_numbers',
        '_policies',
        '_seed',
        'agents',
        'now',
        'recorder',
        'records',
    )

    def __init__(
        self,
        mix: Mix,
        costs: EngineCosts,
        policies: PolicySet,
        *,
        seed: int,
        is_warm: bool = True,
    ) -> None:
        self.now = 0.0
        self.recorder = CountingRecorder()
        self.records: dict[int, RequestRecord] = {}
        self._end_seconds = 0.0
        self._costs = costs
        self._policies = policies
        self._seed = seed
        self._event_numbers = itertools.count()
        self._events: list[_Event] = []
        self._inventory = build_inventory(mix, costs)
        self._incarnations = itertools.count(1)
        self._entry_configuration = self._make_configuration()
        self._entries = {
            f'entry-{number}': self._make_router(number)
            for number in range(mix.entry_count)
        }
        self.agents = {
            instance.name: self._make_agent(instance.name, is_warm=is_warm)
            for instance in self._inventory.instances
        }

    def run(self, arrivals: Iterable[Arrival]) -> list[RequestRecord]:
        """Run a load to its end and return the outcome of each request.

        :param arrivals: requests of the load, which starts after a short warm-up.
        """
        last_arrival_seconds = 0.0
        routers = list(self._entries.values())
        for number, arrival in enumerate(arrivals):
            last_arrival_seconds = arrival.at_seconds
            self.records[arrival.submission.request_number] = RequestRecord(
                arrival,
            )
            router = routers[number % len(routers)]
            self.schedule(
                last_arrival_seconds,
                partial(self._submit, router, arrival),
            )
        self._end_seconds = last_arrival_seconds + _COMPLETION_LIMIT_SECONDS
        self._start_timers()
        while self._events:
            at_seconds, _, action = heapq.heappop(self._events)
            self.now = at_seconds
            action()
            if (
                at_seconds > last_arrival_seconds
                and not self._has_requests_in_flight()
            ):
                break
        return list(self.records.values())

    def schedule(self, at_seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time of the load.

        :param at_seconds: seconds since the start of the load.
        :param action: called at that time.
        """
        heapq.heappush(
            self._events,
            (at_seconds, next(self._event_numbers), action),
        )

    def set_rules(self, rules: Rules, *, includes_entries: bool = True) -> None:
        """Apply rules at all agents and, by default, at the entries.

        :param rules: rules with a higher version than the current ones.
        :param includes_entries: whether the entries also receive them.
        """
        for agent in self.agents.values():
            agent.configuration.accept_rules(rules, b'{}')
        if includes_entries:
            self._entry_configuration.accept_rules(rules, b'{}')

    def instances_in_zone(self, zone: str) -> list[str]:
        """Return the names of the instances in an availability zone.

        :param zone: name of the zone.
        """
        return [
            instance.name
            for instance in self._inventory.instances
            if instance.availability_zone == zone
        ]

    def kill_instance(self, name: str) -> None:
        """Stop the agent and engine of an instance immediately.

        :param name: name of the instance.
        """
        self.agents[name].is_up = False

    def restart_instance(self, name: str) -> None:
        """Restart an instance, cold and with a new incarnation.

        :param name: name of the instance.
        """
        rules = self.agents[name].configuration.rules
        agent = self._make_agent(name, is_warm=False)
        if rules.version:
            agent.configuration.accept_rules(rules, b'{}')
        self.agents[name] = agent

    def _has_requests_in_flight(self) -> bool:
        return self.now < self._end_seconds and any(
            router.held_count for router in self._entries.values()
        )

    def _start_timers(self) -> None:
        for entry in self._entries:
            self._tick_router(entry, 0)
        for name in self.agents:
            self._tick_agent(name)
            self._poll_report(name)

    def _tick_router(self, entry: str, count: int) -> None:
        router = self._entries[entry]
        now = self._monotonic_now()
        self._apply_router_effects(entry, router.tick(now))
        if count % round(_HEARTBEAT_SECONDS / _TICK_SECONDS) == 0:
            self._apply_router_effects(entry, router.beat(now))
        self.schedule(
            self.now + _TICK_SECONDS,
            partial(self._tick_router, entry, count + 1),
        )

    def _tick_agent(self, name: str) -> None:
        agent = self.agents[name]
        if agent.is_up:
            self._apply_agent_effects(
                name,
                agent.admission.tick(self._monotonic_now()),
            )
        self.schedule(
            self.now + _TICK_SECONDS,
            partial(self._tick_agent, name),
        )

    def _poll_report(self, name: str) -> None:
        agent = self.agents[name]
        report = agent.engine.report()
        self.schedule(
            self.now + _REPORT_LAG_SECONDS,
            partial(self._deliver_report, agent, name, report),
        )

    def _deliver_report(
        self,
        agent: _SimulatedAgent,
        name: str,
        report: LoadReport,
    ) -> None:
        if agent.is_up and self.agents[name] is agent:
            agent.admission.handle_load_report(report)
        self._poll_report(name)

    def _monotonic_now(self) -> timedelta:
        return timedelta(seconds=self.now + _WARM_UP_SECONDS)

    def _submit(self, router: Router, arrival: Arrival) -> None:
        entry = next(
            name for name, each in self._entries.items() if each is router
        )
        effects = router.submit(arrival.submission, self._monotonic_now())
        self._apply_router_effects(entry, effects)

    def _apply_router_effects(
        self,
        entry: str,
        effects: list[RouterEffect],
    ) -> None:
        for effect in effects:
            if isinstance(effect, SendToCaller):
                self._record_response(effect)
            else:
                self.schedule(
                    self.now + LINK_DELAY_SECONDS,
                    partial(self._deliver_to_agent, entry, effect),
                )

    def _deliver_to_agent(self, entry: str, effect: SendToPeer) -> None:
        agent = self.agents[effect.peer]
        if agent.is_up:
            self._apply_agent_effects(
                effect.peer,
                agent.admission.receive(
                    entry,
                    effect.message,
                    self._monotonic_now(),
                ),
            )

    def _deliver_to_entry(self, name: str, effect: SendToPeer) -> None:
        router = self._entries[effect.peer]
        effects = router.receive(name, effect.message, self._monotonic_now())
        self._apply_router_effects(effect.peer, effects)

    def _apply_agent_effects(
        self,
        name: str,
        effects: list[AgentEffect],
    ) -> None:
        agent = self.agents[name]
        for effect in effects:
            messages: list[CallMessage] = []
            if isinstance(effect, SendToPeer):
                self.schedule(
                    self.now + LINK_DELAY_SECONDS,
                    partial(self._deliver_to_entry, name, effect),
                )
            elif isinstance(effect, StartCall):
                messages = agent.engine.start(
                    effect.attempt,
                    effect.priority,
                    self.now,
                )
            elif isinstance(effect, CancelCall):
                messages = agent.engine.cancel(effect.attempt_id, self.now)
            self._schedule_call_messages(agent, name, messages)
        self._schedule_wake(name)

    def _schedule_call_messages(
        self,
        agent: _SimulatedAgent,
        name: str,
        messages: list[CallMessage],
    ) -> None:
        for message in messages:
            self.schedule(
                self.now,
                partial(self._deliver_call_message, agent, name, message),
            )

    def _deliver_call_message(
        self,
        agent: _SimulatedAgent,
        name: str,
        message: CallMessage,
    ) -> None:
        if agent.is_up and self.agents[name] is agent:
            effects = agent.admission.handle_call_message(
                message,
                self._monotonic_now(),
            )
            self._apply_agent_effects(name, effects)

    def _schedule_wake(self, name: str) -> None:
        agent = self.agents[name]
        due_seconds = agent.engine.next_event_seconds
        if (
            due_seconds != agent.wake_seconds
            and due_seconds < self._end_seconds
        ):
            agent.wake_seconds = due_seconds
            self.schedule(
                max(due_seconds, self.now),
                partial(self._advance_engine, agent, name, due_seconds),
            )

    def _advance_engine(
        self,
        agent: _SimulatedAgent,
        name: str,
        due_seconds: float,
    ) -> None:
        if agent.wake_seconds != due_seconds or self.agents[name] is not agent:
            return
        agent.wake_seconds = -1.0
        if agent.is_up:
            messages = agent.engine.advance(self.now)
            self._schedule_call_messages(agent, name, messages)
            self._schedule_wake(name)

    def _record_response(self, effect: SendToCaller) -> None:
        record = self.records[effect.request_number]
        message = effect.message
        if isinstance(message, Chunk) and not record.first_seconds:
            record.first_seconds = self.now
        if isinstance(message, Final | Refused):
            record.ended_seconds = self.now
            record.outcome = 'complete'
            if isinstance(message, Refused):
                record.outcome = f'{message.reason}/{message.outcome}'

    def _make_router(self, number: int) -> Router:
        router = Router(
            incarnation=f'entry-{number}',
            configuration=self._entry_configuration,
            limits=RouterLimits(
                max_held_requests=10_000,
                max_attempts=8,
                stream_window_bytes=65_536,
                peer_timeout=_PEER_TIMEOUT,
            ),
            placement=self._policies.placement(),
            budget=RetryBudget(20, 100),
            random=random.Random(f'{self._seed}/{number}'),
            recorder=self.recorder,
        )
        router.apply_configuration()
        return router

    def _make_agent(self, name: str, *, is_warm: bool) -> _SimulatedAgent:
        configuration = self._make_configuration()
        target = configuration.instances[name].target
        limit = self._policies.limit(target)
        if is_warm:
            limit.record_success(target.warm_up_tokens + target.memory_tokens)
        admission = AdmissionController(
            instance=name,
            incarnation=f'{name}.{next(self._incarnations)}',
            configuration=configuration,
            limits=AgentLimits(
                max_queued_count=128,
                peer_timeout=_PEER_TIMEOUT,
            ),
            limit=limit,
            order=self._policies.order(configuration),
            forecast=self._policies.forecast(),
            keyed=build_keyed_attempts(
                name,
                configuration,
                started=timedelta(seconds=self.now),
                recorder=self.recorder,
            ),
            recorder=self.recorder,
        )
        admission.apply_configuration(timedelta(seconds=self.now))
        engine = EngineModel(self._costs, is_warm=is_warm)
        return _SimulatedAgent(admission, configuration, engine)

    def _make_configuration(self) -> Configuration:
        configuration = Configuration()
        configuration.accept_inventory(self._inventory, b'{}')
        return configuration
