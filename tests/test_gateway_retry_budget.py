"""Gateways share the retry budget, and together stay within it."""

import collections
import heapq
import itertools
import random

import msgspec
import pytest

from burdockmast.gateway import interfaces
from burdockmast.gateway import neighbours
from burdockmast.gateway import retries
from burdockmast.gateway import retry_counts

TICK_SECONDS = 0.05
WINDOW_SECONDS = 10.0
RATIO = 0.2
SLACK = 200
SERVICE = 'llm'
# Streams that look for another path in one tick, at a gateway in need.
STREAMS = 40
# Requests a second at each gateway.
REQUEST_RATE = 4
ZONES_BY_COUNT = {
    4: {'a': 2, 'b': 1, 'c': 1},
    26: {'a': 9, 'b': 9, 'c': 8},
    68: {'a': 13, 'b': 15, 'c': 15, 'd': 11, 'e': 14},
    240: {'a': 50, 'b': 50, 'c': 50, 'd': 50, 'e': 40},
}


class Fleet:
    """Gateways with budgets, whose messages take time, in virtual time."""

    def __init__(self, clock, count, seed=1, loss=0.0, rate=REQUEST_RATE):
        self.clock = clock
        self.rng = random.Random(seed)
        self.loss = loss
        self.rate = rate
        self.is_cut = lambda sender, receiver: False
        self.in_transit = []
        self.numbers = itertools.count()
        self.taken_at = []
        self.taken_by_name = collections.Counter()
        self.by_name = {}
        self.budget_by_name = {}
        self.records = [
            interfaces.GatewayRecord(f'{zone}-{n}', zone, f'{zone}-{n}:1')
            for zone, size in ZONES_BY_COUNT[count].items()
            for n in range(size)
        ]
        for record in self.records:
            self.start(record.name)
        self._let_time_pass()

    def _let_time_pass(self):
        """Let a window of requests pass, then tell of it."""
        for _ in range(round(WINDOW_SECONDS)):
            self.clock.now += 1.0
            for budget in self.budget_by_name.values():
                for _ in range(self.rate):
                    budget.deposit(SERVICE)
        self.run(2.0)

    def start(self, name):
        record = next(r for r in self.records if r.name == name)
        counts = retry_counts.CountTable(
            WINDOW_SECONDS, lambda: self.clock.now
        )
        created = neighbours.Neighbours(
            record, self.rng, lambda: self.clock.now, counts
        )
        created.set_registered(self.records)
        self.by_name[name] = created
        self.budget_by_name[name] = retries.Budget(
            RATIO,
            SLACK,
            WINDOW_SECONDS,
            lambda: self.clock.now,
            counts,
            self.rng,
        )
        self.budget_by_name[name].gateway_count = len(self.records)

    def stop(self, name):
        del self.by_name[name]
        del self.budget_by_name[name]

    def run(self, seconds, takers=(), new_requests=()):
        """Let streams of the takers ask for retries all the time."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.clock.now += TICK_SECONDS
            self._deliver()
            for name in list(self.by_name):
                if self.rng.random() < self.rate * TICK_SECONDS:
                    self.budget_by_name[name].deposit(SERVICE)
            for name in new_requests:
                self.take(name, has_begun=False)
            for name in takers:
                self.take(name, has_begun=True)
            for name in list(self.by_name):
                self._send(name)

    def take(self, name, has_begun):
        budget = self.budget_by_name[name]
        for _ in range(STREAMS):
            if not budget.withdraw(SERVICE, has_begun=has_begun):
                return
            self.taken_at.append(self.clock.now)
            self.taken_by_name[name] += 1

    def _send(self, name):
        due = self.by_name[name].due_messages(
            {}, own_counts=self.budget_by_name[name].counts
        )
        for address, message in due:
            receiver = address.partition(':')[0]
            if self.rng.random() < self.loss or self.is_cut(name, receiver):
                continue
            arrives_at = self.clock.now + self.rng.uniform(0.0, 0.1)
            heapq.heappush(
                self.in_transit,
                (arrives_at, next(self.numbers), receiver, message),
            )

    def _deliver(self):
        while self.in_transit and self.in_transit[0][0] <= self.clock.now:
            _, _, receiver, message = heapq.heappop(self.in_transit)
            if receiver in self.by_name:
                self.by_name[receiver].receive(message)

    def most_in_a_window(self):
        window = collections.deque()
        most = 0
        for time in self.taken_at:
            window.append(time)
            while window[0] <= time - WINDOW_SECONDS:
                window.popleft()
            most = max(most, len(window))
        return most

    @property
    def names(self):
        return [record.name for record in self.records]

    @property
    def allowed(self):
        requests = self.rate * WINDOW_SECONDS * len(self.records)
        return RATIO * requests + SLACK

    @property
    def fair_part(self):
        """What a gateway may take if nothing is shared."""
        requests = self.rate * WINDOW_SECONDS
        return (
            retries.SLACK_SHARE * SLACK / len(self.records)
            + retries.RATIO_SHARE * RATIO * requests
        )


@pytest.mark.parametrize('count', [4, 26, 68])
def test_one_gateway_in_need_uses_what_others_leave(clock, count):
    """A gateway that stops has few requests of its own, and many streams."""
    fleet = Fleet(clock, count)
    fleet.run(8.0, takers=['a-1'])
    shared = retries.SHARED_SHARE * fleet.fair_part * count
    assert fleet.taken_by_name['a-1'] >= fleet.fair_part + shared / 2
    assert fleet.most_in_a_window() <= fleet.allowed


@pytest.mark.parametrize('loss', [0.0, 0.3])
@pytest.mark.parametrize('rate', [0, REQUEST_RATE])
@pytest.mark.parametrize('count', [4, 26, 68])
def test_all_gateways_in_need_stay_within_the_budget(clock, count, rate, loss):
    fleet = Fleet(clock, count, loss=loss, rate=rate)
    fleet.run(12.0, takers=fleet.names, new_requests=fleet.names)
    assert fleet.most_in_a_window() <= fleet.allowed


def test_hundreds_in_need_at_once_stay_within_the_budget(clock):
    fleet = Fleet(clock, 240, rate=1)
    fleet.run(4.0, takers=fleet.names, new_requests=fleet.names)
    assert fleet.most_in_a_window() <= fleet.allowed


@pytest.mark.parametrize('count', [26, 68])
def test_gateways_that_come_into_need_in_turn_stay_within_it(clock, count):
    fleet = Fleet(clock, count)
    names = fleet.names
    fleet.rng.shuffle(names)
    for number in range(count):
        fleet.run(2 * TICK_SECONDS, takers=names[: number + 1])
    fleet.run(4.0, takers=names)
    assert fleet.most_in_a_window() <= fleet.allowed


@pytest.mark.parametrize('count', [4, 26, 68])
def test_all_in_need_use_most_of_what_they_may(clock, count):
    fleet = Fleet(clock, count)
    fleet.run(9.0, takers=fleet.names)
    assert len(fleet.taken_at) >= 0.8 * fleet.fair_part * count


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('count', [4, 26, 68])
def test_gateways_that_stop_and_start_again_stay_within_it(clock, count, seed):
    """What one took before it stopped counts for those that run."""
    fleet = Fleet(clock, count, seed)
    stopped = collections.deque()
    for name in fleet.rng.sample(fleet.names, min(12, count * 45 // 100)):
        fleet.run(1.3, takers=fleet.by_name)
        fleet.stop(name)
        stopped.append(name)
        if len(stopped) > 3:
            fleet.start(stopped.popleft())
    while stopped:
        fleet.run(1.3, takers=fleet.by_name)
        fleet.start(stopped.popleft())
    fleet.run(2.0, takers=fleet.by_name)
    assert fleet.most_in_a_window() <= fleet.allowed


@pytest.mark.parametrize('seed', range(3))
def test_gateways_that_no_longer_hear_each_other_stay_within_it(clock, seed):
    fleet = Fleet(clock, 26, seed)
    fleet.run(3.0, takers=['a-1', 'b-1'])
    fleet.is_cut = lambda sender, receiver: sender[0] != receiver[0]
    fleet.run(9.0, takers=fleet.names)
    fleet.is_cut = lambda sender, receiver: True
    fleet.run(9.0, takers=fleet.names)
    fleet.is_cut = lambda sender, receiver: False
    fleet.run(9.0, takers=fleet.names)
    assert fleet.most_in_a_window() <= fleet.allowed


def test_one_that_hears_nobody_has_its_fair_part(clock):
    fleet = Fleet(clock, 26)
    fleet.is_cut = lambda sender, receiver: True
    fleet.run(1.0, takers=['a-1'])
    expected = fleet.fair_part
    assert expected / 2 <= fleet.taken_by_name['a-1'] <= 2 * expected


def test_new_requests_use_no_shared_retries(clock):
    fleet = Fleet(clock, 4, rate=0)
    fleet.run(8.0, new_requests=['a-1'])
    own = retries.OWN_SHARE * fleet.fair_part
    assert fleet.taken_by_name['a-1'] <= own + 1


def test_messages_of_older_gateways_tell_no_counts():
    """Their part counts as used."""
    older = msgspec.msgpack.encode(['a-1', 'a', 'a-1:1', [['a-1', {}]]])
    message = msgspec.msgpack.decode(older, type=neighbours.Message)
    assert message.loads[0].counts.gateways == 0


def test_older_gateways_ignore_the_counts():
    class OlderLoad(msgspec.Struct, array_like=True):
        source: str
        load_by_server: dict[str, tuple[int, float]]

    counts = retry_counts.SourceCounts(
        1, {SERVICE: retry_counts.ServiceCounts(3, 2, 1)}
    )
    data = msgspec.msgpack.encode(neighbours.SourceLoad('a-1', {}, counts))
    assert msgspec.msgpack.decode(data, type=OlderLoad).source == 'a-1'


def test_retries_of_a_silent_source_count_for_a_window(clock):
    table = retry_counts.CountTable(WINDOW_SECONDS, lambda: clock.now)
    counts = retry_counts.ServiceCounts(30, 5, 1)
    table.update('a-1', retry_counts.SourceCounts(1, {SERVICE: counts}))
    clock.now += 2 * retry_counts.VALID_SECONDS
    found = table.sum(SERVICE)
    assert (found.gateways, found.counts.requests) == (0, 0)
    assert found.silent_retries == found.counts.shared_retries == 5
    clock.now += WINDOW_SECONDS
    assert table.sum(SERVICE).counts.shared_retries == 0


def test_retries_that_are_told_again_count_once(clock):
    table = retry_counts.CountTable(WINDOW_SECONDS, lambda: clock.now)
    for taken in (2, 5, 5, 0, 4):
        clock.now += 0.1
        counts = retry_counts.ServiceCounts(0, taken, 1)
        table.update('a-1', retry_counts.SourceCounts(1, {SERVICE: counts}))
    assert table.sum(SERVICE).counts.shared_retries == 5


def test_the_sum_is_not_made_for_each_request(clock, monkeypatch):
    table = retry_counts.CountTable(WINDOW_SECONDS, lambda: clock.now)
    made = []
    add_up = table._add_up
    monkeypatch.setattr(
        table, '_add_up', lambda s: made.append(s) or add_up(s)
    )
    for _ in range(1000):
        table.sum(SERVICE)
    assert len(made) == 1
