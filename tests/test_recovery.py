"""Answers that continue when processes on their path are lost."""

from concurrent import futures
import time

import program
import pytest
import urllib3

from burdockmast.base import ids
from burdockmast.fleet import changes
from burdockmast.operator import queries
from burdockmast.standins import layouts

TOKEN_COUNT = 60
CALLER_COUNT = 12
# Half of the time for which a planned stop of an entry waits for answers.
STOP_TIMEOUT_SECONDS = 30.0
GROUPS = (
    layouts.Group(0, 10, 2, program.UNHURRIED),
    layouts.Group(8, 16, 2, program.UNHURRIED),
    layouts.Group(16, 24, 2, program.UNHURRIED),
)


def start_answers(
    fleet, pool, token_count=TOKEN_COUNT, caller_count=CALLER_COUNT
):
    """Start streamed answers; return their prompts and futures."""
    started = []
    for number in range(caller_count):
        prompt = [number, 1]
        entry = fleet.entries[number % len(fleet.entries)]
        future = pool.submit(fleet.complete, prompt, token_count, entry, True)
        started.append((prompt, future))
    return started


def check_answers(started, token_count=TOKEN_COUNT):
    """Check that each caller got its complete answer."""
    for prompt, future in started:
        tokens = program.streamed_tokens(future.result(60).data)
        assert tokens == program.expected_tokens(prompt, token_count)


STAGES = {'head': ('e1', 'e2'), 'middle': ('e3', 'e4'), 'last': ('e5', 'e6')}


def running_server(fleet, stage):
    """Return a server of a stage that runs answers now."""

    def find():
        for server in STAGES[stage]:
            status = fleet.get_json(f'engine-{server}', '/v1/status')
            if status['sequences']:
                return server
        return None

    return program.wait_until(find, f'answers at the {stage} stage')


def steps_by_server(fleet, stage):
    """Return how many steps each engine of a stage has run."""
    return {
        server: fleet.get_json(f'engine-{server}', '/v1/status')['steps']
        for server in STAGES[stage]
    }


def stepping_server(fleet, stage, before):
    """Return the server of a stage that has run steps since ``before``.

    Open sequences don't show this, since those of ended answers are closed a
    little later.
    """
    now = steps_by_server(fleet, stage)
    return next((name for name in now if now[name] > before[name]), None)


def wait_until_any_running(fleet):
    """Wait until some engine runs answers."""
    program.wait_until(
        lambda: any(
            (fleet.get_json(name, '/v1/status') or {}).get('sequences')
            for name in fleet.address_by_name
            if name.startswith('engine-')
        ),
        'answers under way',
    )


@pytest.mark.parametrize('stage', STAGES)
@pytest.mark.parametrize('kind', ['side', 'engine'])
def test_answers_continue_when_a_process_dies(own_fleet, kind, stage):
    """Proves: no token is repeated or skipped if a stage dies midway."""
    fleet = own_fleet(groups=GROUPS)
    with futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
        started = start_answers(fleet, pool)
        fleet.kill(f'{kind}-{running_server(fleet, stage)}')
        check_answers(started)


@pytest.mark.parametrize('stage', STAGES)
@pytest.mark.parametrize('kind', ['side', 'engine'])
def test_answers_continue_when_a_process_freezes(own_fleet, kind, stage):
    fleet = own_fleet(groups=GROUPS)
    with futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
        started = start_answers(fleet, pool)
        victim = f'{kind}-{running_server(fleet, stage)}'
        fleet.freeze(victim)
        check_answers(started)
        fleet.thaw(victim)


@pytest.mark.parametrize('fault', ['silence_open', 'cut_open'])
def test_answers_continue_when_connections_are_lost(own_fleet, fault):
    """Proves: connections that are cut, or go silent for good, are replaced.

    Only connections that are open at the fault are affected; new ones work.
    """
    fleet = own_fleet(relay_sides=True, groups=GROUPS)
    with futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
        started = start_answers(fleet, pool)
        wait_until_any_running(fleet)
        for server, _ in fleet.layout.engines():
            control = f'relay-side-{server}-control'
            fleet.post_json(control, '/network', {fault: True})
        check_answers(started)


FAILED_STEP_BY_KIND = {'side': 'answer.probe', 'engine': 'answer.progress'}


@pytest.mark.parametrize('kind', FAILED_STEP_BY_KIND)
def test_stalled_answer_moves_before_its_peers_time_out(own_fleet, kind):
    """Proves: recovery doesn't wait for heartbeats or engine timeouts."""
    fleet = own_fleet(groups=GROUPS)
    before = steps_by_server(fleet, 'middle')
    with futures.ThreadPoolExecutor(1) as pool:
        started = start_answers(fleet, pool, caller_count=1)
        server = program.wait_until(
            lambda: stepping_server(fleet, 'middle', before), 'under way'
        )
        fleet.freeze(f'{kind}-{server}')
        check_answers(started)
    entry = ids.Address(fleet.address_by_name['entry-0-peer'])
    events, _ = queries.fetch_events([entry], '')
    steps = [
        event.fields['step']
        for event in events
        if event.what == 'answer.attempt_failed'
    ]
    assert steps == [FAILED_STEP_BY_KIND[kind]]


