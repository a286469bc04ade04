"""Why no target is available, and when the caller may return."""

from collections.abc import Collection
from datetime import timedelta
from types import MappingProxyType

from .._generated.serving import PlacementFailure
from ..types import RandomSource
from .fleet_follower import FleetFollower
from .placement import Candidate
from .quarantines import QUARANTINE_RETRY_AFTER_MS
from .target_statements import TargetStatements

_MS = timedelta(milliseconds=1)
# An unknown route or credential may be newer than a fleet view of this age.
_STALE_SOURCE_AGE_MS = 2500
_STALE_SOURCE_AGE = _STALE_SOURCE_AGE_MS * _MS
_DEFAULT_RETRY_AFTER_MS = 200
_STALE_RETRY_AFTER_MS = 50
# A new process that cannot reach the source gets no configuration sooner.
_START_RETRY_AFTER_MS = 2000
_RETRY_AFTER_MS_BY_REASON = MappingProxyType(
    {
        'configuration_stale': _STALE_RETRY_AFTER_MS,
        'credential_unknown': 0,
        'no_configuration': _START_RETRY_AFTER_MS,
        'prompt_quarantined': QUARANTINE_RETRY_AFTER_MS,
        'request_quarantined': QUARANTINE_RETRY_AFTER_MS,
        'route_unknown': 0,
    },
)


class PlacementFailures:
    """Builds failures with what was known at the time.

    :param follower: the fleet and its configuration.
    :param statements: what targets say of themselves.
    :param random: source of random choices.
    """

    __slots__ = ('_follower', '_random', '_statements')

    def __init__(
        self,
        follower: FleetFollower,
        statements: TargetStatements,
        random: RandomSource,
    ) -> None:
        self._follower = follower
        self._statements = statements
        self._random = random

    def build_limited(
        self, candidates: Collection[Candidate], now: timedelta
    ) -> PlacementFailure:
        """Return the failure of a request that no candidate may take now.

        :param candidates: targets that could serve it.
        :param now: time on the monotonic clock.
        """
        bound = [
            each.view
            for each in candidates
            if not self._statements.may_send(each.view, now)
        ]
        if not bound:
            return self.build('target_cold', now)
        failure = self.build('target_limited', now)
        delay = self._statements.find_retry_delay(bound, self._random, now)
        failure.retry_after_ms = delay // _MS
        return failure

    def build_unknown(self, reason: str, now: timedelta) -> PlacementFailure:
        """Return the failure of a request that the configuration lacks.

        :param reason: what is unknown, unless a newer configuration may have
            it.
        :param now: time on the monotonic clock.
        """
        if self._follower.fleet.source.find_age(now) > _STALE_SOURCE_AGE:
            return self.build('configuration_stale', now)
        return self.build(reason, now)

    def build(self, reason: str, now: timedelta) -> PlacementFailure:
        """Return the failure with a reason.

        :param reason: stable code of the reason.
        :param now: time on the monotonic clock.
        """
        return PlacementFailure(
            reason=reason,
            retry_after_ms=_RETRY_AFTER_MS_BY_REASON.get(
                reason, _DEFAULT_RETRY_AFTER_MS
            ),
            configuration_version=self._follower.version,
            fleet_revision=self._follower.fleet.revision,
            source_age_ms=self._follower.fleet.source.find_age(now) // _MS,
        )
