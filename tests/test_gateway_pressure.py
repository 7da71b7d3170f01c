"""Priorities that compete for too little memory of model servers.

Many gateways decide on their own, in virtual time and without a network.
"""

import dataclasses
import time
import types

import eventlet
import msgspec
import pytest
import test_gateway_links as fleet
import test_gateway_paths as fleets

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import metrics
from burdockmast.gateway import config
from burdockmast.gateway import jobs
from burdockmast.gateway import neighbours
from burdockmast.gateway.admission import policy
from burdockmast.gateway.admission import pressure
from burdockmast.limits import queues
from burdockmast.model import play
from burdockmast.model import sites
from burdockmast.platform import configuration

ZONE = ids.ZoneId('a')
SERVICE = ids.ServiceId('draft')
THREE = policy.Policy((0, 3, 7), True, True)
# Callers of three priorities, each with its objective for the first event.
CLASSES = (
    play.CallerClass(0, 0.3, 0.5),
    play.CallerClass(3, 0.35, 0.6),
    play.CallerClass(7, 0.35, 1.2),
)
# Memory for fewer requests than come in a burst.
SITE = dataclasses.replace(
    sites.DOZENS,
    engine=dataclasses.replace(
        sites.DOZENS.engine, cache_bytes_per_token=2000000
    ),
    servers={ZONE: sites.DOZENS.servers[ZONE]},
    gateways={ZONE: 25},
)


def burst(seed, admission, hears_neighbours=True, classes=CLASSES):
    load = play.Load(
        {ZONE: sites.DOZENS_RATES[ZONE] * 1.7},
        seconds=4.0,
        prompt_tokens=772,
        answer_tokens=141,
        first_event_seconds=0.6,
        pause_seconds=0.3,
        classes=classes,
    )
    return play.Play(SITE, load, seed, hears_neighbours, admission).run()


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_the_most_urgent_are_served_first_in_a_burst(seed):
    """Guards against priorities that hold at each gateway on its own only."""
    without, with_it = burst(seed, policy.OFF), burst(seed, THREE)
    shares = [with_it.share_in_time_of(c.priority) for c in CLASSES]
    assert shares[0] == max(shares)
    assert shares[0] >= without.share_in_time_of(0) + 0.1
    assert shares[-1] >= 0.5 * without.share_in_time_of(7)
    assert with_it.share_in_time >= without.share_in_time - 0.05


def test_the_least_urgent_are_served_in_a_long_overload():
    """Guards against starving a priority that is a small part of the load."""
    classes = (play.CallerClass(0, 0.9, 0.5), play.CallerClass(7, 0.1, 1.2))
    outcome = burst(1, THREE, classes=classes)
    assert outcome.ends[0, play.End.REFUSED] > 0
    assert 0 < outcome.share_in_time_of(7) <= outcome.share_in_time_of(0)


def test_gateways_that_hear_nobody_hold_back_no_request():
    outcome = burst(1, THREE, hears_neighbours=False)
    assert outcome.refused == 0


class Gateways:
    """Gateways whose news arrives at once, or not at all."""

    def __init__(self, clock, *zones, admission=THREE):
        self.clock = clock
        self.zones = zones
        self.all = [
            pressure.Pressure(lambda _: admission, zone, lambda: clock.now)
            for zone in zones
        ]

    def exchange(self, senders=None):
        """Let gateways tell their neighbours, and the first other zones."""
        for number, sender in enumerate(self.all):
            if senders is not None and number not in senders:
                continue
            zone = self.zones[number]
            is_first = self.zones.index(zone) == number
            local = _sent(sender.news(False))
            remote = _sent(sender.news(True)) if is_first else []
            for other, receiver in enumerate(self.all):
                is_neighbour = self.zones[other] == zone
                if receiver is not sender and (is_neighbour or is_first):
                    news = local if is_neighbour else remote
                    receiver.receive(news, f'gateway-{number}', is_neighbour)

    def run(self, seconds, senders=None):
        for _ in range(round(seconds / 0.1)):
            self.clock.now += 0.1
            self.exchange(senders)

    def shares(self, number):
        return [self.all[number].share(SERVICE, p) for p in THREE.priorities]


def _sent(news):
    """Return news as it arrives, and check that there is little of it."""
    data = msgspec.msgpack.encode(news)
    assert len(data) <= 40 * pressure.MAX_PRIORITIES
    return msgspec.msgpack.decode(data, type=list[pressure.PressureNews])


