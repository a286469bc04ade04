"""Command line of the stand-ins."""

import secrets
import sys
from collections.abc import Callable
from typing import Any, TypeVar

import click
import gevent
import msgspec

from .bench_commands import bench
from .engine import EngineCosts, EngineStandIn
from .faulty import FaultyServer
from .loads import LoadShape, run_load
from .plain import PlainStandIn
from .platform import PlatformStandIn
from .servers import StandInServer

CommandT = TypeVar('CommandT', bound=Callable[..., Any])


def _size_options(command: CommandT) -> CommandT:
    add_cold_tokens = click.option(
        '--cold-tokens', default=60_000, help='Most tokens while cold.'
    )
    add_padding_bytes = click.option(
        '--padding-bytes', default=0, help='Padding of each event.'
    )
    return add_cold_tokens(add_padding_bytes(command))


@click.group()
def main() -> None:
    """Stand-ins of the platform and the targets."""


@main.command()
@click.argument('address')
def platform(address: str) -> None:
    """Run the configuration service and the instance list at ADDRESS."""
    StandInServer(address, PlatformStandIn()).serve_forever()


@main.command()
@click.argument('address')
@click.option('--time-scale', default=1.0, help='Factor on all times.')
@_size_options
@click.option('--ignore-fencing', is_flag=True, help='Accept stale orders.')
def engine(
    address: str,
    time_scale: float,
    cold_tokens: int,
    padding_bytes: int,
    ignore_fencing: bool,
) -> None:
    """Run a model engine at ADDRESS."""
    costs = EngineCosts(time_scale=time_scale, cold_tokens=cold_tokens)
    stand_in = EngineStandIn(
        costs,
        secrets.token_hex(4),
        checks_fencing=not ignore_fencing,
        padding_bytes=padding_bytes,
    )
    gevent.spawn(stand_in.run)
    StandInServer(address, stand_in).serve_forever()


@main.command()
@click.argument('address')
@click.option('--delay-ms', default=20, help='Duration of one call.')
def plain(address: str, delay_ms: int) -> None:
    """Run a plain service at ADDRESS."""
    StandInServer(address, PlainStandIn(delay_ms / 1000)).serve_forever()


@main.command()
def load() -> None:
    """Send the load that standard input describes, and print the result."""
    shape = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadShape)
    sys.stdout.buffer.write(msgspec.json.encode(run_load(shape)))


@main.command()
@click.argument('address')
def faulty(address: str) -> None:
    """Run a target at ADDRESS that sends malformed responses."""
    FaultyServer(address).serve_forever()


main.add_command(bench)
