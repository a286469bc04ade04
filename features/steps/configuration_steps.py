"""Steps on the dissemination decisions and the read schedule."""

from collections.abc import Collection
from datetime import timedelta
from typing import Any

from behave import then, when
from hypothesis import given as generate
from hypothesis import settings
from hypothesis import strategies as st

from buckthornpond_core._generated.events import DocumentReadResult
from buckthornpond_core._generated.inventory import (
    Instance,
    Inventory,
    Target,
)
from buckthornpond_core._generated.messages import (
    ConfigurationVersion,
    Document,
    DocumentName,
    DocumentRequest,
)
from buckthornpond_core.configuration.acceptance import digest_content
from buckthornpond_core.configuration.documents import Configuration
from buckthornpond_core.configuration.readers import (
    AllReaders,
    RankedReaders,
    ReaderLimits,
    ReadSchedule,
)
from features.specs.version_dissemination import (
    Guards,
    check_specification,
    compare_with_classes,
    make_exchange,
    make_rules_document,
)

_RULES = DocumentName.rules
_LIMITS = ReaderLimits(
    poll_interval=timedelta(seconds=1),
    watch_timeout=timedelta(0),
    takeover_delay=timedelta(seconds=6),
    readers_per_zone=2,
)
_UNREAD_VERSIONS = dict.fromkeys(DocumentName, 0)


@when('the dissemination of versions is explored with {restarts:d} restarts')
def explore_whole(context: Any, restarts: int) -> None:
    """Explore the specification with all its guards."""
    context.report = check_specification(Guards(), restarts)


@when('the dissemination of versions is explored without {guard:w}')
def explore_variant(context: Any, guard: str) -> None:
    """Explore the specification without one guard."""
    restarts = 0 if guard == 'order' else 1
    context.report = check_specification(
        Guards(**{f'has_{guard}': False}), restarts
    )


@when(
    'the dissemination of versions is explored with 1 restart '
    'and holds that end early'
)
def explore_cut(context: Any) -> None:
    """Explore with a hold that ends before any peer answers."""
    context.report = check_specification(Guards(allows_early_release=True), 1)


@then('every invariant of the dissemination holds')
def check_invariants(context: Any) -> None:
    """Check that the exploration was exhaustive and found no violation."""
    assert context.report['exhaustive']
    properties = context.report['properties']
    assert all(each['holds'] is True for each in properties.values()), (
        properties
    )


@then('the model checker finds a violation of "{name}"')
def check_found(context: Any, name: str) -> None:
    """Check that the invariant does not hold."""
    verdict = context.report['properties'][name]
    assert verdict['holds'] is False, verdict


@then('the invariant "never falls in one life" holds')
def check_rising(context: Any) -> None:
    """Check the invariant that does not depend on peers."""
    verdict = context.report['properties']['never falls in one life']
    assert verdict['holds'] is True, verdict


@when(
    'the decision classes are stepped through {count:d} states '
    'of the specification'
)
def step_classes(context: Any, count: int) -> None:
    """Compare each step of the specification with the real classes."""
    context.compared_count = compare_with_classes(count, 2)


@then('they agree at more than {count:d} steps')
def check_compared(context: Any, count: int) -> None:
    """Check that the comparison was not empty."""
    assert context.compared_count > count, context.compared_count


@then(
    '{count:d} generated histories put the document '
    'of the naive reference in force'
)
def compare_histories(context: Any, count: int) -> None:
    """Deliver documents in any order, some repeatedly and some invalid."""
    version = st.integers(1, 6)
    note = st.sampled_from(['', 'a', 'b', 'broken'])

    @settings(derandomize=True, max_examples=count, database=None)
    @generate(st.lists(st.tuples(version, note), max_size=12))
    def run(history: list[tuple[int, str]]) -> None:
        exchange = make_exchange(timedelta(0), 0)
        documents = [_make_document(*each) for each in history]
        for document in documents:
            exchange.take(document, 'peer')
        valid = [
            (each.version, digest_content(each.content))
            for each in documents
            if not each.content.startswith(b'broken')
        ]
        stamp = exchange._configuration.stamps[_RULES]
        assert (stamp.version, stamp.digest) == max(valid, default=(0, 0))

    run()


def _make_document(version: int, note: str) -> Document:
    document = make_rules_document(version, note)
    if note == 'broken':
        document.content = b'broken'
    return document


