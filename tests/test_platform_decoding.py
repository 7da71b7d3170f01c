"""Decoding of the platform's settings, store objects and headers."""

import msgspec
import program
import pytest

from burdockmast.base import failures
from burdockmast.gateway import config
from burdockmast.gateway import interfaces
from burdockmast.gateway.intake import limits
from burdockmast.platform import configuration
from burdockmast.platform import headers
from burdockmast.platform import numbers
from burdockmast.platform import servers
from burdockmast.platform import settings
from burdockmast.settings import loader

SETTINGS = """
node = "front-1"
ip = "10.1.0.40"
zone = "a"
internal-ports = [7340, 7355]
unknown-field = 7
[zones]
a = "r"
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
revoke-ms = 4000
stall_ms = 2500
[platform]
address = "10.200.1.7:8223"
"""
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
REQUEST = (
    ('Host', 'h.example'),
    ('Burdockmast-Request-Id', '9c41'),
    ('Burdockmast-Deadline-Ms', '20000'),
    ('Burdockmast-Key', 'secret'),
    ('Burdockmast-Tenant', 'forged'),
    ('Burdockmast-Token-Counts', '1460,80'),
    ('Burdockmast-Length-Hint', '60'),
    ('Last-Event-Id', '12'),
    ('X-Own', 'kept'),
    ('Connection', 'close, X-Hop'),
    ('X-Hop', 'dropped'),
)


@pytest.fixture
def settings_file(tmp_path):
    path = tmp_path / 'local.toml'
    path.write_text(SETTINGS)
    return path


def test_settings_are_read_and_unknown_fields_ignored(settings_file):
    found = settings.load(settings_file).gateway
    assert found.callers_address == '10.1.0.40:8227'
    assert found.revoke_seconds == 4.0
    assert found.grace_seconds == 8.0
    assert found.metrics_address == '10.1.0.40:7355'
    assert found.intake == limits.Limits()


def test_limits_on_callers_are_read(settings_file):
    settings_file.write_text(
        SETTINGS + '[limits]\nmax-fds = 900\n[intake]\nmax-connections = 7\n'
    )
    found = settings.load(settings_file).gateway
    assert found.max_descriptors == 900
    assert found.intake == limits.Limits(max_connections=7)


def test_a_host_may_allow_any_number_of_descriptors(settings_file):
    """Guards against a gateway that doesn't start on such a host."""
    settings_file.write_text(SETTINGS + '[limits]\nmax-fds = 1073741816\n')
    found = settings.load(settings_file).gateway
    assert found.max_descriptors == 1073741816


def test_the_neighbours_key_is_read_but_not_printed(settings_file):
    key = 'known-to-gateways-only'
    settings_file.write_text(SETTINGS + f"[intake]\nneighbours-key = '{key}'")
    found = settings.load(settings_file)
    assert found.gateway.datagram_limits.key == key.encode()
    assert key not in repr(found)


@pytest.mark.parametrize(
    'key', ["'too-short'", '1234567890123456789', "['q9z']"]
)
def test_an_invalid_neighbours_key_is_not_printed(settings_file, key):
    """Messages about invalid settings contain their values."""
    settings_file.write_text(SETTINGS + f'[intake]\nneighbours-key = {key}')
    with pytest.raises(loader.SettingsError) as caught:
        settings.load(settings_file)
    assert '$.intake.neighbours-key' in str(caught.value)
    assert key.strip("[]'") not in str(caught.value).partition('expected')[2]


def test_settings_check_accepts_the_platforms_file(settings_file):
    done = program.run_command(
        'settings', 'check', 'gateway', str(settings_file)
    )
    assert done.returncode == 0, done.stderr


@pytest.mark.parametrize(
    ('text', 'named'),
    [
        ('node = 7', '$.node'),
        ('node = ', 'local.toml'),
        (SETTINGS.replace('front =', 'other ='), 'front'),
        (SETTINGS.replace('4000', '"soon"'), 'revoke-ms'),
        (SETTINGS + '[intake]\nmax-connections = 0\n', 'max-connections'),
        (SETTINGS + '[intake]\nbody-progress-s = 0.5\n', 'body-progress-s'),
        (SETTINGS + '[intake]\nmin-chunk-bytes = -1\n', 'min-chunk-bytes'),
        (
            SETTINGS + '[intake]\nneighbour-datagrams-per-s = 19\n',
            'neighbour-datagrams-per-s',
        ),
        (
            SETTINGS + '[intake]\nmax-neighbour-datagram-bytes = 65508\n',
            'max-neighbour-datagram-bytes',
        ),
    ],
)
def test_invalid_settings_name_the_file_or_field(settings_file, text, named):
    settings_file.write_text(text)
    with pytest.raises(loader.SettingsError, match=named.replace('$', r'\$')):
        settings.load(settings_file)


