"""Which requests are taken to crash servers, and who learns of it when."""

import heapq
import itertools
import random

import pytest

from burdockmast.base import failures
from burdockmast.gateway import backends
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import interfaces
from burdockmast.gateway import quarantine

# The operators' rule: requests that may reach servers once the fifth crash is
# as old as the stable window.
LATE_REQUESTS = 3
LEARNING_CRASHES = 5
STABLE_SECONDS = 3.0
RUN_SECONDS = 0.1
Verdict = crash_suspects.Verdict


class Clock:
    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


@pytest.fixture
def time():
    return Clock()


@pytest.fixture
def suspects(time):
    return crash_suspects.CrashSuspects(time)


def server(number):
    return backends.BackendServer(
        f'i-{number}', 'llm', f'h:{number}', 'a', True,
        backends.NO_LAYERS, '', 1, 1,
    )  # fmt: skip


def crash(suspects, time, number, *fingerprints, is_answering=True):
    """Send a request whose server crashes while it begins."""
    attempt = suspects.track(fingerprints, server(number))
    time.now += RUN_SECONDS
    if is_answering:
        suspects.record_head(attempt)
    suspects.record_crash(attempt)
    suspects.untrack(attempt)


def run_well(suspects, time, *fingerprints):
    attempt = suspects.track(fingerprints, server('sound'))
    time.now += RUN_SECONDS
    suspects.record_head(attempt)
    suspects.record_event(attempt)
    suspects.record_answer(attempt)
    suspects.untrack(attempt)


def test_three_crashes_in_a_row_reject_a_part(suspects, time):
    for number, verdict in enumerate(
        (Verdict.ISOLATE, Verdict.TRY_ALONE, Verdict.REJECT)
    ):
        crash(suspects, time, number, 'deadly', f'own {number}')
        assert suspects.judge(['deadly', 'own 9']) is verdict
    assert suspects.judge(['other']) is Verdict.SOUND
    failure = suspects.rejection(['deadly'])
    assert failure.reason is failures.Reason.CRASHES_SERVERS
    assert failure.retry_after > 0


def test_sound_requests_with_the_same_first_part_are_still_served(
    suspects, time
):
    run_well(suspects, time, 'first')
    for number in range(3):
        crash(suspects, time, number, 'first', 'deadly')
    assert suspects.judge(['first', 'deadly']) is Verdict.REJECT
    assert suspects.judge(['first', 'other']) is Verdict.TRY_ALONE
    run_well(suspects, time, 'first', 'other')
    assert suspects.judge(['first', 'other']) is Verdict.SOUND
    assert suspects.judge(['first', 'deadly']) is Verdict.REJECT


def test_servers_that_are_lost_together_accuse_nobody_for_long(suspects, time):
    attempts = [suspects.track(('p',), server(n)) for n in range(6)]
    time.now += RUN_SECONDS
    for attempt in attempts:
        suspects.record_crash(attempt)
        suspects.untrack(attempt)
    assert suspects.judge(['p']) is Verdict.ISOLATE


def test_requests_that_only_waited_are_not_accused(suspects, time):
    for number in range(4):
        waiting = suspects.track(('waiting',), server(number))
        crash(suspects, time, number, 'deadly')
        suspects.record_crash(waiting)
        suspects.untrack(waiting)
    assert suspects.judge(['waiting']) is Verdict.SOUND
    assert suspects.judge(['deadly']) is Verdict.REJECT


def test_a_part_that_crashes_servers_before_any_head_is_learned(
    suspects, time
):
    """Others had just begun at each of the servers, and run well elsewhere."""
    for number in range(3):
        begun = suspects.track((f'begun {number}',), server(number))
        suspects.record_head(begun)
        crash(suspects, time, number, 'deadly', is_answering=False)
        suspects.record_crash(begun)
        suspects.untrack(begun)
        run_well(suspects, time, f'begun {number}')
    assert suspects.judge(['deadly']) is Verdict.REJECT


def test_crashes_before_any_head_are_learned_too(suspects, time):
    for number in range(3):
        crash(suspects, time, number, 'deadly', is_answering=False)
    assert suspects.judge(['deadly']) is Verdict.REJECT


def test_requests_that_have_run_for_some_time_are_not_accused(suspects, time):
    for number in range(4):
        attempt = suspects.track(('long',), server(number))
        suspects.record_head(attempt)
        suspects.record_event(attempt)
        time.now += 2 * crash_suspects.SURVIVAL_SECONDS
        suspects.record_event(attempt)
        suspects.record_crash(attempt)
        suspects.untrack(attempt)
    assert suspects.judge(['long']) is Verdict.SOUND


