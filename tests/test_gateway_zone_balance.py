"""Requests leave their zone as far as it pays, and delay no other answers."""

import collections
import dataclasses
import itertools
import random

import msgspec
import pytest
import test_gateway_links as fleet
import test_gateway_paths as fleets

from burdockmast.base import metrics
from burdockmast.base import timers
from burdockmast.gateway import interfaces
from burdockmast.gateway import links
from burdockmast.gateway import neighbours
from burdockmast.gateway import path_selector
from burdockmast.gateway import paths
from burdockmast.gateway.balance import demand
from burdockmast.gateway.balance import link_budget
from burdockmast.gateway.balance import zone_balance
from burdockmast.gateway.balance import zone_load
from burdockmast.gateway.balance import zone_shares
from burdockmast.model import play
from burdockmast.model import sites
from burdockmast.platform import configuration

# A prompt of 25 MB occupies a link of 5,500 Mbit/s for 36 ms.
SLOW_HOPS = dataclasses.replace(
    fleets.ENGINE,
    activation_bytes_per_token=25e6 / fleets.ENGINE.mean_prompt_tokens,
    zone_link_mbps=5500,
    zone_delay_ms=2.0,
)
PAUSE_SECONDS = 0.25
BOUND = link_budget.Bound.from_config(SLOW_HOPS, PAUSE_SECONDS)
LINK = ('a', 'b')
SECONDS = 8.0
TICK_SECONDS = 0.01
MAX_QUEUE_SECONDS = path_selector.MAX_QUEUE_SECONDS


class Senders:
    """Gateways that want to send prompts over one link, in virtual time."""

    def __init__(self, clock, counts, loss=0.01, seed=1):
        self.clock = clock
        self.rng = random.Random(seed)
        self.loss = loss
        self.demands = [
            demand.Demand(f'{zone}-{n}', zone, lambda: clock.now)
            for zone, count in counts.items()
            for n in range(count)
        ]
        self.budgets = [
            link_budget.LinkBudget(known, self.rng, lambda: clock.now)
            for known in self.demands
        ]
        for budget in self.budgets:
            budget.gateway_count = len(self.budgets)
        self.backlog = 0.0
        self.backlogs = []
        self.sent_by_gateway = [0] * len(self.budgets)

    def run(self, seconds, rates, is_heard=True):
        """Let each gateway send prompts at its rate, or queue them."""
        queues = [collections.deque() for _ in rates]
        for tick in range(round(seconds / TICK_SECONDS)):
            self.clock.now += TICK_SECONDS
            self.backlog = max(0.0, self.backlog - TICK_SECONDS)
            for index, queue in enumerate(queues):
                arrives = self.rng.random() < rates[index] * TICK_SECONDS
                if arrives:
                    queue.append(self.clock.now)
                is_turn = (tick + index) % 10 == 0
                if queue and (arrives or is_turn):
                    self._try_to_send(index, queue)
                if is_heard and is_turn:
                    self._tell_others(index)
            self.backlogs.append(self.backlog)

    def _try_to_send(self, index, queue):
        while queue and queue[0] < self.clock.now - MAX_QUEUE_SECONDS:
            queue.popleft()
        while queue:
            self.demands[index].record_prompt(
                'draft', [LINK], BOUND.prompt_seconds
            )
            budget = self.budgets[index]
            if not budget.may_send(LINK, BOUND):
                return
            queue.popleft()
            budget.record_prompt(LINK, BOUND.prompt_seconds, BOUND)
            self.backlog += BOUND.prompt_seconds
            self.sent_by_gateway[index] += 1

    def _tell_others(self, index):
        news = self.demands[index].news()
        for other in self.demands:
            if self.rng.random() >= self.loss:
                other.receive(news)

    def share_beyond(self, seconds):
        return sum(b > seconds for b in self.backlogs) / len(self.backlogs)


