"""HTTP connections to servers."""

import os
import select
import socket as standard_socket
from collections.abc import Iterable
from datetime import timedelta
from fcntl import ioctl
from struct import Struct
from termios import TIOCOUTQ

from gevent import Timeout, sleep

from buckthornpond_core.exceptions import BuckthornpondError, TargetError
from buckthornpond_core.input_limits import InputLimit, InputLimitError

from .carried_requests import CarriedRequests
from .fetches import FetchedResponse, FetchLimits, ProgressTimer
from .paced_sockets import PacedSocket
from .responses import HttpResponse

# Bounds the time for which parsing holds up other tasks.
_READ_BYTES = 16_384
# A peer whose machine is gone is found within three seconds.
_KEEPALIVE_IDLE_SECONDS = 1
_KEEPALIVE_INTERVAL_SECONDS = 1
_KEEPALIVE_PROBE_COUNT = 2
# Keepalive probes are sent only while no sent bytes are unacknowledged.
_UNACKNOWLEDGED_TIMEOUT_MS = 2500
# Wait for a request to be received whole, once the server has closed.
_DELIVERY_TIMEOUT_SECONDS = 3.0
_DELIVERY_POLL_SECONDS = 0.005
_INTEGER = Struct('@i')
_DEAD_PEER_OPTIONS = (
    (standard_socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_SECONDS),
    (standard_socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_SECONDS),
    (standard_socket.TCP_KEEPCNT, _KEEPALIVE_PROBE_COUNT),
)


