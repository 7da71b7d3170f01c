"""Numbers mean the same in all forms that JSON has for them.

A reader that takes 2 but not 2.0 makes a whole configuration, entry or answer
of another writer unreadable.
"""

from collections.abc import Callable
import dataclasses
import json
import types

import platforms
import pytest
import urllib3

from burdockmast.base import failures
from burdockmast.base import json_values
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.platform import configuration
from burdockmast.platform import engine_client
from burdockmast.platform import retry_slots
from burdockmast.platform import servers
from burdockmast.platform import settings
from burdockmast.platform import shared_records
from burdockmast.platform import store

ROUTE = {
    'name': 'r',
    'host': 'h',
    'path-prefix': '/a/',
    'kind': 'streaming',
    'timeout-ms': 20000,
    'slo-ms': 500,
    'priority': 1,
    'traffic-split': [{'service': 'llm', 'weight': 3}],
    'max-attempts': 2,
    'public': False,
    'resumable': True,
    'gap-aim-ms': 200,
}
ENGINE = {
    'step_ms': 2,
    'per_seq_ms': 1,
    'context_per_k': 1,
    'read_per_s': 1000,
    'layers': 80,
    'layer-mb': 1000,
    'kv-bytes': 900000,
    'act-bytes': 45800,
    'pipe-mbps': 7900,
    'usual': {'prompt': 772, 'answer': 154},
    'kinds': [{'name': 'l4', 'mb': 22000, 'pace': 16, 'read-x': 8}],
    'delays': [{'from': 'a', 'to': 'b', 'delay_ms': 3}],
}
CONFIGURATION = {
    'version': 7,
    'routes': [ROUTE],
    'services': [{'name': 'llm', 'engine': ENGINE}],
    'tenants': [{'name': 'fes', 'api-keys': ['k1'], 'priority': 3}],
    'limits': {
        'max-body-bytes': 10_000_000,
        'max-header-bytes': 20000,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15000,
    },
}
ENTRY = {
    'service': 'llm',
    'address': '10.1.0.9:8080',
    'zone': 'a',
    'state': 'ready',
    'sequence': 4,
    'kind': 'l4',
    'born': 1779457132009,
    'layers': {'from': 20, 'to': 31, 'version': 1},
}
REPORT = {
    'sequence': 2,
    'busy': False,
    'pace': 2,
    'kv-used': 41000,
    'kv-total': 90000,
    'stalled': [],
}
ITEM = {'metadata': {'name': 'i-1', 'revision': 12}, 'spec': ENTRY}
SLOT = {
    'metadata': {'name': '3', 'revision': 12},
    'spec': {
        'holder': '10.0.0.1:1',
        'era': 2,
        'at': 5,
        'unused_since': 4,
        'boot': 'b',
    },
}
QUARANTINE = {
    'metadata': {'name': 'q', 'revision': 12},
    'spec': {'fingerprint': 'f', 'crashes': ['i-1:3'], 'crashed-at-ms': 5},
}


def client_of(body):
    response = urllib3.HTTPResponse(body=body, status=200)
    pool = types.SimpleNamespace(request=lambda *args, **options: response)
    return store.Client('store', _pool=pool)


def read_configuration(body):
    return configuration.decode('main', json.loads(body))


def read_entry(body):
    return servers.decode('i-1', json.loads(body))


def read_report(body):
    client = engine_client.EngineClient()
    client._call = lambda *args: engine_client._Response(200, body)
    server = backends.BackendServer(
        'i-1', 'llm', '127.0.0.1:1', 'a', True, backends.NO_LAYERS, '', 1, 1
    )
    return client.fetch_report(server)


def read_page(body):
    return store.Feed(client_of(body), 'servers', servers.decode).list()


def read_changes(body):
    return store.Feed(client_of(body), 'servers', servers.decode).watch(1, 1.0)


def read_slots(body):
    return retry_slots.RetrySlotRegistry(client_of(body)).list()


def read_quarantines(body):
    registry = shared_records.QuarantineRegistry(client_of(body))
    return [r.crashes for r in registry.list()]


def read_lock(body):
    return shared_records.PlannerLock(client_of(body), 'gateway-1').read()


def read_settings(body):
    return json_values.convert(json.loads(body), settings._File)


@dataclasses.dataclass(frozen=True)
class Reader:
    """A reader of JSON, and a document with all the numbers that it reads."""

    read: Callable
    document: dict