@pytest.mark.parametrize('counts', [{'a': 2}, {'a': 8, 'b': 8}, {'a': 20}])
def test_tokens_rarely_wait_behind_more_prompts_than_the_objective_allows(
    clock, counts
):
    """Gateways that guess what others send fill a link up to 0.7 s."""
    senders = Senders(clock, counts)
    rates = [40 / len(senders.budgets)] * len(senders.budgets)
    senders.run(SECONDS, rates)
    assert senders.share_beyond(PAUSE_SECONDS) <= 0.01
    assert senders.share_beyond(BOUND.backlog_seconds) <= 0.05
    carried = sum(senders.sent_by_gateway) * BOUND.prompt_seconds / SECONDS
    assert carried >= 0.7 * BOUND.link_share


def test_the_gateways_that_have_the_demand_get_the_rate(clock):
    """An even division would leave most of the link unused."""
    senders = Senders(clock, {'a': 12, 'b': 12})
    senders.run(20.0, [20.0, 20.0] + [0.0] * 22)
    carried = sum(senders.sent_by_gateway) * BOUND.prompt_seconds / 20.0
    assert 0.7 * BOUND.link_share <= carried <= BOUND.link_share * 1.1


@pytest.mark.parametrize('wait_seconds', [0.0, 20.0])
def test_a_gateway_alone_sends_no_more_than_an_even_part(clock, wait_seconds):
    """It can't know what the others send while it hears none of them."""
    senders = Senders(clock, {'a': 10})
    if wait_seconds:
        senders.run(2.0, [5.0] * 10)
        clock.now += wait_seconds
    before = senders.sent_by_gateway[0]
    senders.run(20.0, [20.0] + [0.0] * 9, is_heard=False)
    seconds = (senders.sent_by_gateway[0] - before) * BOUND.prompt_seconds
    assert 0 < seconds <= 20.0 * BOUND.link_share / 10 + 0.1


def test_a_silent_zone_keeps_its_part_of_a_link_for_a_while(clock):
    """It may be cut off from this gateway alone, and still send."""
    known = demand.Demand('a-0', 'a', lambda: clock.now)
    budget = link_budget.LinkBudget(known, random.Random(1), lambda: clock.now)
    budget.gateway_count = 4
    known.record_prompt('draft', [LINK], 1.0)
    news = demand.DemandNews('a', 'a-1', 'draft', 0.0, 1.0, [])
    other = demand.DemandNews('b', '', 'draft', 0.0, 9.0, [(*LINK, 9.0)])
    known.receive([news, other])
    before = budget.part(LINK)
    assert before < 0.2
    clock.now += 3.0
    known.receive([msgspec.structs.replace(news, age=0.0)])
    assert budget.part(LINK) < 0.2
    assert known.arrivals('b', 'draft') is None


def test_numbers_that_can_t_be_true_are_ignored(clock):
    known = demand.Demand('a-0', 'a', lambda: clock.now)
    for number in (-1.0, float('nan'), float('inf')):
        known.receive(
            [
                demand.DemandNews('b', '', 'draft', 0.0, number, []),
                demand.DemandNews('b', '', 'draft', number, 1.0, []),
                demand.DemandNews('b', '', 'x', 0.0, 1.0, [(*LINK, number)]),
            ]
        )
    assert known.arrivals('b', 'draft') is None
    assert known.arrivals('b', 'x') is None


def test_messages_stay_small_whatever_is_reported(clock):
    """A datagram holds 64 KB, and zones exchange few bytes."""
    known = demand.Demand('a-0', 'a', lambda: clock.now)
    zones = [f'zone-{n}' for n in range(8)]
    for service in range(40):
        for zone in zones:
            known.record_arrival(f'service-{service}')
            known.record_prompt(f'service-{service}', [('a', zone)], 1.0)
    for zone in zones:
        known.receive(
            demand.DemandNews(zone, '', f's-{n}', 0.0, 1.0, [])
            for n in range(99)
        )
    assert len(msgspec.msgpack.encode(known.news())) < 16000


def test_messages_without_demand_are_understood():
    """Gateways of the version before send none."""
    data = msgspec.msgpack.encode([None, [], []])
    found = msgspec.msgpack.decode(data, type=neighbours.Learned)
    assert found.demand == []


