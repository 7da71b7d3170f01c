"""Finds what a configuration changes, and what callers notice of it.

Both configurations are complete, as ``configuration.complete`` returns them.
API keys are counted, never shown.
"""

from collections.abc import Iterator
import dataclasses
import enum
import json
from typing import Any

from burdockmast.operator.config_check import findings
from burdockmast.operator.config_check import matching
from burdockmast.platform import settings

# Times that apply where a gateway's settings give no others.
APPLY_SECONDS = settings.DEFAULT_APPLY_MS / 1000
REVOKE_SECONDS = settings.DEFAULT_REVOKE_MS / 1000
_ABSENT = object()


class Change(enum.Enum):
    """What happens to a part of the configuration."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """A change of one part.

    :ivar part: kind of the part, such as ``route``
    :ivar name: of the part, empty if there is only one
    :ivar details: one for each key that changed
    :ivar effect: what callers notice, empty if nothing is known of it
    """

    change: Change
    part: str
    name: str
    details: tuple[str, ...] = ()
    effect: str = ''


def find(
    before: dict[str, Any], after: dict[str, Any]
) -> tuple[list[Difference], list[findings.Finding]]:
    """Return all differences, and findings for those that take away."""
    differences = [
        *_version(before, after),
        *_routes(before, after),
        *_services(before, after),
        *_authentication(before, after),
        *_organisations(before, after),
        *_keys(before, after),
        *_limits(before, after),
    ]
    found = [
        *_version_findings(before, after),
        *_route_findings(differences),
        *_organisation_findings(before, after),
    ]
    return differences, found


def _version(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    details = _details(
        {'version': before['version']}, {'version': after['version']}
    )
    if details:
        yield Difference(Change.CHANGED, 'version', '', details)


def _version_findings(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[findings.Finding]:
    if after['version'] <= before['version']:
        yield findings.error(
            'version-not-higher',
            'version',
            after['version'],
            f'gateways keep version {before["version"]}',
            f'above {before["version"]}',
        )


def _routes(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    old = matching.Matcher(dict(enumerate(before['routes'])))
    new = matching.Matcher(dict(enumerate(after['routes'])))
    for change, name, was, now in _pairs(before['routes'], after['routes']):
        match change:
            case Change.ADDED:
                taken_from = old.find(now['host'], now['path-prefix'])
                effect = (
                    f'answers requests to {_address(now)} '
                    f'{APPLY_SECONDS:g} s after the acknowledgement'
                )
                if taken_from is not None:
                    source = before['routes'][taken_from]['name']
                    effect += f'; until then route {source!r} does'
                yield Difference(change, 'route', name, (), effect)
            case Change.REMOVED:
                heir = new.find(was['host'], was['path-prefix'])
                effect = f'requests to {_address(was)} '
                if heir is None:
                    effect += 'are refused with status 404'
                else:
                    heir_name = after['routes'][heir]['name']
                    effect += f'go to route {heir_name!r}'
                yield Difference(change, 'route', name, (), effect)
            case Change.CHANGED:
                yield Difference(
                    change,
                    'route',
                    name,
                    _details(was, now),
                    _route_effect(before, after, was, now),
                )


def _route_effect(
    before: dict[str, Any],
    after: dict[str, Any],
    was: dict[str, Any],
    now: dict[str, Any],
) -> str:
    effects = []
    if _address(was) != _address(now):
        effects.append(f'answers {_address(now)}, not {_address(was)}')
    needs_keys = 'tenants' in before and 'tenants' in after
    if needs_keys and was['public'] != now['public']:
        effects.append(
            'callers need no key any more'
            if now['public']
            else 'requests without a key are refused'
        )
    return '; '.join(effects)


def _route_findings(
    differences: list[Difference],
) -> Iterator[findings.Finding]:
    for difference in differences:
        if (difference.part, difference.change) == ('route', Change.REMOVED):
            yield findings.warning(
                'route-removed',
                'routes',
                difference.name,
                f'the route is removed: {difference.effect}',
            )


def _services(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    pairs = _pairs(before['services'], after['services'])
    for change, name, was, now in pairs:
        details = _details(was, now) if change is Change.CHANGED else ()
        yield Difference(change, 'service', name, details)


def _authentication(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    match 'tenants' in before, 'tenants' in after:
        case True, False:
            yield Difference(
                Change.REMOVED,
                'authentication',
                '',
                (),
                'callers need no key any more',
            )
        case False, True:
            yield Difference(
                Change.ADDED,
                'authentication',
                '',
                (),
                'requests without a key are refused '
                f'{REVOKE_SECONDS:g} s after the acknowledgement',
            )


def _organisations(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    pairs = _pairs(before.get('tenants', []), after.get('tenants', []))
    for change, name, was, now in pairs:
        old_keys, new_keys = (
            {key for key in (part or {}).get('api-keys', ()) if key}
            for part in (was, now)
        )
        details = [
            f'keys {verb}: {len(keys)}'
            for verb, keys in (
                ('added', new_keys - old_keys),
                ('removed', old_keys - new_keys),
            )
            if keys
        ]
        if change is Change.CHANGED:
            details += _details(
                {'priority': was['priority']}, {'priority': now['priority']}
            )
            if not details:
                continue
        yield Difference(change, 'organisation', name, tuple(details))


def _keys(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    """Return what happens to keys, whatever organisations hold them."""
    if 'tenants' not in before or 'tenants' not in after:
        return
    old, new = _name_by_key(before), _name_by_key(after)
    removed = old.keys() - new.keys()
    if removed:
        yield Difference(
            Change.REMOVED,
            'authentication',
            '',
            (),
            f'keys taken away: {len(removed)}, requests with them are '
            f'refused {REVOKE_SECONDS:g} s after the acknowledgement',
        )
    moved = [key for key in old.keys() & new.keys() if old[key] != new[key]]
    if moved:
        yield Difference(
            Change.CHANGED,
            'authentication',
            '',
            (),
            f'keys moved: {len(moved)}, requests with them are made for '
            'another organisation',
        )
    added = new.keys() - old.keys()
    if added:
        yield Difference(
            Change.ADDED,
            'authentication',
            '',
            (),
            f'keys added: {len(added)}, requests with them are accepted '
            f'{APPLY_SECONDS:g} s after the acknowledgement',
        )


def _organisation_findings(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[findings.Finding]:
    if 'tenants' not in before:
        return
    if 'tenants' not in after:
        yield findings.warning(
            'keys-not-needed',
            'tenants',
            None,
            'callers need no key any more, on any route',
        )
        return
    keys_before, keys_after = _keys_by_name(before), _keys_by_name(after)
    for name, keys in keys_before.items():
        if keys and not keys_after.get(name):
            yield findings.warning(
                'organisation-without-keys',
                'tenants',
                None,
                f'all keys of organisation {name!r} are removed: {len(keys)}',
            )


def _limits(
    before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    details = _details(before['limits'], after['limits'])
    if details:
        yield Difference(Change.CHANGED, 'limits', '', details)


def _pairs(
    before: list[dict[str, Any]], after: list[dict[str, Any]]
) -> Iterator[tuple[Change, str, Any, Any]]:
    """Return the parts that differ, by name; None stands for no part."""
    old, new = _part_by_name(before), _part_by_name(after)
    for (name, occurrence), part in old.items():
        if (name, occurrence) not in new:
            yield Change.REMOVED, name, part, None
    for (name, occurrence), part in new.items():
        if (name, occurrence) not in old:
            yield Change.ADDED, name, None, part
        elif old[name, occurrence] != part:
            yield Change.CHANGED, name, old[name, occurrence], part


def _part_by_name(
    parts: list[dict[str, Any]],
) -> dict[tuple[str, int], dict[str, Any]]:
    """Return parts by name, and by number among those of the same name."""
    found: dict[tuple[str, int], dict[str, Any]] = {}
    count_by_name: dict[str, int] = {}
    for part in parts:
        number = count_by_name.get(part['name'], 0)
        count_by_name[part['name']] = number + 1
        found[part['name'], number] = part
    return found


def _name_by_key(document: dict[str, Any]) -> dict[str, str]:
    return {
        key: organisation['name']
        for organisation in document['tenants']
        for key in organisation['api-keys']
        if key
    }


def _keys_by_name(document: dict[str, Any]) -> dict[str, set[str]]:
    found: dict[str, set[str]] = {}
    for organisation in document['tenants']:
        keys = found.setdefault(organisation['name'], set())
        keys.update(filter(None, organisation['api-keys']))
    return found


def _details(before: dict[str, Any], after: dict[str, Any]) -> tuple[str, ...]:
    """Return a line for each key whose value differs."""
    old, new = _flatten(before), _flatten(after)
    return tuple(
        f'{key}: {_text(old.get(key, _ABSENT))} -> '
        f'{_text(new.get(key, _ABSENT))}'
        for key in {**old, **new}
        if old.get(key, _ABSENT) != new.get(key, _ABSENT)
    )


def _flatten(part: dict[str, Any]) -> dict[str, object]:
    """Return the values of nested objects by path of keys."""
    found: dict[str, object] = {}
    for key, value in part.items():
        if isinstance(value, dict):
            for inner, inner_value in _flatten(value).items():
                found[f'{key}.{inner}'] = inner_value
        else:
            found[key] = value
    return found


def _text(value: object) -> str:
    if value is _ABSENT:
        return 'none'
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    return json.dumps(value)


def _address(route: dict[str, Any]) -> str:
    return route['host'] + route['path-prefix']
