"""Converts JSON to types, in whatever form its writer puts a value.

JSON has one kind of number: 2, 2.0 and 2e0 are the same, and a writer that
holds numbers as doubles may send any of them. Null stands for a key that is
left out.
"""

from typing import TypeVar

import msgspec

# Above, a double may not be the whole number that was meant.
MAX_WHOLE_DOUBLE = 2.0**53

T = TypeVar('T')


def convert(value: object, target_type: type[T]) -> T:
    """Convert a decoded JSON value to a type.

    :raises msgspec.ValidationError: if it doesn't fit in any form
    """
    try:
        return msgspec.convert(value, target_type)
    except msgspec.ValidationError:
        try:
            normalised = normalise(value)
        except RecursionError:
            raise msgspec.ValidationError('nested too deeply') from None
        return msgspec.convert(normalised, target_type)


def decode(data: bytes, target_type: type[T]) -> T:
    """Decode JSON as a type.

    :raises msgspec.MsgspecError: if it is no JSON, or doesn't fit in any form
    :raises RecursionError: if it is nested too deeply
    """
    try:
        return msgspec.json.decode(data, type=target_type)
    except msgspec.ValidationError:
        return convert(msgspec.json.decode(data), target_type)


def normalise(value: object) -> object:
    """Return a value without null keys, and with whole numbers as integers.

    :raises RecursionError: if it is nested too deeply
    """
    match value:
        case dict():
            return {
                key: normalise(item)
                for key, item in value.items()
                if item is not None
            }
        case list():
            return [normalise(item) for item in value]
        case float() if value.is_integer() and abs(value) <= MAX_WHOLE_DOUBLE:
            return int(value)
    return value
