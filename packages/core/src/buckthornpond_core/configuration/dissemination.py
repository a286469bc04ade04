"""Dissemination of documents between processes without stored state.

Heartbeats and hints carry the versions in force. A process that is behind
requests the document from one peer that is ahead; no document is sent without
a request.
"""

from datetime import timedelta

from .._generated.messages import (
    ConfigurationVersion,
    Document,
    DocumentName,
    DocumentRequest,
)
from ..effects import SendToPeer
from ..event_codes import EventCode
from ..types import Recorder
from .acceptance import DocumentStamp
from .documents import Configuration, version_of

_PEER_RETENTION = timedelta(seconds=60)
_REQUEST_TIMEOUT = timedelta(seconds=2)
_MIN_LEAVING_INTERVAL = timedelta(seconds=2)
_MAX_UPLOAD_BYTES_PER_SECOND = 8_388_608


class StartupHold:
    """Limits of the time after a start in which no document is accepted.

    A new process first learns its peers' versions, so that a restart does not
    revert it to an older version.

    :param until: latest end of the hold on the monotonic clock.
    :param peer_count: peers whose versions end it early, 0 for no hold.
    """

    __slots__ = ('peer_count', 'until')

    def __init__(self, until: timedelta, peer_count: int) -> None:
        self.until = until
        self.peer_count = peer_count


class _PeerVersions:
    """Versions that a peer reported last."""

    __slots__ = ('received_at', 'version')

    def __init__(
        self, version: ConfigurationVersion, received_at: timedelta
    ) -> None:
        self.version = version
        self.received_at = received_at


class _PendingRequest:
    """Document request without a reply so far."""

    __slots__ = ('peer', 'sent_at')

    def __init__(self, peer: str, sent_at: timedelta) -> None:
        self.peer = peer
        self.sent_at = sent_at


