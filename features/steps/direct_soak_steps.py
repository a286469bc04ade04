"""Steps of the soak test."""

import random
import socket
import tempfile
import time
from pathlib import Path
from typing import Any

import gevent
from behave import given, then, when

from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.soak import NamedClient, Soak
from buckthornpond_platform_standins.soak_commands import write_report

_MIN_SERVED_REQUESTS = 50


@when('the soak runs with seed {seed:d} for {seconds:d} seconds')
def run_soak(context: Any, seed: int, seconds: int) -> None:
    """Run the soak with entry processes."""
    context.result = Soak(seed, seconds).run()


@then('no invariant is violated and requests were served')
def check_soak(context: Any) -> None:
    """Check the results that callers and servers recorded."""
    result = context.result
    assert result.is_clean, (result.violations, result.faults)
    assert result.statuses[200] >= _MIN_SERVED_REQUESTS, result.statuses


@given('a caller of a soak that waits for its answer')
def start_caller(context: Any) -> None:
    """Send a request to a socket that this process need not serve."""
    listener = socket.create_server(('127.0.0.1', 0))
    context.add_cleanup(listener.close)
    soak = Soak(1, 0)
    context.add_cleanup(soak._close)
    client = NamedClient(f'127.0.0.1:{listener.getsockname()[1]}', '0')
    context.soak = soak
    context.caller = gevent.spawn(soak._send_request, client, random.Random(1))
    wait_until(lambda: soak._sent_requests)
    context.peer = listener.accept()[0]
    context.add_cleanup(context.peer.close)


@when('no answer comes, and the soak writes its report')
def report_missing(context: Any) -> None:
    """Let the soak judge the response and write its report."""
    soak = context.soak
    response, kind = context.caller.get()
    soak._check_response(response, kind, 1, time.monotonic() - 4)
    soak._entries[1].log_path.write_text('{"event":"attempt_placed"}\n')
    soak._close()
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.report = Path(folder.name)
    write_report(soak.result, context.report)


@then('the violation names the entry and when the request was sent')
def check_violation(context: Any) -> None:
    """Look for both in the text."""
    violations = context.soak.result.violations
    assert len(violations) == 1, violations
    wanted = 'no response in time, sent to entry 1 at '
    assert wanted in violations[0], violations


@then('the report holds the log of that entry')
def check_report_log(context: Any) -> None:
    """Read the file with the log."""
    written = (context.report / 'soak-1-entry-1.log').read_text()
    assert written == '{"event":"attempt_placed"}\n', written
