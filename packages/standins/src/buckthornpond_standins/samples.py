"""Whole costs of the processes of a fleet over a stretch of time."""

import subprocess
import sys
import time
from collections.abc import Sequence

import msgspec

from .fleets import Fleet, Process
from .loads import LoadResult, LoadShape, merge_result
from .scrapes import count_control_bytes, count_platform_reads, scrape
from .usage import ProcessUsage

_KIB = 1024


class Sample:
    """What one process used between two moments.

    :param process: the process.
    :param address: its administration address.
    """

    __slots__ = (
        '_address',
        '_begun',
        '_exported',
        '_process',
        '_usage',
        'anonymous_mb',
        'control_bytes',
        'elapsed_seconds',
        'platform_reads',
        'processor_seconds',
        'resident_mb',
    )

    def __init__(self, process: Process, address: str) -> None:
        self._process = process
        self._address = address
        self._exported = scrape(address)
        self._usage = ProcessUsage(process.identifier)
        self._begun = time.monotonic()

    @property
    def processor_percent(self) -> float:
        """Return the share of one core."""
        return 100 * self.processor_seconds / self.elapsed_seconds

    def finish(self) -> None:
        """Take the second moment."""
        usage = ProcessUsage(self._process.identifier)
        self.elapsed_seconds = time.monotonic() - self._begun
        self.processor_seconds = (
            usage.processor_seconds - self._usage.processor_seconds
        )
        self.resident_mb = usage.resident_kib / _KIB
        self.anonymous_mb = usage.anonymous_kib / _KIB
        exported = scrape(self._address)
        self.control_bytes = count_control_bytes(exported)
        self.control_bytes -= count_control_bytes(self._exported)
        self.platform_reads = count_platform_reads(exported)
        self.platform_reads -= count_platform_reads(self._exported)


def sample_entries(fleet: Fleet) -> list[Sample]:
    """Begin a sample of each entry.

    :param fleet: a running fleet.
    """
    return [
        Sample(process, address)
        for process, address in zip(
            fleet.entries,
            fleet.entry_administration_addresses,
            strict=True,
        )
    ]


def sample_agents(fleet: Fleet) -> list[Sample]:
    """Begin a sample of each engine's agent.

    :param fleet: a running fleet.
    """
    return [
        Sample(instance.agent, instance.administration_address)
        for instance in fleet.engines
        if instance.agent is not None
    ]


def send_load(shapes: Sequence[LoadShape]) -> LoadResult:
    """Run one load process for each shape and return what callers saw.

    :param shapes: what each process sends.
    """
    command = [sys.executable, '-m', 'buckthornpond_standins', 'load']
    running = []
    for shape in shapes:
        popen = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        running.append((popen, msgspec.json.encode(shape)))
    for popen, text in running:
        if popen.stdin is not None:
            popen.stdin.write(text)
            popen.stdin.close()
    found = LoadResult()
    for popen, _text in running:
        if popen.stdout is not None:
            content = popen.stdout.read()
            merge_result(
                found,
                msgspec.json.decode(content, type=LoadResult),
            )
        popen.wait()
    return found
