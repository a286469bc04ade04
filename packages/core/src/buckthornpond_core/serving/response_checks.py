"""Checks on the head of a target's response."""

from http import HTTPStatus

from .._generated.serving import ResponseMetadata
from .effects import ResponseHead

_MEDIA_TYPE_FIELD = 'content-type'


def is_success(status_code: int) -> bool:
    """Return whether a status reports success.

    :param status_code: HTTP status.
    """
    return HTTPStatus.OK <= status_code < HTTPStatus.MULTIPLE_CHOICES


def is_refusal(metadata: ResponseMetadata) -> bool:
    """Return whether a target states that it did not run a request.

    :param metadata: head of its response.
    """
    is_misdirected = metadata.status_code == HTTPStatus.MISDIRECTED_REQUEST
    return metadata.is_not_run or is_misdirected


def find_head_fault(head: ResponseHead, attempt_id: str) -> str:
    """Return why a response must not be believed, or an empty string.

    :param head: head of the response.
    :param attempt_id: identifies the request.
    """
    metadata = head.metadata
    if metadata.attempt_id and metadata.attempt_id != attempt_id:
        return 'response to another request'
    is_failure = not is_success(metadata.status_code)
    if not metadata.attempt_id:
        # It may be the late copy of an earlier response or refusal.
        if not (is_failure and head.is_first_on_connection):
            return 'response without an attempt ID'
    if is_failure:
        return ''
    if not metadata.is_signed:
        return 'unsigned response'
    if metadata.is_encoded:
        return 'encoded response body'
    return ''


def allows_reuse(head: ResponseHead, attempt_id: str) -> bool:
    """Return whether a connection may carry another request.

    What follows a refusal may be a copy of it, and what follows a response to
    another request may be the response to this one.

    :param head: head of the response that was read on it.
    :param attempt_id: identifies the request.
    """
    return not (is_refusal(head.metadata) or find_head_fault(head, attempt_id))


def continues_stream(started: ResponseHead, head: ResponseHead) -> bool:
    """Return whether a response goes on with a stream that had begun.

    :param started: head that the caller got.
    :param head: head of a later response to the same request.
    """
    return (
        head.metadata.status_code == started.metadata.status_code
        and _find_media_type(head) == _find_media_type(started)
    )


def _find_media_type(head: ResponseHead) -> str:
    for name, text in head.fields:
        if name.lower() == _MEDIA_TYPE_FIELD:
            return text.partition(';')[0].strip().lower()
    return ''