def test_a_part_whose_requests_die_after_an_event_is_learned(suspects, time):
    for number in range(3):
        attempt = suspects.track(('deadly',), server(number))
        suspects.record_head(attempt)
        suspects.record_event(attempt)
        time.now += 0.05
        suspects.record_crash(attempt)
        suspects.untrack(attempt)
    assert suspects.judge(['deadly']) is Verdict.REJECT


def test_only_one_suspect_is_tried_at_a_time(suspects, time):
    for number in range(2):
        crash(suspects, time, number, 'deadly')
    assert not suspects.is_trial_running(['deadly'])
    trial = suspects.track(('deadly',), server(3))
    assert suspects.is_trial_running(['deadly'])
    assert not suspects.is_trial_running(['other'])
    suspects.record_event(trial)
    assert not suspects.is_trial_running(['deadly'])


def test_a_trial_at_a_silent_server_holds_no_others_back(suspects, time):
    for number in range(2):
        crash(suspects, time, number, 'deadly')
    suspects.track(('deadly',), server(3))
    time.now += crash_suspects.MAX_TRIAL_SECONDS
    assert not suspects.is_trial_running(['deadly'])


def test_a_quarantine_ends_after_its_time(suspects, time):
    for number in range(3):
        crash(suspects, time, number, 'deadly')
    time.now += crash_suspects.ACCUSATION_TTL_SECONDS
    assert suspects.judge(['deadly']) is Verdict.SOUND
    suspects.news()
    assert suspects.quarantined() == []


def test_what_is_remembered_is_bounded(suspects, time):
    for number in range(crash_suspects.MAX_FINGERPRINTS + 100):
        crash(suspects, time, number, f'p {number}')
        run_well(suspects, time, f'q {number}')
    news = suspects.news()
    assert len(news.accusations) <= crash_suspects.MAX_NEWS_ITEMS
    assert len(news.sound) <= crash_suspects.MAX_NEWS_ITEMS
    for number in range(100):
        crash(suspects, time, number, 'deadly')
    (record,) = suspects.quarantined()
    assert len(record.crashes) <= crash_suspects.MAX_CRASHES


class Fleet:
    """Gateways that tell each other of crashes, within and between zones."""

    def __init__(self, zones, gateways_per_zone, time):
        self.time = time
        self.zones = [
            [
                crash_suspects.CrashSuspects(time)
                for _ in range(gateways_per_zone)
            ]
            for _ in range(zones)
        ]
        self.gateways = list(itertools.chain.from_iterable(self.zones))
        self._next_local = self._next_remote = 0.0

    def tell(self):
        """Send what is due: each 0.1 s in zones, each 0.3 s between them."""
        if self.time.now >= self._next_local:
            self._next_local = self.time.now + 0.1
            for zone in self.zones:
                for sender in zone:
                    self._tell(sender, [g for g in zone if g is not sender])
        if self.time.now >= self._next_remote:
            self._next_remote = self.time.now + 0.3
            for sender, receiver in itertools.permutations(self.zones, 2):
                self._tell(sender[0], [receiver[-1]])

    def _tell(self, sender, receivers):
        news = sender.news()
        for receiver in receivers if news else ():
            receiver.receive(news)


@pytest.mark.parametrize(
    ('zones', 'gateways_per_zone', 'rate'),
    [(2, 2, 1.0), (3, 10, 3.0), (5, 14, 5.0), (5, 14, 40.0)],
)
def test_all_gateways_stop_deadly_requests_after_few_crashes(
    zones, gateways_per_zone, rate, time
):
    """Requests with a deadly part, no two alike, come at any gateway."""
    fleet = Fleet(zones, gateways_per_zone, time)
    rng = random.Random(7)
    running, crashes, arrivals = [], [], []
    numbers = itertools.count()
    until = time.now + 10.0
    while time.now < until:
        time.now += 0.01
        fleet.tell()
        while running and running[0][0] <= time.now:
            _, _, gateway, attempt = heapq.heappop(running)
            gateway.record_head(attempt)
            gateway.record_crash(attempt)
            gateway.untrack(attempt)
            crashes.append(time.now)
        if rng.random() < rate * 0.01:
            gateway = rng.choice(fleet.gateways)
            number = next(numbers)
            own = (f'first {number % 5}', 'deadly', f'own {number}')
            verdict = gateway.judge(own)
            if verdict is not Verdict.REJECT and not (
                verdict is Verdict.TRY_ALONE and gateway.is_trial_running(own)
            ):
                attempt = gateway.track(own, server(number))
                arrivals.append(time.now)
                heapq.heappush(
                    running,
                    (time.now + RUN_SECONDS, number, gateway, attempt),
                )
    bound = sorted(crashes)[:LEARNING_CRASHES][-1] + STABLE_SECONDS
    assert sum(at > bound for at in arrivals) <= LATE_REQUESTS
    assert all(
        gateway.judge(['deadly']) is Verdict.REJECT
        for gateway in fleet.gateways
    )