class HttpConnection:
    """One connection to a server, owned by one task at a time.

    :param address: IP address and port of the server.
    """

    __slots__ = (
        '_detects_dead_peer',
        '_error',
        '_pending_send_count',
        '_socket',
        'address',
        'carried',
        'idle_since',
        'idle_limit',
    )

    def __init__(self, address: str) -> None:
        self.address = address
        self.idle_since = timedelta()
        self.idle_limit = timedelta()
        # Requests that a late response may name.
        self.carried = CarriedRequests()
        self._socket: PacedSocket | None = None
        self._detects_dead_peer = False
        # First error of any call: the socket tells it to one caller only.
        self._error: OSError | None = None
        self._pending_send_count = 0

    def connect(self, timeout: timedelta) -> None:
        """Open the connection.

        :param timeout: longest wait for the server.
        :raises TargetError: when the server does not accept it.
        """
        host, port = self.address.rsplit(':', 1)
        # An IP address needs no resolver, which would use a thread.
        connection = PacedSocket(family=standard_socket.AF_INET)
        connection.settimeout(timeout.total_seconds())
        try:
            connection.connect((host, int(port)))
        except OSError as error:
            connection.close()
            raise self.make_error(
                str(error), 'connect', is_sent=False
            ) from error
        connection.setsockopt(
            standard_socket.IPPROTO_TCP,
            standard_socket.TCP_NODELAY,
            1,
        )
        self._socket = connection

    def set_timeout(self, timeout: timedelta) -> None:
        """Set the timeout of each later wait for the server.

        :param timeout: longest silence of the server.
        """
        if self._socket is not None:
            self._socket.settimeout(timeout.total_seconds())

    def detect_dead_peer(self, *, is_enabled: bool) -> None:
        """Set whether waits fail once the server's machine is gone.

        A machine without power closes no connection. One that is only slow
        still acknowledges what arrives.

        :param is_enabled: whether to fail, or to wait for the timeout.
        """
        connection = self._socket
        if connection is None or self._detects_dead_peer == is_enabled:
            return
        self._detects_dead_peer = is_enabled
        connection.setsockopt(
            standard_socket.SOL_SOCKET,
            standard_socket.SO_KEEPALIVE,
            is_enabled,
        )
        for option, option_value in _DEAD_PEER_OPTIONS:
            connection.setsockopt(
                standard_socket.IPPROTO_TCP, option, option_value
            )
        connection.setsockopt(
            standard_socket.IPPROTO_TCP,
            standard_socket.TCP_USER_TIMEOUT,
            _UNACKNOWLEDGED_TIMEOUT_MS if is_enabled else 0,
        )

    def is_usable(self) -> bool:
        """Return whether an idle connection is open with nothing to read."""
        if self._socket is None:
            return False
        poller = select.poll()
        poller.register(self._socket.fileno(), select.POLLIN)
        # Readable means unexpected bytes, or that the server closed it.
        return not poller.poll(0)

    def is_closed_by_peer(self) -> bool:
        """Return whether the server closed or lost the connection.

        Bytes that it sent before may still be unread.
        """
        return self._socket is not None and self._socket.is_closed_by_peer()

    def has_input(self) -> bool:
        """Return whether bytes can be read now; waits for none.

        The end of the connection is no input.
        """
        # The socket's own call would wait despite its flag.
        if self._socket is None or self.is_usable():
            return False
        flags = standard_socket.MSG_PEEK | standard_socket.MSG_DONTWAIT
        try:
            return bool(self._socket.recv(1, flags))
        except OSError as error:
            self._note_error(error)
            return False

    def fileno(self) -> int:
        """Return the file descriptor of an open connection, else -1."""
        return -1 if self._socket is None else self._socket.fileno()

    def send(self, content: bytes | bytearray) -> None:
        """Send bytes.

        :param content: what to send.
        :raises TargetError: when the server does not accept them.
        """
        if self._socket is None:
            raise self.make_error('not connected', 'send')
        self._pending_send_count += 1
        try:
            self._socket.sendall(content)
        except OSError as error:
            self._note_error(error)
            raise self._wrap_error(error, 'send') from error
        finally:
            self._pending_send_count -= 1

    def receive(self, response: HttpResponse, step: str) -> None:
        """Feed the next bytes from the server to a response.

        :param response: parses the bytes.
        :param step: operation of the caller, named in errors.
        :raises TargetError: when the connection breaks or the bytes are not
            HTTP.
        """
        if self._socket is None:
            raise self.make_error('not connected', step)
        received = b''
        try:
            received = self._socket.recv(_READ_BYTES)
            if not received and response.ends_with_connection:
                self._confirm_end()
            response.feed(received)
        except InputLimitError as error:
            raise self.make_error(
                error.message, step, exceeds_limit=True
            ) from error
        except (OSError, BuckthornpondError) as error:
            raise self._wrap_error(
                error, step, has_received=bool(received)
            ) from error

    def fetch(
        self,
        method: str,
        request: bytes,
        step: str,
        limits: FetchLimits,
    ) -> FetchedResponse:
        """Send a request and return its complete response.

        :param method: method of the request.
        :param request: head and body.
        :param step: operation of the caller, named in errors.
        :param limits: limits on the response.
        :raises TargetError: when no complete response arrives within them.
        """
        expired = self.make_error('response not complete in time', step)
        with ProgressTimer(limits, expired) as timer:
            self.send(request)
            response = HttpResponse(method)
            content = bytearray()
            while not response.is_complete:
                self.receive(response, step)
                content += response.take(response.buffered_bytes)
                timer.record(len(content))
                if len(content) > limits.max_content_bytes:
                    raise self._make_content_error(step, limits)
        return FetchedResponse(response, bytes(content))

    def close(self) -> None:
        """Close the connection and thereby cancel an unfinished call."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def make_error(
        self,
        message: str,
        step: str,
        *,
        is_sent: bool = True,
        exceeds_limit: bool = False,
        is_connection_lost: bool = False,
        is_silent: bool = False,
    ) -> TargetError:
        """Return the error of a call on this connection.

        :param message: description of the failure.
        :param step: operation that failed.
        :param is_sent: whether the server may have received a byte.
        :param exceeds_limit: whether it sent more than a limit allows.
        :param is_connection_lost: whether the open connection closed or broke.
        :param is_silent: whether the server neither answered nor closed in
            time.
        """
        return TargetError(
            message,
            step=step,
            peer=self.address,
            is_sent=is_sent,
            exceeds_limit=exceeds_limit,
            is_connection_lost=is_connection_lost,
            is_silent=is_silent,
        )

    def _note_error(self, error: OSError) -> None:
        if self._error is None:
            self._error = error

    def _confirm_end(self) -> None:
        """Return once the server is known to have closed in order.

        It has, if it has received the whole request by then: one that fails
        resets the connection for what it has not read. Whoever uses the
        socket meets that error, be it a greenlet that still sends.

        :raises OSError: when the connection was reset or timed out.
        """
        expired = ConnectionAbortedError(
            'server closed before it had the whole request'
        )
        with Timeout(_DELIVERY_TIMEOUT_SECONDS, expired):
            while self._has_unsent_request():
                sleep(_DELIVERY_POLL_SECONDS)

    def _has_unsent_request(self) -> bool:
        """Return whether the server has yet to receive bytes.

        :raises OSError: when any call has met an error of the connection.
        """
        if self._socket is not None:
            code = self._socket.getsockopt(
                standard_socket.SOL_SOCKET, standard_socket.SO_ERROR
            )
            if code:
                self._note_error(OSError(code, os.strerror(code)))
        if self._error is not None:
            raise self._error
        return bool(self._pending_send_count or self._count_unsent_bytes())

    def _count_unsent_bytes(self) -> int:
        """Return how many sent bytes the server has not acknowledged."""
        unsent = bytearray(_INTEGER.size)
        try:
            ioctl(self.fileno(), TIOCOUTQ, unsent)
        except OSError:
            # The platform does not tell.
            return 0
        return int(_INTEGER.unpack(unsent)[0])

    def _wrap_error(
        self, error: Exception, step: str, *, has_received: bool = False
    ) -> TargetError:
        is_timeout = isinstance(error, TimeoutError)
        return self.make_error(
            str(error) or repr(error),
            step,
            is_connection_lost=not (is_timeout or has_received),
            is_silent=is_timeout,
        )

    def _make_content_error(
        self, step: str, limits: FetchLimits
    ) -> TargetError:
        return self.make_error(
            f'{InputLimit.body} exceeds {limits.max_content_bytes} bytes',
            step,
            exceeds_limit=True,
        )


def find_readable(
    connections: Iterable[HttpConnection],
) -> list[HttpConnection]:
    """Return the idle connections with input, at their end, or broken.

    :param connections: open connections without a request.
    """
    by_descriptor = {each.fileno(): each for each in connections}
    poller = select.poll()
    for descriptor in by_descriptor:
        poller.register(descriptor, select.POLLIN)
    return [by_descriptor[found] for found, _ in poller.poll(0)]
