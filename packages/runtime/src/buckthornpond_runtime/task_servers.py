"""Servers that tasks run."""

from gevent.server import StreamServer


class TaskServer(StreamServer):
    """Server whose open connections end with the task that runs it."""

    # Overrides the base class, which leaves requests in flight a second.
    stop_timeout = 0
