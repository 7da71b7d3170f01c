"""Non-idempotent requests run at most once."""

from concurrent import futures
import json
import time

import msgspec
import program
import pytest

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.claims import records
from burdockmast.entry import services
from burdockmast.operator import asking
from burdockmast.standins import layouts
from burdockmast.store import journals
from burdockmast.store import objects
from burdockmast.wire import messages
from burdockmast.wire import passive

PATH = 'stock/ship'
BODY = '{"crates": 3}'
SLOW_SERVICE = ('--work-seconds', '1.5')


def command(fleet, key, entry=None, body=BODY, **headers):
    if key:
        headers['Idempotency-Key'] = key
    return fleet.call(PATH, body, entry, **headers)


def kept_key(key):
    return records.key_of('souk', layouts.SERVICE, key)


def test_repeat_gets_the_first_outcome(shared_fleet):
    """Proves: a non-idempotent request runs at most once."""
    first = command(shared_fleet, 'repeat', 'entry-0')
    again = command(shared_fleet, 'repeat', 'entry-1')
    assert first.status == again.status == 200
    assert first.data == again.data
    assert again.headers['Idempotent-Replayed'] == 'true'
    assert shared_fleet.runs()['repeat'] == 1


def test_repeat_with_another_body_is_refused(shared_fleet):
    command(shared_fleet, 'reused')
    refused = command(shared_fleet, 'reused', body='{"crates": 4}')
    assert refused.status == 422
    error = program.error_of(refused)
    assert error['type'] == 'idempotency_key_reused'
    assert error['outcome'] == 'not_run'
    assert shared_fleet.runs()['reused'] == 1


def test_copies_at_once_through_all_entries_run_once(shared_fleet):
    keys = [f'copy{number}' for number in range(20)] * 4

    def send(turn):
        entry = shared_fleet.entries[turn % 2]
        return command(shared_fleet, keys[turn], entry)

    with futures.ThreadPoolExecutor(40) as pool:
        replies = list(pool.map(send, range(len(keys))))
    runs = shared_fleet.runs()
    assert all(runs[key] == 1 for key in set(keys))
    assert {reply.status for reply in replies} == {200}


def test_request_without_key_is_sent_once(shared_fleet):
    reply = command(shared_fleet, '', body='{"no": "key"}')
    assert reply.status == 200
    assert shared_fleet.runs()['{"no": "key"}'] == 1


def test_entry_dies_while_the_service_works(own_fleet):
    fleet = own_fleet(service_options=SLOW_SERVICE)
    with futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(command, fleet, 'orphan', 'entry-0')
        program.wait_until(lambda: fleet.runs().get('orphan'), 'running')
        fleet.kill('entry-0')
        assert future.exception() is not None
    again = command(fleet, 'orphan', 'entry-1')
    assert again.status == 200
    assert json.loads(again.data)['run'] == 1
    assert fleet.runs()['orphan'] == 1


def test_side_dies_while_the_service_works(own_fleet):
    """Proves: what may have run is never said to have not run."""
    fleet = own_fleet(service_options=SLOW_SERVICE, services=1)
    with futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(command, fleet, 'lost')
        program.wait_until(lambda: fleet.runs().get('lost'), 'running')
        fleet.kill('side-s1')
        reply = future.result()
    assert program.error_of(reply)['outcome'] == 'may_have_run'
    fleet.start('side-s1')
    program.wait_until(
        lambda: fleet.call('stock/x', method='GET').status == 200, 'back'
    )
    again = command(fleet, 'lost', 'entry-1')
    assert program.error_of(again)['outcome'] == 'may_have_run'
    assert fleet.runs()['lost'] == 1


@pytest.mark.parametrize('key', ['', 'frozen'])
def test_side_freezes_while_the_service_works(own_fleet, key):
    fleet = own_fleet(service_options=SLOW_SERVICE, services=1)
    name = key or BODY
    with futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(command, fleet, key)
        program.wait_until(lambda: fleet.runs().get(name), 'running')
        fleet.freeze('side-s1')
        reply = future.result()
        fleet.thaw('side-s1')
    assert program.error_of(reply)['outcome'] == 'may_have_run'
    assert fleet.runs()[name] == 1


def test_service_is_down(own_fleet):
    """Proves: a refusal that says not run is true, and a repeat may run."""
    fleet = own_fleet(services=1)
    fleet.kill('service-s1')
    refused = command(fleet, 'down')
    assert program.error_of(refused)['outcome'] == 'not_run'
    fleet.start('service-s1')
    fleet.wait_for_services()
    assert command(fleet, 'down').status == 200
    assert fleet.runs()['down'] == 1


def test_store_is_out(own_fleet):
    """Proves: a command that can't be claimed is refused at once, unrun."""
    fleet = own_fleet()
    fleet.set_faults('store', outage=True)
    began = time.monotonic()
    refused = command(fleet, 'out')
    assert time.monotonic() - began < 4.0
    error = program.error_of(refused)
    assert refused.status == 503
    assert error['outcome'] == 'not_run'
    assert error['retry_after'] > 0
    assert 'out' not in fleet.runs()


def test_those_refused_in_an_outage_do_not_come_back_together(own_fleet):
    """Load: all callers of commands while the store is out."""
    fleet = own_fleet()
    fleet.set_faults('store', outage=True)
    backs = [
        program.error_of(command(fleet, f'out-{n}'))['retry_after']
        for n in range(20)
    ]
    least = services.STORE_RETRY_SECONDS
    assert all(least <= back <= 2 * least for back in backs)
    assert len(set(backs)) > len(backs) / 2
    assert fleet.call('stock/read', method='GET').status == 200
    assert program.answer_tokens(fleet.complete([1], 2))
    fleet.set_faults('store')
    assert command(fleet, 'out').status == 200
    assert fleet.runs()['out'] == 1


