"""What targets say of themselves, which binds who has heard it."""

from collections.abc import Iterable
from datetime import timedelta

from .._generated.hints import LimitHint, LoadHint, TargetStartHint
from .._generated.serving import Placement, TargetStatement
from ..event_codes import EventCode
from ..types import RandomSource, Recorder
from .fleet import Fleet, TargetView
from .load_exchange import LoadExchange
from .stated_limits import LimitDivision, StatedLimit

_MS = timedelta(milliseconds=1)
_OWN_ORIGIN = 'own'
# Other entries are told of what a response stated for so long.
_HINT_TIME = timedelta(seconds=3)
# Delay before a retry at other entries, which may have a share.
_OTHER_SHARE_DELAY_MS = 200
_OTHER_SHARE_DELAY = _OTHER_SHARE_DELAY_MS * _MS
_MIN_RETRY_DELAY_MS = 50
_MIN_RETRY_DELAY = _MIN_RETRY_DELAY_MS * _MS
_MAX_RETRY_DELAY_MS = 2500
_MAX_RETRY_DELAY = _MAX_RETRY_DELAY_MS * _MS
# One faulty response takes a target out of use for no longer than this.
_MAX_BACKOFF_MS = 600_000


class TargetStatements:
    """Keeps what each start of a target has said of itself.

    Whatever sends requests to a target asks :meth:`may_send` first, and
    calls :meth:`record_request`.

    :param fleet: known targets.
    :param load_exchange: other entries that may be alive.
    :param recorder: receives counters and log events.
    """

    __slots__ = ('_division', '_fleet', '_load_exchange', '_recorder')

    def __init__(
        self, fleet: Fleet, load_exchange: LoadExchange, recorder: Recorder
    ) -> None:
        self._fleet = fleet
        self._load_exchange = load_exchange
        self._recorder = recorder
        self._division = LimitDivision(
            load_exchange.address, load_exchange.membership
        )

    def may_send(self, view: TargetView, now: timedelta) -> bool:
        """Return whether this entry may send a request to a target now.

        :param view: the target.
        :param now: time on the monotonic clock.
        """
        terms = view.terms
        if terms.is_leaving or now < terms.backoff_until:
            return False
        return terms.limit is None or self._find_delay(view, now) == timedelta()

    def record_request(self, view: TargetView) -> None:
        """Count a request that this entry sends to a target.

        :param view: the target.
        """
        if view.terms.limit is not None:
            view.terms.limit.record_request()

    def find_retry_delay(
        self,
        views: Iterable[TargetView],
        random: RandomSource,
        now: timedelta,
    ) -> timedelta:
        """Return when a caller may return whom no target may take now.

        Callers that are refused together return at different times.

        :param views: targets that could serve the caller.
        :param random: source of random choices.
        :param now: time on the monotonic clock.
        """
        delays = [self._find_delay(view, now) for view in views]
        known = [delay for delay in delays if delay is not None]
        earliest = min(known, default=_OTHER_SHARE_DELAY)
        bounded = min(max(earliest, _MIN_RETRY_DELAY), _MAX_RETRY_DELAY)
        return bounded * (1 + random.random())

    def record(
        self,
        placement: Placement,
        statement: TargetStatement | None,
        now: timedelta,
    ) -> None:
        """Record what the response to an attempt says of its target.

        :param placement: targets of the attempt.
        :param statement: the statement, or ``None`` if there is none.
        :param now: time on the monotonic clock.
        """
        malformed = statement.malformed_fields if statement else ()
        for name in malformed:
            self._recorder.count('malformed_messages', f'target_{name}')
        view = self._find_start(placement.target, placement.started_ms)
        if view is None:
            # Another start of the target owes nothing of it.
            return
        if statement is not None:
            self._set_backoff(view, statement.backoff_ms, now)
            if statement.is_leaving:
                self._set_leaving(view, _OWN_ORIGIN)
        if 'limit' in malformed:
            return
        limit = statement.requests_per_second if statement else None
        self._set_limit(view, limit, now, now)
        if view.terms.limit is not None:
            view.terms.limit.is_first_hand = True

    def fill_hint(self, hint: LoadHint, now: timedelta) -> None:
        """Add what targets told this entry lately to a hint.

        :param hint: hint of this entry.
        :param now: time on the monotonic clock.
        """
        views: list[TargetView | None] = list(self._fleet)
        if not hint.is_full:
            views = [self._fleet.find(each.target) for each in hint.targets]
        hint.limits = [
            _make_limit_hint(view, stated, now)
            for view in views
            if view is not None
            and (stated := view.terms.limit) is not None
            and _is_news(stated, now)
        ]
        hint.leaving_targets = [
            TargetStartHint(view.record.name, view.record.started_ms)
            for view in views
            if view is not None
            and view.terms.is_leaving
            and view.terms.is_first_hand
        ]

    def apply_hint(self, hint: LoadHint, now: timedelta) -> None:
        """Record what targets told another entry.

        :param hint: hint of the other entry.
        :param now: time on the monotonic clock.
        """
        for limit_hint in hint.limits:
            view = self._find_start(limit_hint.target, limit_hint.started_ms)
            if view is not None:
                self._apply_limit_hint(view, limit_hint, now)
        for start in hint.leaving_targets:
            view = self._find_start(start.target, start.started_ms)
            if view is not None:
                self._set_leaving(view, hint.sender)

    def _apply_limit_hint(
        self, view: TargetView, hint: LimitHint, now: timedelta
    ) -> None:
        heard_at = now - hint.age_ms * _MS
        known = view.terms.limit
        if known is not None and known.heard_at >= heard_at:
            return
        limit = hint.requests_per_second if hint.is_limited else None
        self._set_limit(view, limit, heard_at, now)
        if view.terms.limit is not None:
            view.terms.limit.is_first_hand = False

    def _find_start(self, target: str, started_ms: int) -> TargetView | None:
        """Return a target if this start of it is known."""
        view = self._fleet.find(target)
        if view is None or view.record.started_ms != started_ms:
            return None
        return view

    def _find_delay(self, view: TargetView, now: timedelta) -> timedelta | None:
        """Return the time until a request may be sent, if this entry may."""
        backoff = max(view.terms.backoff_until - now, timedelta())
        stated = view.terms.limit
        if stated is None or stated.requests_per_second is None:
            return backoff
        share = self._division.find_share(
            view.record.name,
            stated.requests_per_second,
            knows_others=bool(self._load_exchange.count_entries(now)),
        )
        if share is None:
            return None
        return max(stated.find_delay(share, now), backoff)

    def _set_leaving(self, view: TargetView, origin: str) -> None:
        terms = view.terms
        terms.is_first_hand = terms.is_first_hand or origin == _OWN_ORIGIN
        if terms.is_leaving:
            return
        terms.is_leaving = True
        self._recorder.count('target_statements', 'leaving')
        self._load_exchange.mark_changed(view.record.name)
        self._recorder.log(
            EventCode.target_leaving,
            target=view.record.name,
            address=view.record.address,
            started_ms=view.record.started_ms,
            origin=origin,
        )

    def _set_backoff(
        self, view: TargetView, backoff_ms: int, now: timedelta
    ) -> None:
        if not backoff_ms:
            return
        bounded_ms = min(backoff_ms, _MAX_BACKOFF_MS)
        is_new = now >= view.terms.backoff_until
        view.terms.backoff_until = max(
            view.terms.backoff_until, now + bounded_ms * _MS
        )
        if not is_new:
            return
        self._recorder.count('target_statements', 'backoff')
        self._recorder.log(
            EventCode.target_backoff,
            target=view.record.name,
            address=view.record.address,
            started_ms=view.record.started_ms,
            backoff_ms=bounded_ms,
        )

    def _set_limit(
        self,
        view: TargetView,
        limit: float | None,
        heard_at: timedelta,
        now: timedelta,
    ) -> None:
        stated = view.terms.limit
        if stated is None:
            if limit is None:
                return
            stated = StatedLimit(None, heard_at)
            view.terms.limit = stated
        was_limited = stated.requests_per_second is not None
        if limit is None and was_limited:
            self._log(EventCode.target_limit_ended, view, stated, now)
        stated.heard_at = heard_at
        stated.requests_per_second = limit
        if limit is not None and not was_limited:
            stated.begin(heard_at)
            self._recorder.count('target_statements', 'limit')
            self._log(EventCode.target_limited, view, stated, now)
        if was_limited != (limit is not None):
            self._load_exchange.mark_changed(view.record.name)

    def _log(
        self,
        code: EventCode,
        view: TargetView,
        limit: StatedLimit,
        now: timedelta,
    ) -> None:
        self._recorder.log(
            code,
            target=view.record.name,
            address=view.record.address,
            started_ms=view.record.started_ms,
            requests_per_second=limit.requests_per_second,
            age_ms=(now - limit.began_at) // _MS,
        )


def _is_news(limit: StatedLimit, now: timedelta) -> bool:
    return limit.is_first_hand and now - limit.heard_at < _HINT_TIME


def _make_limit_hint(
    view: TargetView, limit: StatedLimit, now: timedelta
) -> LimitHint:
    return LimitHint(
        target=view.record.name,
        started_ms=view.record.started_ms,
        is_limited=limit.requests_per_second is not None,
        requests_per_second=limit.requests_per_second or 0.0,
        age_ms=(now - limit.heard_at) // _MS,
    )
