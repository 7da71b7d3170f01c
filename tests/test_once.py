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
from burdockmast.operator import queries
from burdockmast.standins import layouts
from burdockmast.store import journals
from burdockmast.store import objects
from burdockmast.wire import messages
from burdockmast.wire import request_client

PATH = 'stock/ship'
BODY = '{"crates": 3}'
SLOW_SERVICE = ('--work-seconds', '1.5')


def send_command(fleet, key, entry=None, body=BODY, **headers):
    if key:
        headers['Idempotency-Key'] = key
    return fleet.call(PATH, body, entry, **headers)


def hashed_key(key):
    return records.hash_key('souk', layouts.SERVICE, key)


def test_repeat_gets_the_first_outcome(shared_fleet):
    """Proves: a non-idempotent request runs at most once."""
    first = send_command(shared_fleet, 'repeat', 'entry-0')
    again = send_command(shared_fleet, 'repeat', 'entry-1')
    assert first.status == again.status == 200
    assert first.data == again.data
    assert again.headers['Idempotent-Replayed'] == 'true'
    assert shared_fleet.runs()['repeat'] == 1


def test_repeat_with_another_body_is_refused(shared_fleet):
    send_command(shared_fleet, 'reused')
    refused = send_command(shared_fleet, 'reused', body='{"crates": 4}')
    assert refused.status == 422
    error = program.error_of(refused)
    assert error['type'] == 'idempotency_key_reused'
    assert error['outcome'] == 'not_run'
    assert shared_fleet.runs()['reused'] == 1


def test_concurrent_copies_through_all_entries_run_once(shared_fleet):
    keys = [f'copy{number}' for number in range(20)] * 4

    def send(number):
        entry = shared_fleet.entries[number % 2]
        return send_command(shared_fleet, keys[number], entry)

    with futures.ThreadPoolExecutor(40) as pool:
        replies = list(pool.map(send, range(len(keys))))
    runs = shared_fleet.runs()
    assert all(runs[key] == 1 for key in set(keys))
    assert {reply.status for reply in replies} == {200}


def test_request_without_key_is_sent_once(shared_fleet):
    reply = send_command(shared_fleet, '', body='{"no": "key"}')
    assert reply.status == 200
    assert shared_fleet.runs()['{"no": "key"}'] == 1


def test_entry_is_killed_while_the_service_runs(own_fleet):
    fleet = own_fleet(service_options=SLOW_SERVICE)
    with futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(send_command, fleet, 'orphan', 'entry-0')
        program.wait_until(lambda: fleet.runs().get('orphan'), 'running')
        fleet.kill('entry-0')
        assert future.exception() is not None
    again = send_command(fleet, 'orphan', 'entry-1')
    assert again.status == 200
    assert json.loads(again.data)['run'] == 1
    assert fleet.runs()['orphan'] == 1


def test_side_is_killed_while_the_service_runs(own_fleet):
    """Proves: a request that may have run is never reported as not run."""
    fleet = own_fleet(service_options=SLOW_SERVICE, services=1)
    with futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(send_command, fleet, 'lost')
        program.wait_until(lambda: fleet.runs().get('lost'), 'running')
        fleet.kill('side-s1')
        reply = future.result()
    assert program.error_of(reply)['outcome'] == 'may_have_run'
    fleet.start('side-s1')
    program.wait_until(
        lambda: fleet.call('stock/x', method='GET').status == 200, 'back'
    )
    again = send_command(fleet, 'lost', 'entry-1')
    assert program.error_of(again)['outcome'] == 'may_have_run'
    assert fleet.runs()['lost'] == 1


@pytest.mark.parametrize('key', ['', 'frozen'])
def test_side_is_frozen_while_the_service_runs(own_fleet, key):
    fleet = own_fleet(service_options=SLOW_SERVICE, services=1)
    name = key or BODY
    with futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(send_command, fleet, key)
        program.wait_until(lambda: fleet.runs().get(name), 'running')
        fleet.freeze('side-s1')
        reply = future.result()
        fleet.thaw('side-s1')
    assert program.error_of(reply)['outcome'] == 'may_have_run'
    assert fleet.runs()[name] == 1


def test_service_is_down(own_fleet):
    """Proves: a request refused as not run has not run; a repeat may run."""
    fleet = own_fleet(services=1)
    fleet.kill('service-s1')
    refused = send_command(fleet, 'down')
    assert program.error_of(refused)['outcome'] == 'not_run'
    fleet.start('service-s1')
    fleet.wait_for_services()
    assert send_command(fleet, 'down').status == 200
    assert fleet.runs()['down'] == 1


def test_command_is_refused_during_a_store_outage(own_fleet):
    """Proves: a command that can't be claimed is refused soon and not run."""
    fleet = own_fleet()
    fleet.set_faults('store', outage=True)
    began = time.monotonic()
    refused = send_command(fleet, 'out')
    assert time.monotonic() - began < 4.0
    error = program.error_of(refused)
    assert refused.status == 503
    assert error['outcome'] == 'not_run'
    assert error['retry_after'] > 0
    assert 'out' not in fleet.runs()


def test_retries_after_a_store_outage_are_spread(own_fleet):
    """Callers refused during a store outage must not retry all at once."""
    fleet = own_fleet()
    fleet.set_faults('store', outage=True)
    delays = [
        program.error_of(send_command(fleet, f'out-{n}'))['retry_after']
        for n in range(20)
    ]
    min_delay = services.STORE_RETRY_SECONDS
    assert all(min_delay <= delay <= 2 * min_delay for delay in delays)
    assert len(set(delays)) > len(delays) / 2
    assert fleet.call('stock/read', method='GET').status == 200
    assert program.answer_tokens(fleet.complete([1], 2))
    fleet.set_faults('store')
    assert send_command(fleet, 'out').status == 200
    assert fleet.runs()['out'] == 1