@when('two processes receive two contents of version 4 in opposite order')
def deliver_both(context: Any) -> None:
    """Deliver two documents to two processes."""
    documents = [make_rules_document(4, 'a'), make_rules_document(4, 'b')]
    context.exchanges = [make_exchange(timedelta(0), 0) for _ in range(2)]
    for document in documents:
        context.exchanges[0].take(document, 'platform')
    for document in reversed(documents):
        context.exchanges[1].take(document, 'platform')


@then('both have the same content in force')
def check_same(context: Any) -> None:
    """Compare the contents and the digests carried by messages."""
    first, second = (each._configuration for each in context.exchanges)
    assert first.contents == second.contents
    assert first.version.digest == second.version.digest


def _make_rules_version(version: int) -> ConfigurationVersion:
    return ConfigurationVersion(inventory_version=0, rules_version=version)


@when(
    '{count:d} peers report a newer version repeatedly '
    'before the document arrives'
)
def tell_often(context: Any, count: int) -> None:
    """Let each peer report its version 20 times within a second."""
    exchange = make_exchange(timedelta(0), 0)
    context.requests = []
    for turn in range(20):
        now = timedelta(milliseconds=50 * turn)
        for peer in range(count):
            context.requests.extend(
                exchange.record_peer_versions(
                    f'{peer}', _make_rules_version(7), now
                )
            )
        context.requests.extend(exchange.tick(now))


@then('the process has asked {count:d} peer')
def check_asked(context: Any, count: int) -> None:
    """Count the requests."""
    assert len(context.requests) == count, len(context.requests)


@then('a peer sends a document only on request')
def check_not_pushed(context: Any) -> None:
    """Check that a peer that is ahead sends nothing until it is asked."""
    ahead = make_exchange(timedelta(0), 0)
    ahead.take(make_rules_document(7), 'platform')
    assert not ahead.record_peer_versions(
        'behind', _make_rules_version(1), timedelta(0)
    )
    request = DocumentRequest(name=_RULES, version=1, digest=0)
    assert len(ahead.answer('behind', request, timedelta(0))) == 1


@when('the first peer that was asked does not reply')
def ask_silent(context: Any) -> None:
    """Let two peers report a version and send no reply."""
    context.exchange = make_exchange(timedelta(0), 0)
    requests = context.exchange.record_peer_versions(
        'one', _make_rules_version(3), timedelta(0)
    )
    requests.extend(
        context.exchange.record_peer_versions(
            'two', _make_rules_version(3), timedelta(0)
        )
    )
    assert [each.peer for each in requests] == ['one']


@then('another peer is asked after the request timeout')
def check_replaced(context: Any) -> None:
    """Let the request time out."""
    requests = context.exchange.tick(timedelta(seconds=3))
    assert [each.peer for each in requests] == ['two']


@when('an invalid document of version 5 is received')
def take_broken(context: Any) -> None:
    """Request a document and receive an invalid one."""
    context.exchange = make_exchange(timedelta(0), 0)
    assert context.exchange.record_peer_versions(
        'one', _make_rules_version(5), timedelta(0)
    )
    assert not context.exchange.take(_make_document(5, 'broken'), 'one')


@then('version 5 is not requested again and is not read again')
def check_not_repeated(context: Any) -> None:
    """Let the peer report the same version later."""
    later = timedelta(seconds=30)
    assert not context.exchange.record_peer_versions(
        'one', _make_rules_version(5), later
    )
    assert not context.exchange._dissemination.tick(later)
    assert context.exchange._dissemination.after_versions[_RULES] == 5


@then('version 6 is accepted afterwards')
def check_mended(context: Any) -> None:
    """Deliver the corrected document."""
    assert context.exchange.take(make_rules_document(6), 'one')


