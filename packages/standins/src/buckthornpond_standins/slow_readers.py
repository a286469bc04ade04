"""Memory that idle readers occupy, and their effect on other callers."""

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

_EVENT_PADDING_BYTES = 2000
_OUTPUT_TOKENS = 250
_TIME_LIMIT_MS = 300_000
_BYTES_PER_KIB = 1024
_STALL_TIMEOUT_SECONDS = 120
_POLL_INTERVAL_SECONDS = 1
_NORMAL_LOAD = LoadShape(
    addresses=[],
    credential=CREDENTIAL,
    caller_count=4,
    request_count=5,
)


class _BufferUsage:
    """Bytes in the buffers of a fleet, and streams in its engine.

    :param fleet: fleet with one entry and one engine.
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
        self.entry_resident = _read_resident_bytes(fleet.entries[0].identifier)
        agent_process = instance.agent
        identifier = agent_process.identifier if agent_process else 0
        self.agent_resident = _read_resident_bytes(identifier)


class _Comparison:
    """Latencies of normal callers without and with idle readers."""

    __slots__ = ('baseline', 'loaded')

    def __init__(self) -> None:
        self.baseline = LoadResult()
        self.loaded = LoadResult()

    def report(self) -> None:
        """Print the ratios of the medians and 95th percentiles."""
        for name, baseline, loaded in (
            ('first token', self.baseline.first_ms, self.loaded.first_ms),
            ('between tokens', self.baseline.gap_ms, self.loaded.gap_ms),
        ):
            click.echo(
                f'  {name}: p50 x{_ratio(baseline, loaded, 50):.2f}, '
                f'p95 x{_ratio(baseline, loaded, 95):.2f}',
            )
        failed = self.baseline.failed_count + self.loaded.failed_count
        click.echo(
            f'  normal requests: {self.baseline.complete_count} and '
            f'{self.loaded.complete_count} complete, {failed} failed',
        )


def measure_slow_readers(counts: tuple[int, ...], rounds: int) -> None:
    """Print the bytes per idle reader and the slowdown of other callers.

    :param counts: numbers of idle readers.
    :param rounds: number of rounds for each; a round measures both cases.
    """
    for count in counts:
        with Fleet(
            engine_count=1,
            plain_count=0,
            entry_count=1,
            engine_arguments=[f'--padding-bytes={_EVENT_PADDING_BYTES}'],
        ) as fleet:
            _measure_reader_count(fleet, count, rounds)


def _measure_reader_count(fleet: Fleet, count: int, rounds: int) -> None:
    comparison = _Comparison()
    _send_normal_load(fleet)
    for number in range(rounds):
        before = _BufferUsage(fleet)
        merge_result(comparison.baseline, _send_normal_load(fleet))
        readers = start_idle_readers(
            fleet.entry_addresses[0],
            count,
            output_tokens=_OUTPUT_TOKENS,
            time_limit_ms=_TIME_LIMIT_MS,
        )
        stalled = _wait_stalled(fleet)
        _report_usage(count, before, stalled)
        merge_result(comparison.loaded, _send_normal_load(fleet))
        close_all(readers)
        closed_seconds = time.monotonic()
        wait_until(partial(_is_drained, fleet), _STALL_TIMEOUT_SECONDS)
        seconds = time.monotonic() - closed_seconds
        click.echo(
            f'  round {number}: buffers empty {seconds:.1f} s after disconnect'
        )
    comparison.report()


def _report_usage(
    count: int, before: _BufferUsage, stalled: _BufferUsage
) -> None:
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
        growth_bytes = getattr(stalled, name) - getattr(before, name)
        click.echo(f'  {name}: {growth_bytes / count / _BYTES_PER_KIB:.1f}')
    click.echo(f'  streams in the engine: {stalled.engine_count}')


def _send_normal_load(fleet: Fleet) -> LoadResult:
    shape = LoadShape(
        addresses=fleet.entry_addresses,
        credential=_NORMAL_LOAD.credential,
        caller_count=_NORMAL_LOAD.caller_count,
        request_count=_NORMAL_LOAD.request_count,
    )
    return send_load([shape])


def _wait_stalled(fleet: Fleet) -> _BufferUsage:
    # The buffers no longer change once every flow control window is exhausted.
    deadline = time.monotonic() + _STALL_TIMEOUT_SECONDS
    previous = _BufferUsage(fleet)
    while time.monotonic() < deadline:
        sleep(_POLL_INTERVAL_SECONDS)
        usage = _BufferUsage(fleet)
        if usage.target_kernel and _is_unchanged(previous, usage):
            return usage
        previous = usage
    raise TimeoutError('streams of the idle readers did not stall')


def _is_unchanged(first: _BufferUsage, second: _BufferUsage) -> bool:
    return (
        first.entry_answer == second.entry_answer
        and first.entry_kernel == second.entry_kernel
        and first.target_kernel == second.target_kernel
    )


def _is_drained(fleet: Fleet) -> bool:
    usage = _BufferUsage(fleet)
    places = (
        usage.entry_answer,
        usage.entry_body,
        usage.entry_kernel,
        usage.agent_answer,
        usage.target_kernel,
        usage.engine_count,
    )
    return not any(places)


def _read_resident_bytes(process_number: int) -> int:
    return ProcessUsage(process_number).resident_kib * _BYTES_PER_KIB


def _ratio(
    baseline: list[float], loaded: list[float], percentile: int
) -> float:
    loaded_ms = numpy.percentile(loaded, percentile)
    return float(loaded_ms / numpy.percentile(baseline, percentile))
