"""Mailboxes and supervision of tasks that communicate by messages."""

import os
import traceback
from collections.abc import Callable
from pathlib import PurePath
from typing import Generic, Protocol, TypeAlias, TypeVar

import gevent
from gevent.queue import Empty, Full, Queue

from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import StopError

from .logs import flush_logs, log_event

MessageT = TypeVar('MessageT')
PostedT = TypeVar('PostedT', contravariant=True)

AnyGreenlet: TypeAlias = 'gevent.Greenlet[..., None]'

_DEFAULT_MAILBOX_CAPACITY = 10_000
_CRASH_EXIT_CODE = 70
_STOP_TIMEOUT_SECONDS = 1.0
# Innermost calls that the log names of a task that does not end.
_LOGGED_CALL_COUNT = 8


class Inbox(Protocol[PostedT]):
    """Sending side of a mailbox."""

    def offer(self, message: PostedT) -> bool:
        """Add a message and return true, unless the mailbox is full.

        :param message: the message to add.
        """

    def send(self, message: PostedT) -> None:
        """Add a message, waiting while the mailbox is full.

        :param message: the message to add.
        """


class Mailbox(Generic[MessageT]):
    """Bounded queue of messages for one task.

    :param capacity: most messages in the queue.
    """

    __slots__ = ('_queue',)

    def __init__(self, capacity: int = _DEFAULT_MAILBOX_CAPACITY) -> None:
        self._queue: Queue[MessageT] = Queue(maxsize=capacity)

    def offer(self, message: MessageT) -> bool:
        """Add a message and return true, unless the mailbox is full.

        :param message: the message to add.
        """
        try:
            self._queue.put_nowait(message)
        except Full:
            return False
        return True

    def send(self, message: MessageT) -> None:
        """Add a message, waiting while the mailbox is full.

        :param message: the message to add.
        """
        self._queue.put(message)

    def receive(self, timeout_seconds: float | None = None) -> MessageT | None:
        """Return the next message, or ``None`` after the timeout.

        :param timeout_seconds: longest wait; ``None`` sets no limit.
        """
        try:
            return self._queue.get(timeout=timeout_seconds)
        except Empty:
            return None

    def receive_all(self, limit_count: int) -> list[MessageT]:
        """Return all queued messages, waiting for the first.

        :param limit_count: most messages to return.
        """
        found = [self._queue.get()]
        while len(found) < limit_count:
            try:
                found.append(self._queue.get_nowait())
            except Empty:
                break
        return found


class Supervisor:
    """Starts tasks and exits the process when one of them crashes.

    A process keeps no durable state, so exiting is safe. If only the task
    ended, nothing would read its mailbox.
    """

    __slots__ = ('_greenlets',)

    def __init__(self) -> None:
        self._greenlets: list[AnyGreenlet] = []

    def start(self, name: str, run: Callable[[], None]) -> None:
        """Start a task.

        :param name: its name in the log.
        :param run: its body, which must not return before the process ends.
        """
        greenlet = gevent.spawn(run)
        greenlet.name = name
        greenlet.link_exception(_exit_after_crash)
        self._greenlets.append(greenlet)

    def stop(self) -> None:
        """Cancel every task and wait until all have ended.

        :raises StopError: when some have not ended in time; the log says where
            each of them waits.
        """
        gevent.killall(self._greenlets, block=False)
        gevent.joinall(self._greenlets, timeout=_STOP_TIMEOUT_SECONDS)
        running = [each for each in self._greenlets if not each.dead]
        for greenlet in running:
            log_event(
                EventCode.task_not_ended,
                task=greenlet.name,
                calls=_list_calls(greenlet),
            )
        if running:
            raise StopError(
                f'not ended after {_STOP_TIMEOUT_SECONDS} s',
                step='stop tasks',
                peer=', '.join(each.name for each in running),
            )


def _list_calls(greenlet: AnyGreenlet) -> list[str]:
    """Return the calls in which a greenlet waits, the innermost last."""
    frames = traceback.extract_stack(
        greenlet.gr_frame, limit=-_LOGGED_CALL_COUNT
    )
    return [
        f'{PurePath(each.filename).name}:{each.lineno} {each.name}'
        for each in frames
    ]


def _exit_after_crash(greenlet: AnyGreenlet) -> None:
    log_event(
        EventCode.task_crashed,
        task=greenlet.name,
        error=repr(greenlet.exception),
    )
    flush_logs()
    os._exit(_CRASH_EXIT_CODE)
