"""Steps that cancel the tasks of entries."""

import json
from functools import partial
from typing import Any

import eliot
import gevent
from behave import given, then, when
from gevent.event import Event

from buckthornpond_core.exceptions import BuckthornpondError, StopError
from buckthornpond_runtime.tasks import Supervisor
from features.steps.direct_steps import LogLines


def _wait_in_vain(release: Event) -> None:
    """Wait for an event, and once more when cancelled."""
    try:
        release.wait()
    finally:
        release.wait()


def _stop(context: Any, stop: Any) -> None:
    context.stop_error = None
    try:
        stop()
    except BuckthornpondError as error:
        context.stop_error = error


@given(
    'a supervisor with a task "{ending}" that ends and a task "{lasting}" '
    'that does not'
)
def start_tasks(context: Any, ending: str, lasting: str) -> None:
    """Start two tasks, one of which ignores that it is cancelled."""
    context.log_lines = LogLines()
    eliot.to_file(context.log_lines)
    release = Event()
    context.add_cleanup(release.set)
    context.supervisor = Supervisor()
    context.supervisor.start(ending, Event().wait)
    context.supervisor.start(lasting, partial(_wait_in_vain, release))
    gevent.sleep(0)


@when('the supervisor stops its tasks')
def stop_supervisor(context: Any) -> None:
    """Cancel the tasks."""
    _stop(context, context.supervisor.stop)


@then('the stop fails with an error that names "{name}" only')
def check_error(context: Any, name: str) -> None:
    """Check type and text of the error."""
    assert isinstance(context.stop_error, StopError), context.stop_error
    assert context.stop_error.peer == name, context.stop_error


@then('the log names "{name}" only, and the call in which it waits')
def check_log(context: Any, name: str) -> None:
    """Check the log lines about tasks that have not ended."""
    lines = list(map(json.loads, b''.join(context.log_lines).splitlines()))
    found = [line for line in lines if line['event'] == 'task_not_ended']
    assert [line['task'] for line in found] == [name], lines
    assert found[0]['calls'][-1].endswith(' _wait_in_vain'), found
