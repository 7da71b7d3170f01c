"""Checks of a configuration before it is sent to the platform."""

import copy
import json
import pathlib
import re
import shlex
import sys

import click
from eventlet.green import subprocess
import hypothesis
from hypothesis import strategies
import msgspec
import platforms
import pytest

from burdockmast.operator import exit_status
from burdockmast.operator.config_check import check
from burdockmast.operator.config_check import command
from burdockmast.operator.config_check import differences
from burdockmast.operator.config_check import findings
from burdockmast.operator.config_check import unreachable
from burdockmast.platform import configuration
from burdockmast.platform import standin
from burdockmast.standins import fleets

ROOT = pathlib.Path(__file__).parent.parent
PAGE = ROOT / 'docs' / 'operators' / 'checking-a-configuration.md'
SECRET = 'secret-key'
ExitStatus = exit_status.ExitStatus

LOOKUP = {
    'name': 'lookup',
    'host': 'h.example',
    'path-prefix': '/lookup/',
    'kind': 'safe',
    'traffic-split': [
        {'service': 'app', 'weight': 9},
        {'service': 'llm', 'weight': 0},
    ],
}
VALID = {
    **platforms.CONFIGURATION,
    'routes': [platforms.CONFIGURATION['routes'][0], LOOKUP],
    'tenants': [{'name': 'fes', 'api-keys': [SECRET]}],
    'limits': {'idle-timeout-ms': 30000},
}
# Removes a key.
ABSENT = '(absent)'


def changed(value_by_path):
    """Return the valid configuration with the values at some paths changed.

    A place behind the end of a list adds to it.
    """
    document = copy.deepcopy(VALID)
    for path, value in value_by_path.items():
        replace(document, path, copy.deepcopy(value))
    return document


def replace(document, path, value):
    """Replace the value at a path such as ``routes/0/kind``."""
    *parents, last = path.split('/')
    for key in parents:
        document = document[int(key) if isinstance(document, list) else key]
    if isinstance(document, list):
        document[int(last) : int(last) + 1] = [value]
    elif value == ABSENT:
        del document[last]
    else:
        document[last] = value


