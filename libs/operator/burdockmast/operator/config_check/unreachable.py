"""Finds entries of a configuration that can never serve a request."""

import collections
from collections.abc import Iterator
import re
from typing import Any

from burdockmast.operator.config_check import errors
from burdockmast.operator.config_check import findings
from burdockmast.operator.config_check import matching

# Rules whose findings say that no request matches a route.
UNREACHABLE_ROUTE_RULES = frozenset(
    ('shadowed-route', 'prefix-start', 'prefix-characters')
)
PREFIX_ALLOWED = 'a prefix that begins and ends with a slash'
# The path of a request ends before its query, and the target ends at the first
# white space.
_NEVER_IN_PATHS = re.compile(r'[?\s]')


def find(parts: errors.Parts) -> Iterator[findings.Finding]:
    """Return the entries that no request can use, or that lack an entry."""
    yield from _shadowed_routes(parts.route_by_index)
    for index, route in parts.route_by_index.items():
        yield from _prefix(f'routes[{index}].path-prefix', route)
        yield from _route_services(f'routes[{index}]', route)
    yield from _unlisted_services(parts)
    yield from _unrouted_services(parts)
    yield from _repeated_names(parts)
    yield from _organisations(parts)
    for index, service in parts.service_by_index.items():
        if service['engine']:
            yield from _layers(f'services[{index}].engine', service['engine'])


def _shadowed_routes(
    route_by_index: dict[int, dict[str, Any]],
) -> Iterator[findings.Finding]:
    """Return the routes before which another with the same prefix matches.

    Only a route with the same host and prefix can take all requests of
    another.
    """
    matcher = matching.Matcher(route_by_index)
    for indexes in matcher.groups():
        if len(indexes) == 1:
            continue
        first = route_by_index[indexes[0]]
        host, prefix = first['host'], first['path-prefix']
        winner = matcher.find(host, prefix)
        for index in indexes:
            if index == winner:
                continue
            yield findings.error(
                'shadowed-route',
                f'routes[{index}].path-prefix',
                prefix,
                f'never matched: routes[{winner}] has the same host '
                f'{host!r} and path-prefix',
                'one route for each host and path-prefix',
            )


def _prefix(
    location: str, route: dict[str, Any]
) -> Iterator[findings.Finding]:
    prefix = route['path-prefix']
    if prefix and not prefix.startswith('/'):
        yield findings.error(
            'prefix-start',
            location,
            prefix,
            'never matched, as paths begin with a slash',
            PREFIX_ALLOWED,
        )
    elif _NEVER_IN_PATHS.search(prefix):
        yield findings.error(
            'prefix-characters',
            location,
            prefix,
            'never matched, as no path has white space or a question mark',
            PREFIX_ALLOWED,
        )
    elif not prefix:
        yield findings.warning(
            'prefix-end',
            location,
            prefix,
            'matches all paths of the host',
            PREFIX_ALLOWED,
        )
    elif not prefix.endswith('/'):
        yield findings.warning(
            'prefix-end',
            location,
            prefix,
            f'also matches paths such as {prefix + "x"!r}',
            PREFIX_ALLOWED,
        )


def _route_services(
    location: str, route: dict[str, Any]
) -> Iterator[findings.Finding]:
    splits = route['traffic-split']
    for place, split in enumerate(splits):
        if split['weight'] < 0:
            yield findings.warning(
                'negative-weight',
                f'{location}.traffic-split[{place}].weight',
                split['weight'],
                'taken as 0',
                'a number of at least 0',
            )
    if splits and not any(split['weight'] > 0 for split in splits):
        yield findings.error(
            'no-service',
            f'{location}.traffic-split',
            splits,
            'all requests are refused, as no weight is above 0',
            'at least one weight above 0',
        )
    elif not splits and not route['service']:
        yield findings.error(
            'no-service',
            f'{location}.service',
            route['service'],
            'all requests are refused, as the route has no service',
            'the name of a service, or a traffic-split',
        )
    elif splits and route['service']:
        yield findings.warning(
            'service-ignored',
            f'{location}.service',
            route['service'],
            'ignored, as the route has a traffic-split',
            'either service or traffic-split',
        )


def _service_by_location(index: int, route: dict[str, Any]) -> dict[str, str]:
    """Return the services that a route names, by where it does so."""
    if route['traffic-split']:
        return {
            f'routes[{index}].traffic-split[{place}].service': split['service']
            for place, split in enumerate(route['traffic-split'])
        }
    if route['service']:
        return {f'routes[{index}].service': route['service']}
    return {}


