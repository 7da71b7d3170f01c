"""Reads what can be read of a configuration.

The load: a version that adds routes and takes keys back has a field that this
gateway can't read. If that took the whole version away, no route would be
served once the keys of the one before are too old to be trusted. So a field
takes only what depends on it: an estimate has its default, a route or service
whose requests could go wrong is refused, and where the list of keys is not
whole, a key that isn't known may be sound. Only without the version, or where
it can't be told which requests a route gets, nothing is read.
"""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Any
from typing import TypeVar

import msgspec

from burdockmast.base import json_values
from burdockmast.platform import configuration_types

S = TypeVar('S', bound=msgspec.Struct)


class Effect(enum.Enum):
    """What gateways do where a field can't be read, for operators."""

    DEFAULT = 'gateways use the default'
    ROUTE_REFUSED = 'gateways refuse all requests of the route'
    SERVICE_REFUSED = 'gateways refuse all requests to the service'
    KEYS_UNKNOWN = 'gateways refuse requests with keys that they do not know'
    REJECTED = 'gateways reject the whole configuration'


# Of fields that have no safe default.
_ROUTE_EFFECTS = {
    'host': Effect.REJECTED,
    'path-prefix': Effect.REJECTED,
    'kind': Effect.ROUTE_REFUSED,
    'service': Effect.ROUTE_REFUSED,
    'traffic-split': Effect.ROUTE_REFUSED,
    'public': Effect.ROUTE_REFUSED,
}
_SERVICE_EFFECTS = {
    'name': Effect.SERVICE_REFUSED,
    'engine': Effect.SERVICE_REFUSED,
}
# A server that is ordered to hold more layers than fit crashes.
_ENGINE_EFFECTS = {
    'layers': Effect.SERVICE_REFUSED,
    'layer-mb': Effect.SERVICE_REFUSED,
    'kv-bytes': Effect.SERVICE_REFUSED,
    'kinds': Effect.SERVICE_REFUSED,
}
_TENANT_EFFECTS = {
    'name': Effect.KEYS_UNKNOWN,
    'api-keys': Effect.KEYS_UNKNOWN,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A field that can't be read.

    :ivar location: path of keys, such as ``routes[3].kind``
    :ivar reason: why, without the field's value, which may be an API key
    """

    location: str
    reason: str
    effect: Effect

    def __str__(self) -> str:
        """Return one line with the location, the reason and the effect."""
        return f'{self.location}: {self.reason}; {self.effect.value}'


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """A configuration, and what of it can't be read.

    :ivar found: without what can't be read; a route that is refused has no
        service
    :ivar faults: empty if everything could be read
    :ivar refused_services: names of services to which nothing may be sent
    :ivar are_services_known: no service has a name that can't be read
    :ivar are_keys_known: all keys could be read
    """

    found: configuration_types.Configuration
    faults: tuple[Fault, ...] = ()
    refused_services: frozenset[str] = frozenset()
    are_services_known: bool = True
    are_keys_known: bool = True


def read(spec: object) -> Reading:
    """Read what can be read of a configuration.

    :raises msgspec.ValidationError: if it has to be rejected as a whole
    """
    try:
        found = convert(spec)
        _check_layers(found)
        return Reading(found)
    except msgspec.ValidationError as error:
        if not isinstance(spec, dict):
            raise
        try:
            normalised = json_values.normalise(spec)
        except RecursionError:
            raise error from None
        reading = _Reader().read(normalised, spec)
        if not reading.faults:
            raise
        return reading


def convert(spec: object) -> configuration_types.Configuration:
    """Convert a configuration of which every field can be read.

    :raises msgspec.ValidationError: if one can't
    """
    if isinstance(spec, dict) and spec.get('tenants', ()) is None:
        # Taken for absent, it would let callers in without a key.
        raise msgspec.ValidationError(
            'Expected `array`, got `null` - at `$.tenants`'
        )
    return json_values.convert(spec, configuration_types.Configuration)


def _check_layers(found: configuration_types.Configuration) -> None:
    """Check that gateways can plan the layers of all models.

    :raises msgspec.ValidationError: if they can't
    """
    for service in found.services:
        if service.engine and not _can_plan(service.engine.layers):
            raise msgspec.ValidationError(
                f'{service.engine.layers} layers are out of range'
            )


def _can_plan(layers: int) -> bool:
    return 0 <= layers <= configuration_types.MAX_LAYERS


class _Reader:
    """Reads one configuration, field by field."""

    def __init__(self):
        """Create a reader that has found no faults."""
        self._faults: list[Fault] = []
        self._refused_services: set[str] = set()

    def read(self, spec: dict[str, Any], sent: dict[str, Any]) -> Reading:
        """Read a configuration.

        :param sent: the same one before null keys were left out
        """
        found = configuration_types.Configuration(
            self._field(spec, 'version', int),
            self._routes(spec),
            self._services(spec),
            self._tenants(spec, sent),
            self._limits(spec),
        )
        effects = {fault.effect for fault in self._faults}
        return Reading(
            found,
            tuple(self._faults),
            frozenset(self._refused_services),
            '' not in self._refused_services,
            Effect.KEYS_UNKNOWN not in effects,
        )

    def _add(self, location: str, reason: object, effect: Effect) -> None:
        """Record a fault.

        :raises msgspec.ValidationError: if the configuration is rejected
        """
        fault = Fault(location, str(reason).partition(' - at ')[0], effect)
        if effect is Effect.REJECTED:
            raise msgspec.ValidationError(f'{location}: {fault.reason}')
        self._faults.append(fault)

    def _field(self, spec: dict[str, Any], name: str, wanted: Any) -> Any:
        """Return a field without which nothing can be read."""
        try:
            return msgspec.convert(spec.get(name), wanted)
        except msgspec.ValidationError as error:
            return self._add(name, error, Effect.REJECTED)

    def _list(self, spec: dict[str, Any], name: str) -> list[Any]:
        return self._field({name: spec.get(name, [])}, name, list)

    def _readable(
        self,
        given: object,
        struct: type[msgspec.Struct],
        location: str,
        effects: Mapping[str, Effect],
    ) -> tuple[dict[str, Any], set[Effect]]:
        """Return the fields that can be read, and what the others cause."""
        if not isinstance(given, dict):
            worst = max(
                effects.values(),
                key=list(Effect).index,
                default=Effect.DEFAULT,
            )
            self._add(location, 'Expected `object`', worst)
            return {}, {worst}
        kept, caused = dict(given), set()
        for field in msgspec.structs.fields(struct):
            name = field.encode_name
            effect = effects.get(name, Effect.DEFAULT)
            reason: object = 'Missing required field'
            if name in given:
                try:
                    msgspec.convert(given[name], field.type)
                    continue
                except msgspec.ValidationError as error:
                    reason = error
            elif not field.required:
                continue
            kept.pop(name, None)
            caused.add(effect)
            self._add(f'{location}.{name}', reason, effect)
        return kept, caused

    def _routes(self, spec: dict[str, Any]) -> list[configuration_types.Route]:
        routes = []
        for index, given in enumerate(self._list(spec, 'routes')):
            location = f'routes[{index}]'
            kept, caused = self._readable(
                given, configuration_types.Route, location, _ROUTE_EFFECTS
            )
            kept.setdefault('name', location)
            if Effect.ROUTE_REFUSED in caused:
                # Nobody is asked for a key that may not be needed.
                kept |= {'kind': kept.get('kind', ''), 'public': True}
                kept.pop('service', None)
                kept.pop('traffic-split', None)
            routes.append(msgspec.convert(kept, configuration_types.Route))
        return routes

    def _services(
        self, spec: dict[str, Any]
    ) -> list[configuration_types.Service]:
        services = []
        for index, given in enumerate(self._list(spec, 'services')):
            location = f'services[{index}]'
            if isinstance(given, dict) and isinstance(
                given.get('engine'), dict
            ):
                engine, caused = self._readable(
                    given['engine'],
                    configuration_types.Engine,
                    f'{location}.engine',
                    _ENGINE_EFFECTS,
                )
                if not _can_plan(engine.get('layers', 0)):
                    del engine['layers']
                    caused.add(Effect.SERVICE_REFUSED)
                    self._add(
                        f'{location}.engine.layers',
                        f'Expected 0 to {configuration_types.MAX_LAYERS}',
                        Effect.SERVICE_REFUSED,
                    )
                given = {**given, 'engine': engine}
            else:
                caused = set()
            kept, more = self._readable(
                given, configuration_types.Service, location, _SERVICE_EFFECTS
            )
            if Effect.SERVICE_REFUSED in caused | more:
                self._refused_services.add(kept.get('name', ''))
            else:
                services.append(
                    msgspec.convert(kept, configuration_types.Service)
                )
        return services

    def _tenants(
        self, spec: dict[str, Any], sent: dict[str, Any]
    ) -> list[configuration_types.Tenant] | msgspec.UnsetType:
        if 'tenants' not in sent:
            return msgspec.UNSET
        given_tenants = spec.get('tenants')
        if not isinstance(given_tenants, list):
            self._add('tenants', 'Expected `array`', Effect.KEYS_UNKNOWN)
            return []
        tenants = []
        for index, given in enumerate(given_tenants):
            kept, caused = self._readable(
                given,
                configuration_types.Tenant,
                f'tenants[{index}]',
                _TENANT_EFFECTS,
            )
            if Effect.KEYS_UNKNOWN not in caused:
                tenants.append(
                    msgspec.convert(kept, configuration_types.Tenant)
                )
        return tenants

    def _limits(self, spec: dict[str, Any]) -> configuration_types.Limits:
        kept, _ = self._readable(
            spec.get('limits', {}), configuration_types.Limits, 'limits', {}
        )
        return msgspec.convert(kept, configuration_types.Limits)
