"""Finds numbers that are out of range, and limits that contradict others."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from burdockmast.gateway import buffers
from burdockmast.operator.config_check import errors
from burdockmast.operator.config_check import findings
from burdockmast.platform import configuration_faults
from burdockmast.platform import configuration_types
from burdockmast.platform import headers
from burdockmast.platform import settings

STREAMING = 'streaming'
SAFE = 'safe'
KINDS = (STREAMING, SAFE, 'unsafe')
# Priorities that gateways send to backend servers.
MAX_PRIORITY = 9


@dataclasses.dataclass(frozen=True, slots=True)
class _Range:
    """What gateways can use of the numbers that the decoder accepts.

    :ivar is_error: outside of it nothing can be served
    """

    least: float
    is_least_allowed: bool
    is_error: bool
    message: str
    most: float | None = None

    def allows(self, value: float) -> bool:
        """Return whether a number is in the range."""
        if self.most is not None and value > self.most:
            return False
        return value > self.least or (
            self.is_least_allowed and value == self.least
        )

    @property
    def description(self) -> str:
        """What is allowed, for people."""
        if self.most is not None:
            return f'{self.least:g} to {self.most:g}'
        least = 'at least' if self.is_least_allowed else 'above'
        return f'a number {least} {self.least:g}'


_PRIORITY = _Range(
    0, True, False, 'not a priority of the platform', MAX_PRIORITY
)
_SIZE = _Range(0, True, False, 'sizes and costs are not below 0')
_FACTOR = _Range(0, False, False, 'makes all servers of the kind cost nothing')
_ROUTE_RANGES = {
    'timeout-ms': _Range(
        0, False, True, 'all requests end before they are sent'
    ),
    'slo-ms': _Range(0, False, False, 'no answer can meet the objective'),
    'gap-aim-ms': _Range(0, True, False, 'no stream can meet the objective'),
    'max-attempts': _Range(1, True, False, 'taken as 1'),
    'priority': _PRIORITY,
}
_ENGINE_RANGES = {
    'layers': _Range(
        0,
        True,
        True,
        configuration_faults.Effect.SERVICE_REFUSED.value,
        configuration_types.MAX_LAYERS,
    ),
    'layer-mb': _SIZE,
    'kv-bytes': _SIZE,
    'act-bytes': _SIZE,
    'pipe-mbps': _SIZE,
    'per_seq_ms': _SIZE,
    'context_per_k': _SIZE,
    'step_ms': _SIZE,
    'read_per_s': _Range(
        0, False, True, 'gateways cannot tell how long prompts take'
    ),
}
_USUAL_RANGES = {'prompt': _SIZE, 'answer': _SIZE}
_ACCELERATOR_RANGES = {
    'mb': _Range(0, False, False, 'a server without memory holds no layer'),
    'pace': _FACTOR,
    'read-x': _FACTOR,
}
_LIMIT_RANGES = {
    'max-body-bytes': _Range(0, True, True, 'all bodies are refused'),
    'max-header-bytes': _Range(0, False, True, 'all requests are refused'),
    'header-timeout-ms': _Range(
        0, False, False, 'heads that arrive in parts are refused'
    ),
    'idle-timeout-ms': _Range(
        0, True, False, 'connections are closed after each request'
    ),
}


def find(parts: errors.Parts) -> Iterator[findings.Finding]:
    """Return the numbers and limits that can't be meant."""
    for index, route in parts.route_by_index.items():
        location = f'routes[{index}]'
        yield from _out_of_range(location, route, _ROUTE_RANGES)
        yield from _route_limits(location, route)
    for index, service in parts.service_by_index.items():
        if service['engine']:
            yield from _engine_ranges(
                f'services[{index}].engine', service['engine']
            )
    for index, organisation in (parts.organisation_by_index or {}).items():
        if organisation['priority'] is not None:
            yield from _out_of_range(
                f'tenants[{index}]', organisation, {'priority': _PRIORITY}
            )
    if parts.limits is not None:
        yield from _out_of_range('limits', parts.limits, _LIMIT_RANGES)
        yield from _caller_limits(parts, parts.limits)


