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
    bears = click.option('--cold-tokens', default=60_000, help='Borne cold.')
    pads = click.option('--padding-bytes', default=0, help='To each event.')
    return bears(pads(command))


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
@click.option('--ignore-fencing', is_flag=True, help='Take any order.')
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
        is_checking_fencing=not ignore_fencing,
        padding_bytes=padding_bytes,
    )
    gevent.spawn(stand_in.run)
    StandInServer(address, stand_in).serve_forever()


@main.command()
@click.argument('address')
@click.option('--delay-ms', default=20, help='Time of one call.')
def plain(address: str, delay_ms: int) -> None:
    """Run a plain service at ADDRESS."""
    StandInServer(address, PlainStandIn(delay_ms / 1000)).serve_forever()


@main.command()
def load() -> None:
    """Send the load that the standard input describes."""
    shape = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadShape)
    sys.stdout.buffer.write(msgspec.json.encode(run_load(shape)))


@main.command()
@click.argument('address')
def faulty(address: str) -> None:
    """Run a target at ADDRESS that breaks the protocol."""
    FaultyServer(address).serve_forever()


main.add_command(bench)
