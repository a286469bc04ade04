"""Steps for the command line, the checks and the documents."""

import json
import re
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import psutil
from behave import given, then, when

from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.refusals import REFUSALS
from buckthornpond_standins.callers import call_completion
from buckthornpond_standins.fleets import CREDENTIAL, wait_until

_ROOT = Path(__file__).resolve().parents[2]
_WRONG_CREDENTIAL = 'wrong-credential-4711'
_ADDRESS = '127.0.0.1:4000'


def _make_settings() -> dict[str, Any]:
    return {
        'instance': 'entry-1',
        'availability_zone': 'zone-1',
        'listen_address': _ADDRESS,
        'administration_address': _ADDRESS,
        'platform': {
            'configuration_address': _ADDRESS,
            'instance_list_address': _ADDRESS,
        },
    }


def _write_document(context: Any, content: bytes) -> None:
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    context.path = Path(context.folder.name) / 'document.json'
    context.path.write_bytes(content)


def _run_check(context: Any, kind: str, binary: str = 'entry') -> None:
    context.done = subprocess.run(
        [
            sys.executable,
            '-m',
            f'buckthornpond_{binary}',
            'check',
            kind,
            str(context.path),
        ],
        capture_output=True,
        text=True,
        check=False,
    )


def _list_sources() -> list[Path]:
    """Return the modules of the product, without test programs."""
    return [
        path
        for folder in ('packages', 'platform')
        for path in (_ROOT / folder).glob('**/src/**/*.py')
        if 'standins' not in str(path)
    ]


@then('docs/EVENTS.md lists the event numbers of the code and no others')
def check_events(context: Any) -> None:
    """Compare the catalogue with the enumeration both ways."""
    text = (_ROOT / 'docs/EVENTS.md').read_text()
    listed = re.findall(r'^\| E(\d+) \| `(\w+)` \|', text, re.MULTILINE)
    wanted = [(f'{code:d}', code.name) for code in EventCode]
    assert sorted(listed) == sorted(wanted), set(listed) ^ set(wanted)


@then('docs/API.md lists the refusal codes of the code and no others')
def check_refusals(context: Any) -> None:
    """Compare the table with the code both ways."""
    text = (_ROOT / 'docs/API.md').read_text()
    rows = re.findall(r'^\| `(\w+)` \| (\d{3}) \|', text, re.MULTILINE)
    wanted = {(code, f'{kind.status_code}') for code, kind in REFUSALS.items()}
    assert set(rows) == wanted, set(rows) ^ wanted


@then('docs/SETTINGS.md lists the settings of the schema and no others')
def check_settings_page(context: Any) -> None:
    """Compare keys and defaults of each class both ways."""
    text = (_ROOT / 'docs/SETTINGS.md').read_text()
    folder = _ROOT / 'packages/core/src/buckthornpond_core/schema'
    definitions: dict[str, Any] = {}
    for name in ('settings', 'serving'):
        schema = json.loads((folder / f'{name}.json').read_text())
        definitions.update(schema['$defs'])
    classes = (
        'PlatformSettings',
        'EntrySettings',
        'AgentSettings',
        'DirectSettings',
    )
    sections = text.split('\n## ')[1:]
    for name, section in zip(classes, sections, strict=True):
        rows = re.findall(r'^\| `(\w+)` \| [^|]*\| ([^|]*?) ?\|', section, re.M)
        wanted = {
            (key, json.dumps(found['default']) if 'default' in found else '')
            for key, found in definitions[name]['properties'].items()
        }
        assert set(rows) == wanted, set(rows) ^ wanted


@then('docs/OPERATIONS.md lists the counters of the code and no others')
def check_counters(context: Any) -> None:
    """Compare the table with the counters that the sources name."""
    text = (_ROOT / 'docs/OPERATIONS.md').read_text()
    rows = set(re.findall(r'^\| `(\w+)_total` \|', text, re.M))
    found: set[str] = set()
    for path in _list_sources():
        pattern = r"\.(?:count|add)\(\s*'(\w+)',"
        found.update(re.findall(pattern, path.read_text()))
    assert rows == found, rows ^ found