def _engine_ranges(
    location: str, engine: dict[str, Any]
) -> Iterator[findings.Finding]:
    if engine['layers'] == 0:
        yield findings.warning(
            'engine-ignored',
            f'{location}.layers',
            0,
            'the service is taken for a plain one, as its model has no layers',
            'a number above 0, or no engine',
        )
        return
    yield from _out_of_range(location, engine, _ENGINE_RANGES)
    yield from _out_of_range(
        f'{location}.usual', engine['usual'], _USUAL_RANGES
    )
    for place, kind in enumerate(engine['kinds']):
        yield from _out_of_range(
            f'{location}.kinds[{place}]', kind, _ACCELERATOR_RANGES
        )


def _out_of_range(
    location: str, part: dict[str, Any], range_by_key: dict[str, _Range]
) -> Iterator[findings.Finding]:
    for key, allowed in range_by_key.items():
        if allowed.allows(part[key]):
            continue
        report = findings.error if allowed.is_error else findings.warning
        yield report(
            'out-of-range',
            f'{location}.{key}',
            part[key],
            allowed.message,
            allowed.description,
        )


def _route_limits(
    location: str, route: dict[str, Any]
) -> Iterator[findings.Finding]:
    kind = route['kind']
    is_stream = kind == STREAMING
    timeout_ms = route['timeout-ms']
    if kind not in KINDS:
        yield findings.warning(
            'unknown-kind',
            f'{location}.kind',
            kind,
            'taken as unsafe',
            'one of ' + ', '.join(KINDS),
            findings.nearest(kind, KINDS),
        )
    if 0 < timeout_ms < route['slo-ms']:
        yield findings.warning(
            'timeout-below-objective',
            f'{location}.timeout-ms',
            timeout_ms,
            'requests end before the objective for their answer',
            f'at least slo-ms, {route["slo-ms"]:g}',
        )
    if 0 < timeout_ms < route['gap-aim-ms']:
        yield findings.warning(
            'gap-above-timeout',
            f'{location}.gap-aim-ms',
            route['gap-aim-ms'],
            'streams end before a gap as long as the objective',
            f'at most timeout-ms, {timeout_ms:g}',
        )
    if route['resumable'] and not is_stream:
        yield findings.warning(
            'resumable-ignored',
            f'{location}.resumable',
            True,
            'ignored, as only streams are resumed',
            f'false, or kind {STREAMING}',
        )
    runs_once = not (kind == SAFE or (is_stream and route['resumable']))
    if runs_once and route['max-attempts'] > 1:
        yield findings.warning(
            'attempts-of-one-run',
            f'{location}.max-attempts',
            route['max-attempts'],
            'ignored, as requests of this route may run only once',
            f'1, kind {SAFE}, or kind {STREAMING} with resumable',
        )


def _caller_limits(
    parts: errors.Parts, limits: dict[str, Any]
) -> Iterator[findings.Finding]:
    bodies_bytes = int(
        settings.DEFAULT_MEMORY_MB
        * buffers.BYTES_PER_MB
        * buffers.REQUESTS_SHARE
    )
    if limits['max-body-bytes'] > bodies_bytes:
        yield findings.warning(
            'body-above-memory',
            'limits.max-body-bytes',
            limits['max-body-bytes'],
            'larger than all bodies together may be',
            f'at most {bodies_bytes}, the share of the memory of a gateway '
            f'with memory-mb {settings.DEFAULT_MEMORY_MB}',
        )
    needed_bytes = _header_bytes(parts)
    if 0 < limits['max-header-bytes'] < needed_bytes:
        yield findings.warning(
            'headers-below-need',
            'limits.max-header-bytes',
            limits['max-header-bytes'],
            "requests with all of the platform's headers are refused",
            f'at least {needed_bytes}',
        )
    idle_ms = limits['idle-timeout-ms']
    header_ms = limits['header-timeout-ms']
    # The default values contradict each other, too; they are no fault of a
    # file that gives neither.
    is_given = parts.given_limits & {'idle-timeout-ms', 'header-timeout-ms'}
    if is_given and 0 <= idle_ms < header_ms:
        yield findings.warning(
            'idle-below-header-timeout',
            'limits.idle-timeout-ms',
            idle_ms,
            'connections are closed sooner between requests than in one',
            f'at least header-timeout-ms, {header_ms:g}',
        )


def _header_bytes(parts: errors.Parts) -> int:
    """Return the size of the largest headers that callers need."""
    hosts = [route['host'] for route in parts.route_by_index.values()]
    keys = [
        key
        for organisation in (parts.organisation_by_index or {}).values()
        for key in organisation['api-keys']
    ]
    return headers.head_bytes(
        max(hosts, key=len, default=''), max(keys, key=len, default='')
    )
