"""Retry budgets of gateways that share what the operator allows."""

import bisect
import random

import eventlet
import pytest

from burdockmast.base import failures
from burdockmast.base import metrics
from burdockmast.gateway import interfaces
from burdockmast.gateway import retries
from burdockmast.gateway import retry_allowance
from burdockmast.gateway import retry_slots

RATIO = 0.2
SLACK = 200
WINDOW_SECONDS = 10.0
SPLIT = retry_slots.Split.from_slack(SLACK)
# What all slots allow in a window.
ALL_SLOTS = SPLIT.slots * SPLIT.retries


class Clock:
    now = 1000.0

    def __call__(self):
        return self.now


class Slots:
    """The slots in a store that may be cut off, or restored from a copy."""

    def __init__(self, rng):
        self.rng = rng
        self.era = 1
        self.revision = 1
        self.records = {}
        self.listings = []
        self.delayed = []

    def restore(self, copy):
        self.era += 1
        self.records = dict(copy)
        self.listings.clear()

    def list(self, is_fresh):
        """Return what the store holds, or held some calls ago."""
        self.listings.append(dict(self.records))
        found = self.rng.choice(self.listings[-1 if is_fresh else -3 :])
        return interfaces.SlotListing(self.era, dict(found))

    def write(self, number, holder, era, before, unused_since=None, boot=''):
        current = self.records.get(number)
        if (before and before.revision) != (current and current.revision):
            return interfaces.SlotAnswer(current, self.era, False)
        self.revision += 1
        record = interfaces.SlotRecord(
            holder, era, self.revision, unused_since, boot
        )
        self.records[number] = record
        return interfaces.SlotAnswer(record, self.era, True)

    def write_late(self):
        """Execute writes whose answers were lost, if they still may be."""
        for arguments in self.delayed:
            self.write(*arguments)
        self.delayed.clear()


class Link:
    """A gateway's way to the store, which loses calls and answers."""

    def __init__(self, slots, boot):
        self.slots = slots
        self.boot = boot
        self.is_cut = False
        self.loss = 0.0
        self.meanwhile = lambda: None

    def list(self, is_fresh=False):
        return self._failure() if self.is_cut else self.slots.list(is_fresh)

    def write(self, number, holder, era, before, unused_since=None):
        arguments = (number, holder, era, before, unused_since, self.boot)
        eventlet.sleep(0)
        self.meanwhile()
        if self.is_cut:
            return self._failure()
        if self.slots.rng.random() < self.loss:
            if self.slots.rng.random() < 0.5:
                self.slots.delayed.append(arguments)
            else:
                self.slots.write(*arguments)
            return self._failure()
        return self.slots.write(*arguments)

    def _failure(self):
        return failures.Failure(failures.Reason.STORE_UNAVAILABLE, 'test')


class Gateway:
    """The budget of one gateway, whose process may start again."""

    def __init__(self, name, slots, clock, rng, loss=0.0):
        self.name = name
        self.link = Link(slots, f'boot of {name}')
        self.link.loss = loss
        self._clock = clock
        self._rng = rng
        self.is_suspended = False
        self.start()

    def start(self):
        self.link.is_cut = False
        self.budget = retries.Budget(RATIO, SPLIT, WINDOW_SECONDS, self._clock)
        self.allowance = retry_allowance.RetryAllowance(
            self.name,
            self.budget,
            retry_slots.SlotTable(
                self.name, SPLIT, WINDOW_SECONDS, self.link.boot, self._clock
            ),
            self.link,
            lambda: True,
            metrics.Metrics(),
            self._rng,
            self._clock,
        )
        self.allowance.gateway_count = 1

    def withdraw(self, has_begun=True):
        return self.allowance.withdraw('app', has_begun, 1.0)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def rng():
    return random.Random(1)


@pytest.fixture
def slots(rng):
    return Slots(rng)


def take_all(gateway, has_begun=True):
    count = 0
    while gateway.withdraw(has_begun):
        count += 1
    return count


def most_in_a_window(times):
    times = sorted(times)
    return max(
        bisect.bisect_right(times, end)
        - bisect.bisect_right(times, end - WINDOW_SECONDS)
        for end in times
    )


@pytest.mark.parametrize('slack', [0, 0.9, 1, 7, 40, 196, 200, 236, 320, 5000])
def test_slots_add_up_to_nearly_the_slack(slack):
    split = retry_slots.Split.from_slack(slack)
    assert split.slots * split.retries <= slack
    if slack > 1:
        assert split.slots * split.retries >= 0.85 * slack


def test_own_requests_allow_retries_without_the_store(slots, clock, rng):
    gateway = Gateway('a:1', slots, clock, rng)
    gateway.link.is_cut = True
    for _ in range(100):
        gateway.allowance.deposit('app')
    assert 0.7 * RATIO * 100 <= take_all(gateway) <= RATIO * 100


