"""Time to first token and inter-token latency, added over the engine."""

from collections.abc import Sequence
from types import MappingProxyType

import click
import numpy

from .fleets import CREDENTIAL, Fleet
from .loads import LoadResult, LoadShape, merge_result
from .samples import send_load

_ENGINE_COUNT = 4
_LOAD_PROCESS_COUNT = 4
_REQUESTS_PER_CALLER = MappingProxyType({1: 40, 16: 10})
_DEFAULT_REQUESTS_PER_CALLER = 2
# A fast engine keeps its batch steps short compared with the added latency.
_TIME_SCALES = MappingProxyType({1: 0.1, 16: 0.25})
_PERCENTILES = (50, 95, 99)
_MAX_LOAD_PROCESS_PERCENT = 70


def measure_latency(rounds: int, callers: Sequence[int]) -> None:
    """Print latencies of direct and proxied requests, interleaved in one run.

    :param rounds: rounds of each kind for each number of callers.
    :param callers: numbers of requests in flight to measure.
    """
    for caller_count in callers:
        _measure_callers(rounds, caller_count)


def _measure_callers(rounds: int, caller_count: int) -> None:
    direct = LoadResult()
    proxied = LoadResult()
    time_scale = _TIME_SCALES.get(caller_count, 1)
    with Fleet(
        engine_count=_ENGINE_COUNT,
        plain_count=0,
        entry_count=1,
        engine_arguments=['--time-scale', str(time_scale)],
    ) as fleet:
        engines = [each.target_address for each in fleet.engines]
        for _ in range(rounds):
            merge_result(direct, send_load(_split_load(engines, caller_count)))
            merge_result(
                proxied,
                send_load(_split_load(fleet.entry_addresses, caller_count)),
            )
    _print_comparison(caller_count, direct, proxied)


def _split_load(addresses: list[str], caller_count: int) -> list[LoadShape]:
    processes = min(_LOAD_PROCESS_COUNT, caller_count)
    return [
        LoadShape(
            addresses=addresses,
            credential=CREDENTIAL,
            caller_count=caller_count // processes,
            request_count=_REQUESTS_PER_CALLER.get(
                caller_count,
                _DEFAULT_REQUESTS_PER_CALLER,
            ),
        )
        for _ in range(processes)
    ]


def _print_comparison(
    caller_count: int,
    direct: LoadResult,
    proxied: LoadResult,
) -> None:
    click.echo(
        f'{caller_count} callers: {direct.complete_count} direct and '
        f'{proxied.complete_count} through complete, '
        f'{direct.failed_count} and {proxied.failed_count} failed',
    )
    for name, direct_times, proxied_times in (
        ('first token', direct.first_ms, proxied.first_ms),
        ('between tokens', direct.gap_ms, proxied.gap_ms),
    ):
        click.echo(
            f'  {name}: {_render_comparison(direct_times, proxied_times)}',
        )
    busy_percent = 100 * proxied.processor_seconds / proxied.wall_seconds
    if busy_percent / _LOAD_PROCESS_COUNT > _MAX_LOAD_PROCESS_PERCENT:
        click.echo('  the load processes were the bottleneck')


def _render_comparison(
    direct_times: list[float],
    proxied_times: list[float],
) -> str:
    parts = []
    for percentile in _PERCENTILES:
        direct_ms = float(numpy.percentile(direct_times, percentile))
        proxied_ms = float(numpy.percentile(proxied_times, percentile))
        parts.append(
            f'p{percentile} {direct_ms:.2f} -> {proxied_ms:.2f} ms '
            f'({proxied_ms - direct_ms:+.2f})',
        )
    return ', '.join(parts)