def test_a_servers_entry_is_decoded():
    found = servers.decode('i-1', ENTRY)
    assert (found.layers.first, found.layers.end) == (20, 31)
    assert found.is_ready
    assert found.entry_sequence == 4


def test_an_entry_without_layers_holds_none():
    found = servers.decode('i-1', {**ENTRY, 'layers': None})
    assert len(found.layers) == 0


def test_entries_are_ordered_by_start_then_sequence():
    old = servers.decode('i-1', {**ENTRY, 'sequence': 3})
    new = servers.decode('i-1', ENTRY)
    restarted = servers.decode(
        'i-1', {**ENTRY, 'sequence': 1, 'born': ENTRY['born'] + 1}
    )
    assert old.is_older_than(new)
    assert new.is_older_than(restarted)
    assert not restarted.is_older_than(old)


@pytest.mark.parametrize(
    'changed',
    [
        {'state': 'odd'},
        {'state': 7},
        {'service': None},
        {'address': 'nowhere'},
        {'address': '10.0.0.1:x'},
        {'born': 'today'},
        {'layers': [1, 2]},
    ],
)
def test_an_invalid_entry_is_rejected(changed):
    with pytest.raises(msgspec.ValidationError):
        servers.decode('i-1', {**ENTRY, **changed})


@pytest.mark.parametrize(
    ('kind', 'resumable', 'execution'),
    [
        ('safe', False, config.Execution.REPEATABLE),
        ('unsafe', False, config.Execution.AT_MOST_ONCE),
        ('unsafe', True, config.Execution.AT_MOST_ONCE),
        ('streaming', False, config.Execution.AT_MOST_ONCE),
        ('streaming', True, config.Execution.REPEATABLE),
        ('unheard-of', True, config.Execution.AT_MOST_ONCE),
    ],
)
def test_the_route_decides_whether_requests_are_repeatable(
    kind, resumable, execution
):
    route = {
        'name': 'r',
        'host': 'h',
        'path-prefix': '/a/',
        'kind': kind,
        'resumable': resumable,
        'service': 's',
    }
    found = configuration.decode('main', {'version': 1, 'routes': [route]})
    assert found.find_route('h', '/a/b').execution is execution


def test_the_longest_prefix_wins():
    routes = [
        {'name': n, 'host': 'h', 'path-prefix': p, 'kind': 'safe'}
        for n, p in [('short', '/a/'), ('long', '/a/b/'), ('other', '/c/')]
    ]
    found = configuration.decode('main', {'version': 1, 'routes': routes})
    assert found.find_route('h', '/a/b/c').name == 'long'
    assert found.find_route('h', '/a/bc').name == 'short'
    assert found.find_route('h', '/b/') is None
    assert found.find_route('other', '/a/') is None


def read_request(request_headers=REQUEST):
    return headers.HeaderCodec().read_request(
        'POST', '/a/b?c=d', request_headers
    )


def test_a_request_is_decoded():
    found = read_request()
    assert not isinstance(found, failures.Failure)
    assert found.path == '/a/b'
    assert found.timeout_seconds == 20.0
    assert (found.prompt_tokens, found.max_answer_tokens) == (1460, 80)
    assert found.length_hint == 60
    assert found.last_event_id == '12'
    assert not found.unreadable_headers


@pytest.mark.parametrize(
    ('value', 'parts'),
    [
        ('5c1e:800,91bd:410,e440:250', ('5c1e', '91bd')),
        ('5c1e:800,5c1e:800,e440:250', ('5c1e',)),
        ('e440:250', ()),
        ('', ()),
        (',,:3,', ()),
        (','.join(f'{n}:1' for n in range(99)), tuple(map(str, range(32)))),
    ],
)
def test_prompt_parts_are_read_without_the_last(value, parts):
    found = read_request((('Burdockmast-Prefix-Hash', value),))
    assert found.prompt_parts == parts


