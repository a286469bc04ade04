"""What callers that read nothing hold, and what others notice of them."""

import time
from functools import partial

import click
import numpy
from gevent import sleep

from .fleets import CREDENTIAL, Fleet, call_json, wait_until
from .idle_readers import close_all, start_idle_readers
from .kernel_queues import count_queued_bytes
from .loads import LoadResult, LoadShape, merge_result
from .samples import send_load
from .scrapes import scrape
from .usage import ProcessUsage

_PADDING_BYTES = 2000
_OUTPUT_TOKENS = 250
_TIME_LIMIT_MS = 300_000
_KIB = 1024
_STALL_SECONDS = 120
_POLL_SECONDS = 1
_NORMAL = LoadShape(
    addresses=[],
    credential=CREDENTIAL,
    caller_count=4,
    request_count=5,
)


class _Held:
    """Bytes held in each place at one moment.

    :param fleet: a fleet of one entry and one engine.
    """

    __slots__ = (
        'agent_answer',
        'agent_resident',
        'engine_count',
        'entry_answer',
        'entry_body',
        'entry_kernel',
        'entry_resident',
        'target_kernel',
    )

    def __init__(self, fleet: Fleet) -> None:
        instance = fleet.engines[0]
        entry = scrape(fleet.entry_administration_addresses[0])
        agent = scrape(instance.administration_address)
        target = count_queued_bytes(instance.target_address)
        load = call_json(instance.target_address, 'GET', '/load')
        callers = count_queued_bytes(fleet.entry_addresses[0])
        self.entry_answer = entry['held_answer_bytes']
        self.entry_body = entry['held_body_bytes']
        self.agent_answer = agent['held_answer_bytes']
        self.entry_kernel = callers.sent
        self.target_kernel = target.sent + target.unread
        self.engine_count = int(load['running_count'])
        self.entry_resident = _read_resident(fleet.entries[0].identifier)
        agent_process = instance.agent
        identifier = agent_process.identifier if agent_process else 0
        self.agent_resident = _read_resident(identifier)


class _Comparison:
    """Times of normal callers in rounds without and with idle readers."""

    __slots__ = ('alone', 'beside')

    def __init__(self) -> None:
        self.alone = LoadResult()
        self.beside = LoadResult()

    def report(self) -> None:
        """Print the ratios of the medians and 95th percentiles."""
        for name, alone, beside in (
            ('first token', self.alone.first_ms, self.beside.first_ms),
            ('between tokens', self.alone.gap_ms, self.beside.gap_ms),
        ):
            click.echo(
                f'  {name}: p50 x{_ratio(alone, beside, 50):.2f}, '
                f'p95 x{_ratio(alone, beside, 95):.2f}',
            )
        failed = self.alone.failed_count + self.beside.failed_count
        click.echo(
            f'  normal requests: {self.alone.complete_count} and '
            f'{self.beside.complete_count} complete, {failed} failed',
        )


def measure_slow_readers(counts: tuple[int, ...], rounds: int) -> None:
    """Print bytes held per idle reader and the ratios of other callers.

    :param counts: numbers of idle readers.
    :param rounds: interleaved rounds for each number.
    """
    for count in counts:
        with Fleet(
            engine_count=1,
            plain_count=0,
            entry_count=1,
            engine_arguments=[f'--padding-bytes={_PADDING_BYTES}'],
        ) as fleet:
            _measure_count(fleet, count, rounds)


def _measure_count(fleet: Fleet, count: int, rounds: int) -> None:
    comparison = _Comparison()
    _send_normal(fleet)
    for number in range(rounds):
        before = _Held(fleet)
        merge_result(comparison.alone, _send_normal(fleet))
        readers = start_idle_readers(
            fleet.entry_addresses[0],
            count,
            output_tokens=_OUTPUT_TOKENS,
            time_limit_ms=_TIME_LIMIT_MS,
        )
        stalled = _wait_stalled(fleet)
        _report_held(count, before, stalled)
        merge_result(comparison.beside, _send_normal(fleet))
        close_all(readers)
        begun = time.monotonic()
        wait_until(partial(_is_empty, fleet), _STALL_SECONDS)
        seconds = time.monotonic() - begun
        click.echo(f'  round {number}: empty {seconds:.1f} s after hang-up')
    comparison.report()


def _report_held(count: int, before: _Held, stalled: _Held) -> None:
    click.echo(f'{count} idle readers, KiB each:')
    for name in (
        'entry_answer',
        'entry_body',
        'entry_kernel',
        'entry_resident',
        'agent_answer',
        'agent_resident',
        'target_kernel',
    ):
        grown = getattr(stalled, name) - getattr(before, name)
        click.echo(f'  {name}: {grown / count / _KIB:.1f}')
    click.echo(f'  streams in the engine: {stalled.engine_count}')


def _send_normal(fleet: Fleet) -> LoadResult:
    shape = LoadShape(
        addresses=fleet.entry_addresses,
        credential=_NORMAL.credential,
        caller_count=_NORMAL.caller_count,
        request_count=_NORMAL.request_count,
    )
    return send_load([shape])


def _wait_stalled(fleet: Fleet) -> _Held:
    # What each place holds no longer changes once every window is spent.
    deadline = time.monotonic() + _STALL_SECONDS
    previous = _Held(fleet)
    while time.monotonic() < deadline:
        sleep(_POLL_SECONDS)
        held = _Held(fleet)
        if held.target_kernel and _is_same(previous, held):
            return held
        previous = held
    raise TimeoutError('idle readers did not stall')


def _is_same(first: _Held, second: _Held) -> bool:
    return (
        first.entry_answer == second.entry_answer
        and first.entry_kernel == second.entry_kernel
        and first.target_kernel == second.target_kernel
    )


def _is_empty(fleet: Fleet) -> bool:
    held = _Held(fleet)
    places = (
        held.entry_answer,
        held.entry_body,
        held.entry_kernel,
        held.agent_answer,
        held.target_kernel,
        held.engine_count,
    )
    return not any(places)


def _read_resident(process_number: int) -> int:
    return ProcessUsage(process_number).resident_kib * _KIB


def _ratio(alone: list[float], beside: list[float], quantile: int) -> float:
    slower = numpy.percentile(beside, quantile)
    return float(slower / numpy.percentile(alone, quantile))
