"""Mapping of serving records to the headers of callers and targets."""

from collections.abc import Sequence
from datetime import timedelta
from typing import Protocol

from .._generated.serving import (
    MemoryTicket,
    Placement,
    RequestMetadata,
    ResponseMetadata,
)
from .effects import HeaderFields, TargetControlRequest


class RequestCodec(Protocol):
    """Reads and writes the header fields of requests and responses.

    Each front end supplies its own implementation.
    """

    def read_request(
        self,
        method: str,
        path: str,
        fields: HeaderFields,
    ) -> RequestMetadata:
        """Return the properties stated by a caller's request.

        :param method: HTTP method.
        :param path: path with query.
        :param fields: header fields in the order received.
        :raises InvalidRequestError: when a field cannot be parsed.
        """

    def write_request(
        self,
        fields: HeaderFields,
        placement: Placement,
        time_limit: timedelta,
        last_event_id: str,
    ) -> Sequence[tuple[str, str]]:
        """Return the header fields of the request to a target.

        :param fields: header fields of the caller's request.
        :param placement: target and helpers of the attempt.
        :param time_limit: time left until the request's deadline.
        :param last_event_id: last event that the caller has, or empty.
        """

    def write_reservation(self, ticket: MemoryTicket) -> TargetControlRequest:
        """Return the request that reserves memory or renews its lease.

        :param ticket: reservation to make or renew.
        """

    def write_release(self, ticket: MemoryTicket) -> TargetControlRequest:
        """Return the request that releases reserved memory.

        :param ticket: reservation to release.
        """

    def read_response(
        self, status_code: int, fields: HeaderFields
    ) -> ResponseMetadata:
        """Return the properties stated by the head of a target's response.

        :param status_code: HTTP status.
        :param fields: header fields of the response.
        """

    def write_refusal(
        self,
        reason: str,
        retry_after_ms: int,
        attempt_id: str,
    ) -> Sequence[tuple[str, str]]:
        """Return the header fields of a refusal by the entry itself.

        :param reason: stable code of the refusal.
        :param retry_after_ms: delay before a retry, zero for no retry.
        :param attempt_id: identifies the request.
        """
