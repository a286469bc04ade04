"""Readers of the platform's configuration service and instance list."""

from collections.abc import Callable
from datetime import timedelta

import gevent
import msgspec

from buckthornpond_core._generated.messages import Document, DocumentName
from buckthornpond_core._generated.platform import InstanceList
from buckthornpond_core._generated.settings import PlatformSettings
from buckthornpond_core.exceptions import BuckthornpondError, PlatformError
from buckthornpond_core.journal import EventCode

from .connections import HttpCall
from .logs import log_event
from .metrics import Metrics

_OK = 200
_UNCHANGED = 204
_MAX_DOCUMENT_BYTES = 1_048_576


class PlatformTask:
    """Owns the connections to the platform and polls it.

    :param settings: addresses and intervals.
    :param post: hands what was read to the task that owns the state.
    :param metrics: counters of the process.
    """

    __slots__ = ('_metrics', '_post', '_settings', '_versions')

    def __init__(
        self,
        settings: PlatformSettings,
        post: Callable[[Document | InstanceList], None],
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._post = post
        self._metrics = metrics
        self._versions = dict.fromkeys(DocumentName, 0)

    def run(self) -> None:
        """Poll until the process ends."""
        while True:
            for name in DocumentName:
                self._try(
                    EventCode.configuration_unreachable,
                    self._read_document,
                    name,
                )
            self._try(EventCode.instance_list_unreachable, self._read_instances)
            gevent.sleep(self._settings.poll_interval_ms / 1000)

    def _try(
        self,
        event: EventCode,
        read: Callable[..., None],
        *names: DocumentName,
    ) -> None:
        try:
            read(*names)
        except (BuckthornpondError, msgspec.MsgspecError, ValueError) as error:
            self._metrics.count('platform_errors', event.name)
            log_event(event, error=str(error))

    def _read_document(self, name: DocumentName) -> None:
        version = self._versions[name]
        call = self._get(
            self._settings.configuration_address,
            f'/v1/documents/{name}?after={version}',
        )
        if call is None:
            return
        found_version = int(str(call.response.get('x-document-version', '0')))
        content = self._read_body(call)
        self._versions[name] = found_version
        self._post(
            Document(name=name, version=found_version, content=content),
        )

    def _read_instances(self) -> None:
        call = self._get(
            self._settings.instance_list_address,
            '/v1/instances',
        )
        if call is not None:
            content = self._read_body(call)
            self._post(msgspec.json.decode(content, type=InstanceList))

    def _get(self, address: str, path: str) -> HttpCall | None:
        timeout = timedelta(milliseconds=self._settings.request_timeout_ms)
        call = HttpCall(address, timeout)
        self._metrics.count('platform_reads', path.split('?')[0])
        try:
            call.send('GET', path, b'', {})
        except BuckthornpondError:
            call.close()
            raise
        status_code = call.response.status_code
        if status_code == _OK:
            return call
        call.close()
        if status_code == _UNCHANGED:
            return None
        raise PlatformError(
            f'status {status_code}',
            step='read platform',
            peer=address,
        )

    def _read_body(self, call: HttpCall) -> bytes:
        try:
            return call.read_block(_MAX_DOCUMENT_BYTES + 1)
        finally:
            call.close()
