"""Loading of settings files."""

from pathlib import Path
from typing import TypeVar

from buckthornpond_core.exceptions import InvalidDocumentError

from .codecs import decode_document

SettingsT = TypeVar('SettingsT')


def load_settings(path: str, settings_type: type[SettingsT]) -> SettingsT:
    """Return the validated settings of a process.

    :param path: JSON file, which may contain comments.
    :param settings_type: the generated class.
    :raises InvalidDocumentError: with every fault found.
    """
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise InvalidDocumentError(
            [error.strerror or str(error)],
            step='read settings',
            peer=path,
        ) from error
    return decode_document(
        content,
        settings_type,
        schema_name='settings',
        peer=path,
    )
