"""Clock of the operating system."""

import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Monotonic and wall clock of this machine."""

    __slots__ = ()

    def monotonic(self) -> timedelta:
        """Return the time since an origin private to this machine.

        The clock keeps running while the machine is suspended, so that
        deadlines and the ages of cached state are right after a resume.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def utcnow(self) -> datetime:
        """Return the wall-clock time as an aware datetime in UTC."""
        return datetime.now(UTC)