SPLIT = 'routes/1/traffic-split'
ENGINE = 'services/0/engine'
SECOND_ROUTE = {**LOOKUP, 'name': 'second'}
SHARED_KEY = {'name': 'other', 'api-keys': ['k2', SECRET]}
# Changes to the valid configuration and the findings that they must give, each
# as severity, rule, location and the nearest known name, if any.
CASES = {
    'no change': ({}, []),
    'version missing': ({'version': ABSENT}, ['error missing-key version']),
    'several wrong types at once': (
        {'version': '7', 'routes/0/timeout-ms': '5',
         f'{SPLIT}/0/weight': None, f'{ENGINE}/layers': 2.5,
         'limits/max-body-bytes': True},
        ['error wrong-type limits.max-body-bytes',
         'error wrong-type routes[0].timeout-ms',
         'error wrong-type routes[1].traffic-split[0].weight',
         'error wrong-type services[0].engine.layers',
         'error wrong-type version'],
    ),
    'sections of a wrong type': (
        {'routes': {}, 'tenants': None, 'limits': []},
        ['error wrong-type limits', 'error wrong-type routes',
         'error wrong-type tenants'],
    ),
    'number that JSON lacks': (
        {'routes/0/timeout-ms': float('nan')},
        ['error wrong-type routes[0].timeout-ms'],
    ),
    'number that JSON lacks at an unknown key': (
        {'remark': float('inf')},
        ['error rejected $', 'warning unknown-key remark'],
    ),
    'unknown keys': (
        {'routes/0/time-out-ms': 3, f'{ENGINE}/layer_mb': 3,
         'tenants/0/zzzz': 3},
        ['warning unknown-key routes[0].time-out-ms timeout-ms',
         'warning unknown-key services[0].engine.layer_mb layer-mb',
         'warning unknown-key tenants[0].zzzz'],
    ),
    'misspelled required key': (
        {'routes/0/path-prefix': ABSENT, 'routes/0/path_prefix': '/draft/'},
        ['error missing-key routes[0].path-prefix',
         'warning unknown-key routes[0].path_prefix path-prefix'],
    ),
    'unknown kind': (
        {'routes/1/kind': 'save'},
        ['warning unknown-kind routes[1].kind safe'],
    ),
    'shadowed route': (
        {'routes/2': SECOND_ROUTE},
        ['error shadowed-route routes[2].path-prefix'],
    ),
    'same prefix of another host': (
        {'routes/2': {**SECOND_ROUTE, 'host': 'other'}}, [],
    ),
    'prefix without a slash at its start': (
        {'routes/0/path-prefix': 'draft/'},
        ['error prefix-start routes[0].path-prefix'],
    ),
    'prefix without a slash at its end': (
        {'routes/0/path-prefix': '/draft'},
        ['warning prefix-end routes[0].path-prefix'],
    ),
    'empty prefix': (
        {'routes/0/path-prefix': ''},
        ['warning prefix-end routes[0].path-prefix'],
    ),
    'prefix with a query': (
        {'routes/0/path-prefix': '/draft/?a=/'},
        ['error prefix-characters routes[0].path-prefix'],
    ),
    'weights that are all zero': (
        {f'{SPLIT}/0/weight': 0},
        ['error no-service routes[1].traffic-split'],
    ),
    'negative weight': (
        {f'{SPLIT}/1/weight': -1},
        ['warning negative-weight routes[1].traffic-split[1].weight'],
    ),
    'route without a service': (
        {'routes/0/service': ABSENT}, ['error no-service routes[0].service'],
    ),
    'service beside a split': (
        {'routes/1/service': 'app'},
        ['warning service-ignored routes[1].service'],
    ),
    'services that are not listed, or not routed': (
        {f'{SPLIT}/0/service': 'apps'},
        ['warning unlisted-service routes[1].traffic-split[0].service app',
         'warning unrouted-service services[1].name'],
    ),
    'malformed service and route': (
        {f'{ENGINE}/layers': '', 'routes/1/kind': 1},
        ['error wrong-type routes[1].kind',
         'error wrong-type services[0].engine.layers'],
    ),
    'repeated names': (
        {'services/2': {'name': 'app'}, 'routes/1/name': 'draft',
         'tenants/1': {'name': 'fes', 'api-keys': ['k2']}},
        ['error repeated-service services[1].name',
         'warning repeated-name routes[1].name',
         'warning repeated-name tenants[1].name'],
    ),
    'key of two organisations': (
        {'tenants/1': SHARED_KEY}, ['error shared-key tenants[1].api-keys'],
    ),
    'organisations without keys': (
        {'tenants/1': {'name': 'other'},
         'tenants/2': {'name': 'third', 'api-keys': ['']}},
        ['warning no-keys tenants[1].api-keys',
         'warning no-keys tenants[2].api-keys',
         'warning empty-key tenants[2].api-keys[0]'],
    ),
    'no organisation': ({'tenants': []}, ['error nobody-admitted tenants']),
    'no organisation, and public routes': (
        {'tenants': [], 'routes/0/public': True, 'routes/1/public': True}, [],
    ),
    'callers need no key': ({'tenants': ABSENT}, []),
    'layer that fits no server': (
        {f'{ENGINE}/layer-mb': 45001},
        ['error layer-too-large services[0].engine.layer-mb'],
    ),
    'layer that does not fit one kind': (
        {f'{ENGINE}/kinds/1': {'name': 'small', 'mb': 900}},
        ['warning kind-too-small services[0].engine.kinds[1].mb'],
    ),
    'no kind of accelerator': (
        {f'{ENGINE}/kinds': []},
        ['warning no-kinds services[0].engine.kinds'],
    ),
    'layers without a size': (
        {f'{ENGINE}/layer-mb': 0, f'{ENGINE}/kv-bytes': 0},
        ['error layer-without-size services[0].engine.layer-mb'],
    ),
    'engine without layers': (
        {f'{ENGINE}/layers': 0, f'{ENGINE}/read_per_s': 0},
        ['warning engine-ignored services[0].engine.layers'],
    ),
    'numbers out of range': (
        {'routes/0/timeout-ms': 0, 'routes/0/priority': 10,
         'routes/1/max-attempts': 0, f'{ENGINE}/layers': -1,
         f'{ENGINE}/read_per_s': 0, f'{ENGINE}/kinds/0/pace': 0,
         'tenants/0/priority': -1, 'limits/max-body-bytes': -1},
        ['error out-of-range limits.max-body-bytes',
         'error out-of-range routes[0].timeout-ms',
         'error out-of-range services[0].engine.layers',
         'error out-of-range services[0].engine.read_per_s',
         'warning out-of-range routes[0].priority',
         'warning out-of-range routes[1].max-attempts',
         'warning out-of-range services[0].engine.kinds[0].pace',
         'warning out-of-range tenants[0].priority'],
    ),
    'more layers than gateways plan': (
        {f'{ENGINE}/layers': 10**18},
        ['error out-of-range services[0].engine.layers'],
    ),
    'timeout below the objectives': (
        {'routes/0/timeout-ms': 100},
        ['warning gap-above-timeout routes[0].gap-aim-ms',
         'warning timeout-below-objective routes[0].timeout-ms'],
    ),
    'attempts of requests that run once': (
        {'routes/0/resumable': False},
        ['warning attempts-of-one-run routes[0].max-attempts'],
    ),
    'resumable without a stream': (
        {'routes/1/resumable': True},
        ['warning resumable-ignored routes[1].resumable'],
    ),
    'limits that contradict others': (
        {'limits': {'max-body-bytes': 60_000_000, 'max-header-bytes': 512,
                    'header-timeout-ms': 9000, 'idle-timeout-ms': 5000}},
        ['warning idle-below-header-timeout limits.idle-timeout-ms',
         'warning body-above-memory limits.max-body-bytes',
         'warning headers-below-need limits.max-header-bytes'],
    ),
    'limits that are not given': ({'limits': ABSENT}, []),
}  # fmt: skip


