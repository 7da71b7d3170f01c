"""Steps of the scenarios in which two faults come at once."""

from concurrent import futures
import dataclasses

import program
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
import urllib3

from burdockmast.fleet import changes
from burdockmast.standins import layouts

scenarios('features/promises.feature')

ANSWERS = 8
COMMANDS = 12
TOKENS = 60
GROUPS = (
    layouts.Group(0, 10, 3, program.UNHURRIED),
    layouts.Group(8, 16, 3, program.UNHURRIED),
    layouts.Group(16, 24, 3, program.UNHURRIED),
)
PEAK = layouts.Layout(
    groups=(
        layouts.Group(0, 12, 5, program.UNHURRIED),
        layouts.Group(12, 24, 4, program.UNHURRIED),
    )
)
BROKEN = (urllib3.exceptions.HTTPError, OSError)


@dataclasses.dataclass
class Work:
    """What callers have under way, and what came of it."""

    fleet: object
    pool: futures.ThreadPoolExecutor
    answers: list = dataclasses.field(default_factory=list)
    commands: list = dataclasses.field(default_factory=list)


def try_entries(fleet, first, send):
    """Send through an entry; if its connection breaks, through the other.

    So callers do behind a balancer.
    """
    for entry in (fleet.entries[first], fleet.entries[1 - first]):
        try:
            return send(entry)
        except BROKEN:
            continue
    raise AssertionError('no entry served the request')


def ask(fleet, number):
    prompt = [number, 77]

    def send(entry):
        return fleet.complete(prompt, TOKENS, entry)

    return prompt, try_entries(fleet, number % 2, send)


def command(fleet, number):
    key = f'promise{number}'

    def send(entry):
        return fleet.call(
            'stock/ship', '{}', entry, **{'Idempotency-Key': key}
        )

    return key, try_entries(fleet, number % 2, send)


@pytest.fixture
def work(own_fleet):
    fleet = own_fleet(groups=GROUPS, service_options=('--work-seconds', '0.3'))
    with futures.ThreadPoolExecutor(ANSWERS + COMMANDS) as pool:
        yield Work(fleet, pool)


@given('a fleet with answers and commands under way')
def under_way(work):
    for number in range(ANSWERS):
        work.answers.append(work.pool.submit(ask, work.fleet, number))
    for number in range(COMMANDS):
        work.commands.append(work.pool.submit(command, work.fleet, number))
    program.wait_until(lambda: running_server(work.fleet), 'answers')


def running_server(fleet):
    """Return a head server that runs answers now."""
    for server in ('e1', 'e2', 'e3'):
        status = fleet.get_json(f'engine-{server}', '/v1/status')
        if status and status['sequences']:
            return server
    return None


def head(fleet):
    """Return a head server that runs answers, or else one that lives."""
    living = (
        server
        for server in ('e1', 'e2', 'e3')
        if f'engine-{server}' in fleet.process_by_name
    )
    return running_server(fleet) or next(living)


# One replica of each layer range, and one of the plain service's sides.
ZONE = ('side-e3', 'side-e6', 'side-e9', 'side-s2')
ZONE_ENGINES = ('engine-e3', 'engine-e6', 'engine-e9')


def kill_zone(fleet):
    for name in ZONE + ZONE_ENGINES:
        fleet.kill(name)


def cut_zone(fleet):
    """Let nothing in or out: nothing there is read or refused."""
    for name in ZONE:
        fleet.freeze(name)


FAULTS = {
    'engine killed': lambda f: f.kill(f'engine-{head(f)}'),
    'side killed': lambda f: f.kill(f'side-{head(f)}'),
    'side frozen': lambda f: f.freeze(f'side-{head(f)}'),
    'side stopped': lambda f: f.stop(f'side-{head(f)}'),
    'entry killed': lambda f: f.kill('entry-1'),
    'entry stopped': lambda f: f.stop('entry-1'),
    'zone killed': kill_zone,
    'zone cut': cut_zone,
    'store out': lambda f: f.set_faults('store', outage=True),
    'store slow': lambda f: f.set_faults('store', delay=0.5),
    'store loses answers': lambda f: f.set_faults('store', lose_answers=3),
    'server retired': lambda f: f.operate(changes.RetireServer(head(f))),
    'preset switched': lambda f: f.operate(
        changes.PutPreset(PEAK.preset('peak')),
        changes.SwitchPreset('peak', 'ordinary'),
    ),
}


@when(parsers.parse('the first fault comes: {fault}'))
@when(parsers.parse('the second fault comes: {fault}'))
def cause_fault(work, fault):
    FAULTS[fault](work.fleet)


@then('every answer is complete, with each layer once and in order')
def answers_are_complete(work):
    for future in work.answers:
        prompt, reply = future.result(90)
        tokens = program.answer_tokens(reply)
        assert tokens == program.expected_tokens(prompt, TOKENS)


@then('every command ran at most once')
def commands_ran_once(work):
    futures.wait(work.commands, 90)
    runs = work.fleet.runs()
    assert all(runs.get(f'promise{n}', 0) <= 1 for n in range(COMMANDS))


@then('no command that was refused as not run has run')
def refusals_are_honest(work):
    runs = work.fleet.runs()
    for future in work.commands:
        key, reply = future.result()
        if reply.status == 200:
            assert runs[key] == 1
        elif program.error_of(reply)['outcome'] == 'not_run':
            assert key not in runs


@then('new requests are served once the faults are over')
def served_again(work):
    work.fleet.set_faults('store')
    entry = next(
        name
        for name in work.fleet.entries
        if name in work.fleet.process_by_name
    )
    reply = work.fleet.complete([9], 4, entry)
    assert program.answer_tokens(reply) == program.expected_tokens([9], 4)
    reply = work.fleet.call(
        'stock/after', '{}', entry, **{'Idempotency-Key': 'after'}
    )
    assert reply.status == 200
