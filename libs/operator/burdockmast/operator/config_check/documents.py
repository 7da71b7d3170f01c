"""Reads the configurations that are checked and compared."""

import json
import pathlib

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.platform import configuration
from burdockmast.platform import store
from burdockmast.settings import loader


class UnreadableError(Exception):
    """A configuration can't be read; the message names it and the reason."""


def read_file(path: pathlib.Path) -> object:
    """Return the document in a file of JSON, with or without comments.

    :raises UnreadableError: if the file can't be read or is not JSON
    """
    try:
        # The JSON5 library takes 6 s for 5,000 routes and organisations, so it
        # reads only what the decoder of plain JSON rejects.
        return json.loads(
            path.read_text(encoding='utf-8'),
            object_pairs_hook=_unique_keys,
            parse_constant=_reject_constant,
        )
    except OSError as error:
        raise UnreadableError(f'{path}: {error.strerror}') from None
    except UnicodeDecodeError as error:
        raise UnreadableError(f'{path}: not UTF-8: {error.reason}') from None
    except ValueError:
        pass
    except RecursionError:
        raise UnreadableError(f'{path}: nested too deeply') from None
    try:
        return loader.load(path, object)
    except loader.SettingsError as error:
        raise UnreadableError(str(error)) from None
    except RecursionError:
        raise UnreadableError(f'{path}: nested too deeply') from None


def _unique_keys(pairs: list[tuple[str, object]]) -> dict[str, object]:
    found = dict(pairs)
    if len(found) != len(pairs):
        raise ValueError('a key occurs twice')
    return found


def _reject_constant(name: str) -> object:
    raise ValueError(f'{name} is not JSON')


def read_in_force(address: ids.Address) -> object:
    """Return the configuration that the platform's store holds.

    :raises UnreadableError: if the store can't be reached or holds none
    """
    client = store.Client(address)
    response = client.call('GET', configuration.KIND, configuration.NAME)
    found = client.decode_response(response, store.Object, configuration.KIND)
    if isinstance(found, failures.Failure):
        raise UnreadableError(f'configuration in force: {found}')
    return found.spec


def complete(document: object, source: str) -> dict:
    """Return a configuration with all known keys.

    :param source: name of the configuration in the error
    :raises UnreadableError: if a gateway would reject it
    """
    try:
        return configuration.complete(document)
    except msgspec.ValidationError as error:
        raise UnreadableError(
            f'{source}: not a valid configuration: {error}'
        ) from None