def test_all_gateways_hold_back_for_the_highest_and_let_go_again(clock):
    """Guards against decisions from a gateway's own queue alone."""
    gateways = Gateways(clock, 'a', 'a', 'b', 'b')
    held = pressure.HELD_SHARE
    with gateways.all[1].waiting(SERVICE, 0):
        gateways.run(1.0)
        assert gateways.shares(3) == [1.0, held, held]
        with gateways.all[0].waiting(SERVICE, 3):
            gateways.run(1.0)
            for number in range(4):
                shares = gateways.shares(number)
                assert shares == pytest.approx([1.0, held, held**2])
    gateways.run(0.2)
    assert held <= gateways.shares(3)[1] < 1.0
    gateways.run(3 * pressure.RISE_SECONDS)
    assert [gateways.shares(n) for n in range(4)] == [[1.0] * 3] * 4


def test_expired_news_holds_back_nobody(clock):
    """Guards against a gateway that is lost while its requests wait."""
    gateways = Gateways(clock, 'a', 'a', 'b')
    with gateways.all[1].waiting(SERVICE, 0):
        gateways.run(1.0)
        assert gateways.shares(2)[2] < 1.0
        clock.now += pressure.RECENT_SECONDS
        gateways.shares(2)
        gateways.run(2 * pressure.RISE_SECONDS, senders={0, 2})
        assert gateways.shares(0)[2] == gateways.shares(2)[2] == 1.0


def test_relayed_news_keeps_its_age(clock):
    """Guards against zones that keep up each other's news for ever."""
    gateways = Gateways(clock, 'a', 'b', 'b')
    gateways.all[0].record_refusal(SERVICE, 0)
    (told,) = gateways.all[0].news(True)
    gateways.all[1].receive([told], 'gateway-0', False)
    clock.now += 0.4
    (relayed,) = gateways.all[1].news(False)
    assert relayed.age == pytest.approx(0.4)
    assert gateways.all[1].news(False) == []
    assert gateways.all[2].news(True) == []


def test_a_new_gateway_holds_back_no_request_until_it_hears_others(clock):
    gateways = Gateways(clock, 'a', 'a')
    gateways.all[0].record_refusal(SERVICE, 0)
    assert gateways.shares(1) == [1.0] * 3
    gateways.run(0.5)
    assert gateways.shares(1)[1] < 1.0


def test_one_refusal_among_many_requests_holds_back_nobody(clock):
    gateways = Gateways(clock, 'a', 'a')
    for _ in range(40):
        gateways.all[0].record_admission(SERVICE, 0)
    gateways.all[0].record_refusal(SERVICE, 0)
    gateways.run(0.5)
    assert gateways.shares(1) == [1.0] * 3


def test_nothing_changes_with_one_priority(clock):
    one = policy.Policy((0,), False, True)
    gateways = Gateways(clock, 'a', 'a', admission=one)
    with gateways.all[0].waiting(SERVICE, 0):
        gateways.run(1.0)
        assert gateways.all[0].news(False) == []
        assert gateways.all[1].share(SERVICE, 0) == 1.0
        assert not gateways.all[1].has_turn(SERVICE, 0)


def test_a_lower_priority_keeps_a_tenth_of_the_admissions(clock):
    """Guards against starvation while the highest waits all the time."""
    gateways = Gateways(clock, 'a', 'a')
    first, second = gateways.all
    turns = 0
    for number in range(200):
        clock.now += 0.05
        first.record_admission(SERVICE, 0)
        for _ in range(number % 2):
            first.record_refusal(SERVICE, 0)
            gateways.exchange()
        second.record_refusal(SERVICE, 7)
        assert not first.has_turn(SERVICE, 0)
        if second.has_turn(SERVICE, 7):
            assert second.share(SERVICE, 7) == 1.0
            second.record_admission(SERVICE, 7)
            turns += 1
    assert 16 <= turns <= 20
    assert second.share(SERVICE, 7) == pressure.HELD_SHARE


def test_malformed_news_is_ignored(clock):
    gateways = Gateways(clock, 'a', 'a')
    numbers = [(-1, 0, 0, 0.0), (1, 0, 0, -1.0), (1, 0, 0, float('nan'))]
    news = [pressure.PressureNews('', SERVICE, 0, *n) for n in numbers]
    unknown = pressure.PressureNews('', 'other', 0, 1, 0, 0, 0.0)
    gateways.all[0].receive([*news, unknown], 'gateway-1', True)
    clock.now += 1.0
    assert gateways.shares(0) == [1.0] * 3


def test_messages_without_the_field_still_decode():
    old = msgspec.msgpack.encode(['g', 'b', 'g:1', [], None, [None, [], []]])
    decoded = msgspec.msgpack.decode(old, type=neighbours.Message)
    assert decoded.learned.pressure == []