def test_a_gateway_that_nobody_tells_learns_from_its_own_crashes(
    suspects, time
):
    for number in range(3):
        crash(suspects, time, number, 'deadly', 'first')
    assert suspects.judge(['deadly', 'first']) is Verdict.REJECT


def test_a_gateway_that_starts_learns_from_neighbours_late(suspects, time):
    """Also when the crashes are older than those that are always told."""
    for number in range(3):
        crash(suspects, time, number, 'deadly')
    time.now += 5 * crash_suspects.NEWS_SECONDS
    started = crash_suspects.CrashSuspects(time)
    started.receive(suspects.news())
    assert started.judge(['deadly']) is Verdict.REJECT


def test_a_neighbour_that_missed_a_sound_run_is_told_again(suspects, time):
    late = crash_suspects.CrashSuspects(time)
    for number in range(3):
        crash(suspects, time, number, 'part')
    late.receive(suspects.news())
    run_well(suspects, time, 'part')
    time.now += 2 * crash_suspects.NEWS_SECONDS
    suspects.news()
    suspects.receive(late.news())
    late.receive(suspects.news())
    assert late.judge(['part']) is Verdict.SOUND


def test_odd_news_is_bounded_in_effect(suspects):
    suspects.receive(
        crash_suspects.CrashNews(
            [crash_suspects.Accusation('p', 'c', -5.0, -9.0, True)] * 3,
            {'q': -7.0},
        )
    )
    assert suspects.judge(['p']) is Verdict.ISOLATE
    assert suspects.judge(['q']) is Verdict.SOUND


class Registry:
    """A store of quarantine records that may be away."""

    def __init__(self):
        self.record_by_fingerprint = {}
        self.is_away = False

    def _failure(self):
        if self.is_away:
            return failures.Failure(
                failures.Reason.STORE_UNAVAILABLE, 'store.call'
            )
        return None

    def list(self):
        return self._failure() or list(self.record_by_fingerprint.values())

    def add(self, record):
        if not self.is_away:
            self.record_by_fingerprint[record.fingerprint] = record
        return self._failure()

    def remove(self, fingerprint):
        if not self.is_away:
            self.record_by_fingerprint.pop(fingerprint, None)
        return self._failure()


def test_a_quarantine_outlasts_all_gateways(suspects, time):
    registry = Registry()
    for number in range(3):
        crash(suspects, time, number, 'deadly')
    keeper = quarantine.QuarantineKeeper(suspects, registry, lambda: True)
    keeper.sync()
    started = crash_suspects.CrashSuspects(time)
    quarantine.QuarantineKeeper(started, registry, lambda: False).sync()
    assert started.judge(['deadly']) is Verdict.REJECT


def test_a_store_outage_delays_reading_and_writing_a_quarantine(
    suspects, time
):
    registry = Registry()
    keeper = quarantine.QuarantineKeeper(suspects, registry, lambda: True)
    keeper.sync()
    registry.is_away = True
    for number in range(3):
        crash(suspects, time, number, 'deadly')
    keeper.sync()
    assert suspects.judge(['deadly']) is Verdict.REJECT
    started = crash_suspects.CrashSuspects(time)
    started_keeper = quarantine.QuarantineKeeper(
        started, registry, lambda: False
    )
    started_keeper.sync()
    registry.is_away = False
    keeper.sync()
    started_keeper.sync()
    assert started.judge(['deadly']) is Verdict.REJECT


def test_a_quarantine_that_has_ended_is_removed(suspects):
    registry = Registry()
    registry.add(
        interfaces.QuarantineRecord(
            'old', ('a', 'b', 'c'), crash_suspects.ACCUSATION_TTL_SECONDS + 1
        )
    )
    keeper = quarantine.QuarantineKeeper(suspects, registry, lambda: True)
    keeper.sync()
    assert suspects.judge(['old']) is Verdict.SOUND
    assert registry.list() == []


@pytest.mark.parametrize('delays', [(0.05, 0.0), (0.0, 0.05), (0.001, 0.0)])
def test_gateways_agree_on_the_order_of_crashes(suspects, time, delays):
    """A retry is sent right after a crash, and each news takes its time."""
    hearing = crash_suspects.CrashSuspects(time)

    def tell(delay):
        news = suspects.news()
        time.now += delay
        hearing.receive(news)

    for number, delay in enumerate(delays):
        attempt = suspects.track(['deadly'], server(number))
        time.now += RUN_SECONDS
        suspects.record_crash(attempt)
        suspects.untrack(attempt)
        retry = suspects.track(['deadly'], server(number + 10))
        tell(delay)
        time.now += RUN_SECONDS
        suspects.record_crash(retry)
        suspects.untrack(retry)
        tell(0.0)
    tell(0.0)
    assert suspects.judge(['deadly']) is Verdict.REJECT
    assert hearing.count('deadly') == suspects.count('deadly') == 4
