"""HTTP server of the stand-ins."""

import socket as standard_socket
from collections.abc import Callable, Iterable
from typing import Any

from gevent.pywsgi import WSGIHandler, WSGIServer

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

JSON_CONTENT_TYPE = 'application/json'


class _Handler(WSGIHandler):
    def handle(self) -> None:
        self.socket.setsockopt(
            standard_socket.IPPROTO_TCP,
            standard_socket.TCP_NODELAY,
            1,
        )
        super().handle()


class StandInServer(WSGIServer):
    """HTTP server of a stand-in, with ``TCP_NODELAY`` set.

    :param address: IP address and port to listen on.
    :param application: the WSGI application.
    """

    handler_class = _Handler

    def __init__(self, address: str, application: Application) -> None:
        host, port = address.rsplit(':', 1)
        super().__init__((host, int(port)), application, log=None)


def read_body(environ: Environ) -> bytes:
    """Return the body of a request.

    :param environ: the WSGI environment.
    """
    length_bytes = int(environ.get('CONTENT_LENGTH') or 0)
    body: bytes = environ['wsgi.input'].read(length_bytes)
    return body


def reply(
    start_response: StartResponse,
    status: str,
    content: bytes,
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Start a response with a JSON body.

    :param start_response: the WSGI function.
    :param status: status code and reason phrase.
    :param content: JSON response body.
    :param headers: extra header fields.
    """
    length = ('Content-Length', str(len(content)))
    start_response(
        status, [('Content-Type', JSON_CONTENT_TYPE), length, *headers]
    )
    return [content]