@pytest.mark.parametrize(
    ('delays', 'is_on'),
    [
        ([], False),
        ([{'from': 'a', 'to': 'b', 'delay_ms': 0.25}], False),
        (
            [
                {'from': 'a', 'to': 'b', 'delay_ms': 0.25},
                {'from': 'b', 'to': 'c', 'delay_ms': 0.6},
            ],
            True,
        ),
    ],
)
def test_the_balance_is_on_where_a_hop_takes_half_a_step(delays, is_on):
    spec = {
        'version': 1,
        'services': [
            {
                'name': 'draft',
                'engine': {'layers': 80, 'step_ms': 1.0, 'delays': delays},
            }
        ],
    }
    found = configuration.decode('main', spec).service_by_id['draft']
    assert zone_balance.is_on(found) is is_on


def selector(servers, zone='a', gateways=1):
    created = fleet.selector(servers, zone, 1, gateways)
    balance = created._balance = zone_balance.ZoneBalance(
        f'{zone}-0',
        zone,
        created._view,
        created._usage,
        created._others,
        fleet.NO_REPORTS,
        metrics.Metrics(),
        random.Random(1),
        lambda: timers.now(),
    )
    created._view.pause_objective = lambda service: PAUSE_SECONDS
    created.gateway_count = gateways
    return created, balance


def test_a_request_takes_one_other_zone_rather_than_several(clock):
    """Its prompt would occupy a link for which no need exists."""
    near = fleets.server('near', 'a', held=(0, 40))
    far = fleets.server('far', 'b', held=(40, 80))
    whole = fleets.server('whole', 'b', held=(0, 80))
    created, balance = selector([near, far, whole])
    for _ in range(40):
        created._usage.reserve(fleets.path([whole]), 1)
    job = fleet.job(SLOW_HOPS)
    path = created.find_path(job, ())
    assert [stage.server.zone for stage in path] in (['b'], ['b', 'b'])
    created._balance = None
    assert links.inter_zone_links(created.find_path(job, ())) == [LINK]


def test_a_request_waits_while_the_budget_of_a_link_is_used_up(clock):
    servers = [
        fleets.server('near', 'a', held=(0, 40)),
        fleets.server('far', 'b', held=(40, 80)),
    ]
    created, balance = selector(servers, gateways=10)
    job = fleet.job(SLOW_HOPS)
    path = created.find_path(job, ())
    assert links.inter_zone_links(path) == [LINK]
    created.reserve(job, path)
    assert created.find_path(job, ()) == ()
    assert balance.demand.seconds_by_link()[0][LINK] > 0
    assert len(created.find_path(job, (), has_begun=True)) == 2
    seconds = paths.transfer_ms(SLOW_HOPS, fleets.SIZE) / 1000
    clock.now += 10 * seconds / BOUND.link_share + 0.01
    assert len(created.find_path(job, ())) == 2


def test_zones_tell_each_other_their_demand(clock):
    """Only one gateway of a zone is told by another zone."""
    records = [
        interfaces.GatewayRecord(f'{zone}-{n}', zone, f'{zone}-{n}:1')
        for zone in 'ab'
        for n in range(3)
    ]
    known = {
        r.name: neighbours.Neighbours(r, random.Random(1), lambda: clock.now)
        for r in records
    }
    demands = {
        r.name: demand.Demand(r.name, r.zone, lambda: clock.now)
        for r in records
    }
    for gateway in known.values():
        gateway.set_registered(records)
    for _ in range(100):
        clock.now += 0.05
        for name, gateway in known.items():
            if name != 'b-2' and round(clock.now / 0.05) % 10 == 0:
                demands[name].record_arrival('draft')
            for address, message in gateway.due_messages(
                {},
                learned=lambda _, n=name: neighbours.Learned(
                    demand=demands[n].news()
                ),
            ):
                receiver = address.partition(':')[0]
                known[receiver].receive(message)
                demands[receiver].receive(message.learned.demand)
    rates = [d.arrivals(z, 'draft') for z in 'ab' for d in demands.values()]
    assert rates[:6] == pytest.approx([rates[0]] * 6, rel=0.2)
    assert rates[6:] == pytest.approx([rates[0] * 2 / 3] * 6, rel=0.2)


def zone_loads(**by_zone):
    return {
        zone: zone_load.ZoneLoad(float(capacity), float(wanted))
        for zone, (capacity, wanted) in by_zone.items()
    }


