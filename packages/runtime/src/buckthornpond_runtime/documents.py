"""Operators' documents: decoding, checks and acceptance."""

from datetime import timedelta

import msgspec

from buckthornpond_core._generated.events import DocumentReadResult
from buckthornpond_core._generated.inventory import Inventory, Rules
from buckthornpond_core._generated.messages import (
    ConfigurationVersion,
    Document,
    DocumentName,
    DocumentRequest,
)
from buckthornpond_core.configuration.acceptance import (
    DocumentStamp,
    digest_content,
)
from buckthornpond_core.configuration.dissemination import Dissemination
from buckthornpond_core.configuration.documents import (
    Configuration,
    find_inventory_problems,
    find_rules_problems,
)
from buckthornpond_core.configuration.readers import ReadSchedule
from buckthornpond_core.effects import ReadDocument, SendToPeer
from buckthornpond_core.event_codes import EventCode
from buckthornpond_core.exceptions import InvalidDocumentError
from buckthornpond_core.types import DECODE_ERRORS

from .codecs import decode_document
from .metrics import Metrics
from .tasks import Inbox

_SCHEMA = 'inventory'


def parse_inventory(content: bytes, peer: str) -> Inventory:
    """Return a validated inventory.

    :param content: JSON text.
    :param peer: source of the text, named in the error.
    :raises InvalidDocumentError: with every fault found.
    """
    inventory = decode_document(
        content,
        Inventory,
        schema_name=_SCHEMA,
        peer=peer,
    )
    _raise_if_invalid(find_inventory_problems(inventory), peer)
    return inventory


def parse_rules(content: bytes, peer: str) -> Rules:
    """Return validated rules.

    :param content: JSON text.
    :param peer: source of the text, named in the error.
    :raises InvalidDocumentError: with every fault found.
    """
    rules = decode_document(content, Rules, schema_name=_SCHEMA, peer=peer)
    _raise_if_invalid(find_rules_problems(rules), peer)
    return rules


def _raise_if_invalid(problems: list[str], peer: str) -> None:
    if problems:
        raise InvalidDocumentError(problems, step='check document', peer=peer)


def parse_leaving_instances(content: bytes, peer: str) -> list[str]:
    """Return the validated names of leaving instances.

    :param content: JSON text.
    :param peer: source of the text, named in the error.
    :raises InvalidDocumentError: when it is not a list of names.
    """
    try:
        return msgspec.json.decode(content, type=list[str])
    except DECODE_ERRORS as error:
        raise InvalidDocumentError(
            [str(error)],
            step='check document',
            peer=peer,
        ) from error


class DocumentExchange:
    """Receives and distributes documents for the task that owns it.

    :param configuration: the configuration in force.
    :param dissemination: decisions on documents of peers.
    :param schedule: decisions on reads of the platform.
    :param metrics: counters of the process.
    """

    __slots__ = (
        '_configuration',
        '_dissemination',
        '_metrics',
        '_schedule',
        'readers',
    )

    def __init__(
        self,
        *,
        configuration: Configuration,
        dissemination: Dissemination,
        schedule: ReadSchedule,
        metrics: Metrics,
    ) -> None:
        self._configuration = configuration
        self._dissemination = dissemination
        self._schedule = schedule
        self._metrics = metrics
        self.readers: dict[DocumentName, Inbox[ReadDocument]] = {}

    @property
    def peers(self) -> list[str]:
        """Peers to notify of a newer document."""
        return self._dissemination.peers

    def record_peer_versions(
        self,
        peer: str,
        version: ConfigurationVersion,
        now: timedelta,
    ) -> list[SendToPeer]:
        """Record the versions that a peer has in force.

        :param peer: the sender.
        :param version: versions of its documents.
        :param now: time of receipt on the monotonic clock.
        """
        self._schedule.record_peer_versions(version, now)
        return self._dissemination.record_peer_versions(peer, version, now)

    def answer(
        self,
        peer: str,
        request: DocumentRequest,
        now: timedelta,
    ) -> list[SendToPeer]:
        """Answer a peer that asks for a document.

        :param peer: the sender.
        :param request: what it asks for.
        :param now: time of receipt on the monotonic clock.
        """
        return self._dissemination.answer(peer, request, now)

    def take_read_result(
        self, read: DocumentReadResult, now: timedelta
    ) -> bool:
        """Take the result of a read; return whether a document is accepted.

        :param read: result that the reading task reports.
        :param now: time on the monotonic clock.
        """
        self._schedule.take(read, now)
        if not read.content:
            return False
        document: Document | None = Document(
            name=DocumentName(read.name),
            version=read.version,
            content=read.content,
        )
        if read.name == DocumentName.leaving:
            document = self._dissemination.make_leaving_document(
                read.content, now
            )
        return document is not None and self.take(document, 'platform')

    def take(self, document: Document, peer: str) -> bool:
        """Put a document in force if it is valid and newer.

        :param document: document from a peer or the platform.
        :param peer: the sender, named in the log.
        """
        stamp = DocumentStamp(
            document.version,
            digest_content(document.content),
        )
        is_newer = self._configuration.is_newer(document.name, stamp)
        if not is_newer or not self._dissemination.may_accept(document):
            self._metrics.count('ignored_documents', document.name)
            return False
        current = self._configuration.stamps[document.name]
        if current.version == document.version:
            self._log(EventCode.configuration_conflict, document, peer)
        return self._accept(document, peer)

    def tick(self, now: timedelta) -> list[SendToPeer]:
        """Send due reads to their tasks and return requests to peers.

        :param now: time on the monotonic clock.
        """
        requests = self._dissemination.tick(now)
        if not self._dissemination.is_in_startup_hold:
            after_versions = self._dissemination.after_versions
            for read in self._schedule.tick(after_versions, now):
                self.readers[read.name].send(read)
        return requests

    def _accept(self, document: Document, peer: str) -> bool:
        problems: list[str] = []
        try:
            accept_document(self._configuration, document, peer)
        except InvalidDocumentError as error:
            problems = error.problems
        self._dissemination.record_outcome(document, is_rejected=bool(problems))
        if problems:
            self._metrics.count('rejected_documents', document.name)
            self._log(
                EventCode.configuration_rejected,
                document,
                peer,
                problems=problems,
            )
            return False
        self._metrics.count('accepted_documents', document.name)
        self._log(EventCode.configuration_accepted, document, peer)
        return True

    def _log(
        self,
        code: EventCode,
        document: Document,
        peer: str,
        **fields: object,
    ) -> None:
        self._metrics.log(
            code,
            document=document.name,
            version=document.version,
            peer=peer,
            **fields,
        )


def accept_document(
    configuration: Configuration,
    document: Document,
    peer: str,
) -> bool:
    """Validate a document and put it in force if it is newer.

    :param configuration: the configuration in force.
    :param document: document from a peer or the platform.
    :param peer: the sender, named in the error.
    :raises InvalidDocumentError: with every fault found.
    """
    content = document.content
    if document.name is DocumentName.leaving:
        names = parse_leaving_instances(content, peer)
        return configuration.accept_leaving(names, document.version, content)
    if document.name is DocumentName.rules:
        rules = parse_rules(content, peer)
        _check_version(document, rules.version, peer)
        return configuration.accept_rules(rules, content)
    inventory = parse_inventory(content, peer)
    _check_version(document, inventory.version, peer)
    return configuration.accept_inventory(inventory, content)


def _check_version(document: Document, version: int, peer: str) -> None:
    if document.version != version:
        problem = f'version: {version}, but published as {document.version}'
        _raise_if_invalid([problem], peer)
