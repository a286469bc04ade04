"""Targets that may receive an attempt."""

from collections.abc import Collection, Iterable
from datetime import timedelta

from .._generated.serving import DirectSettings
from ..types import RandomSource
from .admissions import AdmittedRequest
from .cold_users import ColdTargetUsers
from .fleet import Fleet, TargetView
from .load_exchange import LoadExchange
from .placement import Candidate
from .target_statements import TargetStatements

# Targets compared for one attempt.
_MAX_CANDIDATES = 96


class CandidateFinder:
    """Finds the targets that may receive an attempt.

    :param settings: settings of the process.
    :param fleet: known targets.
    :param load_exchange: knows the other entries.
    :param statements: what targets say of themselves.
    :param random: samples the targets of a large service.
    """

    __slots__ = (
        '_cold_users',
        '_fleet',
        '_load_exchange',
        '_random',
        '_statements',
        'settings',
    )

    def __init__(
        self,
        settings: DirectSettings,
        fleet: Fleet,
        load_exchange: LoadExchange,
        statements: TargetStatements,
        random: RandomSource,
    ) -> None:
        self.settings = settings
        self._fleet = fleet
        self._load_exchange = load_exchange
        self._random = random
        self._statements = statements
        self._cold_users = ColdTargetUsers(
            settings.exchange_address, load_exchange.membership
        )

    def may_use(self, view: TargetView, now: timedelta) -> bool:
        """Return whether a target may receive one more request of this entry.

        One that is neither cold nor limits its requests always may.

        :param view: the target.
        :param now: time on the monotonic clock.
        """
        if not self._statements.may_send(view, now):
            return False
        rate_limit = view.cold_rate_limit
        if not view.is_cold(now) or rate_limit is None:
            return True
        return rate_limit.has_room(now) and self._cold_users.includes_self(
            view.record.name,
            rate_limit.requests_per_second,
            knows_others=bool(self._load_exchange.count_entries(now)),
        )

    def find(
        self,
        admission: AdmittedRequest,
        excluded: Collection[str],
        now: timedelta,
    ) -> list[Candidate]:
        """Return the targets that may serve a request, cold ones included.

        :param admission: the request.
        :param excluded: names of targets that it was already sent to.
        :param now: time on the monotonic clock.
        """
        found = self._fleet.list_service(admission.service)
        if len(found) > _MAX_CANDIDATES:
            # A sample bounds the cost per attempt in a large fleet.
            sample = self._random.sample(found, _MAX_CANDIDATES)
            candidates = self._filter(sample, admission, excluded, now)
            if candidates:
                return candidates
        return self._filter(found, admission, excluded, now)

    def _filter(
        self,
        views: Iterable[TargetView],
        admission: AdmittedRequest,
        excluded: Collection[str],
        now: timedelta,
    ) -> list[Candidate]:
        own_zone = self.settings.availability_zone
        return [
            Candidate(
                view, is_same_zone=view.record.availability_zone == own_zone
            )
            for view in views
            if self._fleet.is_usable(view, now)
            and view.record.name not in excluded
            and self._is_region_allowed(admission, view)
        ]

    def _is_region_allowed(
        self, admission: AdmittedRequest, view: TargetView
    ) -> bool:
        zone = view.record.availability_zone
        region = self.settings.region_by_zone.get(zone, '')
        organisation = admission.organisation
        region_lists = [admission.route.regions]
        if organisation is not None:
            region_lists.append(organisation.regions)
        return all(not regions or region in regions for regions in region_lists)