def test_many_gateways_with_few_requests_do_not_round_up(slots, clock, rng):
    """Each used to take one retry for a part of one."""
    gateways = [Gateway(f'{n}:1', slots, clock, rng) for n in range(400)]
    taken = 0
    for gateway in gateways:
        gateway.allowance.deposit('app')
        taken += take_all(gateway)
    assert taken <= RATIO * len(gateways) + SLACK


@pytest.mark.parametrize('count', [1, 6, 26, 300])
def test_gateways_together_use_the_slack_and_no_more(slots, clock, rng, count):
    gateways = [Gateway(f'{n}:1', slots, clock, rng) for n in range(count)]
    taken = sum(take_all(gateway) for gateway in gateways)
    assert 0.9 * SLACK <= taken <= SLACK


def test_a_gateway_leaves_slots_to_the_others(slots, clock, rng):
    first, second = (Gateway(f'{n}:1', slots, clock, rng) for n in range(2))
    first.allowance.gateway_count = 10
    assert take_all(first) <= 0.25 * SLACK
    assert second.withdraw()


def test_retries_are_allowed_again_after_the_window(slots, clock, rng):
    gateway = Gateway('a:1', slots, clock, rng)
    assert take_all(gateway)
    clock.now += WINDOW_SECONDS + retry_slots.SEND_SECONDS + 0.1
    assert take_all(gateway)


def test_retries_of_new_requests_leave_some_to_streams_that_have_begun(
    slots, clock, rng
):
    """A stream that is cut costs its caller more than a refusal."""
    gateway = Gateway('a:1', slots, clock, rng)
    taken = take_all(gateway, has_begun=False)
    left = take_all(gateway)
    assert taken + left <= SLACK
    assert left >= 0.2 * (taken + left)


def test_retries_of_begun_streams_and_new_requests_stay_within_one_budget(
    slots, clock, rng
):
    gateway = Gateway('a:1', slots, clock, rng)
    for _ in range(100):
        gateway.allowance.deposit('app')
    taken = 0
    for number in range(1000):
        taken += gateway.withdraw(has_begun=number % 2 == 0) is not None
    assert 0 < taken <= RATIO * 100 + SLACK
    assert not gateway.withdraw()


def test_a_gateway_that_starts_again_does_not_spend_again(slots, clock, rng):
    """A budget used to begin with a whole share at each start."""
    gateway = Gateway('a:1', slots, clock, rng)
    taken = 0
    for _ in range(5):
        taken += take_all(gateway)
        clock.now += 1.5
        gateway.start()
    assert taken <= ALL_SLOTS


def test_gateways_that_start_again_and_again_use_the_slack(slots, clock, rng):
    """Each start used to lock the slots of the one before for a window."""
    gateways = [Gateway(f'{n}:1', slots, clock, rng) for n in range(6)]
    times = []
    for _ in range(40):
        clock.now += 1.0
        for gateway in gateways:
            gateway.allowance.sync()
            times += [clock.now] * take_all(gateway)
            if rng.random() < 0.3:
                gateway.start()
                gateway.allowance.sync()
    assert most_in_a_window(times) <= ALL_SLOTS
    assert len(times) >= 0.5 * ALL_SLOTS * 40 / WINDOW_SECONDS


def test_slots_of_another_boot_are_not_taken_for_unused(slots, clock, rng):
    """The seconds of its machine say nothing to this one."""
    gateway = Gateway('a:1', slots, clock, rng)
    take_all(gateway)
    gateway.start()
    gateway.allowance.sync()
    clock.now += WINDOW_SECONDS + 1.0
    gateway.link.boot = 'another'
    gateway.start()
    assert not take_all(gateway)


def test_gateways_that_start_later_find_no_slack_that_is_spent(
    slots, clock, rng
):
    """The first used to count itself alone and take all."""
    taken = 0
    for number in range(8):
        taken += take_all(Gateway(f'{number}:1', slots, clock, rng))
        clock.now += 1.0
    assert taken <= ALL_SLOTS


def test_a_wrong_count_of_gateways_adds_no_retry(slots, clock, rng):
    """A gateway that found itself alone in the list used to take all."""
    gateways = [Gateway(f'{n}:1', slots, clock, rng) for n in range(6)]
    taken = 0
    for gateway in gateways:
        gateway.allowance.gateway_count = 6
        taken += take_all(gateway)
    for gateway in gateways:
        gateway.allowance.gateway_count = 1
        taken += take_all(gateway)
    assert taken <= ALL_SLOTS