READER_BY_NAME = {
    'configuration': Reader(read_configuration, CONFIGURATION),
    'entry of a server': Reader(read_entry, ENTRY),
    'report of a server': Reader(read_report, REPORT),
    'listing': Reader(
        read_page, {'items': [ITEM], 'current-rev': 14, 'has-more': False}
    ),
    'watch': Reader(
        read_changes,
        {'current-rev': 14, 'events': [{'object': ITEM, 'deleted': False}]},
    ),
    'retry slots': Reader(read_slots, {'items': [SLOT], 'current-rev': 14}),
    'quarantines': Reader(
        read_quarantines, {'items': [QUARANTINE], 'current-rev': 14}
    ),
    'planner lock': Reader(
        read_lock,
        {
            'metadata': {'name': 'seat', 'revision': 12},
            'spec': {'holder': 'g'},
        },
    ),
    'settings': Reader(
        read_settings,
        {
            'node': 'g',
            'ip': '10.0.0.1',
            'zone': 'a',
            'internal-ports': [7010, 7020],
            'listen': {'front': '10.0.0.1:1', 'ready': '10.0.0.1:2'},
            'platform': {'address': '10.0.0.1:3'},
            'bounds': {'grace-s': 8, 'revoke-ms': 5000, 'retry-slack': 200},
            'limits': {'memory-mb': 300, 'max-fds': 4200},
            'intake': {'max-connections': 100, 'min-chunk-bytes': 8},
        },
    ),
}


def paths_to(value, is_wanted, path=()):
    """Return the paths to the values that are wanted in a document."""
    if isinstance(value, dict | list):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        for key, item in items:
            yield from paths_to(item, is_wanted, (*path, key))
    if path and is_wanted(value):
        yield path


def is_number(value):
    return isinstance(value, int) and not isinstance(value, bool)


def replaced(document, path, text):
    """Return JSON with some text in place of the value at a path."""
    copy = json.loads(json.dumps(document))
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = 'PLACE'
    return json.dumps(copy).replace('"PLACE"', text).encode()


NUMBERS = [
    pytest.param(reader, path, id=f'{name}: {".".join(map(str, path))}')
    for name, reader in READER_BY_NAME.items()
    for path in paths_to(reader.document, is_number)
]


@pytest.mark.parametrize(('reader', 'path'), NUMBERS)
def test_a_number_means_the_same_in_all_forms(reader, path):
    """Guards against an object that one form of a number makes unreadable."""
    number = reader.document
    for key in path:
        number = number[key]
    expected = reader.read(json.dumps(reader.document).encode())
    assert not isinstance(expected, failures.Failure)
    for text in (
        f'{number}.0',
        f'{number}e0',
        f'{number}0E-1',
        f'{number}.00',
    ):
        found = reader.read(replaced(reader.document, path, text))
        assert found == expected, text


# Keys whose absence is an answer, or without which nothing can be read.
REQUIRED = {
    'configuration': [
        'version',
        'tenants',
        'name',
        'host',
        'path-prefix',
        'kind',
        'service',
        'weight',
        'mb',
    ],
    'entry of a server': ['service', 'address', 'zone', 'state', 'from', 'to'],
    'report of a server': [],
}
NULLS = [
    pytest.param(reader, path, id=f'{name}: {".".join(map(str, path))}')
    for name, reader in READER_BY_NAME.items()
    if name in REQUIRED
    for path in paths_to(reader.document, lambda value: True)
    if isinstance(path[-1], str) and path[-1] not in REQUIRED[name]
]


@pytest.mark.parametrize(('reader', 'path'), NULLS)
def test_null_stands_for_a_key_that_is_left_out(reader, path):
    """Guards against an object that a null makes unreadable."""
    without = json.loads(json.dumps(reader.document))
    parent = without
    for key in path[:-1]:
        parent = parent[key]
    del parent[path[-1]]
    found = reader.read(replaced(reader.document, path, 'null'))
    assert found == reader.read(json.dumps(without).encode())


def test_means_of_tokens_may_be_fractions():
    """Guards against a configuration that is never in force for a mean."""
    document = json.loads(json.dumps(platforms.CONFIGURATION))
    document['services'][0]['engine']['usual'] = {
        'prompt': 772.4,
        'answer': 154.2,
    }
    engine = configuration.decode('main', document).service_by_id['llm'].engine
    assert engine.mean_prompt_tokens == 772.4
    assert engine.mean_answer_tokens == 154.2


def test_organisations_that_are_null_let_nobody_in():
    """Guards against null that counts as a list that is left out."""
    found = configuration.decode('main', {**CONFIGURATION, 'tenants': None})
    assert found.authentication == config.ApiKeyAuthentication({}, False)
