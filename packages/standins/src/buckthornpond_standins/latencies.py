"""Added time to first token and between tokens over the engine alone."""

from collections.abc import Sequence
from types import MappingProxyType

import click
import numpy

from .fleets import CREDENTIAL, Fleet
from .loads import LoadResult, LoadShape, merge_result
from .samples import send_load

_ENGINE_COUNT = 4
_LOAD_PROCESS_COUNT = 4
_REQUESTS = MappingProxyType({1: 40, 16: 10})
_FEW_REQUESTS = 2
# A fast engine makes the steps of its batches small beside what is measured.
_TIME_SCALES = MappingProxyType({1: 0.1, 16: 0.25})
_QUANTILES = (50, 95, 99)
_BUSY_PERCENT = 70


def measure_latency(rounds: int, callers: Sequence[int]) -> None:
    """Print times directly and through the product, interleaved in one run.

    :param rounds: rounds of each kind for each number of callers.
    :param callers: numbers of requests in flight.
    """
    for count in callers:
        _measure_callers(rounds, count)


def _measure_callers(rounds: int, count: int) -> None:
    direct = LoadResult()
    through = LoadResult()
    time_scale = _TIME_SCALES.get(count, 1)
    with Fleet(
        engine_count=_ENGINE_COUNT,
        plain_count=0,
        entry_count=1,
        engine_arguments=['--time-scale', str(time_scale)],
    ) as fleet:
        engines = [each.target_address for each in fleet.engines]
        for _ in range(rounds):
            merge_result(direct, send_load(_split(engines, count)))
            merge_result(
                through,
                send_load(_split(fleet.entry_addresses, count)),
            )
    _report(count, direct, through)


def _split(addresses: list[str], caller_count: int) -> list[LoadShape]:
    processes = min(_LOAD_PROCESS_COUNT, caller_count)
    return [
        LoadShape(
            addresses=addresses,
            credential=CREDENTIAL,
            caller_count=caller_count // processes,
            request_count=_REQUESTS.get(caller_count, _FEW_REQUESTS),
        )
        for _ in range(processes)
    ]


def _report(count: int, direct: LoadResult, through: LoadResult) -> None:
    click.echo(
        f'{count} callers: {direct.complete_count} direct and '
        f'{through.complete_count} through complete, '
        f'{direct.failed_count} and {through.failed_count} failed',
    )
    for name, before, after in (
        ('first token', direct.first_ms, through.first_ms),
        ('between tokens', direct.gap_ms, through.gap_ms),
    ):
        click.echo(f'  {name}: {_compare(before, after)}')
    busy = 100 * through.processor_seconds / through.wall_seconds
    if busy / _LOAD_PROCESS_COUNT > _BUSY_PERCENT:
        click.echo('  the load processes were the bottleneck')


def _compare(before: list[float], after: list[float]) -> str:
    parts = []
    for quantile in _QUANTILES:
        direct_ms = float(numpy.percentile(before, quantile))
        through_ms = float(numpy.percentile(after, quantile))
        parts.append(
            f'p{quantile} {direct_ms:.2f} -> {through_ms:.2f} ms '
            f'({through_ms - direct_ms:+.2f})',
        )
    return ', '.join(parts)