def test_shares_are_exported_by_priority(clock):
    gateways = Gateways(clock, 'a')
    measures = metrics.Metrics()
    measures.gauges('admission.share', 'priority', gateways.all[0].shares)
    gateways.all[0].record_refusal(SERVICE, 0)
    clock.now += 1.0
    (family,) = measures.families()
    found = {s.labels['priority']: s.value for s in family.samples}
    held = pressure.HELD_SHARE
    assert found == {'0': 1.0, '3': held, '7': held}


def wait_in(queue, names_and_priorities, in_time_until=float('inf')):
    waiters = [
        queues.Waiter(name, -priority, 1.0, in_time_until)
        for name, priority in names_and_priorities
    ]
    for waiter in waiters:
        assert queue.enter(waiter, 5.0) is None
    return waiters


def names(waiters):
    return [waiter.organisation for waiter in waiters]


def nobody(priority):
    return False


def test_turns_go_by_priority_and_past_those_that_have_tried():
    """Guards against a request that fits nowhere and holds up all others."""
    queue = queues.FairQueue(100)
    wait_in(queue, [('low', 7), ('high', 0), ('mid', 3)])
    assert names(queue.take_turns(2, nobody)) == ['high', 'mid']
    assert names(queue.take_turns(2, nobody)) == ['low']
    assert names(queue.take_turns(1, nobody)) == ['high']
    queue.begin_round()
    assert names(queue.take_turns(2, nobody)) == ['high', 'mid']


def test_only_the_next_request_of_a_priority_goes_first():
    queue = queues.FairQueue(100)
    wait_in(queue, [('high', 0), ('low', 7), ('low2', 7)])
    turns = queue.take_turns(3, lambda priority: priority == -7)
    assert names(turns) == ['low', 'high', 'low2']


def test_a_woken_request_that_finds_no_path_keeps_its_place():
    queue = queues.FairQueue(100)
    first, second = wait_in(queue, [('one', 3), ('one', 3)])
    queue.wake_in_turn(1)
    assert queue.wait_for_turn(first, 1.0) is None
    queue.begin_round()
    assert queue.take_turns(1, nobody) == [first]
    queue.leave(first)
    assert queue.take_turns(1, nobody) == [second]


def test_a_request_that_is_dropped_after_its_turn_is_refused():
    """Guards against an event that is sent twice."""
    queue = queues.FairQueue(1)
    (first,) = wait_in(queue, [('low', 7)])
    queue.wake_in_turn(1)
    wait_in(queue, [('high', 0)])
    refusal = queue.wait_for_turn(first, 1.0) or queue.wait_for_turn(
        first, 1.0
    )
    assert refusal.reason is failures.Reason.OVERLOADED


def test_a_request_that_is_woken_as_its_time_ends_takes_its_turn():
    queue = queues.FairQueue(100)
    (waiter,) = wait_in(queue, [('one', 3)])
    waiting = eventlet.spawn(queue.wait_for_turn, waiter, 0.01)
    eventlet.sleep(0)
    # The time ends while no other task runs, as in a suspended process.
    time.sleep(0.02)
    queue.wake_in_turn(1)
    assert waiting.wait() is None


def test_newcomers_go_behind_those_that_can_be_in_time(clock):
    queue = queues.FairQueue(100)
    new = queues.Waiter('new', -3, 1.0, clock.now + 2.0)
    assert queue.is_next(new)
    wait_in(queue, [('old', 3)], in_time_until=clock.now + 1.0)
    assert not queue.is_next(new)
    clock.now += 1.5
    assert queue.is_next(new)
    wait_in(queue, [('high', 0)], in_time_until=clock.now)
    assert not queue.is_next(new)


# A server holds all layers and has memory for some thirty requests.
ENGINE = dataclasses.replace(fleets.ENGINE, layer_mb=100.0)


def job_of(priority, clock):
    job = fleet.job(ENGINE)
    route = types.SimpleNamespace(objective_seconds=0.6)
    for name, value in {
        'priority': priority,
        'route': route,
        'organisation': ids.OrganisationId('o'),
        'arrived_at': clock.now,
        'deadline': clock.now + 10.0,
    }.items():
        object.__setattr__(job, name, value)
    return job


@pytest.fixture
def selector(clock, monkeypatch):
    """A selector of one server, informed of the others' load."""
    servers = [fleets.server('whole', 'a', held=(0, 80))]
    created = fleet.selector(servers, 'a', 1)
    created._pressure = pressure.Pressure(
        lambda _: THREE, ZONE, lambda: clock.now
    )
    monkeypatch.setattr(neighbours.Neighbours, 'is_informed', True)
    monkeypatch.setattr(created, '_log_refusal', lambda *_: None)
    monkeypatch.setattr(jobs.Job, 'id', ids.RequestId('r'))
    return created


