"""Steps of the soak test."""

import random
import socket
import tempfile
import time
from pathlib import Path
from typing import Any
from unittest import mock

import gevent
from behave import given, then, when

from buckthornpond_entry.direct.header_blocks import HeaderBlock
from buckthornpond_entry.direct.requests import CallerRequest
from buckthornpond_platform_standins.clients import ClientResponse
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.server_responses import ReceivedRequest
from buckthornpond_platform_standins.soak import Soak
from buckthornpond_platform_standins.soak_callers import NamedClient
from buckthornpond_platform_standins.soak_commands import write_report
from buckthornpond_platform_standins.soak_profiles import SoakProfile
from buckthornpond_platform_standins.soak_results import (
    CutRequest,
    SoakResult,
)

_MIN_SERVED_REQUESTS = 50


@when('the soak runs with seed {seed:d} for {seconds:d} seconds')
def run_soak(context: Any, seed: int, seconds: int) -> None:
    """Run the soak with entry processes."""
    context.result = Soak(seed, seconds).run()


@when('the soak runs with seed {seed:d} for 8 seconds and {profile} faults')
def run_profile(context: Any, seed: int, profile: str) -> None:
    """Run the soak with a set of faults."""
    soak = Soak(seed, 8, 3, SoakProfile(profile))
    context.result = soak.run()


def _cut(result: SoakResult, attempt_id: str, seconds: float) -> None:
    response = ClientResponse(attempt_id)
    response.error = 'reset'
    cut = CutRequest(response, 'read', 0, time.monotonic())
    cut.seconds = seconds
    result.cuts.append(cut)


@given('a request that was passed on before its connection closed')
def cut_passed_on(context: Any) -> None:
    """Let a server have received a request that was cut at once."""
    context.result = SoakResult(1)
    _cut(context.result, 'passed-on', 0)
    head = HeaderBlock()
    head.add(b'X-Attempt-Id', b'passed-on')
    request = CallerRequest('GET', '/', head, is_http10=False)
    context.servers = [mock.Mock(received=[ReceivedRequest(request)])]


@given(
    'one that was cut {first:g} seconds after it was sent, and one after'
    ' {last:g} seconds'
)
def cut_others(context: Any, first: float, last: float) -> None:
    """Cut two requests that reached no server."""
    _cut(context.result, 'crossed', first)
    _cut(context.result, 'held', last)


@when('the cut requests are judged')
def judge_cuts(context: Any) -> None:
    """Check them as the soak does."""
    context.result.check_cuts(context.servers)


@then('the first and the last are reported')
def check_reported(context: Any) -> None:
    """Compare the violations with the requests."""
    violations = context.result.violations
    assert len(violations) == 2, violations
    assert 'passed-on' in violations[0], violations
    assert 'held' in violations[1], violations


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
    context.caller = gevent.spawn(
        soak.callers.send_request, client, random.Random(1)
    )
    wait_until(lambda: soak.callers.sent_requests)
    context.peer = listener.accept()[0]
    context.add_cleanup(context.peer.close)


@when('no answer comes, and the soak writes its report')
def report_missing(context: Any) -> None:
    """Let the soak judge the response and write its report."""
    soak = context.soak
    response, kind = context.caller.get()
    soak.callers.check_response(response, kind, 1, time.monotonic() - 4)
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
