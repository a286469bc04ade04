"""Request bodies for engines."""

import msgspec

from buckthornpond_core.types import DECODE_ERRORS

_PRIORITY_FIELD = 'priority'


def with_priority(body: bytes, priority: int) -> bytes:
    """Return the JSON body with the priority that the agent chose.

    A priority set by the caller is replaced, so that callers cannot raise
    their own. A body that is not a JSON object is returned unchanged and left
    for the engine to refuse.

    :param body: the caller's JSON text.
    :param priority: priority at the engine, which serves the lowest one first.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS:
        return body
    fields[_PRIORITY_FIELD] = msgspec.Raw(msgspec.json.encode(priority))
    return msgspec.json.encode(fields)