@pytest.mark.parametrize('lost', [1, 2, 5])
def test_store_takes_writes_and_loses_the_answers(own_fleet, lost):
    fleet = own_fleet()
    fleet.set_faults('store', lose_answers=lost)
    replies = [command(fleet, f'lost{n}') for n in range(3)]
    assert [reply.status for reply in replies] == [200] * 3
    runs = fleet.runs()
    assert [runs[f'lost{n}'] for n in range(3)] == [1] * 3


def claim_as_dead_entry(fleet, key):
    """Write a claim whose holder never sends the request."""
    address = fleet.servers[-1].address
    body = asking.ask(address, 'status')
    status = asking.inspection.decode_status(body)
    kept = kept_key(key)
    call_fingerprint = fingerprint_of_command()
    claim = records.Claim(
        kept,
        1,
        call_fingerprint,
        fleet.servers[-1].id,
        address,
        ids.InstanceId(status.process),
        'dead-entry',
    )
    store = objects.Objects(fleet.url('store'))
    shard = records.shard_of(kept)
    journal = journals.Journal(store, f'claims-{shard:02d}')
    entry = journals.Entry('dead', [msgspec.to_builtins(claim)])
    place = 1
    while not isinstance(journal.append(place, entry, 2), journals.Appended):
        place += 1
    return claim


def fingerprint_of_command():
    from burdockmast.entry import services

    call = services.Call(
        '', layouts.SERVICE, 'POST', '/ship', (), BODY.encode(), '', False, 0
    )
    return call.fingerprint


def ask_side(claim, message):
    """Send a message to a claim's side; return the reply."""
    link = passive.connect(claim.address, messages.Role.OPERATOR)
    reply = link.ask(message, 5.0)
    link.close(failures.Failure(failures.Reason.CANCELLED, 'test'))
    return reply


def send_call(claim, budget_ms=5000):
    """Send a claimed call as its holder would; return the reply."""
    call = messages.ServiceCall(
        'c', 'r', layouts.SERVICE, 'POST', '/ship', (), BODY.encode(),
        claim.key, claim.attempt, claim.incarnation, budget_ms, 0,
    )  # fmt: skip
    return ask_side(claim, call)


def total_runs(fleet, key):
    """Return how often a command ran, with its key or sent directly."""
    runs = fleet.runs()
    return runs.get(key, 0) + runs.get(BODY, 0)


def test_settled_claim_is_barred_for_good(own_fleet):
    """Proves: a paused holder that wakes can't run a resolved claim."""
    fleet = own_fleet()
    claim = claim_as_dead_entry(fleet, 'barred')
    settle = messages.Settle(
        's', claim.key, claim.attempt, claim.incarnation, 0
    )
    assert ask_side(claim, settle).outcome is outcomes.Outcome.NOT_RUN
    late = send_call(claim)
    assert late.outcome is outcomes.Outcome.NOT_RUN
    assert late.reason is failures.Reason.CANCELLED
    assert total_runs(fleet, 'barred') == 0


def test_holder_wakes_after_another_ran_its_request(own_fleet):
    """Proves: a paused holder that wakes gets the first outcome."""
    fleet = own_fleet(services=1)
    claim = claim_as_dead_entry(fleet, 'paused')
    first = command(fleet, 'paused')
    assert first.status == 200
    late = send_call(claim)
    assert late.outcome is outcomes.Outcome.RAN
    assert late.body == first.data
    assert total_runs(fleet, 'paused') == 1


def test_holder_sends_before_its_claim_is_settled(own_fleet):
    fleet = own_fleet()
    claim = claim_as_dead_entry(fleet, 'late')
    assert send_call(claim).outcome is outcomes.Outcome.RAN
    reply = command(fleet, 'late')
    assert reply.status == 200
    assert reply.headers['Idempotent-Replayed'] == 'true'
    assert total_runs(fleet, 'late') == 1


def test_call_whose_time_is_over_does_not_run(own_fleet):
    """Proves: a holder that wakes after its deadline runs nothing."""
    fleet = own_fleet(services=1)
    claim = claim_as_dead_entry(fleet, 'over')
    late = send_call(claim, budget_ms=-1)
    assert late.outcome is outcomes.Outcome.NOT_RUN
    assert late.reason is failures.Reason.DEADLINE
    assert total_runs(fleet, 'over') == 0


def test_replaced_side_refuses_the_claim_of_the_one_before(own_fleet):
    fleet = own_fleet()
    claim = claim_as_dead_entry(fleet, 'replaced')
    fleet.kill('side-s2')
    fleet.start('side-s2')
    program.wait_until(
        lambda: (
            not isinstance(
                asking.ask(claim.address, 'status'), failures.Failure
            )
        ),
        'side back',
    )
    late = send_call(claim)
    assert late.outcome is outcomes.Outcome.NOT_RUN
    assert late.reason is failures.Reason.STALE_INCARNATION
    refused = command(fleet, 'replaced')
    assert program.error_of(refused)['outcome'] == 'may_have_run'
    assert not fleet.runs().get('replaced')


def test_call_that_waited_over_a_pause_does_not_run(own_fleet):
    """Proves: a side that wakes late runs nothing that was given up."""
    fleet = own_fleet(services=1)
    fleet.freeze('side-s1')
    reply = command(fleet, '', body='{"woken": 1}')
    assert program.error_of(reply)['outcome'] == 'may_have_run'
    fleet.thaw('side-s1')
    program.wait_until(
        lambda: fleet.call('stock/x', method='GET').status == 200, 'woken'
    )
    assert '{"woken": 1}' not in fleet.runs()
