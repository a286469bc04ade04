"""Parts of a request that are suspected if a target crashes with it."""

from collections.abc import Callable, Iterable
from datetime import timedelta
from hashlib import blake2b

from .request_identity import is_identity
from .sound_parts import SoundParts

# A longer ID is replaced by a digest, so that parts take little memory.
_MAX_PART_CHARACTERS = 24
# IDs of prompt parts hold no colon.
_DIGEST_PREFIX = 'part:'
_DIGEST_BYTES = 8
# Evidence of one request: as much as a head of 16 KB can name.
_MAX_EVIDENCE_BYTES = 16_384
# Bytes of a part beside its ID, in a hint.
PART_OVERHEAD_BYTES = 2
# A part that was answered before is a less likely cause.
_MAX_ANSWERED_COUNT = 16
_NEVER = timedelta()


def name_parts(shared_parts: Iterable[str]) -> list[str]:
    """Return the names under which parts of a prompt are remembered.

    :param shared_parts: IDs of the parts.
    """
    return [
        part if len(part) <= _MAX_PART_CHARACTERS else _digest(part)
        for part in shared_parts
    ]


def select_evidence(
    parts: Iterable[str],
    sound_parts: SoundParts,
    is_known: Callable[[str], bool],
) -> frozenset[str]:
    """Return the parts of a request that are remembered after a crash.

    Those that no request with them was answered for are all remembered, up to
    a limit in bytes, and of the others those whose last answer is oldest.

    :param parts: parts of a prompt, and the identity of the request.
    :param sound_parts: when each part was last answered.
    :param is_known: tells whether a part was there in an earlier crash.
    """
    identities, prompt_parts = _split(parts)
    never = [part for part in prompt_parts if part not in sound_parts]
    never.sort(key=lambda part: (not is_known(part), part))
    answered = [part for part in prompt_parts if part in sound_parts]
    answered.sort(
        key=lambda part: (sound_parts.answered_at(part) or _NEVER, part)
    )
    kept = _limit_bytes([*never, *answered[:_MAX_ANSWERED_COUNT]])
    return frozenset((*identities, *kept))


def estimate_length(parts: Iterable[str]) -> int:
    """Return about how many bytes parts take in memory and in hints.

    :param parts: names of parts.
    """
    return sum(len(part) + PART_OVERHEAD_BYTES for part in parts)


def _split(parts: Iterable[str]) -> tuple[list[str], list[str]]:
    identities: list[str] = []
    prompt_parts: list[str] = []
    for part in parts:
        group = identities if is_identity(part) else prompt_parts
        group.append(part)
    return identities, prompt_parts


def _limit_bytes(parts: Iterable[str]) -> list[str]:
    kept: list[str] = []
    remaining_bytes = _MAX_EVIDENCE_BYTES
    for part in parts:
        remaining_bytes -= len(part) + PART_OVERHEAD_BYTES
        if remaining_bytes < 0:
            break
        kept.append(part)
    return kept


def _digest(part: str) -> str:
    digest = blake2b(part.encode(), digest_size=_DIGEST_BYTES)
    return f'{_DIGEST_PREFIX}{digest.hexdigest()}'