@pytest.mark.parametrize(
    ('value', 'seconds'),
    [
        ('3', 3.0),
        ('0.5', 0.5),
        ('-3', None),
        ('Wed, 21 Oct 2026 07:28:00 GMT', None),
        ('soon', None),
    ],
)
def test_a_rest_is_read_in_seconds(value, seconds):
    reply = headers.HeaderCodec().read_reply([('Retry-After', value)])
    assert reply.rest_seconds == seconds


@pytest.mark.parametrize(
    ('value', 'leaves'), [('1', True), ('0', False), ('yes', False), ('', 0)]
)
def test_only_one_value_says_that_a_server_leaves(value, leaves):
    reply = headers.HeaderCodec().read_reply([('Server-Leaving', value)])
    assert reply.is_leaving == leaves


@pytest.mark.parametrize(
    ('value', 'limit'),
    [
        ('2.5', 2.5),
        ('0', 0.0),
        (' 7 ', 7.0),
        ('-1', None),
        ('nan', None),
        ('inf', None),
        ('1e9', None),
        ('9' * 40, numbers.MAX_EXACT),
        ('3.3333333333333335', 10 / 3),
        ('', None),
    ],
)
def test_a_limit_of_a_server_is_read(value, limit):
    """Guards against decimals that counted as no limit."""
    reply = headers.HeaderCodec().read_reply([('Server-Limit', value)])
    assert reply.limit == limit
    assert reply.is_limit_unreadable == (limit is None)


@pytest.mark.parametrize('value', ['', 'soon', '-5', '1e3', '\u0665'])
def test_an_invalid_deadline_is_told(value):
    """Guards against deadlines that counted as none."""
    found = read_request((('Burdockmast-Deadline-Ms', value),))
    assert found.timeout_seconds is None
    assert found.invalid_deadline == value


@pytest.mark.parametrize(
    ('value', 'seconds'),
    [
        ('1796679042000', 1796679042.0),
        ('0001500', 1.5),
        ('1500.5', 1.5005),
        ('9' * 5000, numbers.MAX_EXACT / 1000),
    ],
)
def test_a_deadline_of_any_length_is_read(value, seconds):
    """Guards against deadlines that counted as none."""
    found = read_request((('Burdockmast-Deadline-Ms', value),))
    assert found.timeout_seconds == seconds
    assert found.invalid_deadline is None


def test_keys_and_forged_headers_are_not_forwarded():
    server = servers.decode('i-1', ENTRY)
    attempt = interfaces.Attempt(server, 'fes', 1.5, (), None, 0)
    found = headers.HeaderCodec().backend_headers(read_request(), attempt)
    value_by_name = dict(found)
    assert len(value_by_name) == len(found)
    assert value_by_name['Burdockmast-Tenant'] == 'fes'
    assert value_by_name['Burdockmast-Deadline-Ms'] == '1500'
    assert value_by_name['Burdockmast-Expect-Instance'] == 'i-1'
    assert value_by_name['X-Own'] == 'kept'
    for name in ('Burdockmast-Key', 'X-Hop', 'Connection'):
        assert name not in value_by_name


ROUTE = {
    'name': 'confirm',
    'host': 'h.example',
    'path-prefix': '/confirm/',
    'kind': 'unsafe',
}


@pytest.mark.parametrize(
    ('given', 'weight_by_service'),
    [
        ({}, {}),
        ({'service': 'a'}, {'a': 1.0}),
        ({'service': 'a', 'traffic-split': []}, {'a': 1.0}),
        ({'traffic-split': [('a', 0), ('b', 5)]}, {'b': 5.0}),
        ({'traffic-split': [('a', 2), ('b', 5), ('a', 1)]}, {'a': 3, 'b': 5}),
        ({'traffic-split': [('a', 0)]}, {}),
        ({'traffic-split': [('a', 0), ('b', 0)]}, {}),
        ({'traffic-split': [('a', -1)]}, {}),
        ({'service': 'a', 'traffic-split': [('a', 0), ('b', 0)]}, {}),
    ],
)
def test_services_without_weight_get_no_traffic(given, weight_by_service):
    """A split whose weights are all 0 used to send everything to the first."""
    route = {**ROUTE, **given}
    if 'traffic-split' in route:
        route['traffic-split'] = [
            {'service': service, 'weight': weight}
            for service, weight in route['traffic-split']
        ]
    decoded = configuration.decode('main', {'version': 7, 'routes': [route]})
    found = decoded.find_route('h.example', '/confirm/1')
    assert found.weight_by_service == weight_by_service
