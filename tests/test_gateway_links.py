"""Links between zones are not filled beyond what they carry."""

import dataclasses
import itertools
import random
import types

import pytest
import test_gateway_paths as fleets

from burdockmast.base import ids
from burdockmast.gateway import config
from burdockmast.gateway import jobs
from burdockmast.gateway import links
from burdockmast.gateway import memory
from burdockmast.gateway import path_selector
from burdockmast.gateway import paths

# Seconds of the burst that is played, and its requests a second.
SECONDS = 4.0
RATE = 90


def test_a_link_is_taken_until_its_prompts_have_passed(clock):
    found = links.ZoneLinks()
    found.gateway_count = 2
    path = fleets.path(fleets.placed(fleets.empty_fleet()))
    found.record_prompt(path, 0.1)
    assert links.inter_zone_links(path) == []
    far = fleets.server('far', 'b')
    crossing = [path[0], types.SimpleNamespace(server=far)]
    found.record_prompt(crossing, links.PROMPT_SHARE / 10)
    found.record_prompt(crossing, links.PROMPT_SHARE / 10)
    assert found.backlog_seconds(('a', 'b')) == pytest.approx(0.4)
    assert found.backlog_seconds(('b', 'a')) == 0
    assert not found.is_full(('a', 'b'))
    found.record_prompt(crossing, links.MAX_BACKLOG_SECONDS)
    assert found.is_full(('a', 'b'))
    clock.now += 0.4 + 2 * links.MAX_BACKLOG_SECONDS / links.PROMPT_SHARE
    assert found.backlog_seconds(('a', 'b')) == 0


def test_no_path_takes_a_full_link():
    servers = [
        fleets.server('near', 'a', held=(0, 40)),
        fleets.server('far', 'b', held=(40, 80)),
    ]
    assert len(fleets.path(servers)) == 2
    assert fleets.path(servers, is_full=lambda link: link == ('a', 'b')) == ()
    back = fleets.path(servers, is_full=lambda link: link == ('b', 'a'))
    assert len(back) == 2


class View:
    """A fleet that stays as it is."""

    def __init__(self, servers):
        self.servers = servers

    def usable(self, service, excluded=()):
        return [s for s in self.servers if s.id not in excluded]

    def listed(self, service):
        return self.servers


IDLE = types.SimpleNamespace(
    slowdown=lambda server: 1.0, occupancy=lambda server: 0.0
)


def chooser(servers, zone, seed, gateways=6):
    found = path_selector.PathSelector(
        View(servers), IDLE, memory.Usage(), zone, random.Random(seed)
    )
    found.gateway_count = gateways
    return found


def job(engine=fleets.ENGINE):
    request = types.SimpleNamespace(
        prompt_tokens=fleets.WORK.prompt_tokens,
        max_answer_tokens=fleets.WORK.answer_tokens,
        length_hint=0,
    )
    found = object.__new__(jobs.Job)
    service = config.Service(ids.ServiceId('draft'), engine)
    object.__setattr__(found, 'service', service)
    object.__setattr__(found, 'request', request)
    return found


def without_whole_zones():
    """Return a fleet of which every zone has lost some layers."""
    lost = {'a': (0, 17), 'b': (20, 30), 'c': (60, 70)}
    return [
        s
        for s in fleets.placed(fleets.empty_fleet())
        if not any(
            layer in range(s.layers.first, s.layers.end)
            for layer in range(*lost[s.zone])
        )
    ]


@pytest.mark.parametrize(('count', 'mbps'), [(3, 7900), (6, 7900), (26, 2000)])
def test_no_link_gets_more_prompts_than_it_carries(clock, count, mbps):
    """Plays a burst of 90 requests a second on a fleet with losses."""
    engine = dataclasses.replace(fleets.ENGINE, zone_link_mbps=mbps)
    seconds = paths.transfer_ms(engine, fleets.WORK) / 1000
    servers = without_whole_zones()
    assert paths.first_uncovered_layer(fleets.ENGINE, servers) is None
    choosers = [
        chooser(servers, zone, seed, count)
        for seed, zone in zip(
            range(count), itertools.cycle('abc'), strict=False
        )
    ]
    sent = {pair: 0.0 for pair in itertools.permutations('abc', 2)}
    served = 0
    running = []
    for number in range(int(RATE * SECONDS)):
        clock.now += 1 / RATE
        gateway = choosers[number % count]
        asked = job(engine)
        path = gateway._find_path(asked, ())
        if not path:
            continue
        served += 1
        gateway.reserve(asked, path)
        running.append((gateway, asked, path))
        if len(running) > 60:
            before, ended, taken = running.pop(0)
            before.release(ended, taken)
        for link in links.inter_zone_links(path):
            sent[link] += seconds
    assert max(sent.values()) / SECONDS <= 1.0, sent
    assert served >= links.PROMPT_SHARE * SECONDS / seconds / 2


def test_a_stream_that_has_begun_goes_on_over_a_full_link(clock):
    """Its caller has a part of the answer, and would lose it."""
    servers = [
        fleets.server('near', 'a', held=(0, 40)),
        fleets.server('far', 'b', held=(40, 80)),
    ]
    gateway = chooser(servers, 'a', 1)
    while path := gateway._find_path(job(), ()):
        gateway.reserve(job(), path)
    assert len(gateway._find_path(job(), (), has_begun=True)) == 2
