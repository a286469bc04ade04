"""Parts of the command line that entry and agent share."""

import functools
import sys
from collections.abc import Callable
from pathlib import Path
from typing import ParamSpec

import click

from buckthornpond_core.exceptions import BuckthornpondError

from .documents import parse_inventory, parse_rules
from .settings import load_settings

ParametersT = ParamSpec('ParametersT')


def show_errors(
    command: Callable[ParametersT, None],
) -> Callable[ParametersT, None]:
    """Print the project's errors to standard error and set the exit code.

    :param command: function of a command.
    """

    @functools.wraps(command)
    def wrapper(
        *args: ParametersT.args,
        **kwargs: ParametersT.kwargs,
    ) -> None:
        try:
            command(*args, **kwargs)
        except BuckthornpondError as error:
            click.echo(error.format_for_terminal(), err=True)
            sys.exit(error.exit_code)

    return wrapper


def check_command(settings_type: type) -> click.Group:
    """Return the commands that check files offline.

    :param settings_type: the generated class of the binary's settings.
    """

    @click.group()
    def check() -> None:
        """Check a file offline; exit code 2 when it has faults."""

    @check.command()
    @click.argument('path', type=click.Path())
    @show_errors
    def settings(path: str) -> None:
        """Check the settings in PATH."""
        load_settings(path, settings_type)
        click.echo(f'{path}: valid settings')

    @check.command()
    @click.argument('path', type=click.Path(exists=True))
    @show_errors
    def inventory(path: str) -> None:
        """Check the inventory in PATH."""
        found = parse_inventory(Path(path).read_bytes(), path)
        click.echo(f'{path}: valid inventory, version {found.version}')

    @check.command()
    @click.argument('path', type=click.Path(exists=True))
    @show_errors
    def rules(path: str) -> None:
        """Check the rules in PATH."""
        found = parse_rules(Path(path).read_bytes(), path)
        click.echo(f'{path}: valid rules, version {found.version}')

    return check
