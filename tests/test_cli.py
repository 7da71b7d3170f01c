"""Tests of the operators' command line, run as a subprocess."""

import json
import pathlib
import types

import program
import pytest

from burdockmast.base import failures
from burdockmast.operator import context
from burdockmast.operator import diagnostics
from burdockmast.operator import exit_status
from burdockmast.operator import queries

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
DEPLOYMENTS = ('swap-desk', 'ripening')
ExitStatus = exit_status.ExitStatus


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
@pytest.mark.parametrize('role', ['entry', 'side', 'operator'])
def test_example_settings_are_valid(deployment, role):
    path = EXAMPLES / deployment / f'{role}.json'
    completed = program.run_command('settings', 'check', role, str(path))
    assert completed.returncode == ExitStatus.SUCCESS, completed.stderr


@pytest.mark.parametrize('deployment', DEPLOYMENTS)
@pytest.mark.parametrize('preset', ['ordinary', 'peak', 'maintenance'])
def test_example_presets_are_valid(deployment, preset):
    path = EXAMPLES / deployment / f'{preset}.json'
    completed = program.run_command('preset', 'check', str(path))
    assert completed.returncode == ExitStatus.SUCCESS, completed.stderr


VALID = {
    'zone': 'za',
    'http_address': '127.0.0.1:1',
    'peer_address': '127.0.0.1:2',
    'store_url': 'http://127.0.0.1:3',
}
BAD_SETTINGS = {
    'unknown key': ({**VALID, 'sunset': 3}, 'unknown field `sunset`'),
    'missing key': ({'zone': 'za'}, 'missing required field'),
    'wrong type': (
        {**VALID, 'subset': 'x'},
        "at $.subset: Expected `int`, got `str`; found 'x'",
    ),
    'out of range': (
        {**VALID, 'queue': 0},
        'at $.queue: Expected `int` >= 1; found 0',
    ),
    'no address': ({**VALID, 'peer_address': 'here'}, "$.peer_address"),
    'in a list': ({**VALID, 'peers': ['127.0.0.1:1', 'x']}, "$.peers[1]"),
    'unknown routing': ({**VALID, 'routing': 'fast'}, "found 'fast'"),
}  # fmt: skip


@pytest.mark.parametrize('name', BAD_SETTINGS)
def test_settings_error_names_file_field_and_value(tmp_path, name):
    document, message = BAD_SETTINGS[name]
    path = tmp_path / 'entry.json'
    path.write_text(json.dumps(document))
    completed = program.run_command('entry', str(path))
    assert completed.returncode == ExitStatus.BAD_SETTINGS
    assert str(path) in completed.stderr
    assert message in completed.stderr


@pytest.mark.parametrize('text', ['{"zone": ', '{"zone": 1, "zone": 2}'])
def test_settings_that_are_not_json_are_refused(tmp_path, text):
    path = tmp_path / 'entry.json'
    path.write_text(text)
    completed = program.run_command('entry', str(path))
    assert completed.returncode == ExitStatus.BAD_SETTINGS
    assert 'not JSON' in completed.stderr


def test_missing_settings_file_is_reported(tmp_path):
    completed = program.run_command('side', str(tmp_path / 'none.json'))
    assert completed.returncode == ExitStatus.BAD_SETTINGS
    assert 'No such file' in completed.stderr


def test_second_side_process_of_a_server_is_refused(shared_fleet):
    """Two side processes never act for one backend server at once."""
    path = shared_fleet.folder / 'side-e1.json'
    completed = program.run_command('side', str(path))
    assert completed.returncode == ExitStatus.ADDRESS_IN_USE