def test_a_gateway_that_is_cut_off_stops_before_another_takes_over(
    slots, clock, rng
):
    cut_off, other = (Gateway(f'{n}:1', slots, clock, rng) for n in range(2))
    times = [clock.now] * take_all(cut_off)
    cut_off.link.is_cut = True
    for _ in range(600):
        clock.now += 0.1
        other.allowance.sync()
        for gateway in (cut_off, other):
            times += [clock.now] * take_all(gateway)
    assert most_in_a_window(times) <= ALL_SLOTS


def test_no_slot_is_free_that_a_restored_store_does_not_know_as_taken(
    slots, clock, rng
):
    """A cut-off gateway has lost its slots, and finds them as its own."""
    cut_off, other, fresh = (
        Gateway(f'{n}:1', slots, clock, rng) for n in range(3)
    )
    cut_off.allowance.gateway_count = 10
    assert take_all(cut_off)
    copy = dict(slots.records)
    cut_off.link.is_cut = True
    for _ in range(40):
        clock.now += 1.0
        other.allowance.sync()
    assert take_all(other) >= 0.9 * SLACK
    slots.restore(copy)
    cut_off.link.is_cut = False
    cut_off.allowance.sync()
    assert not take_all(fresh)
    cut_off.start()
    assert not take_all(cut_off)


def test_a_retry_is_not_sent_long_after_it_was_allowed(slots, clock, rng):
    permit = Gateway('a:1', slots, clock, rng).withdraw()
    assert permit.send_before == clock.now + retry_slots.SEND_SECONDS


def test_slots_of_gateways_that_are_gone_come_back(slots, clock, rng):
    take_all(Gateway('a:1', slots, clock, rng))
    other = Gateway('b:1', slots, clock, rng)
    for _ in range(120):
        clock.now += 1.0
        other.allowance.sync()
    assert take_all(Gateway('c:1', slots, clock, rng)) >= 0.9 * SLACK


def test_no_slot_is_released_that_was_used_while_others_were(
    slots, clock, rng
):
    """Other requests go on during the writes to the store."""
    gateway, other = (Gateway(f'{n}:1', slots, clock, rng) for n in range(2))
    taken = take_all(gateway)
    clock.now += WINDOW_SECONDS + retry_slots.SEND_SECONDS + 0.1
    again = []

    def use():
        gateway.link.meanwhile = lambda: None
        while gateway.budget.withdraw('app', has_begun=True):
            again.append(1)

    gateway.link.meanwhile = use
    gateway.allowance.sync()
    assert again
    assert len(again) + take_all(other) + take_all(gateway) <= taken


def test_calm_gateways_make_no_writes_for_retries(slots, clock, rng):
    gateway = Gateway('a:1', slots, clock, rng)
    for _ in range(60):
        clock.now += 1.0
        gateway.allowance.sync()
    assert not slots.records


@pytest.mark.parametrize('seed', range(60))
def test_any_disruptions_leave_the_sum_within_the_slack(seed, clock):
    """Kills, stops, suspensions, cuts, lost answers, restores of the store."""
    rng = random.Random(seed)
    slots = Slots(rng)
    loss = rng.choice((0.0, 0.1, 0.4))
    count = rng.choice((2, 6, 20))
    gateways = [
        Gateway(f'{n}:1', slots, clock, rng, loss) for n in range(count)
    ]
    times = []
    copy = {}
    for _ in range(900):
        clock.now += rng.uniform(0.0, 0.4)
        strike(rng, gateways, slots, clock, loss)
        match rng.randrange(60):
            case 0:
                copy = dict(slots.records)
            case 1 if rng.random() < 0.3:
                slots.restore(copy)
            case 2:
                slots.write_late()
        for gateway in rng.sample(gateways, min(3, len(gateways))):
            if gateway.is_suspended:
                continue
            gateway.allowance.gateway_count = rng.choice((1, count))
            gateway.allowance.sync()
            for _ in range(rng.choice((0, 1, 5, 50))):
                if gateway.withdraw():
                    delay = rng.uniform(0.0, retry_slots.SEND_SECONDS)
                    times.append(clock.now + delay)
        eventlet.sleep(0)
    assert most_in_a_window(times) <= ALL_SLOTS
    assert len(times) > SLACK


def strike(rng, gateways, slots, clock, loss):
    gateway = rng.choice(gateways)
    match rng.randrange(40):
        case 0:
            gateway.start()
        case 1 | 2:
            gateway.is_suspended = not gateway.is_suspended
        case 3 | 4:
            gateway.link.is_cut = not gateway.link.is_cut
        case 5:
            gateway.allowance.release_unused()
            gateway.start()
        case 6 if len(gateways) < 40:
            name = f'{len(gateways)}:1'
            gateways.append(Gateway(name, slots, clock, rng, loss))
        case 7:
            clock.now += rng.uniform(5.0, 40.0)