@pytest.mark.parametrize(
    ('by_zone', 'expected'),
    [
        # A zone with room sends nothing, however idle others are.
        ({'a': (100, 79), 'b': (100, 0)}, {}),
        # Three times its own demand: all zones are used alike.
        (
            {'a': (100, 300), 'b': (200, 40), 'c': (100, 20)},
            {'b': 0.7 * 140 / 210, 'c': 0.7 * 70 / 210},
        ),
        # Others have room for all beyond the usual share.
        ({'a': (100, 120), 'b': (300, 30)}, {'b': 40 / 120}),
        # All are as full: a request waits for room in its own zone.
        ({'a': (100, 150), 'b': (100, 150)}, {}),
        # Lost servers, and a zone that was lost as a whole.
        ({'a': (0, 50), 'b': (100, 10)}, {'b': 1.0}),
        ({'a': (100, 200), 'b': (0, 0), 'c': (900, 0)}, {'c': 0.6}),
        ({'a': (0, 0), 'b': (0, 0)}, {}),
    ],
)
def test_shares_make_zones_equally_full(by_zone, expected):
    found = zone_shares.target_shares('a', zone_loads(**by_zone))
    assert found == pytest.approx(expected)


def test_shares_stay_while_demand_varies_around_the_threshold():
    """Gateways would send all requests to and fro between zones."""
    rng = random.Random(1)
    shares = zone_shares.ZoneShares()
    totals = []
    for _ in range(200):
        by_zone = zone_loads(a=(100, 90 + rng.gauss(0, 3)), b=(100, 20))
        decision = shares.decide('a', by_zone, 0.5)
        totals.append(sum(decision.share_by_zone.values()))
    changes = sum(
        abs(a - b) > 1e-6 for a, b in itertools.pairwise(totals[20:])
    )
    assert changes <= 18
    assert 0.05 <= min(totals[20:]) <= max(totals[20:]) <= 0.2


def test_a_burst_is_followed_at_once_and_its_end_slowly():
    shares = zone_shares.ZoneShares()
    burst = zone_loads(a=(100, 300), b=(400, 40))
    assert sum(shares.decide('a', burst, 0.5).share_by_zone.values()) > 0.5
    calm = zone_loads(a=(100, 30), b=(400, 40))
    for _ in range(4):
        decision = shares.decide('a', calm, 0.5)
        assert decision.share_by_zone['b'] > 0.4
    for _ in range(20):
        decision = shares.decide('a', calm, 0.5)
    assert decision.share_by_zone == {}


def test_a_lost_zone_gets_no_share_at_once():
    shares = zone_shares.ZoneShares()
    by_zone = {'a': (100, 300), 'b': (200, 40), 'c': (200, 40)}
    shares.decide('a', zone_loads(**by_zone), 0.5)
    by_zone['b'] = (0, 40)
    decision = shares.decide('a', zone_loads(**by_zone), 0.5)
    assert set(decision.share_by_zone) == {'c'}
    assert decision.cause is zone_shares.Cause.LOST_TARGET
    del by_zone['c']
    decision = shares.decide('a', zone_loads(**by_zone), 0.5)
    assert decision.share_by_zone == {}


@pytest.mark.parametrize(
    ('occupancy', 'share'), [(0.0, 0.8), (0.3, 0.3), (0.9, 0.9)]
)
def test_a_silent_zone_has_no_room_but_what_servers_report(occupancy, share):
    servers = [
        fleets.server('one', 'b', held=(0, 40)),
        fleets.server('two', 'b', held=(40, 80)),
    ]
    found = zone_load.silent_demand_tokens(
        SLOW_HOPS, servers, {}, lambda server: occupancy, 0.8
    )
    capacity = zone_load.capacity_tokens(SLOW_HOPS, servers)
    assert found == pytest.approx(share * capacity)
    assert not zone_load.capacity_tokens(SLOW_HOPS, servers[:1])


def test_all_gateways_of_a_zone_follow_the_first(clock):
    first, second = (
        demand.Demand(name, 'a', lambda: clock.now) for name in ('a-0', 'a-1')
    )
    first.record_shares('draft', {'b': 0.3})
    second.record_shares('draft', {'b': 0.5})
    first.receive(second.news())
    second.receive(first.news())
    assert first.decided_shares('draft') is None
    assert second.decided_shares('draft') == {'b': 0.3}
    clock.now += demand.VALID_SECONDS
    assert second.decided_shares('draft') is None


