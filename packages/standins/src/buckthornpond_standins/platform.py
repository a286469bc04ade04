"""Stand-in of the configuration service and the instance list."""

from urllib.parse import parse_qs

import msgspec
from gevent.event import Event

from buckthornpond_core._generated.platform import (
    InstanceList,
    InstanceState,
    ListedInstance,
)

from .servers import Environ, StartResponse, read_body, reply


class PlatformStandIn:
    """HTTP application that stores documents and the instance list.

    Only tests and operators write them, with PUT requests.
    """

    __slots__ = ('_document_changed', 'documents', 'instances', 'read_count')

    def __init__(self) -> None:
        self.documents: dict[str, tuple[int, bytes]] = {}
        self.instances: dict[str, InstanceState] = {}
        self.read_count = 0
        self._document_changed = Event()

    def __call__(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> list[bytes]:
        """Serve one request."""
        path = environ['PATH_INFO']
        if path == '/v1/instances':
            return self._serve_instances(environ, start_response)
        if path.startswith('/v1/documents/'):
            name = path.rsplit('/', 1)[1]
            return self._serve_document(name, environ, start_response)
        if path == '/count':
            count = str(self.read_count).encode()
            return reply(start_response, '200 OK', count)
        return reply(start_response, '404 Not Found', b'')

    def _serve_instances(
        self,
        environ: Environ,
        start_response: StartResponse,
    ) -> list[bytes]:
        if environ['REQUEST_METHOD'] == 'PUT':
            instance_list = msgspec.json.decode(
                read_body(environ), type=InstanceList
            )
            self.instances = {
                each.name: each.state for each in instance_list.instances
            }
            return reply(start_response, '200 OK', b'{}')
        self.read_count += 1
        listed = [
            ListedInstance(name=name, state=state)
            for name, state in self.instances.items()
        ]
        content = msgspec.json.encode(InstanceList(instances=listed))
        return reply(start_response, '200 OK', content)

    def _serve_document(
        self,
        name: str,
        environ: Environ,
        start_response: StartResponse,
    ) -> list[bytes]:
        if environ['REQUEST_METHOD'] == 'PUT':
            content = read_body(environ)
            version = int(environ['HTTP_X_DOCUMENT_VERSION'])
            self.documents[name] = (version, content)
            self._document_changed.set()
            self._document_changed.clear()
            return reply(start_response, '200 OK', b'{}')
        self.read_count += 1
        version, content = self.documents.get(name, (0, b''))
        query = parse_qs(environ.get('QUERY_STRING', ''))
        after = int(query.get('after', ['0'])[0])
        wait_ms = int(query.get('wait_ms', ['0'])[0])
        if version <= after and wait_ms:
            self._document_changed.wait(wait_ms / 1000)
            version, content = self.documents.get(name, (0, b''))
        if version <= after:
            start_response('204 No Content', [])
            return []
        header = ('X-Document-Version', str(version))
        return reply(start_response, '200 OK', content, [header])
