"""Register of the idempotency keys of one agent."""

from collections import OrderedDict
from datetime import timedelta

from .._generated.messages import KeyState

_RUNNING_EXTENSION = timedelta(minutes=1)


class RecordedResponse:
    """Response of a target, kept for replay to callers that repeat a key.

    :param status_code: HTTP status.
    :param content_type: media type of the body.
    :param body: complete body.
    """

    __slots__ = ('body', 'content_type', 'status_code')

    def __init__(
        self, status_code: int, content_type: str, body: bytes
    ) -> None:
        self.status_code = status_code
        self.content_type = content_type
        self.body = body


class KeyRecord:
    """State of one key at its home.

    :param state: running, done, fenced or unknown.
    :param digest: digest of the request that first used the key, or 0.
    :param expires_at: end of the record's retention, on the monotonic clock.
    """

    __slots__ = ('digest', 'expires_at', 'response', 'state')

    def __init__(
        self,
        state: KeyState,
        digest: int,
        expires_at: timedelta,
    ) -> None:
        self.state = state
        self.digest = digest
        self.expires_at = expires_at
        self.response: RecordedResponse | None = None


class KeyRegister:
    """Key records of one incarnation of an agent.

    :param max_replay_bytes: largest response body that is kept.
    :param replay_budget_bytes: limit on the total size of kept bodies.
    """

    __slots__ = (
        '_max_replay_bytes',
        '_records',
        '_replay_budget_bytes',
        'replay_bytes',
    )

    def __init__(
        self,
        *,
        max_replay_bytes: int,
        replay_budget_bytes: int,
    ) -> None:
        self._records: OrderedDict[str, KeyRecord] = OrderedDict()
        self._max_replay_bytes = max_replay_bytes
        self._replay_budget_bytes = replay_budget_bytes
        self.replay_bytes = 0

    def __len__(self) -> int:
        """Return the number of keys held."""
        return len(self._records)

    def find(self, key: str) -> KeyRecord | None:
        """Return the record of a key, or ``None``.

        :param key: result of :func:`join_key`.
        """
        return self._records.get(key)

    def record(
        self,
        key: str,
        state: KeyState,
        *,
        expires_at: timedelta,
        digest: int = 0,
    ) -> KeyRecord:
        """Set the state of a key and discard its previous record.

        :param key: result of :func:`join_key`.
        :param state: new state.
        :param expires_at: end of the record's retention, on the monotonic
            clock.
        :param digest: digest of the request that uses the key.
        """
        self.forget(key)
        record = KeyRecord(state, digest, expires_at)
        self._records[key] = record
        return record

    def store_response(
        self, record: KeyRecord, response: RecordedResponse
    ) -> None:
        """Store a response unless it exceeds the size limit or the budget.

        :param record: record of the key.
        :param response: response of the target.
        """
        length_bytes = len(response.body)
        free_bytes = self._replay_budget_bytes - self.replay_bytes
        if length_bytes <= min(self._max_replay_bytes, free_bytes):
            record.response = response
            self.replay_bytes += length_bytes

    def forget(self, key: str) -> None:
        """Drop the record of a key and its stored response.

        :param key: result of :func:`join_key`.
        """
        record = self._records.pop(key, None)
        if record is not None and record.response is not None:
            self.replay_bytes -= len(record.response.body)

    def expire(self, now: timedelta) -> None:
        """Drop expired records, except those of keys that still run.

        :param now: time on the monotonic clock.
        """
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires_at > now:
                break
            if record.state is KeyState.running:
                self._records.move_to_end(key)
                record.expires_at = now + _RUNNING_EXTENSION
            else:
                self.forget(key)
