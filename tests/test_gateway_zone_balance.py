"""Requests leave their zone as far as it pays, and delay no other answers."""

import collections
import dataclasses
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


@pytest.mark.parametrize('counts', [{'a': 2}, {'a': 8, 'b': 8}, {'a': 30}])
def test_tokens_rarely_wait_behind_more_prompts_than_the_objective_allows(
    clock, counts
):
    """Gateways that guess what others send fill a link up to 0.7 s."""
    senders = Senders(clock, counts)
    rates = [40 / len(senders.budgets)] * len(senders.budgets)
    senders.run(30.0, rates)
    assert senders.share_beyond(PAUSE_SECONDS) <= 0.01
    assert senders.share_beyond(BOUND.backlog_seconds) <= 0.05
    carried = sum(senders.sent_by_gateway) * BOUND.prompt_seconds / 30.0
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
                learned=lambda n=name: neighbours.Learned(
                    demand=demands[n].news()
                ),
            ):
                receiver = address.partition(':')[0]
                known[receiver].receive(message)
                demands[receiver].receive(message.learned.demand)
    rates = [d.arrivals(z, 'draft') for z in 'ab' for d in demands.values()]
    assert rates[:6] == pytest.approx([rates[0]] * 6, rel=0.2)
    assert rates[6:] == pytest.approx([rates[0] * 2 / 3] * 6, rel=0.2)
