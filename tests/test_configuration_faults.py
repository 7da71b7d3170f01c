"""One field that can't be read takes only what depends on it.

If it took the whole version away, gateways would keep the routes and keys of
the one before, and refuse everybody once those are too old to be trusted.
"""

import json

import msgspec
import platforms
import pytest

from burdockmast.base import failures
from burdockmast.gateway import authentication
from burdockmast.platform import configuration
from burdockmast.platform import configuration_faults

KEPT = {
    'name': 'kept',
    'host': 'h.example',
    'path-prefix': '/kept/',
    'kind': 'safe',
    'service': 'other',
}
ADDED = {
    'name': 'added',
    'host': 'h.example',
    'path-prefix': '/added/',
    'kind': 'safe',
    'service': 'app',
}
DOCUMENT = {
    'version': 8,
    'routes': [
        KEPT,
        {
            'name': 'draft',
            'host': 'h.example',
            'path-prefix': '/draft/',
            'kind': 'streaming',
            'timeout-ms': 20000,
            'slo-ms': 500,
            'priority': 1,
            'service': 'llm',
            'max-attempts': 2,
            'public': False,
            'resumable': True,
            'gap-aim-ms': 200,
        },
    ],
    'services': [
        {'name': 'other'},
        {
            'name': 'llm',
            'engine': {
                'layers': 80,
                'layer-mb': 1000,
                'kv-bytes': 900000,
                'step_ms': 2,
                'usual': {'prompt': 100, 'answer': 10},
                'kinds': [{'name': 'big', 'mb': 45000}],
            },
        },
    ],
    'tenants': [
        {'name': 'fes', 'api-keys': ['k1'], 'priority': 3},
        {'name': 'sale', 'api-keys': ['k2']},
    ],
    'limits': {'max-body-bytes': 1000, 'idle-timeout-ms': 9000},
}
REJECTED = [
    'version',
    'routes',
    'services',
    'routes/0',
    'routes/1',
    'routes/1/host',
    'routes/1/path-prefix',
]
DRAFT_REFUSED = [
    'routes/1/kind',
    'routes/1/service',
    'routes/1/public',
    'services/1',
    'services/1/name',
    'services/1/engine/layers',
    'services/1/engine/layer-mb',
    'services/1/engine/kv-bytes',
    'services/1/engine/kinds',
    'services/1/engine/kinds/0/mb',
]
KEYS_UNKNOWN = [
    'tenants',
    'tenants/0',
    'tenants/0/name',
    'tenants/0/api-keys',
    'tenants/0/api-keys/0',
]
DEFAULT = [
    'routes/1/name',
    'routes/1/timeout-ms',
    'routes/1/slo-ms',
    'routes/1/priority',
    'routes/1/max-attempts',
    'routes/1/resumable',
    'routes/1/gap-aim-ms',
    'services/1/engine/step_ms',
    'services/1/engine/usual',
    'services/1/engine/usual/prompt',
    'tenants/0/priority',
    'limits',
    'limits/max-body-bytes',
]


def decoded(path, value=None):
    """Decode the document with a value that no reader takes at a path."""
    if value is None:
        value = 'odd' if path.endswith(('/public', '/resumable')) else True
    document = json.loads(json.dumps(DOCUMENT))
    *parents, last = (int(k) if k.isdigit() else k for k in path.split('/'))
    parent = document
    for key in parents:
        parent = parent[key]
    parent[last] = value
    return configuration.decode('main', document)


def holder(found, key):
    route = found.find_route('h.example', '/kept/x')
    return authentication.authenticate(found, route, key, 0.0, 5.0)


def services_of(found, path):
    return set(found.find_route('h.example', path).weight_by_service)


@pytest.mark.parametrize('path', DEFAULT + DRAFT_REFUSED + KEYS_UNKNOWN)
def test_other_routes_are_served(path):
    """Guards against a version that is never in force for one field."""
    found = decoded(path)
    assert found.version == 8
    assert found.faults
    assert services_of(found, '/kept/x') == {'other'} or (
        path == 'services/1/name'
    )
    is_refused = path in DRAFT_REFUSED
    assert services_of(found, '/draft/x') == (set() if is_refused else {'llm'})


