"""Processor time, memory and traffic of fleet processes over an interval."""

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
    """Resources that one process used between construction and :meth:`finish`.

    :param process: the process to measure.
    :param address: administration address of the process.
    """

    __slots__ = (
        '_address',
        '_metrics_before',
        '_process',
        '_started_seconds',
        '_usage_before',
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
        self._metrics_before = scrape(address)
        self._usage_before = ProcessUsage(process.identifier)
        self._started_seconds = time.monotonic()

    @property
    def processor_percent(self) -> float:
        """Processor time as a percentage of one core."""
        return 100 * self.processor_seconds / self.elapsed_seconds

    def finish(self) -> None:
        """End the interval and compute the differences."""
        usage_after = ProcessUsage(self._process.identifier)
        self.elapsed_seconds = time.monotonic() - self._started_seconds
        self.processor_seconds = (
            usage_after.processor_seconds - self._usage_before.processor_seconds
        )
        self.resident_mb = usage_after.resident_kib / _KIB
        self.anonymous_mb = usage_after.anonymous_kib / _KIB
        metrics_after = scrape(self._address)
        self.control_bytes = count_control_bytes(metrics_after)
        self.control_bytes -= count_control_bytes(self._metrics_before)
        self.platform_reads = count_platform_reads(metrics_after)
        self.platform_reads -= count_platform_reads(self._metrics_before)


def sample_entries(fleet: Fleet) -> list[Sample]:
    """Start a sample of each entry.

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
    """Start a sample of the agent of each engine.

    :param fleet: a running fleet.
    """
    return [
        Sample(instance.agent, instance.administration_address)
        for instance in fleet.engines
        if instance.agent is not None
    ]


def send_load(shapes: Sequence[LoadShape]) -> LoadResult:
    """Run one load process for each shape and return the merged result.

    :param shapes: load of each process.
    """
    command = [sys.executable, '-m', 'buckthornpond_standins', 'load']
    load_processes = []
    for shape in shapes:
        popen = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        load_processes.append((popen, msgspec.json.encode(shape)))
    for popen, encoded_shape in load_processes:
        if popen.stdin is not None:
            popen.stdin.write(encoded_shape)
            popen.stdin.close()
    result = LoadResult()
    for popen, _encoded_shape in load_processes:
        if popen.stdout is not None:
            content = popen.stdout.read()
            merge_result(
                result,
                msgspec.json.decode(content, type=LoadResult),
            )
        popen.wait()
    return result