def as_text(found):
    words = found.severity.value, found.rule, found.location, found.nearest
    return ' '.join(filter(None, words))


@pytest.mark.parametrize('name', CASES)
def test_an_invalid_configuration_gives_exactly_its_findings(name):
    value_by_path, expected = CASES[name]
    found = check.check(changed(value_by_path))
    assert [as_text(finding) for finding in found] == expected


@pytest.mark.parametrize('document', [None, [], 'version', 7])
def test_a_document_that_is_no_object_is_one_error(document):
    (found,) = check.check(document)
    assert as_text(found) == 'error wrong-type $'


def test_a_finding_tells_the_value_and_what_is_allowed():
    (found,) = check.check(changed({f'{SPLIT}/0/weight': 'many'}))
    assert found.location == 'routes[1].traffic-split[0].weight'
    assert (found.value, found.allowed) == ('many', 'a number')


JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(10**20), 10**400)
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=5,
)
PATHS = strategies.sampled_from(
    ['version', 'routes', 'services', 'tenants', 'limits', 'routes/0',
     *(f'routes/0/{key}' for key in VALID['routes'][0]),
     SPLIT, f'{SPLIT}/0', f'{SPLIT}/0/weight', 'services/0', ENGINE,
     f'{ENGINE}/kinds', f'{ENGINE}/usual', f'{ENGINE}/layers',
     f'{ENGINE}/kinds/0/mb', 'tenants/0', 'tenants/0/api-keys',
     'tenants/0/priority', 'limits/max-header-bytes'],
)  # fmt: skip
DECODER_RULES = {'wrong-type', 'missing-key', 'rejected'}
# The only range that the decoder checks.
DECODER_RANGE = 'services[0].engine.layers'


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    strategies.dictionaries(PATHS, JSON_VALUES, min_size=1, max_size=2)
)
def test_gateways_accept_what_is_reported_as_free_of_errors(value_by_path):
    """A configuration that passes the check must not be ignored later."""
    try:
        document = changed(value_by_path)
    except (KeyError, IndexError, TypeError, ValueError):
        # The first change has replaced what the second is in.
        hypothesis.reject()
    is_decoder_error = any(
        finding.rule in DECODER_RULES
        or (finding.rule, finding.location) == ('out-of-range', DECODER_RANGE)
        for finding in check.check(document)
        if finding.severity is findings.Severity.ERROR
    )
    try:
        sent = json.dumps(document, allow_nan=False)
        decoded = configuration.decode('main', msgspec.json.decode(sent))
    except (msgspec.MsgspecError, ValueError):
        assert is_decoder_error
    else:
        assert bool(decoded.faults) == is_decoder_error