@pytest.mark.parametrize('path', DRAFT_REFUSED)
def test_nothing_is_ordered_of_a_service_in_doubt(path):
    """Guards against orders for more layers than fit, and plain requests."""
    found = decoded(path)
    service = found.service_by_id.get('llm')
    assert service is None or service.engine.layers == 80


@pytest.mark.parametrize('layers', [-1, 10**4 + 1, 10**9, 10**18, 1e300])
def test_a_number_of_layers_that_no_model_has_takes_only_its_service(layers):
    """Guards against a planner that plans no service for one of them."""
    found = decoded('services/1/engine/layers', layers)
    (fault,) = found.faults
    assert fault.startswith('services[1].engine.layers: ')
    assert services_of(found, '/draft/x') == set()
    assert services_of(found, '/kept/x') == {'other'}
    assert 'llm' not in found.service_by_id


@pytest.mark.parametrize('path', KEYS_UNKNOWN)
def test_a_key_that_may_be_in_force_is_not_called_unknown(path):
    """Guards against 401, after which callers give up."""
    refused = holder(decoded(path), 'k1')
    assert refused.reason is failures.Reason.STORE_UNAVAILABLE
    assert refused.retry_after


@pytest.mark.parametrize('path', DEFAULT + DRAFT_REFUSED)
def test_keys_that_were_taken_back_are_refused(path):
    """Guards against the keys of the version before."""
    found = decoded(path)
    assert holder(found, 'k1').id == 'fes'
    assert holder(found, 'old').reason is failures.Reason.UNKNOWN_ORGANISATION


@pytest.mark.parametrize('path', REJECTED)
def test_what_would_misdirect_requests_is_rejected(path):
    with pytest.raises(msgspec.ValidationError):
        decoded(path)


def test_no_fault_tells_a_key():
    """Guards against keys in logs, such as one in place of the list."""
    for path in ('tenants/0/api-keys', 'tenants/0/priority', 'tenants/0'):
        assert 'secret' not in str(decoded(path, 'secret').faults)


def test_a_sound_configuration_has_no_faults():
    assert not configuration.decode('main', DOCUMENT).faults


def test_each_fault_names_its_location_and_effect():
    (fault,) = configuration_faults.read(
        {**DOCUMENT, 'limits': {'max-body-bytes': 'x'}}
    ).faults
    assert str(fault) == (
        'limits.max-body-bytes: Expected `int`, got `str`; '
        'gateways use the default'
    )


def test_a_gateway_puts_the_rest_of_a_version_in_force(platform):
    """Guards against 404 on an added route, then 503 for everybody."""
    changed = json.loads(json.dumps(platforms.CONFIGURATION))
    changed['version'] = 8
    changed['routes'][0]['max-attempts'] = 'two'
    changed['routes'][-1]['kind'] = 7
    changed['routes'].append(ADDED)
    platform.store.put('config', 'main', changed)
    platform.wait_for(lambda: platform.ask('/added/x', 'GET')[0] == 200)
    assert platform.ask('/draft/x')[0] == 200
    status, headers, _ = platform.ask('/lookup/x', 'GET')
    assert status == 503
    assert 'Retry-After' in headers
    (line,) = platform.logged('fields of the configuration cannot be read')
    assert line['count'] == 2
    assert line['first'][0].startswith('routes[0].max-attempts: ')


def test_layers_are_ordered_beside_a_model_that_no_server_holds(platform):
    """Guards against services that stay without servers for one of them."""
    changed = json.loads(json.dumps(platforms.CONFIGURATION))
    changed['version'] = 8
    engine = {**changed['services'][0]['engine'], 'layers': 10**18}
    changed['services'].insert(0, {'name': 'odd', 'engine': engine})
    changed['routes'].append(ADDED)
    platform.store.put('config', 'main', changed)
    platform.wait_for(lambda: platform.ask('/added/x', 'GET')[0] == 200)
    for server in platform.engines:
        server.update_entry(layers=None)
    platform.wait_for(lambda: any(s.layer_count for s in platform.engines))
    platform.wait_for(lambda: platform.ask('/draft/x')[0] == 200)
