"""Steps for what each reader keeps of bytes that do not end."""

from typing import Any

from behave import given, then, when

from buckthornpond_platform_standins.endless import EndlessPart, EndlessServer
from features.specs.counts import report
from features.specs.measured_readers import measure_kept_bytes
from features.specs.process_worlds import ProcessWorld

_KIBIBYTE = 1024


@given('a server that sends {part} without end')
def start_server(context: Any, part: str) -> None:
    """Start a server that sends as fast as it can."""
    context.fleet = ProcessWorld()
    context.server = EndlessServer(EndlessPart(part))
    context.fleet.peers.append(context.server)


@when('{reader} reads from it')
def read_endless(context: Any, reader: str) -> None:
    """Let a reader of this process read until it gives up."""
    context.kept_bytes = measure_kept_bytes(reader, context.server.address)
    report(f'kept {context.kept_bytes / _KIBIBYTE:.0f} KiB')


@then('it gives up and has kept at most {kibibytes:d} KiB')
def check_kept(context: Any, kibibytes: int) -> None:
    """Compare the most memory of the reader with its bound."""
    assert context.kept_bytes <= kibibytes * _KIBIBYTE, context.kept_bytes
