"""Counters of a process, read over its administration address."""

from functools import partial

from .fleets import call_text, wait_until

_PREFIX = 'buckthornpond_'
_CONTROL_KINDS = frozenset(
    ('Document', 'DocumentRequest', 'Heartbeat', 'Hint'),
)
_WIRE = 'wire_bytes_total{reason="'


def scrape(address: str) -> dict[str, float]:
    """Return every value that a process exports.

    :param address: administration address of the process.
    """
    found: dict[str, float] = {}
    for line in call_text(address, 'GET', '/metrics').splitlines():
        if line.startswith('#') or not line:
            continue
        name, _, text = line.rpartition(' ')
        found[name.removeprefix(_PREFIX)] = float(text)
    return found


def is_exported(address: str, line: str) -> bool:
    """Tell whether a process exports a value.

    :param address: administration address of the process.
    :param line: metric without its prefix, labels and value.
    """
    text = call_text(address, 'GET', '/metrics')
    return f'{_PREFIX}{line}' in text.splitlines()


def wait_exported(address: str, line: str) -> None:
    """Wait until a process exports a value.

    :param address: administration address of the process.
    :param line: metric without its prefix, labels and value.
    """
    wait_until(partial(is_exported, address, line))


def count_control_bytes(exported: dict[str, float]) -> float:
    """Return the bytes of control messages, both directions.

    :param exported: what :func:`scrape` returned.
    """
    return sum(
        amount
        for name, amount in exported.items()
        if name.startswith(_WIRE) and _find_kind(name) in _CONTROL_KINDS
    )


def count_platform_reads(exported: dict[str, float]) -> float:
    """Return the reads at the platform.

    :param exported: what :func:`scrape` returned.
    """
    return sum(
        amount
        for name, amount in exported.items()
        if name.startswith('platform_reads_total')
    )


def _find_kind(name: str) -> str:
    label = name.removeprefix(_WIRE).split('"')[0]
    return label.split('_')[1]
