"""Readers of the platform's configuration service and instance list."""

from collections.abc import Callable
from datetime import timedelta

import msgspec

from buckthornpond_core._generated.events import DocumentReadResult
from buckthornpond_core._generated.messages import DocumentName
from buckthornpond_core._generated.platform import InstanceList, InstanceState
from buckthornpond_core._generated.settings import PlatformSettings
from buckthornpond_core.effects import ReadDocument
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import BuckthornpondError, PlatformError
from buckthornpond_core.types import DECODE_ERRORS

from .calls import HttpCall
from .logs import log_event
from .metrics import Metrics
from .tasks import Mailbox

_STATUS_OK = 200
_STATUS_UNCHANGED = 204
_MAX_DOCUMENT_BYTES = 1_048_576
_CALL_ERRORS = (BuckthornpondError, *DECODE_ERRORS, ValueError)


class PlatformTask:
    """Owns the connection to one source of the platform.

    It reads on request and reports each result.

    :param name: the document or list that it reads.
    :param settings: addresses and timeouts.
    :param report: passes the result to the task that owns the state.
    :param metrics: counters of the process.
    """

    __slots__ = ('_metrics', '_name', '_report', '_settings', 'mailbox')

    def __init__(
        self,
        name: DocumentName,
        settings: PlatformSettings,
        report: Callable[[DocumentReadResult], None],
        metrics: Metrics,
    ) -> None:
        self.mailbox: Mailbox[ReadDocument] = Mailbox()
        self._name = name
        self._settings = settings
        self._report = report
        self._metrics = metrics

    def run(self) -> None:
        """Serve the mailbox until the process ends."""
        while True:
            request = self.mailbox.receive()
            if request is not None:
                self._report(self._read(request))

    def _read(self, request: ReadDocument) -> DocumentReadResult:
        result = DocumentReadResult(
            name=self._name,
            is_reached=True,
            version=0,
            content=b'',
        )
        try:
            self._read_into(result, request)
        except _CALL_ERRORS as error:
            result.is_reached = False
            result.content = b''
            event = EventCode.configuration_unreachable
            if self._name is DocumentName.leaving:
                event = EventCode.instance_list_unreachable
            self._metrics.count('platform_errors', event.name)
            log_event(event, error=str(error))
        return result

    def _read_into(
        self, result: DocumentReadResult, request: ReadDocument
    ) -> None:
        if self._name is DocumentName.leaving:
            content = self._read_instances()
            result.content = _encode_leaving_instances(content)
            return
        watch_ms = request.watch_timeout // timedelta(milliseconds=1)
        call = self._get(
            self._settings.configuration_address,
            f'/v1/documents/{self._name}?after={request.after_version}'
            f'&wait_ms={watch_ms}',
            watch_ms,
        )
        if call is None:
            return
        version_text = str(call.response.get('x-document-version', '0'))
        result.content = self._read_body(call)
        result.version = int(version_text)

    def _read_instances(self) -> bytes:
        call = self._get(
            self._settings.instance_list_address,
            '/v1/instances',
            0,
        )
        return b'{"instances":[]}' if call is None else self._read_body(call)

    def _get(self, address: str, path: str, watch_ms: int) -> HttpCall | None:
        timeout_ms = self._settings.request_timeout_ms + watch_ms
        call = HttpCall(address, timedelta(milliseconds=timeout_ms))
        self._metrics.count('platform_reads', self._name)
        try:
            call.send('GET', path, b'', {})
        except BuckthornpondError:
            call.close()
            raise
        status_code = call.response.status_code
        if status_code == _STATUS_OK:
            return call
        call.close()
        if status_code == _STATUS_UNCHANGED:
            return None
        raise PlatformError(
            f'unexpected status {status_code}',
            step='read platform',
            peer=address,
        )

    def _read_body(self, call: HttpCall) -> bytes:
        try:
            content = call.read_block(_MAX_DOCUMENT_BYTES + 1)
        finally:
            call.close()
        if len(content) > _MAX_DOCUMENT_BYTES:
            raise PlatformError(
                f'document has more than {_MAX_DOCUMENT_BYTES} bytes',
                step='read platform',
                peer=self._name,
            )
        return content


def _encode_leaving_instances(content: bytes) -> bytes:
    listed = msgspec.json.decode(content, type=InstanceList)
    names = sorted(
        each.name
        for each in listed.instances
        if each.state is InstanceState.leaving
    )
    return msgspec.json.encode(names)
