"""Encoding of messages between processes and of operators' documents."""

import json
from collections.abc import Mapping
from importlib import resources
from types import MappingProxyType
from typing import TypeVar

import msgspec
import pyjson5

from buckthornpond_core._generated import messages
from buckthornpond_core.effects import WireMessage
from buckthornpond_core.exceptions import (
    InvalidDocumentError,
    MalformedMessageError,
)
from buckthornpond_core.types import DECODE_ERRORS

_WIRE_TYPES: Mapping[bytes, type[WireMessage]] = MappingProxyType(
    {
        kind.__name__.encode(): kind
        for kind in (
            messages.Accepted,
            messages.Attempt,
            messages.Cancel,
            messages.Chunk,
            messages.Credit,
            messages.Document,
            messages.DocumentRequest,
            messages.FenceKey,
            messages.FenceReply,
            messages.Final,
            messages.Heartbeat,
            messages.Hint,
            messages.Query,
            messages.QueryReply,
            messages.Refused,
            messages.Started,
        )
    }
)
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = MappingProxyType(
    {
        kind: msgspec.msgpack.Decoder(wire_type)
        for kind, wire_type in _WIRE_TYPES.items()
    }
)

_MAX_SHOWN_KIND_BYTES = 32

DocumentT = TypeVar('DocumentT')


def encode_message(message: WireMessage) -> list[bytes]:
    """Return the two frames of a message: its kind and its fields.

    :param message: any message of the schema.
    """
    return [type(message).__name__.encode(), _ENCODER.encode(message)]


def decode_message(frames: list[bytes], peer: str) -> WireMessage:
    """Return the message that two frames hold.

    :param frames: kind and fields, as :func:`encode_message` made them.
    :param peer: the sender, named in the error.
    :raises MalformedMessageError: when the frames hold no known message.
    """
    if len(frames) != 2:
        raise MalformedMessageError(
            f'expected 2 frames, received {len(frames)}',
            step='decode message',
            peer=peer,
        )
    decoder = _DECODERS.get(frames[0])
    if decoder is None:
        raise MalformedMessageError(
            f'unknown message kind {frames[0][:_MAX_SHOWN_KIND_BYTES]!r}',
            step='decode message',
            peer=peer,
        )
    try:
        return decoder.decode(frames[1])
    except DECODE_ERRORS as error:
        raise MalformedMessageError(
            str(error),
            step='decode message',
            peer=peer,
        ) from error


def decode_document(
    content: bytes,
    document_type: type[DocumentT],
    *,
    schema_name: str,
    peer: str,
) -> DocumentT:
    """Return a validated settings file or operators' document.

    :param content: JSON text, which may contain comments.
    :param document_type: the generated class.
    :param schema_name: schema file that defines the class.
    :param peer: source of the text, named in the error.
    :raises InvalidDocumentError: with every fault found.
    """
    try:
        tree = pyjson5.decode_utf8(content)
    except (pyjson5.Json5Exception, UnicodeDecodeError) as error:
        raise InvalidDocumentError(
            [f'not JSON: {error.args[0]}'],
            step='parse document',
            peer=peer,
        ) from error
    try:
        return msgspec.convert(tree, document_type)
    except msgspec.ValidationError as error:
        problems = _find_schema_problems(
            tree,
            schema_name,
            document_type.__name__,
        )
        raise InvalidDocumentError(
            problems or [str(error)],
            step='check document',
            peer=peer,
        ) from error


def _find_schema_problems(
    tree: object,
    schema_name: str,
    class_name: str,
) -> list[str]:
    # Imported on demand: it is large, and only invalid documents need it.
    from jsonschema import Draft202012Validator

    text = (
        resources.files('buckthornpond_core')
        .joinpath(f'schema/{schema_name}.json')
        .read_text()
    )
    schema = json.loads(text)
    schema['$ref'] = f'#/$defs/{class_name}'
    schema.pop('type')
    errors = Draft202012Validator(schema).iter_errors(tree)
    return sorted(
        f'{error.json_path}: {_describe_type(error.instance)}: {error.message}'
        for error in errors
    )


def _describe_type(found: object) -> str:
    return f'{type(found).__name__} given'
