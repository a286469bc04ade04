"""Steps that compare the lookup of routes with its definition."""

from typing import Any

from behave import then, when
from hypothesis import strategies as st

from buckthornpond_core._generated.serving import (
    CallerLimits,
    Route,
    ServingConfiguration,
)
from buckthornpond_core.serving.routes import RouteTable
from features.steps.direct_fuzz_steps import run_generated

_HOST = 'host.example'
_PATHS = st.lists(
    st.sampled_from(['/', 'a', 'b', 'ab', '/a/']), max_size=8
).map(''.join)
_PREFIXES = st.lists(_PATHS.map(lambda path: f'/{path}/'), max_size=8)


@when('{count:d} paths are looked up among routes with any prefixes')
def look_up_paths(context: Any, count: int) -> None:
    """Look up generated paths, and keep each difference."""
    context.differences = []

    def check(example: tuple[list[str], str]) -> None:
        prefixes, path = example
        routes = [_make_route(prefix) for prefix in prefixes]
        table = RouteTable(ServingConfiguration(1, routes, [], CallerLimits()))
        found = table.find(_HOST, f'/{path}?/a/b/')
        known = found.path_prefix if found else ''
        wanted = max(
            filter(f'/{path}'.startswith, prefixes), key=len, default=''
        )
        if known != wanted:
            context.differences.append((prefixes, path, known, wanted))

    run_generated(count, st.tuples(_PREFIXES, _PATHS), check)


@then('each has the route whose prefix is its longest one')
def check_differences(context: Any) -> None:
    """Report the first differences."""
    assert not context.differences, context.differences[:3]


def _make_route(prefix: str) -> Route:
    return Route(
        name=prefix,
        host_name=_HOST,
        path_prefix=prefix,
        shares=[],
        is_stream=False,
        may_repeat=True,
        time_limit_ms=1000,
        objective_ms=100,
    )