def test_preset_and_server_commands(own_fleet, tmp_path):
    fleet = own_fleet()
    path = tmp_path / 'peak.json'
    shown = program.run_on(fleet, 'preset', 'show', 'ordinary')
    path.write_text(shown.stdout.replace('"ordinary"', '"peak"'))
    assert program.run_on(fleet, 'preset', 'create', str(path)).returncode == 0
    listed = program.run_on(fleet, 'preset', 'list', '--json')
    assert json.loads(listed.stdout) == ['ordinary', 'peak']
    same = program.run_on(fleet, 'preset', 'diff', 'ordinary', 'peak')
    assert same.stdout == 'No difference.\n'
    refused = program.run_on(
        fleet, 'preset', 'switch', 'peak', '--expected', 'x'
    )
    assert refused.returncode == ExitStatus.REFUSED
    assert 'nothing was changed' in refused.stderr
    absent = shown.stdout.replace('"server": "e', '"server": "x')
    path.write_text(absent.replace('"ordinary"', '"absent"'))
    assert program.run_on(fleet, 'preset', 'create', str(path)).returncode == 0
    unserved = program.run_on(fleet, 'preset', 'switch', 'absent')
    assert unserved.returncode == ExitStatus.REFUSED
    assert 'no server holds layer 0' in unserved.stderr
    assert '--unserved' in unserved.stderr
    switched = program.run_on(fleet, 'preset', 'switch', 'peak', '--json')
    report = json.loads(switched.stdout)
    assert report['processes_current'] == report['processes'] == 10
    assert report['silent'] == []
    retired = program.run_on(fleet, 'server', 'retire', 'e1', '--wait', '10')
    assert 'It is idle.' in retired.stdout
    early = program.run_on(fleet, 'server', 'remove', 'e2')
    assert 'is not leaving' in early.stderr
    assert program.run_on(fleet, 'server', 'remove', 'e1').returncode == 0
    listed = program.run_on(fleet, 'server', 'list')
    assert 'e1 ' not in listed.stdout and 'e2 ' in listed.stdout


def test_unknown_preset_is_a_usage_error(shared_fleet):
    completed = program.run_on(shared_fleet, 'preset', 'show', 'nothing')
    assert completed.returncode == ExitStatus.USAGE
    assert 'no preset nothing; existing presets: ordinary' in completed.stderr


def test_unreachable_store_has_its_own_exit_status():
    completed = program.run_command(
        'preset', 'list', '--store', 'http://127.0.0.1:9'
    )
    assert completed.returncode == ExitStatus.STORE_UNAVAILABLE


def test_explain_shows_path_and_refusal(shared_fleet):
    answer = shared_fleet.complete([4, 4], 3)
    request = answer.headers['Burdockmast-Request-Id']
    explained = program.run_on(shared_fleet, 'explain', request)
    assert 'took the path' in explained.stdout
    assert 'answered with 3 tokens' in explained.stdout
    refused = shared_fleet.call('nothing/x', '{}')
    request = program.error_of(refused)['request_id']
    explained = program.run_on(shared_fleet, 'explain', request)
    assert 'refused: unknown_service' in explained.stdout
    none = program.run_on(shared_fleet, 'explain', 'nothing')
    assert none.returncode == ExitStatus.ERROR


def test_timeline_is_in_causal_order(shared_fleet):
    answer = shared_fleet.complete([6, 6], 4)
    request = answer.headers['Burdockmast-Request-Id']
    shown = program.run_on(
        shared_fleet, 'timeline', '--request', request, '--json'
    )
    events = [event['what'] for event in json.loads(shown.stdout)]
    assert events[0] == 'answer.started'
    assert events[-1] == 'answer.ended'
    assert events.count('stage.opened') == 3
    assert events.index('stage.finished') < events.index('answer.ended')


def explain_any(ctx):
    """Explain a request of which no process has recorded events."""
    with pytest.raises(context.CommandError):
        diagnostics.explain(ctx, 'any')


def show_any(ctx):
    diagnostics.show_timeline(ctx, '', 9)


@pytest.mark.parametrize('show', [show_any, explain_any])
def test_processes_whose_events_are_missing_are_named(
    monkeypatch, capsys, show
):
    """JSON output and explanations used to be incomplete without a word."""
    silent = failures.Failure(failures.Reason.PEER_SILENT, 'link.ask')
    replies = queries.Replies({}, {'127.0.0.1:7': silent})
    monkeypatch.setattr(queries, 'fetch_events', lambda *_: ([], replies))
    ctx = types.SimpleNamespace(
        is_json=True, seed_addresses=list, print_result=lambda *_: None
    )
    show(ctx)
    assert capsys.readouterr().err == 'No reply from 127.0.0.1:7.\n'


def test_status_shows_every_process(shared_fleet):
    shown = json.loads(program.run_on(shared_fleet, 'status', '--json').stdout)
    roles = [s['role'] for s in shown['processes'].values()]
    assert roles.count('entry') == 2
    assert roles.count('side') == 8


def test_completion_scripts_are_printed():
    completed = program.run_command('completion', 'bash')
    assert '_BURDOCKMAST_COMPLETE' in completed.stdout