def _unlisted_services(parts: errors.Parts) -> Iterator[findings.Finding]:
    if 'services' in parts.malformed:
        return
    names = {service['name'] for service in parts.service_by_index.values()}
    nearest_by_name: dict[str, str | None] = {}
    for index, route in parts.route_by_index.items():
        for location, name in _service_by_location(index, route).items():
            if name in names:
                continue
            if name not in nearest_by_name:
                nearest_by_name[name] = findings.nearest(name, sorted(names))
            yield findings.warning(
                'unlisted-service',
                location,
                name,
                'not in services: taken for a plain service, and refused '
                'unless servers of this name exist',
                'the name of an entry of services',
                nearest_by_name[name],
            )


def _unrouted_services(parts: errors.Parts) -> Iterator[findings.Finding]:
    if 'routes' in parts.malformed:
        return
    routed = {
        name
        for index, route in parts.route_by_index.items()
        for name in _service_by_location(index, route).values()
    }
    for index, service in parts.service_by_index.items():
        if service['name'] not in routed:
            yield findings.warning(
                'unrouted-service',
                f'services[{index}].name',
                service['name'],
                'gets no requests, as no route names it',
                'a service that a route names',
            )


def _repeated_names(parts: errors.Parts) -> Iterator[findings.Finding]:
    last_by_name = {
        service['name']: index
        for index, service in parts.service_by_index.items()
    }
    for index, service in parts.service_by_index.items():
        last = last_by_name[service['name']]
        if index != last:
            yield findings.error(
                'repeated-service',
                f'services[{index}].name',
                service['name'],
                f'never used: services[{last}] has the same name',
                'one entry for each service',
            )
    for section, part_by_index in (
        ('routes', parts.route_by_index),
        ('tenants', parts.organisation_by_index or {}),
    ):
        first_by_name: dict[str, int] = {}
        for index, part in part_by_index.items():
            first = first_by_name.setdefault(part['name'], index)
            if index != first:
                yield findings.warning(
                    'repeated-name',
                    f'{section}[{index}].name',
                    part['name'],
                    f'{section}[{first}] has the same name',
                    'a name of its own',
                )


def _organisations(parts: errors.Parts) -> Iterator[findings.Finding]:
    if parts.organisation_by_index is None:
        return
    holder_by_key: dict[str, str] = {}
    for index, organisation in parts.organisation_by_index.items():
        location = f'tenants[{index}].api-keys'
        keys = organisation['api-keys']
        name = organisation['name']
        if not any(keys):
            yield findings.warning(
                'no-keys',
                location,
                keys,
                f'organisation {name!r} has no keys, so its requests are '
                'refused',
                'at least one key',
            )
        for place, key in enumerate(keys):
            if not key:
                yield findings.warning(
                    'empty-key',
                    f'{location}[{place}]',
                    key,
                    'never accepted, as it is empty',
                    'a key of at least one character',
                )
        shared: collections.Counter[str] = collections.Counter()
        for key in filter(None, dict.fromkeys(keys)):
            holder = holder_by_key.setdefault(key, name)
            if holder != name:
                shared[holder] += 1
        for holder, key_count in shared.items():
            yield findings.error(
                'shared-key',
                location,
                keys,
                f'{key_count} of the keys of {name!r} also held by '
                f'{holder!r}; only one of them can be served by a key',
                'keys that no other organisation holds',
            )
    is_public = all(route['public'] for route in parts.route_by_index.values())
    if not (holder_by_key or is_public or 'tenants' in parts.malformed):
        yield findings.error(
            'nobody-admitted',
            'tenants',
            [],
            'all requests to routes that are not public are refused, as no '
            'key is in force',
            'at least one key; without tenants, callers need none',
        )


def _layers(
    location: str, engine: dict[str, Any]
) -> Iterator[findings.Finding]:
    if engine['layers'] <= 0:
        return
    kinds = engine['kinds']
    layer_mb = engine['layer-mb']
    if not kinds:
        yield findings.warning(
            'no-kinds',
            f'{location}.kinds',
            kinds,
            'gateways give layers to no server, as no accelerator is known',
            'at least one kind of accelerator',
        )
    elif layer_mb > max(kind['mb'] for kind in kinds):
        yield findings.error(
            'layer-too-large',
            f'{location}.layer-mb',
            layer_mb,
            'no server could hold a layer',
            f'at most {max(kind["mb"] for kind in kinds):g}, the memory of '
            'the largest kind',
        )
    else:
        for place, kind in enumerate(kinds):
            if layer_mb > kind['mb']:
                yield findings.warning(
                    'kind-too-small',
                    f'{location}.kinds[{place}].mb',
                    kind['mb'],
                    'servers of this kind could hold no layer',
                    f'at least {layer_mb:g}, the size of a layer',
                )
    if kinds and layer_mb == 0 and engine['kv-bytes'] == 0:
        yield findings.error(
            'layer-without-size',
            f'{location}.layer-mb',
            layer_mb,
            'gateways cannot divide the memory of servers, as neither layers '
            'nor KV caches take any',
            'a number above 0',
        )
