"""Admission and placement of all requests of one entry."""

from collections.abc import Collection
from datetime import timedelta

from .._generated.serving import (
    AttemptReport,
    DirectSettings,
    MemoryTicket,
    Placement,
    PlacementFailure,
    RequestMetadata,
    Service,
)
from ..event_codes import EventCode
from ..types import RandomSource, Recorder
from .admissions import AdmittedRequest
from .attempt_evidence import EndedAttempt
from .budgets import WindowedRetryBudget
from .candidates import CandidateFinder
from .engine_load import InFlightAttempt, RequestProfile
from .fleet import TargetView
from .fleet_follower import FleetChange, FleetFollower
from .health import AttemptOutcome
from .load_exchange import LoadExchange
from .placement import (
    LeastExpectedLoss,
    LeastInFlight,
    PlacementPolicy,
    TargetSelection,
)
from .placement_failures import PlacementFailures
from .routes import RouteTable, choose_service
from .target_statements import TargetStatements

_MS = timedelta(milliseconds=1)
# Prompt tokens that add 1 to the base weight of 1.
_PROMPT_TOKENS_PER_WEIGHT = 10_000
_INCARNATION_BITS = 52
_RESTART_MARGIN = timedelta(seconds=1)
# Peers that an entry without a view of its own compares.
_FIRST_PEER_COUNT = 3


