"""Bodies of calls to engines."""

import msgspec

_PRIORITY = 'priority'


def with_priority(body: bytes, priority: int) -> bytes:
    """Return the JSON object with the priority that the agent chose.

    What the caller wrote under that name is replaced, so that no caller
    comes before others on its own word. A body that is no JSON object is
    left for the engine to refuse.

    :param body: the caller's JSON text.
    :param priority: the lowest is served first.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.MsgspecError:
        return body
    fields[_PRIORITY] = msgspec.Raw(msgspec.json.encode(priority))
    return msgspec.json.encode(fields)
