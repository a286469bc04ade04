"""Identity by which a request is recognized when it comes again.

Requests with the same method, path, caller and body have the same identity,
whatever their IDs are. It holds digests only, so that nothing of a body gets
into logs or to other entries.
"""

from collections.abc import Iterable
from hashlib import blake2b

from .._generated.serving import RequestMetadata

# IDs of prompt parts hold no colon.
_PREFIX = 'request:'
_DIGEST_BYTES = 12


def digest_body(blocks: Iterable[bytes | bytearray]) -> str:
    """Return the digest of a body as hexadecimal text.

    :param blocks: whole body of a request, in order.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for block in blocks:
        digest.update(block)
    return digest.hexdigest()


def identify_request(metadata: RequestMetadata, organisation: str) -> str:
    """Return the identity of a request, empty while its body is unknown.

    :param metadata: properties of the request.
    :param organisation: name of its caller, empty if it has none.
    """
    if not metadata.body_digest:
        return ''
    # Only the last one may hold a line break.
    fields = (
        metadata.body_digest,
        metadata.method,
        metadata.host_name.lower(),
        metadata.path,
        organisation,
    )
    content = '\n'.join(fields).encode()
    digest = blake2b(content, digest_size=_DIGEST_BYTES)
    return f'{_PREFIX}{digest.hexdigest()}'


def is_identity(part: str) -> bool:
    """Return whether an ID is that of a whole request, not of a prompt part.

    :param part: ID among those that are suspected after a crash.
    """
    return part.startswith(_PREFIX)
