"""Claims journals are cut, and nobody is misled by what is gone."""

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


def filled(platform, count):
    """Return a journal with ``count`` entries."""
    journal = truncation.TruncatableJournal(client(platform), KIND)
    for place in range(1, count + 1):
        result = journal.append(place, entry(place), SECONDS)
        assert result == journals.Appended(place)
    return journal


def entry(number):
    return journals.Entry(ids.ChangeId(f'change-{number}'), [])


def places(platform):
    """Return the places that the store still holds."""
    found = client(platform).list(KIND, '', 1000)
    return [int(item.name) for item in found]


def new_home(platform, retention=RETENTION):
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


def fill_and_cut(platform, writer):
    """Claim keys until the journal's first entries are gone."""
    number = 0
    while not number or 1 in places(platform):
        number += 1
        assert number < 1000, 'never cut'
        writer.submit(claim(f'filler-{number}'), SECONDS)
    return number


def test_cut_removes_the_oldest_entries(platform):
    journal = filled(platform, 5)
    assert journal.truncate(3) is None
    assert places(platform) == [4, 5]
    assert journal.truncation_point() == truncation.TruncationPoint(3, 3)
    assert journal.append(6, entry(6), SECONDS) == journals.Appended(6)


def test_entry_where_the_journal_was_cut_is_void(platform):
    """Proves: a writer that was paused over a cut is not misled by it."""
    journal = filled(platform, 5)
    journal.truncate(4)
    assert journal.append(3, entry(30), SECONDS) == truncation.Truncated(3)
    assert places(platform) == [5]


@pytest.mark.parametrize('lost', [1, 2, 3, 4])
def test_cut_that_was_interrupted_is_ended_by_the_next(platform, lost):
    journal = filled(platform, 6)
    platform.set_faults('store', lose_answers=lost)
    while True:
        if journal.truncate(4) is None:
            break
    assert places(platform) == [5, 6]
    assert journal.truncation_point() == truncation.TruncationPoint(4, 4)


def test_cut_does_not_go_back(platform):
    journal = filled(platform, 6)
    journal.truncate(4)
    journal.truncate(2)
    assert journal.truncation_point() == truncation.TruncationPoint(4, 4)


def test_store_out_after_a_create_leaves_the_outcome_open(
    platform, monkeypatch
):
    journal = filled(platform, 2)
    read = journal._read_point

    def out():
        platform.set_faults('store', outage=True)
        return read()

    monkeypatch.setattr(journal, '_read_point', out)
    result = journal.append(3, entry(3), SECONDS)
    assert isinstance(result, failures.Failure)
    assert result.outcome.value == 'may_have_run'
    platform.set_faults('store')
    monkeypatch.undo()
    assert journal.append(3, entry(3), SECONDS) == journals.Appended(3)


def test_home_that_slept_over_a_cut_grants_nothing_twice(platform):
    """Proves: a lapsed writer that wakes can't grant a claim again."""
    sleeper = new_home(platform)
    writer = new_home(platform)
    sleeper.submit(claim('early'), SECONDS)
    fill_and_cut(platform, writer)
    granted = writer.submit(claim('key', 'second'), SECONDS)
    assert granted.claim.claimant == 'second'
    answer = sleeper.submit(claim('key', 'first'), SECONDS)
    assert answer.claim.claimant == 'second'


def test_new_home_knows_what_is_not_yet_forgotten(platform):
    """Proves: a replaced writer takes over without losing a claim."""
    writer = new_home(platform)
    count = fill_and_cut(platform, writer)
    writer.submit(claim('key', 'second'), SECONDS)
    successor = new_home(platform)
    answer = successor.submit(claim('key', 'first'), SECONDS)
    assert answer.claim.claimant == 'second'
    last = f'filler-{count}'
    assert successor.submit(claim(last, 'again'), SECONDS) == writer.submit(
        claim(last, 'again'), SECONDS
    )


def test_homes_agree_after_racing_over_cuts(platform):
    """Two homes write at once; each key is granted to one claimant."""
    homes = [new_home(platform), new_home(platform)]
    winners = {}

    def ask(number, asker):
        claimant = f'{asker}'
        answer = homes[asker].submit(claim(f'{number}', claimant), SECONDS)
        winners.setdefault(number, set()).add(answer.claim.claimant)

    pool = eventlet.GreenPool()
    for number in range(60):
        pool.spawn(ask, number, 0)
        pool.spawn(ask, number, 1)
        eventlet.sleep(0.02)
    pool.waitall()
    assert [len(names) for names in winners.values()] == [1] * 60
    assert min(places(platform)) > 1


def test_commands_run_once_over_cuts(own_fleet):
    """Proves: a non-idempotent request runs once while journals are cut."""
    settings = {'claims_retention': 1.0}
    fleet = own_fleet(side_settings=settings)
    store = client(fleet)

    def cut_marks():
        marks = store.list(truncation.TRUNCATION_POINTS_KIND, '', 100)
        return [mark.value['removed'] for mark in marks]

    sent = 0
    while not any(cut_marks()):
        key = f'key-{sent}'
        assert fleet.call('stock/x', '{}', **idempotent(key)).status == 200
        sent += 1
        assert sent < 1000, 'never cut'
    again = fleet.call('stock/x', '{}', **idempotent(f'key-{sent - 1}'))
    assert again.headers['Idempotent-Replayed'] == 'true'
    runs = fleet.runs()
    assert all(runs[f'key-{number}'] == 1 for number in range(sent))


def idempotent(key):
    return {'Idempotency-Key': key}