class Dissemination:
    """Decides which documents to request from which peer and which to send.

    :param configuration: the configuration in force.
    :param hold: limits of the hold after the start.
    :param recorder: counters and log of the process.
    """

    __slots__ = (
        '_configuration',
        '_hold',
        '_is_on_hold',
        '_next_leaving_at',
        '_peers',
        '_pending_requests',
        '_recorder',
        '_rejected_versions',
        '_requested_digests',
        '_unresponsive',
        '_upload_window_start',
        '_uploaded_bytes',
    )

    def __init__(
        self,
        configuration: Configuration,
        hold: StartupHold,
        recorder: Recorder,
    ) -> None:
        self._configuration = configuration
        self._hold = hold
        self._is_on_hold = hold.peer_count > 0
        self._recorder = recorder
        self._peers: dict[str, _PeerVersions] = {}
        self._pending_requests: dict[DocumentName, _PendingRequest] = {}
        self._rejected_versions = dict.fromkeys(DocumentName, 0)
        self._unresponsive: set[str] = set()
        self._requested_digests: set[int] = set()
        self._uploaded_bytes = 0
        self._upload_window_start = timedelta(0)
        self._next_leaving_at = timedelta(0)

    @property
    def peers(self) -> list[str]:
        """Peers that reported their versions recently."""
        return list(self._peers)

    @property
    def is_in_startup_hold(self) -> bool:
        """Whether the process still collects its peers' versions."""
        return self._is_on_hold

    @property
    def after_versions(self) -> dict[DocumentName, int]:
        """Versions accepted or rejected here; only newer ones are read."""
        return {
            name: max(stamp.version, self._rejected_versions[name])
            for name, stamp in self._configuration.stamps.items()
        }

    def make_leaving_document(
        self,
        content: bytes,
        now: timedelta,
    ) -> Document | None:
        """Return the changed leaving instances as a document, if one is due.

        The instance list has no versions. A change gets the version after the
        highest one known. Changes have a minimum interval, because readers
        of different replicas of the list may disagree while a replica lags.

        :param content: JSON text of the leaving instances, in order.
        :param now: time on the monotonic clock.
        """
        name = DocumentName.leaving
        if content == self._configuration.contents.get(name):
            return None
        if now < self._next_leaving_at:
            return None
        self._next_leaving_at = now + _MIN_LEAVING_INTERVAL
        version = 1 + max(
            self._configuration.stamps[name].version,
            self._find_highest(name),
        )
        return Document(name=name, version=version, content=content)

    def record_peer_versions(
        self,
        peer: str,
        version: ConfigurationVersion,
        now: timedelta,
    ) -> list[SendToPeer]:
        """Record a peer's versions and request documents that are newer.

        :param peer: the sender.
        :param version: its versions in force.
        :param now: time of receipt on the monotonic clock.
        """
        self._peers[peer] = _PeerVersions(version, now)
        return self._request_missing(now)

    def answer(
        self,
        peer: str,
        request: DocumentRequest,
        now: timedelta,
    ) -> list[SendToPeer]:
        """Return the requested document if it is newer than the peer's.

        Nothing is sent while the upload rate is exceeded. The peer's request
        then times out, and it prefers other peers for the next one.

        :param peer: the sender.
        :param request: the document's name and the peer's current version.
        :param now: time on the monotonic clock.
        """
        content = self._configuration.contents.get(request.name)
        if content is None or not self._is_newer_than(request):
            return []
        if not self._reserve_upload(len(content), now):
            self._recorder.count('deferred_documents', request.name)
            return []
        document = Document(
            name=request.name,
            version=self._configuration.stamps[request.name].version,
            content=content,
        )
        return [SendToPeer(peer, document)]

    def may_accept(self, document: Document) -> bool:
        """Return whether the hold is over and no peer has a higher version.

        :param document: document from the platform or a peer.
        """
        return not self._is_on_hold and document.version >= self._find_highest(
            document.name,
        )

    def record_outcome(self, document: Document, *, is_rejected: bool) -> None:
        """Record whether a received document was accepted or rejected.

        :param document: the document.
        :param is_rejected: whether it is invalid.
        """
        self._pending_requests.pop(document.name, None)
        self._requested_digests.clear()
        self._unresponsive.clear()
        if is_rejected:
            self._rejected_versions[document.name] = max(
                document.version,
                self._rejected_versions[document.name],
            )

    def tick(self, now: timedelta) -> list[SendToPeer]:
        """Drop unresponsive peers, end an overdue hold and overdue requests.

        :param now: time on the monotonic clock.
        """
        cutoff = now - _PEER_RETENTION
        for peer, peer_versions in list(self._peers.items()):
            if peer_versions.received_at < cutoff:
                self._peers.pop(peer)
        return self._request_missing(now)

    def _request_missing(self, now: timedelta) -> list[SendToPeer]:
        self._end_hold_if_due(now)
        if self._is_on_hold:
            return []
        self._expire_requests(now)
        effects: list[SendToPeer] = []
        for name in DocumentName:
            peer = (
                ''
                if name in self._pending_requests
                else self._choose_peer(name)
            )
            if peer:
                self._pending_requests[name] = _PendingRequest(peer, now)
                effects.append(SendToPeer(peer, self._make_request(name)))
        self._record_requested_digests(effects)
        return effects

    def _end_hold_if_due(self, now: timedelta) -> None:
        if not self._is_on_hold:
            return
        has_enough_peers = len(self._peers) >= self._hold.peer_count
        if has_enough_peers or now >= self._hold.until:
            self._is_on_hold = False
            self._recorder.log(
                EventCode.startup_hold_ended,
                peer_count=len(self._peers),
            )

    def _expire_requests(self, now: timedelta) -> None:
        cutoff = now - _REQUEST_TIMEOUT
        for name, pending in list(self._pending_requests.items()):
            if pending.sent_at < cutoff:
                self._pending_requests.pop(name)
                self._unresponsive.add(pending.peer)
                self._recorder.count('unanswered_document_requests', name)

    def _choose_peer(self, name: DocumentName) -> str:
        highest = self._find_highest(name)
        is_behind = highest > self._configuration.stamps[name].version
        peers = [
            peer
            for peer, peer_versions in self._peers.items()
            if version_of(peer_versions.version, name) == highest
            and (is_behind or self._is_conflict(peer_versions.version))
        ]
        if not peers:
            return ''
        responsive = [peer for peer in peers if peer not in self._unresponsive]
        if not responsive:
            self._unresponsive.difference_update(peers)
            responsive = peers
        return responsive[0]

    def _find_highest(self, name: DocumentName) -> int:
        reported = [
            version_of(peer_versions.version, name)
            for peer_versions in self._peers.values()
        ]
        valid = [
            each for each in reported if each != self._rejected_versions[name]
        ]
        return max(valid, default=0)

    def _is_conflict(self, version: ConfigurationVersion) -> bool:
        own = self._configuration.version
        is_same_version = all(
            version_of(version, name) == version_of(own, name)
            for name in DocumentName
        )
        has_other_digest = version.digest not in {0, own.digest}
        return (
            is_same_version
            and has_other_digest
            and version.digest not in self._requested_digests
        )

    def _record_requested_digests(self, requests: list[SendToPeer]) -> None:
        for request in requests:
            version = self._peers[request.peer].version
            if self._is_conflict(version):
                self._requested_digests.add(version.digest)

    def _make_request(self, name: DocumentName) -> DocumentRequest:
        stamp = self._configuration.stamps[name]
        return DocumentRequest(
            name=name,
            version=stamp.version,
            digest=stamp.digest,
        )

    def _is_newer_than(self, request: DocumentRequest) -> bool:
        peer_stamp = DocumentStamp(request.version, request.digest)
        own = self._configuration.stamps[request.name]
        return (own.version, own.digest) > (
            peer_stamp.version,
            peer_stamp.digest,
        )

    def _reserve_upload(self, content_bytes: int, now: timedelta) -> bool:
        if now - self._upload_window_start >= timedelta(seconds=1):
            self._upload_window_start = now
            self._uploaded_bytes = 0
        if self._uploaded_bytes >= _MAX_UPLOAD_BYTES_PER_SECOND:
            return False
        self._uploaded_bytes += content_bytes
        return True