def test_requests_leave_in_proportion_to_the_shares(clock):
    servers = [
        fleets.server('near', 'a', held=(0, 80)),
        fleets.server('far', 'b', held=(0, 80)),
        fleets.server('third', 'c', held=(0, 80)),
    ]
    created, balance = selector(servers)
    job = fleet.job(SLOW_HOPS)
    first = demand.Demand('0', 'a', lambda: clock.now)
    first.record_shares('draft', {'b': 0.2, 'c': 0.1})
    balance.demand.receive(first.news())
    zones = collections.Counter()
    for _ in range(100):
        path = created.find_path(job, ())
        created.reserve(job, path)
        zones[path[0].server.zone] += 1
        created.release(job, path)
    assert zones['b'] == pytest.approx(20, abs=2)
    assert zones['c'] == pytest.approx(10, abs=2)
    assert balance.leaving_share == pytest.approx(0.3, abs=0.03)


def play_burst(rates, mbps, seed, balances_zones):
    """Return what callers get while one zone has three times its demand."""
    engine = dataclasses.replace(
        sites.DOZENS.engine,
        cache_bytes_per_token=SLOW_HOPS.cache_bytes_per_token,
        activation_bytes_per_token=SLOW_HOPS.activation_bytes_per_token,
        zone_link_mbps=mbps,
        zone_delay_ms=2.0,
    )
    site = dataclasses.replace(sites.DOZENS, engine=engine)
    load = play.Load(
        {**rates, 'a': 3 * rates['a']}, 1.5, 772, 141, 0.6, PAUSE_SECONDS
    )
    return play.Play(site, load, seed, balances_zones=balances_zones).run()


@pytest.mark.parametrize('mbps', [5500, 1500])
def test_a_burst_in_one_zone_harms_no_zone(mbps):
    """Prompts cross between zones if each gateway decides alone."""
    before, after = (
        play_burst(sites.DOZENS_RATES, mbps, 1, is_on)
        for is_on in (False, True)
    )
    assert after.requests_by_zone == before.requests_by_zone
    for zone, requests in after.requests_by_zone.items():
        allowed = 0.01 * requests
        in_time = after.in_time_by_zone[zone]
        assert in_time >= before.in_time_by_zone[zone] - allowed
    assert after.crossings <= before.crossings / 2


@pytest.mark.parametrize('hears_neighbours', [True, False])
def test_requests_stay_in_zones_with_room(hears_neighbours):
    """Traffic between zones costs money, and each gateway would send some."""
    rates = {zone: rate / 2 for zone, rate in sites.DOZENS_RATES.items()}
    engine = dataclasses.replace(sites.DOZENS.engine, zone_delay_ms=2.0)
    site = dataclasses.replace(sites.DOZENS, engine=engine)
    load = play.Load(rates, 2.0, 772, 141, 0.6, PAUSE_SECONDS)
    played = play.Play(site, load, 4, hears_neighbours)
    outcome = played.run()
    gateways = itertools.chain(*played.gateways_by_zone.values())
    assert not any(gateway.balance.leaving_share for gateway in gateways)
    assert outcome.refused == 0
    assert outcome.in_time + outcome.late > 0


def test_prompts_cross_in_time_where_all_zones_lack_layers(monkeypatch):
    """Parts of a link that nobody uses made requests wait for 0.7 s."""
    lost = {'a': (0, 17), 'b': (20, 30), 'c': (60, 70)}
    planned = play.servers_of

    def remaining(site):
        return [
            server
            for server in planned(site)
            if server.layers.end <= lost[server.zone][0]
            or server.layers.first >= lost[server.zone][1]
        ]

    monkeypatch.setattr(play, 'servers_of', remaining)
    rates = {zone: rate / 2 for zone, rate in sites.DOZENS_RATES.items()}
    rates['a'] /= 3
    outcome = play_burst(rates, 5500, 1, True)
    assert outcome.crossings > 0
    assert outcome.share_in_time >= 0.95
