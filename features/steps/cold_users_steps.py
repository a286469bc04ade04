"""Steps for entries that share a cold target, on a fake clock."""

from collections import deque
from datetime import timedelta
from typing import Any

from behave import given, then, when

from buckthornpond_core.serving.budgets import ColdRateLimit
from buckthornpond_core.serving.cold_users import ColdTargetUsers
from buckthornpond_core.serving.fleet import Fleet
from buckthornpond_core.serving.load_exchange import LoadExchange
from buckthornpond_core.serving.membership import Membership
from features.specs.counts import report
from features.specs.dispatchers import NullRecorder

_MS = timedelta(milliseconds=1)
_SECOND = timedelta(seconds=1)
_START = timedelta(seconds=100)
_RUN_SECONDS = 5
_STEP_MS = 10
_ZONE_COUNT = 5
_SEED_COUNT = 3


class ColdUser:
    """Entry that sends to cold targets as fast as it may."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.address = (
            f'10.{number % _ZONE_COUNT}.{number // 256}.{number % 256}:7'
        )
        self.knows_others = True
        self.uses_all = False
        self.membership = Membership()
        self.users = ColdTargetUsers(self.address, self.membership)
        self.rate_limits: dict[str, ColdRateLimit] = {}

    def learn(self, others: list['ColdUser'], now: timedelta) -> None:
        """Hear of other entries."""
        for other in others:
            if other is not self:
                self.membership.record(other.address, now)

    def start_anew(self) -> None:
        """Forget everything."""
        self.membership = Membership()
        self.users = ColdTargetUsers(self.address, self.membership)
        self.knows_others = False

    def try_send(self, target: str, limit: float, now: timedelta) -> bool:
        """Send one request if it is allowed."""
        rate_limit = self.rate_limits.setdefault(target, ColdRateLimit(limit))
        may_use = self.uses_all or self.users.includes_self(
            target, limit, knows_others=self.knows_others
        )
        if not may_use or not rate_limit.has_room(now):
            return False
        rate_limit.record(now)
        return True


def _make_entries(context: Any, count: int) -> list[ColdUser]:
    context.entries = [ColdUser(number) for number in range(count)]
    context.now = _START
    return list(context.entries)


def _introduce(context: Any, entries: list[ColdUser]) -> None:
    for entry in entries:
        entry.learn(entries, context.now)


@given('{count:d} entries that know each other')
def make_known(context: Any, count: int) -> None:
    """Make entries that all know all."""
    _introduce(context, _make_entries(context, count))


@given(
    '{count:d} entries that know each other, but two zones of five cannot'
    ' hear each other'
)
def make_bridge_cut(context: Any, count: int) -> None:
    """Let the first two zones never have heard each other."""
    entries = _make_entries(context, count)
    for entry in entries:
        zone = entry.number % _ZONE_COUNT
        cut_zone = {0: 1, 1: 0}.get(zone)
        entry.learn(
            [
                other
                for other in entries
                if other.number % _ZONE_COUNT != cut_zone
            ],
            context.now,
        )


@given(
    '{count:d} entries that know each other, but {cut:d} of them have heard'
    ' nobody for {seconds:d} seconds'
)
def make_isolated(context: Any, count: int, cut: int, seconds: int) -> None:
    """Let some entries hear nobody for a while."""
    make_known(context, count)
    context.now += seconds * _SECOND
    _introduce(context, context.entries[cut:])
    for entry in context.entries:
        entry.membership.drop_expired(context.now)


@given('{count:d} entries that have all just started')
def make_fresh(context: Any, count: int) -> None:
    """Make entries that know nobody yet."""
    for entry in _make_entries(context, count):
        entry.start_anew()


@given(
    '{count:d} entries that know each other, but {fresh:d} of them have just'
    ' started'
)
def make_rolled(context: Any, count: int, fresh: int) -> None:
    """Restart some of the entries."""
    make_known(context, count)
    for entry in context.entries[:fresh]:
        entry.start_anew()


@given('{count:d} entries that use every cold target')
def make_careless(context: Any, count: int) -> None:
    """Make entries that limit only their own rate."""
    for entry in _make_entries(context, count):
        entry.uses_all = True


@when(
    'they send as fast as allowed to {targets:d} cold targets limited to'
    ' {limit:d} requests a second'
)
def send(context: Any, targets: int, limit: int) -> None:
    """Send for some seconds and note the most in a sliding second."""
    context.most_per_second = 0
    sent_count = 0
    windows: dict[str, deque[timedelta]] = {
        f'target-{number}': deque() for number in range(targets)
    }
    for _ in range(_RUN_SECONDS * 1000 // _STEP_MS):
        context.now += _STEP_MS * _MS
        sent_count += sum(
            _send_to(context, name, window, limit)
            for name, window in windows.items()
        )
    context.mean_per_second = sent_count / targets / _RUN_SECONDS
    report(
        f'{len(context.entries)} entries: at most {context.most_per_second}'
        f' a second at a target, {context.mean_per_second:.1f} on average'
    )


def _send_to(
    context: Any, target: str, window: deque[timedelta], limit: int
) -> int:
    """Send what is allowed now; return how much it was."""
    while window and window[0] <= context.now - _SECOND:
        window.popleft()
    before_count = len(window)
    for entry in context.entries:
        if entry.try_send(target, limit, context.now):
            window.append(context.now)
    context.most_per_second = max(context.most_per_second, len(window))
    return len(window) - before_count


@then('no target gets more than {limit:d} requests in a second')
def check_most(context: Any, limit: int) -> None:
    """Compare the most in a sliding second."""
    assert context.most_per_second <= limit, context.most_per_second


@then('some target gets more than {limit:d} requests in a second')
def check_overloaded(context: Any, limit: int) -> None:
    """Check that the load would be too high."""
    assert context.most_per_second > limit, context.most_per_second


@then('the targets get at least {least:d} requests a second on average')
def check_used(context: Any, least: int) -> None:
    """Check that cold targets are used and warm up."""
    assert context.mean_per_second >= least, context.mean_per_second


@given('{count:d} entries that exchange hints for {seconds:d} seconds')
def exchange_hints(context: Any, count: int, seconds: int) -> None:
    """Deliver each hint to the addresses that it is sent to."""
    addresses = [f'10.0.0.{number}:7' for number in range(count)]
    exchanges = {
        address: LoadExchange(
            address, 1, addresses[:_SEED_COUNT], NullRecorder()
        )
        for address in addresses
    }
    fleet = Fleet()
    heard: dict[str, set[str]] = {address: set() for address in addresses}
    now = _START
    for _ in range(seconds):
        now += _SECOND
        for sender, exchange in exchanges.items():
            hint = exchange.make_hint(fleet, now)
            for recipient in exchange.addresses:
                exchanges[recipient].apply_hint(hint, fleet, now)
                heard[recipient].add(sender)
    context.heard = heard


@then('each has heard all others')
def check_heard(context: Any) -> None:
    """Compare the senders that each entry received hints from."""
    for address, senders in context.heard.items():
        missing = set(context.heard) - senders - {address}
        assert not missing, (address, missing)
