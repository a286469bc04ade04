"""Metrics of a process, read from its administration address."""

from functools import partial

from .fleets import call_text, wait_until

_METRIC_PREFIX = 'buckthornpond_'
_CONTROL_MESSAGE_KINDS = frozenset(
    ('Document', 'DocumentRequest', 'Heartbeat', 'Hint'),
)
_WIRE_BYTES_PREFIX = 'wire_bytes_total{reason="'


def scrape(address: str) -> dict[str, float]:
    """Return the metrics of a process, without the common prefix.

    :param address: administration address of the process.
    """
    metrics: dict[str, float] = {}
    for line in call_text(address, 'GET', '/metrics').splitlines():
        if line.startswith('#') or not line:
            continue
        name, _, text = line.rpartition(' ')
        metrics[name.removeprefix(_METRIC_PREFIX)] = float(text)
    return metrics


def is_exported(address: str, line: str) -> bool:
    """Return whether a process exports a metric with a given value.

    :param address: administration address of the process.
    :param line: metric without the common prefix, with labels and value.
    """
    text = call_text(address, 'GET', '/metrics')
    return f'{_METRIC_PREFIX}{line}' in text.splitlines()


def wait_exported(address: str, line: str) -> None:
    """Wait until a process exports a metric with a given value.

    :param address: administration address of the process.
    :param line: metric without the common prefix, with labels and value.
    """
    wait_until(partial(is_exported, address, line))


def count_control_bytes(exported: dict[str, float]) -> float:
    """Return the bytes of control messages in both directions.

    :param exported: metrics from :func:`scrape`.
    """
    return sum(
        amount
        for name, amount in exported.items()
        if name.startswith(_WIRE_BYTES_PREFIX)
        and _parse_message_kind(name) in _CONTROL_MESSAGE_KINDS
    )


def count_platform_reads(exported: dict[str, float]) -> float:
    """Return the number of reads from the platform.

    :param exported: metrics from :func:`scrape`.
    """
    return sum(
        amount
        for name, amount in exported.items()
        if name.startswith('platform_reads_total')
    )


def _parse_message_kind(name: str) -> str:
    label = name.removeprefix(_WIRE_BYTES_PREFIX).split('"')[0]
    return label.split('_')[1]
