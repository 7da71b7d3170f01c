"""Loads and validates settings files."""

import pathlib
from typing import TypeVar

import json5
import msgspec

from burdockmast.base import json_values

T = TypeVar('T')


class SettingsError(Exception):
    """A settings file can't be read or is invalid.

    The message names the file and the path in it, the value found and what
    is allowed.
    """


def load(path: pathlib.Path, target_type: type[T]) -> T:
    """Load a JSON5 file as ``target_type``.

    :raises SettingsError: if the file can't be read or is invalid
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from None
    try:
        document = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise SettingsError(f'{path}: not JSON: {error}') from None
    return convert(document, target_type, str(path))


def convert(document: object, target_type: type[T], source: str) -> T:
    """Convert a parsed document to ``target_type``.

    :param source: name of the document in error messages
    :raises SettingsError: if the document is invalid
    """
    try:
        return json_values.convert(document, target_type)
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(' - at ')
        location = location.strip('`') or '$'
        found = _describe_value(document, location)
        raise SettingsError(
            f'{source}: at {location}: {message}{found}'
        ) from None


def _describe_value(document: object, location: str) -> str:
    """Return the value at ``location`` for an error, empty if it is absent."""
    value = document
    for part in location.replace('[', '.[').split('.')[1:]:
        try:
            value = value[int(part[1:-1]) if part[0] == '[' else part]
        except (KeyError, IndexError, TypeError, ValueError):
            return ''
    if isinstance(value, dict):
        return ''
    return f'; found {value!r}'