@then('each refusal reason in the sources is in the refusal table')
def check_reasons(context: Any) -> None:
    """Search the sources for refusal reasons sent to callers."""
    patterns = (
        r"_refuse\w*\([^()']*'(\w+)'",
        r"_fail\([^()']*'(\w+)'",
        r"reason='(\w+)'",
        r"refuse_locally\('(\w+)'\)",
        r"RefuseKey\([^()]*'(\w+)'\)",
        r"RefusedRequestError\(\s*'(\w+)'",
        r"_build_failure\('(\w+)'",
        r"_finish_unanswered\('(\w+)'",
        r"SendRefusal\('(\w+)'",
        r"PlacementFailure\('(\w+)'",
    )
    found: set[str] = set()
    for path in _list_sources():
        for pattern in patterns:
            found.update(re.findall(pattern, path.read_text()))
    # The caller has disconnected, so this reason is never sent.
    unlisted = found - set(REFUSALS) - {'caller_gone'}
    assert found, 'no reason found'
    assert not unlisted, unlisted


@given('an entry settings file with a comment')
def write_commented(context: Any) -> None:
    """Write valid settings after a comment."""
    text = f'// An entry.\n{json.dumps(_make_settings())}'
    _write_document(context, text.encode())


@given(
    'an entry settings file with an unknown key, a text for a number '
    'and a missing key',
)
def write_faulty(context: Any) -> None:
    """Write settings with three faults."""
    settings = _make_settings()
    settings['colour'] = 'blue'
    settings['max_attempts'] = 'eight'
    settings.pop('instance')
    _write_document(context, json.dumps(settings).encode())


@given('an inventory with an unknown availability zone and an unknown instance')
def write_inventory(context: Any) -> None:
    """Write an inventory that fits the schema but has broken references."""
    inventory = {
        'version': 3,
        'availability_zones': ['zone-1'],
        'instances': [
            {
                'name': 'engine-1',
                'availability_zone': 'zone-9',
                'agent_address': _ADDRESS,
                'target': {'address': _ADDRESS},
            },
        ],
        'services': [
            {'name': 'model-a', 'kind': 'engine', 'instances': ['engine-7']},
        ],
        'organisations': [],
    }
    _write_document(context, json.dumps(inventory).encode())


@given('a settings file of random bytes')
def write_garbage(context: Any) -> None:
    """Write bytes that are neither text nor JSON."""
    _write_document(context, bytes(range(256)))


@when('{binary} checks the example {name} as {kind}')
def check_example(context: Any, binary: str, name: str, kind: str) -> None:
    """Run the offline check on a file of the examples folder."""
    context.path = _ROOT / 'examples' / name
    _run_check(context, kind, binary)


@when('its settings are checked')
def check_settings(context: Any) -> None:
    """Run the offline check."""
    _run_check(context, 'settings')


@when('the inventory is checked')
def check_inventory(context: Any) -> None:
    """Run the offline check."""
    _run_check(context, 'inventory')


@then('the exit code is {code:d}')
def check_exit_code(context: Any, code: int) -> None:
    """Compare the exit code."""
    assert context.done.returncode == code, context.done


@then('the output names all three faults')
def check_faults(context: Any) -> None:
    """Search the output for each faulty key."""
    for word in ('colour', 'max_attempts', "'instance' is a required"):
        assert word in context.done.stderr, context.done.stderr


@then('the output names both references')
def check_references(context: Any) -> None:
    """Search the output for both broken references."""
    for word in ('zone-9', 'engine-7'):
        assert word in context.done.stderr, context.done.stderr


@given('a running demonstration')
def start_demo(context: Any) -> None:
    """Start the demonstration and wait for its processes."""
    demo = psutil.Popen(
        [sys.executable, '-m', 'buckthornpond_standins.demo'],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    context.demo = demo
    wait_until(lambda: len(demo.children()) > 3)
    context.children = demo.children()


@when('it is interrupted')
def interrupt_demo(context: Any) -> None:
    """Send SIGINT, as an interrupt key does."""
    context.demo.send_signal(signal.SIGINT)
    context.demo.wait(30)


@then('none of its processes is running')
def check_children(context: Any) -> None:
    """Wait until each child process has exited."""
    wait_until(
        lambda: not any(child.is_running() for child in context.children),
    )


@when('a caller sends a wrong credential')
def send_wrong_credential(context: Any) -> None:
    """Check that it is refused."""
    found = call_completion(
        context.fleet.entry_addresses[0],
        _WRONG_CREDENTIAL,
        kind='wrong',
        prompt_tokens=10,
        output_tokens=1,
    )
    assert found.code == 'unauthorised', found.code


@then('no log of the fleet holds a credential')
def check_logs(context: Any) -> None:
    """Search every log for both credentials."""
    logs = list(context.fleet.folder.glob('*.log'))
    assert logs, 'no log'
    for path in logs:
        text = path.read_text()
        assert CREDENTIAL not in text, path.name
        assert _WRONG_CREDENTIAL not in text, path.name
