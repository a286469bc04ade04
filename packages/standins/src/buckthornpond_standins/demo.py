"""Demonstration of a fleet that loses an agent while it serves callers."""

import signal
import sys
import time
from typing import Any

import click
import gevent

from .caller_groups import start_bookings, start_completions
from .callers import CallerResult
from .fleets import Fleet, call_json

_SHORT_COUNT = 16
_LONG_COUNT = 2
_BOOKING_COUNT = 8
_HOLD_SLEEP_SECONDS = 60
_UNACCEPTABLE_OUTCOMES = frozenset(('lost', 'truncated'))


def run_demo() -> int:
    """Run the demonstration and return the exit code of the process."""
    with Fleet(engine_arguments=['--time-scale', '0.2']) as fleet:
        greenlets = _start_callers(fleet)
        gevent.sleep(0.5)
        victim = fleet.engines[0].agent
        if victim is not None:
            click.echo(f'killing the agent of {victim.name}')
            victim.signal(signal.SIGKILL)
        gevent.joinall(greenlets)
        results = [greenlet.value for greenlet in greenlets]
        executions = call_json(
            fleet.plains[0].target_address,
            'GET',
            '/executions',
        )
    return _report(results, executions)


def _start_callers(fleet: Fleet) -> list[Any]:
    addresses = fleet.entry_addresses
    return [
        *start_completions(
            addresses,
            _SHORT_COUNT,
            kind='short',
            prompt_tokens=1000,
            output_tokens=30,
        ),
        *start_completions(
            addresses,
            _LONG_COUNT,
            kind='long',
            prompt_tokens=150_000,
            output_tokens=30,
        ),
        *start_bookings(addresses, _BOOKING_COUNT, delay_seconds=1.2),
    ]


def _report(
    results: list[CallerResult],
    executions: dict[str, int],
) -> int:
    click.echo(
        f'{"request":12} {"outcome":16} {"code":24} '
        f'{"first ms":>9} {"total ms":>9} {"tokens":>7}',
    )
    for result in results:
        click.echo(
            f'{result.kind:12} {result.outcome:16} {result.code:24} '
            f'{result.first_token_seconds * 1000:9.0f} '
            f'{result.total_seconds * 1000:9.0f} {result.word_count:7}',
        )
    unacceptable = [
        each.kind for each in results if each.outcome in _UNACCEPTABLE_OUTCOMES
    ]
    executed_twice = [lot for lot, count in executions.items() if count > 1]
    wrongly_refused = [
        each.kind
        for each in results
        if each.outcome == 'not_run' and each.kind in executions
    ]
    complete = sum(each.outcome == 'complete' for each in results)
    click.echo(
        f'{complete} of {len(results)} complete, {len(unacceptable)} lost or '
        f'truncated, {len(executed_twice)} executed twice, '
        f'{len(wrongly_refused)} executed but reported as not run',
    )
    return 1 if unacceptable or executed_twice or wrongly_refused else 0


def hold_fleet() -> None:
    """Run a fleet until interrupted."""
    with Fleet() as fleet:
        click.echo(f'ENTRY={fleet.entry_addresses[0]}')
        while True:
            gevent.sleep(_HOLD_SLEEP_SECONDS)


def _interrupt(greenlet: Any) -> None:
    # Raises KeyboardInterrupt only where the greenlet waits, never between
    # the start of a process and its registration in the fleet.
    gevent.kill(greenlet, KeyboardInterrupt)


@click.command()
@click.option(
    '--hold',
    is_flag=True,
    help='Keep the fleet running until interrupted, for trying requests.',
)
def main(*, hold: bool) -> None:
    """Kill an agent of a small fleet while callers use it."""
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, _interrupt, gevent.getcurrent())
    if hold:
        hold_fleet()
    started_seconds = time.monotonic()
    code = run_demo()
    click.echo(f'{time.monotonic() - started_seconds:.1f} s')
    sys.exit(code)


if __name__ == '__main__':
    main()
