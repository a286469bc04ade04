"""Life cycle of the fleets that scenarios start."""

from typing import Any


def before_scenario(context: Any, scenario: Any) -> None:
    """Mark that the scenario has no fleet yet."""
    context.fleet = None


def after_scenario(context: Any, scenario: Any) -> None:
    """Stop the fleet of the scenario, if there is one."""
    if context.fleet is not None:
        context.fleet.close()
