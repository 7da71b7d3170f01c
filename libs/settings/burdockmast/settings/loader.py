"""Reads settings files."""

import pathlib
from typing import TypeVar

import json5
import msgspec

T = TypeVar('T')


class SettingsError(Exception):
    """A settings file is wrong.

    The text names the file, the place in it, what was found and what is
    allowed.
    """


def load(path: pathlib.Path, kind: type[T]) -> T:
    """Read a file of JSON with comments as ``kind``.

    :raises SettingsError: if the file is missing or wrong
    """
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from None
    try:
        document = json5.loads(text, allow_duplicate_keys=False)
    except ValueError as error:
        raise SettingsError(f'{path}: not JSON: {error}') from None
    return convert(document, kind, str(path))


def convert(document: object, kind: type[T], source: str) -> T:
    """Check a parsed document against ``kind``.

    :param source: name of the document in errors
    :raises SettingsError: naming the place, the value and what is allowed
    """
    try:
        return msgspec.convert(document, kind)
    except msgspec.ValidationError as error:
        message, _, place = str(error).partition(' - at ')
        place = place.strip('`') or '$'
        found = _find(document, place)
        raise SettingsError(
            f'{source}: at {place}: {message}{found}'
        ) from None


def _find(document: object, place: str) -> str:
    value = document
    for part in place.replace('[', '.[').split('.')[1:]:
        try:
            value = value[int(part[1:-1]) if part[0] == '[' else part]
        except (KeyError, IndexError, TypeError, ValueError):
            return ''
    if isinstance(value, dict):
        return ''
    return f'; found {value!r}'
