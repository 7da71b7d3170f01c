"""Paths cross between zones only where no zone serves a request well."""

import dataclasses
import types

import pytest
import test_gateway_links as fleet
import test_gateway_paths as fleets

from burdockmast.gateway import crossings
from burdockmast.gateway import paths

LOCAL = fleets.path([fleets.server('near', 'a', held=(0, 80))])
CROSSING = fleets.path(
    [
        fleets.server('near', 'a', held=(0, 40)),
        fleets.server('far', 'b', held=(40, 80)),
    ]
)
FREE = (crossings.Room.FREE, crossings.Crossing.FREE)
WANTED = (crossings.Room.UNLIMITED, crossings.Crossing.ANY)
OVERFULL = (crossings.Room.OVERFULL, crossings.Crossing.NONE)
LAST_RESORT = (crossings.Room.OVERFULL, crossings.Crossing.ANY)
# Its prompts occupy a link between zones for a tenth of a second.
SLOW_LINKS = dataclasses.replace(fleets.ENGINE, zone_link_mbps=2000)


@pytest.mark.parametrize(
    ('found_by_search', 'has_begun', 'path'),
    [
        ({FREE: LOCAL}, False, LOCAL),
        ({FREE: CROSSING, WANTED: CROSSING}, False, CROSSING),
        ({FREE: CROSSING, WANTED: LOCAL}, False, ()),
        ({WANTED: LOCAL}, False, ()),
        ({FREE: CROSSING, WANTED: LOCAL, OVERFULL: LOCAL}, True, LOCAL),
        (
            {FREE: CROSSING, WANTED: LOCAL, LAST_RESORT: CROSSING},
            True,
            CROSSING,
        ),
        ({}, True, ()),
    ],
)
def test_want_of_room_alone_lets_no_new_request_cross(
    found_by_search, has_begun, path
):
    def search(room, crossing):
        return found_by_search.get((room, crossing), ())

    assert crossings.find_path(search, True, has_begun) == path


@pytest.mark.parametrize(
    ('found_by_search', 'has_begun'),
    [
        ({FREE: CROSSING, WANTED: LOCAL}, False),
        ({LAST_RESORT: CROSSING}, True),
    ],
)
def test_requests_cross_for_room_where_prompts_delay_nobody(
    found_by_search, has_begun
):
    def search(room, crossing):
        return found_by_search.get((room, crossing), ())

    assert crossings.find_path(search, False, has_begun) == CROSSING


@pytest.mark.parametrize(
    ('mbps', 'pause_seconds', 'is_delayed'),
    [
        (7900, 0.2, False),
        (2000, 0.2, True),
        (2000, 0.5, False),
        (2000, 0.0, False),
        (0, 0.2, False),
    ],
)
def test_prompts_delay_answers_by_link_and_objective(
    mbps, pause_seconds, is_delayed
):
    engine = dataclasses.replace(fleets.ENGINE, zone_link_mbps=mbps)
    assert paths.delays_answers(engine, pause_seconds) is is_delayed


def test_a_request_waits_while_zones_that_hold_all_layers_are_full(clock):
    """Its prompt would delay all answers on the link, and be late as well."""
    servers = [
        fleets.server('whole', 'a', held=(0, 80)),
        fleets.server('first', 'b', held=(0, 40)),
        fleets.server('last', 'c', held=(40, 80)),
    ]
    gateway = fleet.selector(servers, 'a', 1)
    job = fleet.job(SLOW_LINKS)
    sent = []
    while path := gateway.find_path(job, ()):
        gateway.reserve(job, path)
        sent.append(path)
    assert sent
    assert all(len(path) == 1 for path in sent)


def test_a_request_crosses_where_no_zone_holds_all_layers(clock):
    servers = [
        fleets.server('first', 'b', held=(0, 40)),
        fleets.server('last', 'c', held=(40, 80)),
    ]
    assert (
        len(
            fleet.selector(servers, 'a', 1).find_path(
                fleet.job(SLOW_LINKS), ()
            )
        )
        == 2
    )


def test_a_request_crosses_to_avoid_a_slow_zone(clock):
    servers = [
        fleets.server('whole', 'a', 'small', held=(0, 80)),
        fleets.server('first', 'b', held=(0, 40)),
        fleets.server('last', 'c', held=(40, 80)),
    ]
    gateway = fleet.selector(servers, 'a', 1)
    gateway.reports = types.SimpleNamespace(
        slowdown=lambda server: 12.0 if server.id == 'whole' else 1.0,
        occupancy=lambda server: 0.0,
    )
    assert len(gateway.find_path(fleet.job(SLOW_LINKS), ())) == 2


def test_zones_without_full_pipelines_don_t_fill_those_of_others(clock):
    """Crossing streams would take the room of zones that are whole."""
    servers = [
        s
        for s in fleets.with_planned_layers(fleets.empty_fleet())
        if s.zone != 'b' or s.layers.first >= 20
    ]
    gateways = [
        fleet.selector(servers, zone, seed) for seed, zone in enumerate('abc')
    ]
    job = fleet.job(SLOW_LINKS)
    found = []
    for number in range(300):
        gateway = gateways[number % 3]
        if path := gateway.find_path(job, ()):
            gateway.reserve(job, path)
            found.append(path)
    assert found
    assert all(len({s.server.zone for s in path}) == 1 for path in found)
