"""Claims journals are truncated without granting a claim twice."""

import eventlet
import program
import pytest

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import metrics
from burdockmast.claims import claim_writer
from burdockmast.claims import records
from burdockmast.standins import fleets
from burdockmast.store import journals
from burdockmast.store import objects
from burdockmast.store import truncation

KIND = 'claims-00'
RETENTION = 0.4
SECONDS = 5.0


@pytest.fixture
def platform(tmp_path):
    """The platform's store alone."""
    fleet = fleets.Fleet(tmp_path)
    try:
        fleet.start_store()
        program.wait_until(lambda: fleet.get_json('store', '/counts'), 'store')
        yield fleet
    finally:
        fleet.close()


def client(platform):
    return objects.ObjectClient(platform.url('store'))


def journal_with_entries(platform, count):
    """Return a journal with ``count`` entries."""
    journal = truncation.TruncatableJournal(client(platform), KIND)
    for index in range(1, count + 1):
        result = journal.append(index, entry(index), SECONDS)
        assert result == journals.Appended(index)
    return journal


def entry(number):
    return journals.Entry(ids.ChangeId(f'change-{number}'), [])


def stored_indexes(platform):
    """Return the indexes of the entries that the store still holds."""
    found = client(platform).list(KIND, '', 1000)
    return [int(item.name) for item in found]


def new_writer(platform, retention=RETENTION):
    sink = metrics.Metrics()
    return claim_writer.ShardWriter(client(platform), 0, sink, retention)


def claim(key, claimant='first', attempt=1):
    return records.Claim(
        key,
        attempt,
        ids.Fingerprint('same'),
        ids.ServerId('s1'),
        ids.Address('127.0.0.1:1'),
        ids.InstanceId('x'),
        claimant,
    )


def claim_until_truncated(platform, writer):
    """Claim keys until the journal's first entries are removed."""
    number = 0
    while not number or 1 in stored_indexes(platform):
        number += 1
        assert number < 1000, 'never truncated'
        writer.submit(claim(f'filler-{number}'), SECONDS)
    return number


def test_truncation_removes_the_oldest_entries(platform):
    journal = journal_with_entries(platform, 5)
    assert journal.truncate(3) is None
    assert stored_indexes(platform) == [4, 5]
    assert journal.truncation_point() == truncation.TruncationPoint(3, 3)
    assert journal.append(6, entry(6), SECONDS) == journals.Appended(6)


def test_append_at_a_truncated_index_is_rejected(platform):
    """Proves: a writer that was paused during a truncation is told of it."""
    journal = journal_with_entries(platform, 5)
    journal.truncate(4)
    assert journal.append(3, entry(30), SECONDS) == truncation.Truncated(3)
    assert stored_indexes(platform) == [5]


@pytest.mark.parametrize('lost', [1, 2, 3, 4])
def test_interrupted_truncation_is_completed_by_the_next(platform, lost):
    journal = journal_with_entries(platform, 6)
    platform.set_faults('store', lose_answers=lost)
    while True:
        if journal.truncate(4) is None:
            break
    assert stored_indexes(platform) == [5, 6]
    assert journal.truncation_point() == truncation.TruncationPoint(4, 4)


def test_truncation_point_does_not_go_back(platform):
    journal = journal_with_entries(platform, 6)
    journal.truncate(4)
    journal.truncate(2)
    assert journal.truncation_point() == truncation.TruncationPoint(4, 4)


def test_store_outage_after_a_create_leaves_the_outcome_unknown(
    platform, monkeypatch
):
    journal = journal_with_entries(platform, 2)
    read = journal._read_point

    def read_during_outage():
        platform.set_faults('store', outage=True)
        return read()

    monkeypatch.setattr(journal, '_read_point', read_during_outage)
    result = journal.append(3, entry(3), SECONDS)
    assert isinstance(result, failures.Failure)
    assert result.outcome.value == 'may_have_run'
    platform.set_faults('store')
    monkeypatch.undo()
    assert journal.append(3, entry(3), SECONDS) == journals.Appended(3)


def test_writer_paused_during_a_truncation_grants_nothing_twice(platform):
    """Proves: an outdated writer that resumes can't grant a claim again."""
    paused_writer = new_writer(platform)
    writer = new_writer(platform)
    paused_writer.submit(claim('early'), SECONDS)
    claim_until_truncated(platform, writer)
    granted = writer.submit(claim('key', 'second'), SECONDS)
    assert granted.claim.claimant == 'second'
    answer = paused_writer.submit(claim('key', 'first'), SECONDS)
    assert answer.claim.claimant == 'second'


def test_new_writer_knows_keys_that_are_not_yet_forgotten(platform):
    """Proves: a replaced writer takes over without losing a claim."""
    writer = new_writer(platform)
    count = claim_until_truncated(platform, writer)
    writer.submit(claim('key', 'second'), SECONDS)
    successor = new_writer(platform)
    answer = successor.submit(claim('key', 'first'), SECONDS)
    assert answer.claim.claimant == 'second'
    last = f'filler-{count}'
    assert successor.submit(claim(last, 'again'), SECONDS) == writer.submit(
        claim(last, 'again'), SECONDS
    )


def test_concurrent_writers_agree_during_truncations(platform):
    """Two writers write at once; each key is granted to one claimant."""
    writers = [new_writer(platform), new_writer(platform)]
    winners = {}

    def ask(number, writer):
        claimant = f'{writer}'
        answer = writers[writer].submit(claim(f'{number}', claimant), SECONDS)
        winners.setdefault(number, set()).add(answer.claim.claimant)

    pool = eventlet.GreenPool()
    for number in range(60):
        pool.spawn(ask, number, 0)
        pool.spawn(ask, number, 1)
        eventlet.sleep(0.02)
    pool.waitall()
    assert [len(names) for names in winners.values()] == [1] * 60
    assert min(stored_indexes(platform)) > 1


def test_commands_run_once_during_truncations(own_fleet):
    """Proves: a non-idempotent request runs once during truncations."""
    settings = {'claims_retention': 1.0}
    fleet = own_fleet(side_settings=settings)
    store = client(fleet)

    def removed_indexes():
        points = store.list(truncation.TRUNCATION_POINTS_KIND, '', 100)
        return [point.value['removed'] for point in points]

    sent = 0
    while not any(removed_indexes()):
        key = f'key-{sent}'
        assert fleet.call('stock/x', '{}', **idempotent(key)).status == 200
        sent += 1
        assert sent < 1000, 'never truncated'
    again = fleet.call('stock/x', '{}', **idempotent(f'key-{sent - 1}'))
    assert again.headers['Idempotent-Replayed'] == 'true'
    runs = fleet.runs()
    assert all(runs[f'key-{number}'] == 1 for number in range(sent))


def idempotent(key):
    return {'Idempotency-Key': key}