@pytest.mark.parametrize('lost', [1, 2, 5])
def test_store_applies_writes_and_loses_the_responses(own_fleet, lost):
    fleet = own_fleet()
    fleet.set_faults('store', lose_answers=lost)
    replies = [send_command(fleet, f'lost{n}') for n in range(3)]
    assert [reply.status for reply in replies] == [200] * 3
    runs = fleet.runs()
    assert [runs[f'lost{n}'] for n in range(3)] == [1] * 3


def claim_as_dead_entry(fleet, key):
    """Write a claim for an entry process that never sends the request."""
    address = fleet.servers[-1].address
    body = queries.send_query(address, 'status')
    status = queries.inspection.decode_status(body)
    key_hash = hashed_key(key)
    call_fingerprint = fingerprint_of_command()
    claim = records.Claim(
        key_hash,
        1,
        call_fingerprint,
        fleet.servers[-1].id,
        address,
        ids.InstanceId(status.process),
        'dead-entry',
    )
    store = objects.ObjectClient(fleet.url('store'))
    shard = records.shard_of(key_hash)
    journal = journals.Journal(store, f'claims-{shard:02d}')
    entry = journals.Entry('dead', [msgspec.to_builtins(claim)])
    index = 1
    while not isinstance(journal.append(index, entry, 2), journals.Appended):
        index += 1
    return claim


def fingerprint_of_command():
    from burdockmast.entry import services

    call = services.Call(
        '', layouts.SERVICE, 'POST', '/ship', (), BODY.encode(), '', False, 0
    )
    return call.fingerprint


def ask_side(claim, message):
    """Send a message to the side process of a claim; return the reply."""
    link = request_client.connect(claim.address, messages.Role.OPERATOR)
    reply = link.request(message, 5.0)
    link.close(failures.Failure(failures.Reason.CANCELLED, 'test'))
    return reply


def send_call(claim, budget_ms=5000):
    """Send a claimed call as the claimant would; return the reply."""
    call = messages.ServiceCall(
        'c', 'r', layouts.SERVICE, 'POST', '/ship', (), BODY.encode(),
        claim.key, claim.attempt, claim.incarnation, budget_ms, 0,
    )  # fmt: skip
    return ask_side(claim, call)


def total_runs(fleet, key):
    """Return how often a command ran, with its key or sent directly."""
    runs = fleet.runs()
    return runs.get(key, 0) + runs.get(BODY, 0)


def test_resolved_claim_is_void_for_good(own_fleet):
    """Proves: a claimant that resumes can't run a voided attempt."""
    fleet = own_fleet()
    claim = claim_as_dead_entry(fleet, 'barred')
    resolve = messages.Settle(
        's', claim.key, claim.attempt, claim.incarnation, 0
    )
    assert ask_side(claim, resolve).outcome is outcomes.Outcome.NOT_RUN
    late = send_call(claim)
    assert late.outcome is outcomes.Outcome.NOT_RUN
    assert late.reason is failures.Reason.CANCELLED
    assert total_runs(fleet, 'barred') == 0


def test_claimant_resumes_after_another_ran_its_request(own_fleet):
    """Proves: a claimant that resumes gets the first outcome."""
    fleet = own_fleet(services=1)
    claim = claim_as_dead_entry(fleet, 'paused')
    first = send_command(fleet, 'paused')
    assert first.status == 200
    late = send_call(claim)
    assert late.outcome is outcomes.Outcome.RAN
    assert late.body == first.data
    assert total_runs(fleet, 'paused') == 1


def test_claimant_sends_before_its_claim_is_resolved(own_fleet):
    fleet = own_fleet()
    claim = claim_as_dead_entry(fleet, 'late')
    assert send_call(claim).outcome is outcomes.Outcome.RAN
    reply = send_command(fleet, 'late')
    assert reply.status == 200
    assert reply.headers['Idempotent-Replayed'] == 'true'
    assert total_runs(fleet, 'late') == 1


def test_call_past_its_deadline_does_not_run(own_fleet):
    """Proves: a claimant that resumes after its deadline runs nothing."""
    fleet = own_fleet(services=1)
    claim = claim_as_dead_entry(fleet, 'over')
    late = send_call(claim, budget_ms=-1)
    assert late.outcome is outcomes.Outcome.NOT_RUN
    assert late.reason is failures.Reason.DEADLINE
    assert total_runs(fleet, 'over') == 0


def test_restarted_side_refuses_claims_of_its_previous_incarnation(own_fleet):
    fleet = own_fleet()
    claim = claim_as_dead_entry(fleet, 'replaced')
    fleet.kill('side-s2')
    fleet.start('side-s2')
    program.wait_until(
        lambda: (
            not isinstance(
                queries.send_query(claim.address, 'status'), failures.Failure
            )
        ),
        'side back',
    )
    late = send_call(claim)
    assert late.outcome is outcomes.Outcome.NOT_RUN
    assert late.reason is failures.Reason.STALE_INCARNATION
    refused = send_command(fleet, 'replaced')
    assert program.error_of(refused)['outcome'] == 'may_have_run'
    assert not fleet.runs().get('replaced')


def test_call_received_during_a_pause_does_not_run(own_fleet):
    """Proves: a side process that resumes runs no call that was given up."""
    fleet = own_fleet(services=1)
    fleet.freeze('side-s1')
    reply = send_command(fleet, '', body='{"woken": 1}')
    assert program.error_of(reply)['outcome'] == 'may_have_run'
    fleet.thaw('side-s1')
    program.wait_until(
        lambda: fleet.call('stock/x', method='GET').status == 200, 'woken'
    )
    assert '{"woken": 1}' not in fleet.runs()
