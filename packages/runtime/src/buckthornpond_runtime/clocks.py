"""The clock of the operating system."""

import time
from datetime import UTC, datetime, timedelta


class SystemClock:
    """Monotonic and wall clock of this machine."""

    __slots__ = ()

    def monotonic(self) -> timedelta:
        """Return the time since an origin private to this machine.

        It goes on while the machine is suspended, so that deadlines and ages
        of beliefs hold when it wakes.
        """
        return timedelta(seconds=time.clock_gettime(time.CLOCK_BOOTTIME))

    def utcnow(self) -> datetime:
        """Return the wall clock as an aware datetime in UTC."""
        return datetime.now(UTC)
