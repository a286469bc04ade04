"""Memory and processor time of an entry, and other callers meanwhile."""

from collections.abc import Callable
from typing import Any

import gevent
import psutil

from buckthornpond_platform_standins.clients import Client, ClientResponse
from buckthornpond_platform_standins.listening import wait_until
from buckthornpond_platform_standins.local_clusters import API_KEY, HOST
from features.specs.counts import report

_MEBIBYTE = 1_048_576
_SAMPLE_INTERVAL_SECONDS = 0.02
_READ_INTERVAL_SECONDS = 0.03


class ResourceUsage:
    """Memory and processor time of a process while a fault lasts."""

    def __init__(self, process_id: int) -> None:
        self._process = psutil.Process(process_id)
        self._first_bytes = self._process.memory_info().rss
        self._peak_bytes = self._first_bytes
        self._first_seconds = self._processor_seconds()
        self._sampler = gevent.spawn(self._sample)

    @property
    def grown_mebibytes(self) -> float:
        """Return the growth of the memory up to its peak."""
        return (self._peak_bytes - self._first_bytes) / _MEBIBYTE

    @property
    def used_seconds(self) -> float:
        """Return the processor time since the start."""
        return self._processor_seconds() - self._first_seconds

    def stop(self) -> None:
        """End the measurement of the memory."""
        self._sampler.kill()

    def _sample(self) -> None:
        while True:
            used_bytes = self._process.memory_info().rss
            self._peak_bytes = max(self._peak_bytes, used_bytes)
            gevent.sleep(_SAMPLE_INTERVAL_SECONDS)

    def _processor_seconds(self) -> float:
        times = self._process.cpu_times()
        return float(times.user + times.system)


class OtherCallers:
    """Callers that read from a sound service while a fault lasts."""

    def __init__(self, address: str) -> None:
        self._client = Client(address, HOST, API_KEY)
        self.responses: list[ClientResponse] = []
        self._reader = gevent.spawn(self._read)

    def stop(self) -> None:
        """Wait until some reads have been answered, then end."""
        wait_until(lambda: len(self.responses) >= 10)
        self._reader.kill()

    def _read(self) -> None:
        while True:
            self.responses.append(self._client.fetch('GET', '/read/1'))
            gevent.sleep(_READ_INTERVAL_SECONDS)


def observe(context: Any, act: Callable[[], None]) -> None:
    """Act while others are served, and measure the entry meanwhile.

    :param context: holds the process, and receives what was measured.
    :param act: what to do meanwhile.
    """
    usage = ResourceUsage(context.process.process.pid)
    others = OtherCallers(context.process.address)
    act()
    others.stop()
    context.other_responses = others.responses
    end_measurement(context, usage)


def end_measurement(context: Any, usage: ResourceUsage) -> None:
    """End a measurement and keep its results.

    :param context: receives what was measured.
    :param usage: the measurement.
    """
    usage.stop()
    context.grown_mebibytes = usage.grown_mebibytes
    context.used_seconds = usage.used_seconds
    report(
        f'memory grew by {context.grown_mebibytes:.1f} MiB,'
        f' {context.used_seconds:.2f} s of processor time'
    )