class _FleetReads:
    """Read schedules of many processes that exchange the age of reads."""

    def __init__(self, count: int, *, is_ranked: bool) -> None:
        names = [f'engine-{number}' for number in range(count)]
        configuration = build_configuration(names)
        self.zones = configuration.instances
        self.schedules: dict[str, ReadSchedule] = {}
        self.read_counts: list[int] = []
        self.last_read_at = timedelta(days=-1)
        for name in names:
            policy = (
                RankedReaders(
                    name,
                    configuration.instances[name].availability_zone,
                    configuration,
                    _LIMITS,
                )
                if is_ranked
                else AllReaders(_LIMITS.poll_interval)
            )
            self.schedules[name] = ReadSchedule(policy, _LIMITS, configuration)

    def run(
        self,
        start: int,
        seconds: int,
        failed: Collection[str] = (),
        *,
        is_service_up: bool = True,
    ) -> None:
        """Let the schedules read and exchange the age of reads each second."""
        for second in range(start, start + seconds):
            now = timedelta(seconds=second)
            age_ms = (now - self.last_read_at) // timedelta(milliseconds=1)
            reported = _make_rules_version(1)
            reported.read_age_ms = min(age_ms, 3_600_000)
            count = 0
            for name, schedule in self.schedules.items():
                if name not in failed:
                    schedule.record_peer_versions(reported, now)
                    count += self._read(schedule, now, is_service_up)
            self.read_counts.append(count)

    def find_readers(self) -> frozenset[str]:
        """Return the processes that read while reads succeed."""
        now = timedelta(days=1)
        for schedule in self.schedules.values():
            reported = _make_rules_version(1)
            reported.read_age_ms = 0
            schedule.record_peer_versions(reported, now)
        return frozenset(
            name
            for name, each in self.schedules.items()
            if each.tick(_UNREAD_VERSIONS, now)
        )

    def _read(
        self,
        schedule: ReadSchedule,
        now: timedelta,
        is_service_up: bool,
    ) -> int:
        count = 0
        for read in schedule.tick(_UNREAD_VERSIONS, now):
            result = DocumentReadResult(
                name=read.name,
                is_reached=is_service_up,
                version=0,
                content=b'',
            )
            schedule.take(result, now)
            count += read.name is _RULES
            if is_service_up:
                self.last_read_at = now
        return count


def build_configuration(names: list[str]) -> Configuration:
    configuration = Configuration()
    inventory = Inventory(
        version=1,
        availability_zones=['zone-0', 'zone-1', 'zone-2'],
        instances=[
            Instance(
                name=name,
                availability_zone=f'zone-{number % 3}',
                agent_address='127.0.0.1:1',
                target=Target(address='127.0.0.1:2'),
            )
            for number, name in enumerate(names)
        ],
        services=[],
        organisations=[],
    )
    configuration.accept_inventory(inventory, b'1')
    return configuration


@when('fleets of 30 and 300 processes run for 60 seconds')
def run_fleets(context: Any) -> None:
    """Count the reads for each fleet size and policy."""
    context.totals = {}
    for is_ranked in (True, False):
        for count in (30, 300):
            fleet = _FleetReads(count, is_ranked=is_ranked)
            fleet.run(0, 60)
            context.totals[is_ranked, count] = sum(fleet.read_counts)


@then('both read the service equally often with ranked readers')
def check_equal_reads(context: Any) -> None:
    """Check for both sizes that 6 processes read once a second."""
    totals = context.totals
    assert totals[True, 300] == totals[True, 30] == 6 * 60, totals


@then('reads grow tenfold when every process reads')
def check_naive_reads(context: Any) -> None:
    """Check the growth of the baseline."""
    totals = context.totals
    assert totals[False, 300] == 10 * totals[False, 30], totals


@when('all regular readers of each zone fail')
def kill_readers(context: Any) -> None:
    """Run a fleet without the readers of the first ranks."""
    context.reads = _FleetReads(30, is_ranked=True)
    context.reads.run(0, 5)
    failed = _FleetReads(30, is_ranked=True).find_readers()
    assert len(failed) == 6, failed
    context.reads.run(5, 30, failed)


@then('a read reaches the service within three takeover delays')
def check_takeover(context: Any) -> None:
    """Count the reads after the failure."""
    counts_after_failure = context.reads.read_counts[5:]
    assert sum(counts_after_failure[:18]) > 0, counts_after_failure


@when('the service is down for a fleet of 900 processes in 3 zones')
def run_without_service(context: Any) -> None:
    """Run until every rank reads."""
    context.reads = _FleetReads(900, is_ranked=True)
    context.reads.run(0, 5)
    context.reads.run(5, 400, is_service_up=False)


@then('it gets at most {count:d} reads a second of one document')
def check_bounded_reads(context: Any, count: int) -> None:
    """Check the mean of every window of ten seconds."""
    counts = context.reads.read_counts
    means = [
        sum(counts[start : start + 10]) / 10
        for start in range(5, len(counts) - 10)
    ]
    assert max(means) <= count, max(means)
