"""Resource usage of a running process, read from ``/proc``."""

from pathlib import Path

_PROC_FOLDER = Path('/proc')
_NANOSECONDS_PER_SECOND = 1_000_000_000


class ProcessUsage:
    """Processor time and memory of one process at one moment.

    :param process_number: process ID.
    """

    __slots__ = (
        'anonymous_kib',
        'descriptor_count',
        'processor_seconds',
        'resident_kib',
    )

    def __init__(self, process_number: int) -> None:
        folder = _PROC_FOLDER / str(process_number)
        status = _read_status(folder)
        self.resident_kib = status['VmRSS']
        self.anonymous_kib = status['RssAnon']
        self.processor_seconds = _read_processor_seconds(folder)
        self.descriptor_count = len(list((folder / 'fd').iterdir()))


def _read_status(folder: Path) -> dict[str, int]:
    fields_kib: dict[str, int] = {}
    for line in (folder / 'status').read_text().splitlines():
        name, _, text = line.partition(':')
        if text.endswith('kB'):
            fields_kib[name] = int(text.split()[0])
    return fields_kib


def _read_processor_seconds(folder: Path) -> float:
    schedules = [
        (task / 'schedstat').read_text().split()
        for task in (folder / 'task').iterdir()
    ]
    return (
        sum(int(schedule[0]) for schedule in schedules)
        / _NANOSECONDS_PER_SECOND
    )
