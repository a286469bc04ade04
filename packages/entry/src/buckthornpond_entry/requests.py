"""Parsing and validation of requests from callers."""

import functools
import hashlib
import math
import re
from collections.abc import Callable

import falcon
import gevent
import msgspec

from buckthornpond_core._generated.api import CompletionHead
from buckthornpond_core._generated.settings import EntrySettings
from buckthornpond_core.exceptions import BuckthornpondError
from buckthornpond_core.types import DECODE_ERRORS

_CHARACTERS_PER_TOKEN = 4
_BEARER_PREFIX = 'Bearer '
_MAX_KEY_CHARACTERS = 200
_MAX_TIME_LIMIT_MS = 86_400_000
_SERVICE_PATH_PATTERN = re.compile('^/v1/services/[^/]+(/[!-~]*)$')
_TIMEOUT_HEADER = 'X-Request-Timeout-Ms'


class RefusedRequestError(BuckthornpondError):
    """Raised when a request is refused before it reaches the router.

    :param reason: stable code of the refusal.
    """

    def __init__(self, reason: str, message: str, *, peer: str) -> None:
        super().__init__(message, step='read request', peer=peer)
        self.reason = reason


class MemoryBudget:
    """Limit on the bytes of request bodies and responses in memory.

    :param limit_bytes: maximum number of bytes held at once.
    """

    __slots__ = ('_limit_bytes', 'held_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    def reserve(self, length_bytes: int, peer: str) -> Callable[[], None]:
        """Reserve bytes and return the function that releases them.

        :param length_bytes: number of bytes to reserve.
        :param peer: the caller, named in the error.
        :raises RefusedRequestError: when the budget is spent.
        """
        if self.held_bytes + length_bytes > self._limit_bytes:
            raise RefusedRequestError(
                'body_budget_full',
                'the entry holds too many bytes of requests and answers',
                peer=peer,
            )
        self._adjust(length_bytes)
        return functools.partial(self._adjust, -length_bytes)

    def _adjust(self, length_bytes: int) -> None:
        self.held_bytes += length_bytes


def read_content_length(
    request: falcon.Request, settings: EntrySettings
) -> int:
    """Return the announced length of a body in bytes.

    :param request: the caller's request.
    :param settings: settings with the maximum length.
    :raises RefusedRequestError: when the length is too large, or a transfer
        encoding is given in its place.
    """
    peer = request.remote_addr
    if request.get_header('Transfer-Encoding'):
        raise RefusedRequestError(
            'length_required',
            'send Content-Length in place of Transfer-Encoding',
            peer=peer,
        )
    length_bytes = request.content_length or 0
    if length_bytes > settings.max_body_bytes:
        raise RefusedRequestError(
            'body_too_large',
            f'{length_bytes} bytes given, at most '
            f'{settings.max_body_bytes} allowed',
            peer=peer,
        )
    return length_bytes


def read_body(
    request: falcon.Request,
    length_bytes: int,
    timeout_ms: int,
) -> bytes:
    """Return the complete body.

    :param request: the caller's request.
    :param length_bytes: announced length of the body.
    :param timeout_ms: maximum time to read the body.
    :raises RefusedRequestError: when the body is slow or truncated.
    """
    if not length_bytes:
        return b''
    peer = request.remote_addr
    try:
        with gevent.Timeout(timeout_ms / 1000):
            return _read_exactly(request, length_bytes)
    except gevent.Timeout as expired:
        raise RefusedRequestError(
            'body_timeout',
            f'the body took longer than {timeout_ms} ms',
            peer=peer,
        ) from expired


def _read_exactly(request: falcon.Request, length_bytes: int) -> bytes:
    try:
        body: bytes = request.stream.read(length_bytes)
    except OSError as error:
        raise RefusedRequestError(
            'body_truncated',
            str(error),
            peer=request.remote_addr,
        ) from error
    if len(body) < length_bytes:
        raise RefusedRequestError(
            'body_truncated',
            f'{len(body)} of {length_bytes} bytes came',
            peer=request.remote_addr,
        )
    return body


def read_credential_digest(request: falcon.Request) -> str:
    """Return the SHA-256 digest of the caller's credential, in hexadecimal.

    :param request: the caller's request.
    :raises RefusedRequestError: when there is no bearer credential.
    """
    header = request.get_header('Authorization') or ''
    if not header.startswith(_BEARER_PREFIX):
        raise RefusedRequestError(
            'unauthorised',
            'send Authorization: Bearer with the credential',
            peer=request.remote_addr,
        )
    credential = header.removeprefix(_BEARER_PREFIX).strip()
    return hashlib.sha256(credential.encode()).hexdigest()


def read_time_limit(request: falcon.Request, default_ms: int) -> int:
    """Return the time limit of a request in milliseconds.

    :param request: the caller's request.
    :param default_ms: limit of a request without the header.
    :raises RefusedRequestError: when the header is not a whole number in
        the allowed range.
    """
    header = request.get_header(_TIMEOUT_HEADER)
    if header is None:
        return default_ms
    if not header.isdecimal() or not 0 < int(header) <= _MAX_TIME_LIMIT_MS:
        raise RefusedRequestError(
            'invalid_header',
            f'{_TIMEOUT_HEADER} takes 1 to {_MAX_TIME_LIMIT_MS} ms',
            peer=request.remote_addr,
        )
    return int(header)


def read_idempotency_key(request: falcon.Request) -> str:
    """Return the idempotency key, or an empty string if there is none.

    :param request: the caller's request.
    :raises RefusedRequestError: when the key is too long or not printable.
    """
    key: str = request.get_header('Idempotency-Key') or ''
    if len(key) > _MAX_KEY_CHARACTERS or not key.isprintable():
        raise RefusedRequestError(
            'invalid_header',
            f'Idempotency-Key takes at most {_MAX_KEY_CHARACTERS} characters',
            peer=request.remote_addr,
        )
    return key


def parse_completion(body: bytes, peer: str) -> CompletionHead:
    """Return the fields of a completion request that placement needs.

    :param body: JSON document.
    :param peer: the caller, named in the error.
    :raises RefusedRequestError: when the body does not match the schema.
    """
    try:
        return msgspec.json.decode(body, type=CompletionHead)
    except DECODE_ERRORS as error:
        raise RefusedRequestError(
            'invalid_body',
            str(error),
            peer=peer,
        ) from error


def parse_service_path(raw_path: str, peer: str) -> str:
    """Return path and query for the target, exactly as the caller sent them.

    :param raw_path: path and query of the request line, without decoding.
    :param peer: the caller, named in the error.
    :raises RefusedRequestError: when it contains characters other than visible
        ASCII.
    """
    matched = _SERVICE_PATH_PATTERN.match(raw_path)
    if matched is None:
        raise RefusedRequestError(
            'invalid_request',
            'the path takes visible ASCII characters only',
            peer=peer,
        )
    return matched.group(1)


def count_prompt_tokens(head: CompletionHead) -> int:
    """Return the number of prompt tokens, which is an estimate for text.

    :param head: the parsed request.
    """
    prompt = head.prompt
    if isinstance(prompt, list) and set(map(type, prompt)) == {int}:
        return len(prompt)
    return _estimate_tokens([prompt, head.messages])


def _estimate_tokens(part: object) -> int:
    total_tokens = 0
    pending = [part]
    while pending:
        node = pending.pop()
        if isinstance(node, str):
            total_tokens += math.ceil(len(node) / _CHARACTERS_PER_TOKEN)
        elif isinstance(node, dict):
            pending.extend(node.values())
        elif isinstance(node, list):
            pending.extend(node)
        else:
            total_tokens += 1
    return total_tokens
