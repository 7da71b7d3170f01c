"""Finds what the decoder of gateways rejects or ignores.

The decoder stops at the first fault; this walks the whole document with the
decoder's own types, so that all faults are reported at once.
"""

from collections.abc import Iterator
import dataclasses
import functools
import json
import math
import types
import typing
from typing import Any

import msgspec

from burdockmast.base import json_values
from burdockmast.operator.config_check import findings
from burdockmast.platform import configuration
from burdockmast.platform import configuration_faults

# What a type allows, in the words of JSON.
_ALLOWED_BY_TYPE = {
    str: 'a string',
    int: 'an integer',
    float: 'a number',
    bool: 'true or false',
}

# What reading raises for a document that gateways reject.
_UNREADABLE = (msgspec.MsgspecError, ValueError, RecursionError)


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """The well-formed parts of a configuration, with all known keys.

    :ivar route_by_index: by place in the list, like the next two
    :ivar organisation_by_index: None if callers need no key
    :ivar limits: None if they are malformed
    :ivar given_limits: names of the limits that the file gives
    :ivar malformed: names of the sections that have other parts too
    """

    route_by_index: dict[int, dict[str, Any]]
    service_by_index: dict[int, dict[str, Any]]
    organisation_by_index: dict[int, dict[str, Any]] | None
    limits: dict[str, Any] | None
    given_limits: frozenset[str]
    malformed: frozenset[str]


def find(document: object) -> list[findings.Finding]:
    """Return what the decoder would reject, and the keys that it ignores."""
    found = list(_check(document, configuration.wire_type(), ''))
    if any(f.severity is findings.Severity.ERROR for f in found):
        return _with_effects(found, document)
    rejection = _rejection(document)
    if rejection:
        found.append(
            findings.error(
                'rejected',
                findings.ROOT,
                document,
                f'gateways reject the whole configuration: {rejection}',
            )
        )
    return found


def is_readable(document: object) -> bool:
    """Return whether gateways can read all fields of a configuration."""
    try:
        return not _read(document).faults
    except _UNREADABLE:
        return False


def _with_effects(
    found: list[findings.Finding], document: object
) -> list[findings.Finding]:
    """Return findings that tell what gateways do about each fault."""
    try:
        faults = _read(document).faults
    except _UNREADABLE:
        return found
    effect_by_location = {f.location: f.effect.value for f in faults}
    return [
        dataclasses.replace(
            finding,
            message=next(
                (
                    effect_by_location[part]
                    for part in _enclosing(finding.location)
                    if part in effect_by_location
                ),
                finding.message,
            ),
        )
        if finding.severity is findings.Severity.ERROR
        else finding
        for finding in found
    ]


def _enclosing(location: str) -> Iterator[str]:
    """Return a location, then those of the parts that it is in."""
    while location:
        yield location
        location = location[: max(location.rfind('.'), location.rfind('['), 0)]


def _read(document: object) -> configuration_faults.Reading:
    """Read a document as gateways do, which receive it as JSON."""
    sent = json.dumps(document, allow_nan=False)
    return configuration_faults.read(msgspec.json.decode(sent))


def _rejection(document: object) -> str:
    """Return why gateways reject a document, empty if they don't.

    JSON can't hold all that a file can.
    """
    try:
        _read(document)
    except _UNREADABLE as error:
        return str(error)
    return ''


def well_formed(document: object, found: list[findings.Finding]) -> Parts:
    """Return the parts of a configuration that have no errors."""
    faulty = {
        finding.location.partition('.')[0]
        for finding in found
        if finding.severity is findings.Severity.ERROR
    }
    if findings.ROOT in faulty or not isinstance(document, dict):
        sections = frozenset(('routes', 'services', 'tenants', 'limits'))
        return Parts({}, {}, None, None, frozenset(), sections)
    kept: dict[str, Any] = {'version': 0}
    indexes_by_section: dict[str, list[int]] = {}
    for section in ('routes', 'services', 'tenants'):
        given = document.get(section) or []
        indexes_by_section[section] = indexes = [
            index
            for index in range(len(given) if section not in faulty else 0)
            if f'{section}[{index}]' not in faulty
        ]
        if section in document:
            kept[section] = [given[index] for index in indexes]
    if 'limits' in document and 'limits' not in faulty:
        kept['limits'] = document['limits']
    completed = configuration.complete(kept)
    by_index = {
        section: dict(zip(indexes, completed.get(section, []), strict=True))
        for section, indexes in indexes_by_section.items()
    }
    return Parts(
        by_index['routes'],
        by_index['services'],
        by_index['tenants'] if 'tenants' in document else None,
        None if 'limits' in faulty else completed['limits'],
        frozenset(kept.get('limits') or ()),
        frozenset(part.partition('[')[0] for part in faulty),
    )