def fill(selector, clock):
    """Reserve all room; return what was reserved."""
    job = job_of(0, clock)
    found = []
    while path := selector.find_path(job, ()):
        selector.reserve(job, path)
        found.append((job, path))
    return found


def test_room_goes_to_the_higher_priority_that_waits(selector, clock):
    """Guards against newcomers that take it before a waiting one is woken."""
    taken = fill(selector, clock)
    order = []

    def wait(name, priority):
        job = job_of(priority, clock)
        path = selector.wait_for_path(job, (), False)
        if not isinstance(path, failures.Failure):
            selector.reserve(job, path)
            order.append(name)

    tasks = [eventlet.spawn(wait, 'first', 3)]
    eventlet.sleep(0)
    tasks.append(eventlet.spawn(wait, 'urgent', 0))
    eventlet.sleep(0)
    job, path = taken.pop()
    selector._usage.release(path, selector._reserved_tokens(job))
    # Room has come free, and nobody was woken yet.
    tasks.append(eventlet.spawn(wait, 'new', 7))
    eventlet.sleep(0)
    assert order == []
    for _ in range(3):
        selector.release(*taken.pop())
        eventlet.sleep(0)
        eventlet.sleep(0)
    for task in tasks:
        task.kill()
    assert order[:2] == ['urgent', 'first']


def test_begun_answers_are_never_held_back(selector, clock):
    taken = fill(selector, clock)
    selector.release(*taken.pop())
    assert selector.find_path(job_of(7, clock), ())
    selector._pressure.record_refusal(SERVICE, 0)
    clock.now += 1.0
    assert not selector.find_path(job_of(7, clock), ())
    assert selector.find_path(job_of(7, clock), (), has_begun=True)
    assert selector.find_path(job_of(0, clock), ())


def test_an_ended_wait_is_no_longer_counted(selector, clock):
    fill(selector, clock)
    job = job_of(0, clock)
    task = eventlet.spawn(selector.wait_for_path, job, (), False)
    eventlet.sleep(0)
    assert selector._pressure.news(False)[0].waiting == 1
    task.kill()
    assert selector._pressure.news(False) == []
    assert not len(selector.queue_of(SERVICE))


def decode(routes, tenants=None, **engine):
    spec = {
        'version': 1,
        'routes': [
            {
                'name': str(number),
                'host': 'h',
                'path-prefix': f'/{number}/',
                'kind': kind,
                'priority': priority,
                'service': 'draft',
            }
            for number, (kind, priority) in enumerate(routes)
        ],
        'services': [{'name': 'draft', 'engine': {'layers': 8, **engine}}],
    }
    if tenants is not None:
        spec['tenants'] = [
            {'name': f't{n}', 'api-keys': [f'k{n}'], 'priority': priority}
            for n, priority in enumerate(tenants)
        ]
    return configuration.decode('main', spec)


STREAM, CALL = 'streaming', 'safe'


def delays(*milliseconds):
    return [{'from': 'a', 'to': 'b', 'delay_ms': ms} for ms in milliseconds]


@pytest.mark.parametrize(
    ('given', 'engine', 'has_priorities', 'is_contended'),
    [
        (([(STREAM, 0), (STREAM, 0)],), {}, False, False),
        (([(STREAM, 0), (STREAM, 3)],), {}, True, True),
        (([(STREAM, 0), (CALL, 3)],), {}, False, False),
        (([(STREAM, 2)], [None, 0]), {}, False, False),
        (([(STREAM, 2), (STREAM, 1)], [None, 0]), {}, True, True),
        (([(STREAM, 2), (STREAM, 1)], [5]), {}, False, False),
        (([(STREAM, 0)],), {'step_ms': 2, 'delays': delays(1)}, False, False),
        (
            ([(STREAM, 0)],),
            {'step_ms': 2, 'delays': delays(0.2, 1.1)},
            False,
            True,
        ),
    ],
)
def test_a_policy_follows_from_the_configuration(
    given, engine, has_priorities, is_contended
):
    """Guards against a change for deployments that don't call for it."""
    found = policy.Policy.from_config(decode(*given, **engine), SERVICE)
    assert found.has_priorities is has_priorities
    assert found.is_contended is is_contended


def test_plain_and_unknown_services_have_no_admission_control():
    plain = config.Service(ids.ServiceId('plain'), None)
    given = decode([(STREAM, 0), (STREAM, 3)])
    given.service_by_id[plain.id] = plain
    assert policy.policy_by_service(given)[plain.id] is policy.OFF
    assert policy.Policy.from_config(given, 'other') is policy.OFF
