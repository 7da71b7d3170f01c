"""Inter-zone links get no more prompts than they can carry."""

import dataclasses
import itertools
import random
import types

import pytest
import test_gateway_paths as fleets

from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import config
from burdockmast.gateway import interfaces
from burdockmast.gateway import jobs
from burdockmast.gateway import links
from burdockmast.gateway import memory
from burdockmast.gateway import neighbours
from burdockmast.gateway import path_selector
from burdockmast.gateway import paths
from burdockmast.gateway import server_limits

# Length and rate of the simulated burst.
BURST_SECONDS = 4.0
REQUESTS_PER_SECOND = 90
# Objective for the time between two events.
PAUSE_SECONDS = 0.2


def test_a_link_is_full_until_its_backlog_is_sent(clock):
    zone_links = links.ZoneLinks(lambda: timers.now())
    zone_links.gateway_count = 2
    path = fleets.path(fleets.with_planned_layers(fleets.empty_fleet()))
    zone_links.record_prompt(path, 0.1)
    assert links.inter_zone_links(path) == []
    far = fleets.server('far', 'b')
    crossing = [path[0], types.SimpleNamespace(server=far)]
    zone_links.record_prompt(crossing, links.PROMPT_SHARE / 10)
    zone_links.record_prompt(crossing, links.PROMPT_SHARE / 10)
    assert zone_links.backlog_seconds(('a', 'b')) == pytest.approx(0.4)
    assert zone_links.backlog_seconds(('b', 'a')) == 0
    assert not zone_links.is_full(('a', 'b'))
    zone_links.record_prompt(crossing, links.MAX_BACKLOG_SECONDS)
    assert zone_links.is_full(('a', 'b'))
    clock.now += 0.4 + 2 * links.MAX_BACKLOG_SECONDS / links.PROMPT_SHARE
    assert zone_links.backlog_seconds(('a', 'b')) == 0


def test_no_path_uses_a_full_link():
    servers = [
        fleets.server('near', 'a', held=(0, 40)),
        fleets.server('far', 'b', held=(40, 80)),
    ]
    assert len(fleets.path(servers)) == 2
    assert fleets.path(servers, is_full=lambda link: link == ('a', 'b')) == ()
    back = fleets.path(servers, is_full=lambda link: link == ('b', 'a'))
    assert len(back) == 2


class View:
    """A view of a fleet that never changes."""

    def __init__(self, servers):
        self.servers = servers

    def usable(self, service, excluded=()):
        return [s for s in self.servers if s.id not in excluded]

    def is_avoided(self, server):
        return False

    def pause_objective(self, service):
        return PAUSE_SECONDS

    def preferred(self, service, excluded=(), may_rest=False):
        return self.usable(service.id, excluded)

    def listed(self, service):
        return self.servers


NO_REPORTS = types.SimpleNamespace(
    slowdown=lambda server: 1.0, occupancy=lambda server: 0.0
)


def selector(servers, zone, seed, gateways=6):
    rng = random.Random(seed)
    unheard = neighbours.Neighbours(
        interfaces.GatewayRecord(f'gateway-{seed}', zone, ''), rng
    )
    created = path_selector.PathSelector(
        View(servers),
        NO_REPORTS,
        memory.Usage(),
        unheard,
        zone,
        rng,
        server_limits.ServerLimits(f'gateway-{seed}', list, rng),
        lambda: timers.now(),
    )
    created.gateway_count = gateways
    return created


def job(engine=fleets.ENGINE):
    request = types.SimpleNamespace(
        prompt_tokens=fleets.SIZE.prompt_tokens,
        max_answer_tokens=fleets.SIZE.answer_tokens,
        length_hint=0,
    )
    created = object.__new__(jobs.Job)
    service = config.Service(ids.ServiceId('draft'), engine)
    object.__setattr__(created, 'service', service)
    object.__setattr__(created, 'request', request)
    return created


def servers_with_no_complete_zone():
    """Return the servers of a fleet in which every zone lacks some layers."""
    lost = {'a': (0, 17), 'b': (20, 30), 'c': (60, 70)}
    return [
        s
        for s in fleets.with_planned_layers(fleets.empty_fleet())
        if not any(
            layer in range(s.layers.first, s.layers.end)
            for layer in range(*lost[s.zone])
        )
    ]


@pytest.mark.parametrize(('count', 'mbps'), [(3, 7900), (6, 7900), (26, 2000)])
def test_no_link_gets_more_prompts_than_it_carries(clock, count, mbps):
    """Simulates a burst on a fleet in which all prompts cross zones."""
    engine = dataclasses.replace(fleets.ENGINE, zone_link_mbps=mbps)
    seconds = paths.transfer_ms(engine, fleets.SIZE) / 1000
    servers = servers_with_no_complete_zone()
    assert paths.first_uncovered_layer(fleets.ENGINE, servers) is None
    selectors = [
        selector(servers, zone, seed, count)
        for seed, zone in zip(
            range(count), itertools.cycle('abc'), strict=False
        )
    ]
    sent = {pair: 0.0 for pair in itertools.permutations('abc', 2)}
    served = 0
    running = []
    for number in range(int(REQUESTS_PER_SECOND * BURST_SECONDS)):
        clock.now += 1 / REQUESTS_PER_SECOND
        gateway = selectors[number % count]
        request_job = job(engine)
        path = gateway.find_path(request_job, ())
        if not path:
            continue
        served += 1
        gateway.reserve(request_job, path)
        running.append((gateway, request_job, path))
        if len(running) > 60:
            oldest_gateway, oldest_job, oldest_path = running.pop(0)
            oldest_gateway.release(oldest_job, oldest_path)
        for link in links.inter_zone_links(path):
            sent[link] += seconds
    assert max(sent.values()) / BURST_SECONDS <= 1.0, sent
    assert served >= links.PROMPT_SHARE * BURST_SECONDS / seconds / 2


def test_a_stream_that_has_begun_resumes_over_a_full_link(clock):
    """Otherwise its caller would lose the answer that it has in part."""
    servers = [
        fleets.server('near', 'a', held=(0, 40)),
        fleets.server('far', 'b', held=(40, 80)),
    ]
    gateway = selector(servers, 'a', 1)
    while path := gateway.find_path(job(), ()):
        gateway.reserve(job(), path)
    assert len(gateway.find_path(job(), (), has_begun=True)) == 2
