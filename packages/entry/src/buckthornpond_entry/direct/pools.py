"""Pools of greenlets."""

import gevent
from gevent.pool import Pool


class ResizablePool(Pool):
    """Pool whose size may change while its greenlets run.

    :param size: number of greenlets that may run.
    """

    def resize(self, size: int) -> None:
        """Change the size; greenlets over it run to their end.

        :param size: number of greenlets that may run.
        """
        added_count = size - (self.size or 0)
        self.size = size
        for _ in range(added_count):
            self._semaphore.release()  # type: ignore[attr-defined]
        if added_count < 0:
            gevent.spawn(self._take_places, -added_count)

    def _take_places(self, count: int) -> None:
        for _ in range(count):
            self._semaphore.acquire()  # type: ignore[attr-defined]