class Dispatcher:
    """Admits requests and places their attempts on the known fleet.

    :param settings: settings of the process.
    :param random: source of random choices.
    :param recorder: receives counters and log events.
    """

    __slots__ = (
        '_budgets',
        '_candidates',
        '_failures',
        '_policies',
        '_random',
        '_recorder',
        '_settings',
        '_ticket_count',
        'fleet',
        'follower',
        'load_exchange',
        'statements',
    )

    def __init__(
        self,
        settings: DirectSettings,
        random: RandomSource,
        recorder: Recorder,
    ) -> None:
        self.follower = FleetFollower(settings, recorder)
        self.fleet = self.follower.fleet
        self._settings = settings
        self._random = random
        self._recorder = recorder
        self._budgets: dict[str, WindowedRetryBudget] = {}
        self._ticket_count = 0
        self.load_exchange = LoadExchange(
            settings.exchange_address,
            int(random.random() * 2**_INCARNATION_BITS),
            settings.peer_addresses,
            recorder,
            self.fleet,
        )
        self.statements = TargetStatements(
            self.fleet, self.load_exchange, recorder
        )
        self._failures = PlacementFailures(
            self.follower, self.statements, random
        )
        self._candidates = CandidateFinder(
            settings, self.fleet, self.load_exchange, self.statements, random
        )
        self._policies: tuple[PlacementPolicy, PlacementPolicy] = (
            LeastInFlight(random),
            LeastExpectedLoss(random),
        )

    @property
    def route_table(self) -> RouteTable | None:
        """Return the routes of the active configuration."""
        return self.follower.route_table

    @property
    def is_ready(self) -> bool:
        """Return whether a configuration and any target are known."""
        return self.route_table is not None and any(True for _ in self.fleet)

    @property
    def configuration_version(self) -> int:
        """Return the active configuration version, zero before the first."""
        return self.follower.version

    def apply(self, change: FleetChange, now: timedelta) -> None:
        """Apply a change reported by the fleet source.

        :param change: one message of the source.
        :param now: time on the monotonic clock.
        """
        self.follower.apply(change, now)

    def choose_peers(self) -> list[str]:
        """Return the addresses of random peers to ask for the fleet.

        Empty while the source answers and when no peer is known. An entry that
        knows nothing yet asks several, as one may have lost the source long
        ago.
        """
        if self.follower.is_source_reachable:
            return []
        known = self.load_exchange.addresses
        wanted_count = 1 if self.fleet.revision else _FIRST_PEER_COUNT
        return self._random.sample(known, min(wanted_count, len(known)))

    def drop_silent_peers(self, now: timedelta) -> None:
        """Drop the load of entries whose hints stopped arriving.

        :param now: time on the monotonic clock.
        """
        self.load_exchange.drop_silent_peers(self.fleet, now)

    def change_settings(self, settings: DirectSettings, now: timedelta) -> None:
        """Replace the settings; what was counted before still counts.

        :param settings: new settings of the process.
        :param now: time on the monotonic clock.
        """
        has_new_seeds = settings.peer_addresses != self._settings.peer_addresses
        self._settings = settings
        self._candidates.settings = settings
        self.follower.change_settings(settings)
        if has_new_seeds:
            self.load_exchange.change_seeds(settings.peer_addresses, now)
        for budget in self._budgets.values():
            budget.change(
                settings.retry_budget_ratio,
                settings.retry_budget_window_ms * _MS,
            )

    def admit(
        self,
        metadata: RequestMetadata,
        now: timedelta,
    ) -> AdmittedRequest | PlacementFailure:
        """Match a request against the active configuration.

        :param metadata: properties that the caller's request states.
        :param now: time on the monotonic clock.
        """
        if self.route_table is None:
            return self._failures.build('no_configuration', now)
        route = self.route_table.find(metadata.host_name, metadata.path)
        if route is None:
            return self._failures.build_unknown('route_unknown', now)
        organisation = self.route_table.authenticate(metadata.credential)
        needs_credential = (
            self.route_table.needs_credentials and not route.is_public
        )
        if needs_credential and organisation is None:
            return self._failures.build_unknown('credential_unknown', now)
        service = choose_service(route, self._random)
        self._find_budget(service).record_request(now)
        return AdmittedRequest(metadata, route, organisation, service)

    def place(
        self,
        admission: AdmittedRequest,
        excluded: Collection[str],
        now: timedelta,
        *,
        is_repeat: bool,
    ) -> Placement | PlacementFailure:
        """Choose the targets of an attempt.

        :param admission: the request.
        :param excluded: names of targets that it was already sent to.
        :param now: time on the monotonic clock.
        :param is_repeat: whether a target may already have received it; such
            an attempt is charged to the retry budget.
        """
        quarantine = self.load_exchange.quarantine
        parts = admission.suspect_parts
        if not quarantine.may_place(parts, now):
            return self._failures.build(quarantine.find_reason(parts), now)
        candidates = self._candidates.find(admission, excluded, now)
        if not candidates:
            return self._failures.build('no_target', now)
        usable = [
            each
            for each in candidates
            if self._candidates.may_use(each.view, now)
        ]
        if not usable:
            return self._failures.build_limited(candidates, now)
        if is_repeat and not self._find_budget(admission.service).allow_retry(
            now
        ):
            return self._failures.build('retry_budget_exhausted', now)
        service = self._find_service(admission.service)
        profile = _build_profile(admission)
        policy = self._policies[service.engine is not None]
        selection = policy.choose(
            usable,
            service,
            profile,
            now,
            entry_count=self.load_exchange.count_entries(now),
        )
        if not selection.fits_memory:
            return self._failures.build('memory_full', now)
        self._record_attempts(admission, selection, profile, now)
        return self._build_placement(admission, selection, len(usable), now)

    def record_first_byte(self, attempt_id: str, placement: Placement) -> None:
        """Record that a target started its response.

        :param attempt_id: identifies the request.
        :param placement: targets of its attempt.
        """
        for view in self._find_views(placement):
            attempt = view.attempts.get(attempt_id)
            if attempt is None:
                continue
            attempt.is_prefilling = False
            self.load_exchange.mark_changed(view.record.name)
            if not attempt.held_tokens:
                view.attempts.pop(attempt_id)

    def end_attempt(
        self,
        admission: AdmittedRequest,
        placement: Placement,
        report: AttemptReport,
        now: timedelta,
    ) -> None:
        """Record the end of an attempt.

        :param admission: the request.
        :param placement: targets of its attempt.
        :param report: outcome of the attempt.
        :param now: time on the monotonic clock.
        """
        attempt = EndedAttempt(admission, placement, report)
        attempt.add_evidence(self.load_exchange.quarantine, now)
        if attempt.is_connection_lost:
            self._recorder.log(
                EventCode.target_connection_lost,
                **attempt.describe_loss(self.fleet, now),
            )
        attempt_id = admission.metadata.attempt_id
        for reader in self._find_views(placement):
            reader.attempts.pop(attempt_id, None)
            self.load_exchange.mark_changed(reader.record.name)
        faulty_view = None
        if report.faulty_address:
            faulty_view = self.fleet.find_address(report.faulty_address)
        view = faulty_view or self.fleet.find(report.target)
        if view is None:
            return
        outcome = AttemptOutcome(report.outcome)
        if faulty_view is not None and outcome is AttemptOutcome.refused:
            outcome = AttemptOutcome.failed
        self._apply_report(view, outcome, report, now)
        self._record_load(placement, report, now)

    def record_unexpected_input(self, address: str, now: timedelta) -> None:
        """Record that a target sent bytes that belong to no request.

        :param address: address of the target.
        :param now: time on the monotonic clock.
        """
        view = self.fleet.find_address(address)
        if view is not None:
            self._record_outcome(view, AttemptOutcome.failed, now)

    def _apply_report(
        self,
        view: TargetView,
        outcome: AttemptOutcome,
        report: AttemptReport,
        now: timedelta,
    ) -> None:
        service = self._find_service(view.record.service)
        if report.cold_ms:
            self.follower.mark_cold(view, service, now + report.cold_ms * _MS)
        if outcome is AttemptOutcome.unreachable and service.cold_ms:
            # The target probably restarts and is cold afterwards.
            cold_time = service.cold_ms * _MS + _RESTART_MARGIN
            self.follower.mark_cold(view, service, now + cold_time)
        if outcome is AttemptOutcome.answered and report.first_ms:
            view.record_latency(report.first_ms, now)
        self._record_outcome(view, outcome, now)

    def _record_load(
        self, placement: Placement, report: AttemptReport, now: timedelta
    ) -> None:
        """Record the load that the target stated in its response."""
        if report.has_malformed_load:
            self._recorder.count('malformed_messages', 'target_load')
        view = self.fleet.find(placement.target)
        if report.load is None or view is None:
            return
        if view.record.started_ms != placement.started_ms:
            # It is the load of a former incarnation.
            return
        view.unexplained_load.record(
            report.load,
            # The target counted the attempt that has just ended.
            len(view.all_attempts) + 1,
            view.record.slots,
            now - report.load_age_ms * _MS,
        )

    def _record_outcome(
        self, view: TargetView, outcome: AttemptOutcome, now: timedelta
    ) -> None:
        if view.health.record(outcome, now):
            self._recorder.count('target_pauses', outcome)
            self._recorder.log(
                EventCode.target_paused,
                target=view.record.name,
                address=view.record.address,
                reason=outcome,
                pause_ms=(view.health.paused_until - now) // _MS,
            )

    def _find_service(self, name: str) -> Service:
        return self.follower.services.get(name) or Service(
            name=name,
            engine=None,
        )

    def _find_budget(self, service: str) -> WindowedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = WindowedRetryBudget(
                self._settings.retry_budget_ratio,
                self._settings.retry_budget_window_ms * _MS,
            )
            self._budgets[service] = budget
        return budget

    def _record_attempts(
        self,
        admission: AdmittedRequest,
        selection: TargetSelection,
        profile: RequestProfile,
        now: timedelta,
    ) -> None:
        for view, held_tokens in _split_tokens(selection, profile):
            self.load_exchange.mark_changed(view.record.name)
            view.attempts[admission.metadata.attempt_id] = InFlightAttempt(
                profile,
                selection.prefill_ms,
                now,
                held_tokens=held_tokens,
                decodes=view is selection.target,
            )
            if view.cold_rate_limit is not None:
                view.cold_rate_limit.record(now)
            if view is selection.target:
                self.statements.record_request(view)

    def _find_views(self, placement: Placement) -> list[TargetView]:
        views = [self.fleet.find(placement.target)]
        views.extend(
            self.fleet.find_address(address)
            for address in placement.helper_addresses
        )
        return [view for view in views if view is not None]

    def _build_placement(
        self,
        admission: AdmittedRequest,
        selection: TargetSelection,
        candidate_count: int,
        now: timedelta,
    ) -> Placement:
        record = selection.target.record
        organisation = admission.organisation
        return Placement(
            target=record.name,
            address=record.address,
            service=record.service,
            started_ms=record.started_ms,
            helper_addresses=[
                each.record.address for each in selection.helpers
            ],
            tickets=self._build_tickets(selection),
            organisation=organisation.name if organisation else '',
            forecast_ms=round(selection.first_ms, 1),
            candidate_count=candidate_count,
            configuration_version=self.configuration_version,
            fleet_revision=self.fleet.revision,
            source_age_ms=self.fleet.source.find_age(now) // _MS,
            has_statement=selection.target.terms.is_limited,
        )

    def _build_tickets(self, selection: TargetSelection) -> list[MemoryTicket]:
        tickets = []
        for view, tokens in zip(
            selection.helpers,
            selection.reserved_tokens,
            strict=False,
        ):
            self._ticket_count += 1
            tickets.append(
                MemoryTicket(
                    f'{self.load_exchange.incarnation:x}-{self._ticket_count}',
                    view.record.name,
                    view.record.address,
                    tokens,
                ),
            )
        return tickets


def _split_tokens(
    selection: TargetSelection, profile: RequestProfile
) -> list[tuple[TargetView, int]]:
    """Return the targets of an attempt and the tokens each one holds."""
    target_tokens = profile.context_tokens - sum(selection.reserved_tokens)
    shares = [(selection.target, target_tokens)]
    for number, helper in enumerate(selection.helpers):
        is_holder = number < len(selection.reserved_tokens)
        tokens = selection.reserved_tokens[number] if is_holder else 0
        shares.append((helper, tokens))
    return shares


def _build_profile(admission: AdmittedRequest) -> RequestProfile:
    metadata = admission.metadata
    return RequestProfile(
        prompt_tokens=metadata.prompt_tokens,
        output_tokens=metadata.output_tokens,
        event_gap_ms=admission.route.event_gap_ms,
        objective_ms=admission.route.objective_ms,
        weight=1 + metadata.prompt_tokens / _PROMPT_TOKENS_PER_WEIGHT,
    )
