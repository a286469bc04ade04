"""Steps on odd entries among those of the servers."""

import json
from typing import Any

import gevent
import msgspec
from behave import given, then, when
from gevent.socket import AF_INET, SOCK_DGRAM, socket

from buckthornpond_core._generated.hints import (
    AttemptHint,
    CrashHint,
    LimitHint,
    LoadHint,
    QuarantineHint,
    SoundPartHint,
    SuspectHint,
    TargetHint,
)
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import find_free_port
from features.steps.direct_steps import start_world

_DEPTH = 100_000
_ODD_NAME = 'i-odd'
_APPLY_SECONDS = 0.2
_MISSING = 'no field '
_HINT_COUNTER = 'malformed_messages_total{reason="hint"}'


def _nest(opening: str, closing: str) -> str:
    return opening * _DEPTH + closing * _DEPTH


def _make_value(context: Any, odd: str) -> bytes:
    """Return the value of an entry that differs from a sound one in one way."""
    sound = context.cluster.servers[0].entry()
    texts = {name: json.dumps(field) for name, field in sound.items()}
    changes = {
        'deeply nested lists in a known field': ('slots', _nest('[', ']')),
        'deeply nested tables in an unknown field': (
            'more',
            _nest('{"a":', '}').replace('}', '1}', 1),
        ),
        'a number of 5000 digits': ('slots', '9' * 5000),
        'a number beyond floating point': ('sequence', '1e400'),
        'a start beyond 64 bits': ('born', f'{2**70}'),
        'a version that is a number': ('version', '1'),
        'a cold time of 1e300': ('coldRemainingMs', '1e300'),
        'a cold time of -1': ('coldRemainingMs', '-1'),
        'slots of 1e18': ('slots', f'{10**18}'),
        'slots of -3': ('slots', '-3'),
        'port 70000': ('address', '"127.0.0.1:70000"'),
        'port 0': ('address', '"127.0.0.1:0"'),
        'port -1': ('address', '"127.0.0.1:-1"'),
        'port of 5000 digits': ('address', f'"127.0.0.1:{"9" * 5000}"'),
        'no port': ('address', '"127.0.0.1"'),
        'a host name': ('address', '"example:80"'),
        'an address of 300 in a part': ('address', '"127.0.0.300:80"'),
    }
    if odd.startswith(_MISSING):
        sound.pop(odd.removeprefix(_MISSING))
        return json.dumps(sound).encode()
    if odd == 'deeply nested lists':
        return _nest('[', ']').encode()
    if odd == 'bytes that are no text':
        return b'\xff\xfe{'
    if odd == 'an empty value':
        return b''
    name, text = changes[odd]
    texts[name] = text
    fields = ','.join(f'"{name}":{text}' for name, text in texts.items())
    return f'{{{fields}}}'.encode()


@given('another writer leaves among the servers: {odd}')
def leave_odd_entry(context: Any, odd: str) -> None:
    """Write an entry, and change it twice more."""
    for _ in range(3):
        context.cluster.store.put(
            f'servers/{_ODD_NAME}', _make_value(context, odd)
        )


@given('another writer leaves a value that is no base64')
def leave_no_base64(context: Any) -> None:
    """Write an entry whose value has an invalid encoding."""
    context.cluster.store.put(f'servers/{_ODD_NAME}', b'')
    store = context.cluster.store
    store._items[f'servers/{_ODD_NAME}']['value'] = '!!'


@when('a new app server registers and the first one leaves')
def replace_server(context: Any) -> None:
    """Change the fleet after the odd entry."""
    first = context.cluster.servers[0]
    context.new_server = context.cluster.add_server('app')
    context.cluster.store.delete(f'servers/{first.name}')
    context.cluster.wait_until_synced()


@then('the new server answered all of them')
def check_new_server(context: Any) -> None:
    """Check the answers, and that the new server received each request."""
    statuses = [each.status for each in context.answers]
    assert set(statuses) == {200}, statuses
    assert len(context.new_server.received) == len(statuses)


@then('the log names the odd entry')
def check_odd_log(context: Any) -> None:
    """Find the event of an unreadable record."""
    lines = b''.join(context.log_lines).splitlines()
    events = [json.loads(line) for line in lines]
    found = [each for each in events if each['message_type'] == 'E624']
    assert any(_ODD_NAME in each['key'] for each in found), events[-5:]


@given('an entry with load hints before {count:d} app servers')
def start_hinting_entry(context: Any, count: int) -> None:
    """Start an entry that exchanges hints."""
    context.hint_port = find_free_port()
    address = f'127.0.0.1:{context.hint_port}'
    start_world(context, count, 0, exchange_address=address)


@when('any host sends it hints that are nested {depth:d} deep')
def send_nested_hints(context: Any, depth: int) -> None:
    """Send a sound hint with one more field of lists in lists."""
    hint = LoadHint('127.0.0.1:9', 1, 1, is_full=False, targets=[])
    encoded = msgspec.msgpack.encode(hint)
    lists = b'\x91' * depth
    # The first byte counts the fields.
    datagram = b'%c%b%b\x01' % (encoded[0] + 1, encoded[1:], lists)
    with socket(AF_INET, SOCK_DGRAM) as sender:
        sender.sendto(datagram, ('127.0.0.1', context.hint_port))
    metrics = context.cluster.entries[0].metrics
    wait_until(lambda: _HINT_COUNTER in metrics.render())


@when(
    'any host sends it hints of {told} with times of 2 to the power of'
    ' {exponent:d}'
)
def send_late_hints(context: Any, told: str, exponent: int) -> None:
    """Send a hint with one time that no clock reaches."""
    server = context.cluster.servers[0]
    datagram = msgspec.msgpack.encode(
        _make_late_hint(told, server.name, 2**exponent)
    )
    with socket(AF_INET, SOCK_DGRAM) as sender:
        sender.sendto(datagram, ('127.0.0.1', context.hint_port))
    gevent.sleep(_APPLY_SECONDS)


def _make_late_hint(told: str, target: str, late_ms: int) -> LoadHint:
    hint = LoadHint('127.0.0.1:9', 1, 1, is_full=False, targets=[])
    suspects = [SuspectHint(['part'], 0)]
    late_suspects = [SuspectHint(['part'], late_ms)]
    waiting = AttemptHint(late_ms, 1, 40, 100, decodes=True)
    due = AttemptHint(1, 1, 40, 100, decodes=True, first_event_due_ms=late_ms)
    changes: dict[str, tuple[str, Any]] = {
        'crashes': ('crashes', CrashHint(target, 1, late_ms, suspects)),
        'suspects': ('crashes', CrashHint(target, 1, 0, late_suspects)),
        'quarantines': ('quarantines', QuarantineHint(['p'], 3, 0, late_ms)),
        'answered parts': ('sound_parts', SoundPartHint('part', late_ms)),
        'limits': (
            'limits',
            LimitHint(
                target,
                1,
                is_limited=True,
                requests_per_second=1,
                age_ms=late_ms,
            ),
        ),
        'waiting prompts': ('targets', TargetHint(target, [waiting])),
        'due events': ('targets', TargetHint(target, [due])),
    }
    name, record = changes[told]
    setattr(hint, name, [record])
    return hint


@then('the entry counted malformed hints')
def check_hints_counted(context: Any) -> None:
    """Look at the counter."""
    assert _HINT_COUNTER in context.cluster.entries[0].metrics.render()
