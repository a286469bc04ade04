"""Steps that run the soak."""

from typing import Any

from behave import then, when

from buckthornpond_platform_standins.soak import Soak

_LEAST_SERVED = 50


@when('the soak runs with seed {seed:d} for {seconds:d} seconds')
def run_soak(context: Any, seed: int, seconds: int) -> None:
    """Run the soak with real processes."""
    context.result = Soak(seed, seconds).run()


@then('no promise is broken, and requests were served')
def check_soak(context: Any) -> None:
    """Check what callers and servers saw."""
    result = context.result
    assert result.is_clean, (result.violations, result.faults)
    assert result.statuses[200] >= _LEAST_SERVED, result.statuses