PARTS = strategies.text('ab/', max_size=3)
PREFIXES = PARTS | PARTS.map('/{}/'.format) | strategies.just('/a?/')
HOSTS = strategies.sampled_from(['g', 'h'])


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.tuples(HOSTS, PREFIXES), max_size=6),
    strategies.lists(strategies.tuples(HOSTS, PARTS), max_size=9),
)
def test_a_route_reported_as_unreachable_is_never_matched(matches, requests):
    """A false report would make an operator remove a route that serves."""
    document = {
        'version': 1,
        'routes': [
            {
                'name': str(index),
                'host': host,
                'path-prefix': prefix,
                'kind': 'safe',
            }
            for index, (host, prefix) in enumerate(matches)
        ],
    }
    reported = {
        int(re.match(r'routes\[(\d+)\]', f.location)[1])
        for f in check.check(document)
        if f.rule in unreachable.UNREACHABLE_ROUTE_RULES
    }
    decoded = configuration.decode('main', document)
    paths = [(host, f'/{path}') for host, path in requests]
    paths += [
        (host, prefix + end)
        for host, prefix in matches
        for end in ('', 'a', '/b')
        if prefix.startswith('/') and '?' not in prefix
    ]
    for host, path in paths:
        found = decoded.find_route(host, path)
        assert found is None or int(found.name) not in reported
    for index, (host, prefix) in enumerate(matches):
        if index not in reported:
            found = decoded.find_route(host, prefix or '/')
            assert int(found.name) == index or not prefix


def test_thousands_of_routes_are_checked_and_compared():
    """Each rule reads each entry a bounded number of times."""
    count = 4000
    before = {
        'version': 1,
        'routes': [
            {**VALID['routes'][0], 'name': f'r{n}', 'path-prefix': f'/{n}/'}
            for n in range(count)
        ],
    }
    after = copy.deepcopy(before)
    for n, route in enumerate(after['routes']):
        route.update({'path-prefix': '/one/', 'name': f'n{n}'})
    found = check.check(after)
    assert sum(f.rule == 'shadowed-route' for f in found) == count - 1
    changes, found = differences.find(
        configuration.complete(after), configuration.complete(before)
    )
    assert len(changes) == 2 * count
    assert sum(f.rule == 'route-removed' for f in found) == count


@pytest.fixture
def run(tmp_path, capsys):
    """Return a function that runs the command on documents."""

    def run_check(document, before=None, output_format=command.JSON):
        path = tmp_path / 'new.json'
        path.write_text(json.dumps(document))
        against = None
        if before is not None:
            other = tmp_path / 'old.json'
            other.write_text(json.dumps(before))
            against = str(other)
        status = command.run(path, against, None, output_format)
        printed = capsys.readouterr().out
        if output_format == command.JSON:
            return status, json.loads(printed)
        return status, printed

    return run_check


def test_differences_name_the_effect_on_callers(run):
    after = {
        'version': 8,
        'routes/0/timeout-ms': 30000,
        'routes/1/name': 'find',
        'tenants/0/api-keys': [],
        'tenants/1': {'name': 'other', 'api-keys': ['k2']},
        'limits/idle-timeout-ms': 40000,
    }
    status, document = run(changed(after), VALID)
    assert status == ExitStatus.ERROR
    assert [(f['rule'], f['location']) for f in document['findings']] == [
        ('route-removed', 'routes'),
        ('organisation-without-keys', 'tenants'),
        ('no-keys', 'tenants[0].api-keys'),
    ]
    found = {
        f'{d["change"]} {d["part"]} {d["name"]}'.rstrip(): d
        for d in document['differences']
    }
    assert set(found) == {
        'changed version', 'changed limits',
        'removed route lookup', 'added route find', 'changed route draft',
        'changed organisation fes', 'added organisation other',
        'removed authentication', 'added authentication',
    }  # fmt: skip
    details = found['changed route draft']['details']
    assert details == ['timeout-ms: 20000 -> 30000']
    assert found['removed authentication']['effect'] == (
        'keys taken away: 1, requests with them are refused 5 s after the '
        'acknowledgement'
    )
    effect = found['removed route lookup']['effect']
    assert effect == "requests to h.example/lookup/ go to route 'find'"


def test_moved_keys_are_not_taken_away(run):
    after = changed({'tenants/0/name': 'heir', 'version': 8})
    _, document = run(after, VALID)
    effects = [
        d['effect']
        for d in document['differences']
        if d['part'] == 'authentication'
    ]
    assert effects == [
        'keys moved: 1, requests with them are made for another organisation'
    ]


@pytest.mark.parametrize('version', [6, 7])
def test_a_version_that_is_not_higher_is_an_error(run, version):
    """Gateways keep the configuration in force."""
    status, document = run({**VALID, 'version': version}, VALID)
    assert status == ExitStatus.ERROR
    (found,) = document['findings']
    assert (found['rule'], found['value']) == ('version-not-higher', version)