def test_tokens_are_sent_as_they_come(own_fleet):
    fleet = own_fleet(groups=GROUPS)
    answer = fleet.complete([1, 2], TOKEN_COUNT, stream=True, preload=False)
    parts = [answer.read1(65536)]
    while parts[-1]:
        parts.append(answer.read1(65536))
    # Each token takes 24 ms, so they can't arrive in a few large parts.
    assert len(parts) > TOKEN_COUNT / 2
    tokens = program.streamed_tokens(b''.join(parts))
    assert tokens == program.expected_tokens([1, 2], TOKEN_COUNT)


def test_planned_stop_of_a_side_process_cuts_no_answer(own_fleet):
    """Proves: a planned stop is graceful and cuts no request."""
    fleet = own_fleet(groups=GROUPS)
    with futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
        started = start_answers(fleet, pool)
        server = running_server(fleet, 'head')
        assert fleet.stop(f'side-{server}') == 0
        check_answers(started)
    assert fleet.complete([3], 3).status == 200


def test_planned_stop_of_an_entry_cuts_no_answer(own_fleet):
    fleet = own_fleet(groups=GROUPS)
    with futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
        started = start_answers(fleet, pool)
        wait_until_any_running(fleet)
        assert fleet.stop('entry-1') == 0
        check_answers(started)


def ask_until_refused(fleet, entry, caller):
    """Send requests to one entry, as a caller without a load balancer.

    :returns: number of answers, and the error that ended the requests
    """
    with urllib3.PoolManager(retries=False) as own:
        for number in range(100_000):
            try:
                reply = own.request(
                    'POST',
                    f'{fleet.url(entry)}/v1/chat/completions',
                    json={
                        'model': program.MODEL,
                        'prompt': [caller, number],
                        'max_tokens': 3,
                    },
                    headers={'Burdockmast-Organisation': 'souk'},
                    retries=False,
                )
            except urllib3.exceptions.HTTPError as error:
                return number, error
            found = program.answer_tokens(reply)
            assert found == program.expected_tokens([caller, number], 3)


def test_planned_stop_ends_though_callers_keep_coming(own_fleet):
    """Proves: a planned stop cuts no request of callers that keep asking.

    Their connections are refused before they have sent anything.
    """
    fleet = own_fleet(groups=GROUPS)
    with futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
        started = [
            pool.submit(ask_until_refused, fleet, 'entry-1', caller)
            for caller in range(CALLER_COUNT)
        ]
        wait_until_any_running(fleet)
        # Time for the running answers, and a little for the shutdown.
        assert fleet.stop('entry-1', STOP_TIMEOUT_SECONDS) == 0
        for future in started:
            count, error = future.result(60)
            assert count
            assert isinstance(error, urllib3.exceptions.NewConnectionError)


def test_retired_server_ends_its_answers_and_gets_no_new_ones(own_fleet):
    """Proves: a draining server gets no new work after a few seconds."""
    fleet = own_fleet(groups=GROUPS)
    with futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
        started = start_answers(fleet, pool)
        server = running_server(fleet, 'head')
        fleet.operate(changes.RetireServer(server))
        check_answers(started)
    engine = f'engine-{server}'
    program.wait_until(
        lambda: fleet.get_json(engine, '/v1/status')['sequences'] == 0,
        'idle',
    )
    steps = fleet.get_json(engine, '/v1/status')['steps']
    for number in range(20):
        program.answer_tokens(fleet.complete([number], 2))
    assert fleet.get_json(engine, '/v1/status')['steps'] == steps


def test_switch_of_preset_under_load_cuts_no_answer(own_fleet):
    """Proves: a switch of preset cuts no running work."""
    fleet = own_fleet(groups=GROUPS)
    moved = layouts.Layout(
        groups=(
            layouts.Group(0, 12, 3, program.UNHURRIED),
            layouts.Group(12, 24, 3, program.UNHURRIED),
        )
    )
    fleet.operate(changes.PutPreset(moved.preset('peak')))
    with futures.ThreadPoolExecutor(CALLER_COUNT) as pool:
        started = start_answers(fleet, pool)
        wait_until_any_running(fleet)
        fleet.operate(changes.SwitchPreset('peak', 'ordinary'))
        switched_at = time.monotonic()
        for entry in fleet.entries:
            program.wait_until(
                lambda e=entry: fleet.ready(e)['preset'] == 'peak', 'switched'
            )
        # Target: the preset is in force on every entry within 4 s.
        assert time.monotonic() - switched_at < 4.0
        check_answers(started)
    tokens = program.answer_tokens(fleet.complete([8, 8], 9))
    assert tokens == program.expected_tokens([8, 8], 9)
