"""Reading of callers' requests."""

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

_BYTES_PER_TOKEN = 4
_BEARER = 'Bearer '
_MAX_KEY_LENGTH = 200
_MAX_TIME_LIMIT_MS = 86_400_000
_SERVICE_PATH = re.compile('^/v1/services/[^/]+(/[!-~]*)$')
_TIMEOUT_HEADER = 'X-Request-Timeout-Ms'


class RefusedRequestError(BuckthornpondError):
    """A request is refused before it reaches the router.

    :param reason: the stable code of the refusal.
    """

    def __init__(self, reason: str, message: str, *, peer: str) -> None:
        super().__init__(message, step='read request', peer=peer)
        self.reason = reason


class MemoryBudget:
    """Bytes of request bodies and answers held by the process.

    :param limit_bytes: the most bytes held at once.
    """

    __slots__ = ('_limit_bytes', 'held_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self._limit_bytes = limit_bytes
        self.held_bytes = 0

    def reserve(self, length_bytes: int, peer: str) -> Callable[[], None]:
        """Reserve bytes and return the function that releases them.

        :param length_bytes: what is about to be held.
        :param peer: the caller, for the error.
        :raises RefusedRequestError: when the budget is spent.
        """
        if self.held_bytes + length_bytes > self._limit_bytes:
            raise RefusedRequestError(
                'body_budget_full',
                'the entry holds too many bytes of requests and answers',
                peer=peer,
            )
        self._add(length_bytes)
        return functools.partial(self._add, -length_bytes)

    def _add(self, length_bytes: int) -> None:
        self.held_bytes += length_bytes


def read_length(request: falcon.Request, settings: EntrySettings) -> int:
    """Return the checked length of a body in bytes.

    :param request: the caller's request.
    :param settings: bounds on the body.
    :raises RefusedRequestError: when it is absent or too large.
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
    """Return the whole body.

    :param request: the caller's request.
    :param length_bytes: its announced length.
    :param timeout_ms: longest time to wait for it.
    :raises RefusedRequestError: when it is slow or truncated.
    """
    if not length_bytes:
        return b''
    peer = request.remote_addr
    try:
        with gevent.Timeout(timeout_ms / 1000):
            return _read_whole(request, length_bytes)
    except gevent.Timeout as expired:
        raise RefusedRequestError(
            'body_timeout',
            f'the body took longer than {timeout_ms} ms',
            peer=peer,
        ) from expired


def _read_whole(request: falcon.Request, length_bytes: int) -> bytes:
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


def read_credential(request: falcon.Request) -> str:
    """Return the digest of the caller's credential, in hexadecimal.

    :param request: the caller's request.
    :raises RefusedRequestError: when there is none.
    """
    header = request.get_header('Authorization') or ''
    if not header.startswith(_BEARER):
        raise RefusedRequestError(
            'unauthorised',
            'send Authorization: Bearer with the credential',
            peer=request.remote_addr,
        )
    credential = header.removeprefix(_BEARER).strip()
    return hashlib.sha256(credential.encode()).hexdigest()


def read_time_limit(request: falcon.Request, default_ms: int) -> int:
    """Return the time limit of a request in milliseconds.

    :param request: the caller's request.
    :param default_ms: the limit of a request that names none.
    :raises RefusedRequestError: when the header is not a positive number.
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


def read_key(request: falcon.Request) -> str:
    """Return the idempotency key, or an empty text.

    :param request: the caller's request.
    :raises RefusedRequestError: when it is malformed.
    """
    key: str = request.get_header('Idempotency-Key') or ''
    if len(key) > _MAX_KEY_LENGTH or not key.isprintable():
        raise RefusedRequestError(
            'invalid_header',
            f'Idempotency-Key takes at most {_MAX_KEY_LENGTH} characters',
            peer=request.remote_addr,
        )
    return key


def parse_completion(body: bytes, peer: str) -> CompletionHead:
    """Return the fields of a completion request that placement needs.

    :param body: JSON text.
    :param peer: the caller, for the error.
    :raises RefusedRequestError: when it does not fit.
    """
    try:
        return msgspec.json.decode(body, type=CompletionHead)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise RefusedRequestError(
            'invalid_body',
            str(error),
            peer=peer,
        ) from error


def read_raw_path(raw_path: str, peer: str) -> str:
    """Return path and query for the target, exactly as the caller sent them.

    :param raw_path: path and query of the request line.
    :param peer: the caller, for the error.
    :raises RefusedRequestError: when it holds other than visible ASCII.
    """
    found = _SERVICE_PATH.match(raw_path)
    if found is None:
        raise RefusedRequestError(
            'invalid_request',
            'the path takes visible ASCII characters only',
            peer=peer,
        )
    return found.group(1)


def count_prompt_tokens(head: CompletionHead) -> int:
    """Return the prompt's length in tokens, estimated for text.

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
        found = pending.pop()
        if isinstance(found, str):
            total_tokens += math.ceil(len(found) / _BYTES_PER_TOKEN)
        elif isinstance(found, dict):
            pending.extend(found.values())
        elif isinstance(found, list):
            pending.extend(found)
        else:
            total_tokens += 1
    return total_tokens