def test_a_malformed_file_is_not_compared(run):
    _, printed = run(changed({'routes/0': 3}), VALID, command.TEXT)
    assert 'Not compared' in printed


@pytest.mark.parametrize(
    ('path', 'value'),
    [
        ('tenants/1', SHARED_KEY),
        ('tenants/0/api-keys', SECRET),
        ('tenants/0/api-keys', {SECRET: 1}),
        ('tenants/0/api-keys', ['k2']),
        ('tenants/0/api-key', SECRET),
        ('tenants/0/priority', SECRET),
        ('tenants/0/name', 'heir'),
        ('tenants', [SECRET]),
        ('tenants', SECRET),
        ('tenants', ABSENT),
        ('api-keys', [SECRET]),
        ('api-key', SECRET),
        ('routes/0/api-key', SECRET),
    ],
)
@pytest.mark.parametrize('output_format', [command.TEXT, command.JSON])
def test_no_output_shows_an_api_key(run, path, value, output_format):
    """Output goes to terminals and logs of other programs."""
    _, printed = run(changed({path: value}), VALID, output_format)
    assert SECRET not in str(printed)


def test_comments_are_read_and_a_clean_file_exits_with_0(tmp_path, capsys):
    path = tmp_path / 'new.json'
    path.write_text('// first\n' + json.dumps(VALID))
    assert command.run(path, None, None, 'text') == ExitStatus.SUCCESS
    assert capsys.readouterr().out == f'{path}: no findings.\n'


@pytest.mark.parametrize(
    ('content', 'reason'),
    [
        (None, 'No such file'),
        (b'{"version": ', 'not JSON'),
        (b'{"version": 1, "version": 2}', 'not JSON'),
        (b'\xff{}', 'not UTF-8'),
        (b'[' * 100_000, 'nested too deeply'),
    ],
)
def test_a_file_that_cannot_be_read_gives_one_reason(
    tmp_path, content, reason
):
    path = tmp_path / 'new.json'
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(click.ClickException, match=reason) as raised:
        command.run(path, None, None, command.TEXT)
    assert raised.value.exit_code == ExitStatus.USAGE
    assert str(path) in raised.value.message


@pytest.mark.parametrize('store', [None, 'http://127.0.0.1:9', '127.0.0.1'])
def test_in_force_needs_the_address_of_a_store(tmp_path, store):
    path = tmp_path / 'new.json'
    path.write_text(json.dumps(VALID))
    with pytest.raises(click.UsageError):
        command.run(path, command.IN_FORCE, store, command.TEXT)


def test_the_program_compares_with_the_version_in_force(tmp_path):
    """Read through a gateway's own client, from the object that it reads."""
    metadata = standin.MetadataStore()
    address = standin.listen('127.0.0.1', metadata)
    path = tmp_path / 'new.json'
    path.write_text(json.dumps({**platforms.CONFIGURATION, 'version': 8}))

    arguments = [sys.executable, '-m', fleets.DAEMON, 'config', 'check']
    arguments += [str(path), '--against', 'in-force', '--store', address]

    def run_program():
        # The store runs in this process, so the wait must not block it.
        return subprocess.run(
            [*arguments, '--format', 'json'], capture_output=True, timeout=60
        )

    done = run_program()
    assert (done.returncode, done.stdout) == (ExitStatus.USAGE, b'')
    assert b'404' in done.stderr
    metadata.put('config', 'main', platforms.CONFIGURATION)
    done = run_program()
    assert done.returncode == ExitStatus.ERROR
    document = json.loads(done.stdout)
    assert {f['rule'] for f in document['findings']} == {'attempts-of-one-run'}
    (difference,) = document['differences']
    assert difference['details'] == ['version: 7 -> 8']
    assert set(metadata.calls) == {'GET config'}


def page_examples():
    """Return the commands of the operators' page and their output."""
    return re.findall(
        r'^    \$ burdockmast config check (.*)\n((?:    .*\n|\n(?=    ))*)',
        PAGE.read_text() + '\n',
        re.MULTILINE,
    )


@pytest.mark.parametrize('number', range(3))
def test_examples_of_the_page_show_real_output(number, monkeypatch, capsys):
    monkeypatch.chdir(ROOT)
    arguments, shown = page_examples()[number]
    path, *options = shlex.split(arguments)
    against = options[1] if options else None
    command.run(pathlib.Path(path), against, None, command.TEXT)
    printed = capsys.readouterr().out
    assert printed == re.sub('^    ', '', shown, flags=re.MULTILINE)