def _check(
    value: object, wanted: Any, location: str
) -> Iterator[findings.Finding]:
    wanted, is_optional = _without_none(wanted)
    if value is None and is_optional:
        return
    if isinstance(wanted, type) and issubclass(wanted, msgspec.Struct):
        if isinstance(value, dict):
            yield from _check_object(value, wanted, location)
        else:
            yield _wrong_type(location, value, 'an object', is_optional)
    elif typing.get_origin(wanted) is list:
        if not isinstance(value, list):
            yield _wrong_type(location, value, 'a list', is_optional)
            return
        (item_type,) = typing.get_args(wanted)
        for index, item in enumerate(value):
            yield from _check(item, item_type, f'{location}[{index}]')
    elif not _is_accepted(value, wanted):
        yield _wrong_type(
            location, value, _ALLOWED_BY_TYPE[wanted], is_optional
        )


def _check_object(
    value: dict[str, object], struct: type[msgspec.Struct], location: str
) -> Iterator[findings.Finding]:
    field_by_name = _fields(struct)
    prefix = f'{location}.' if location else ''
    for name, field in field_by_name.items():
        if name in value:
            if value[name] is None and _may_be_null(field):
                continue
            yield from _check(value[name], field.type, prefix + name)
        elif field.required:
            yield findings.error(
                'missing-key',
                prefix + name,
                None,
                'the key is missing',
                _allowed(field.type),
            )
    for name, given in value.items():
        if name not in field_by_name:
            yield findings.warning(
                'unknown-key',
                prefix + name,
                # Text may be an API key that is in the wrong place.
                findings.HIDDEN if isinstance(given, str) else given,
                'unknown key, which gateways ignore',
                'one of ' + ', '.join(field_by_name),
                findings.nearest(name, list(field_by_name)),
            )


def _may_be_null(field: msgspec.structs.FieldInfo) -> bool:
    """Return whether null stands for a key that is left out.

    It doesn't where the absence itself says something.
    """
    return not field.required and field.default is not msgspec.UNSET


@functools.cache
def _fields(
    struct: type[msgspec.Struct],
) -> dict[str, msgspec.structs.FieldInfo]:
    return {
        field.encode_name: field for field in msgspec.structs.fields(struct)
    }


def _without_none(wanted: Any) -> tuple[Any, bool]:
    """Return a type without its alternatives, and whether null is one."""
    if typing.get_origin(wanted) not in (typing.Union, types.UnionType):
        return wanted, False
    alternatives = typing.get_args(wanted)
    (found,) = (
        alternative
        for alternative in alternatives
        if alternative not in (types.NoneType, msgspec.UnsetType)
    )
    return found, types.NoneType in alternatives


def _is_accepted(value: object, wanted: type) -> bool:
    if isinstance(value, float) and not math.isfinite(value):
        return False
    try:
        json_values.convert(value, wanted)
    except msgspec.ValidationError:
        return False
    return True


def _allowed(wanted: Any) -> str:
    wanted, _ = _without_none(wanted)
    if typing.get_origin(wanted) is list:
        return 'a list'
    return _ALLOWED_BY_TYPE.get(wanted, 'an object')


def _wrong_type(
    location: str, value: object, allowed: str, is_optional: bool
) -> findings.Finding:
    return findings.error(
        'wrong-type',
        location or findings.ROOT,
        value,
        'gateways reject the whole configuration',
        f'{allowed} or null' if is_optional else allowed,
    )
