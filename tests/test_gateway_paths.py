"""Path search and layer placement, simulated without a network."""

import dataclasses
import random

import pytest

from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import layer_placement
from burdockmast.gateway import loads
from burdockmast.gateway import memory
from burdockmast.gateway import paths

ENGINE = config.Engine(
    layers=80,
    layer_mb=1750.0,
    cache_bytes_per_token=918000,
    step_ms=0.85,
    sequence_ms=0.006,
    context_ms=0.008,
    prefill_tokens_per_second=252000,
    mean_prompt_tokens=772,
    mean_answer_tokens=154,
    activation_bytes_per_token=45800,
    zone_link_mbps=7900,
    accelerator_by_name={
        'large': config.AcceleratorKind('large', 36000, 3.1, 3.2),
        'middle': config.AcceleratorKind('middle', 21600, 16, 8.2),
        'small': config.AcceleratorKind('small', 14400, 15, 15),
    },
)
# Servers of each kind in each zone, as in the swap-desk example.
FLEET = {
    'a': {'large': 3, 'middle': 3, 'small': 5},
    'b': {'large': 1, 'middle': 5, 'small': 8},
    'c': {'large': 1, 'middle': 7, 'small': 5},
}
SIZE = paths.RequestSize(800, 154)


def server(name, zone='a', kind='large', held=None, ready=True):
    return backends.BackendServer(
        id=name,
        service='draft',
        address=f'{name}:1',
        zone=zone,
        is_ready=ready,
        layers=backends.LayerRange(*held) if held else backends.NO_LAYERS,
        accelerator=kind,
        started_ms=1,
        entry_sequence=1,
    )


def empty_fleet():
    return [
        server(f'{zone}-{kind}-{number}', zone, kind)
        for zone, counts in FLEET.items()
        for kind, count in counts.items()
        for number in range(count)
    ]


def with_planned_layers(servers, are_zones_apart=False):
    layers_by_server = {
        p.server.id: p.layers
        for p in layer_placement.plan(ENGINE, servers, {}, are_zones_apart)
    }
    return [
        server(
            s.id,
            s.zone,
            s.accelerator,
            (layers_by_server[s.id].first, layers_by_server[s.id].end),
        )
        for s in servers
    ]


def path(servers, zone='a', **given):
    found = {
        'running_requests': lambda s: 0,
        'memory_factor': lambda s: 1.0,
        'slowdown': lambda s: 1.0,
        'is_full': lambda link: False,
        **given,
    }
    return paths.cheapest(
        ENGINE, servers, SIZE, zone, rng=random.Random(1), **found
    )


def assert_runs_every_layer_once(found):
    reached = 0
    for stage in found:
        assert stage.first == reached
        assert stage.end > stage.first
        assert stage.server.layers.first <= stage.first
        assert stage.end <= stage.server.layers.end
        reached = stage.end
    assert reached == ENGINE.layers
    assert len({stage.server.id for stage in found}) == len(found)


@pytest.mark.parametrize('zone', FLEET)
def test_each_zone_gets_a_pipeline_of_its_own(zone):
    servers = [s for s in with_planned_layers(empty_fleet()) if s.zone == zone]
    assert_runs_every_layer_once(path(servers, zone))


@pytest.mark.parametrize('zone', FLEET)
def test_prompts_stay_in_their_zone_while_no_server_is_lost(zone):
    found = path(with_planned_layers(empty_fleet()), zone)
    assert len({stage.server.zone for stage in found}) == 1


def test_no_server_holds_more_than_its_memory():
    for found in with_planned_layers(empty_fleet()):
        kind = ENGINE.accelerator_by_name[found.accelerator]
        assert len(found.layers) * ENGINE.layer_mb < kind.memory_mb
        tokens = SIZE.total_tokens * len(found.layers)
        assert memory.cache_capacity(ENGINE, found) > 20 * tokens


def test_a_replacement_takes_the_layers_that_its_zone_lacks():
    servers = with_planned_layers(empty_fleet())
    lost = servers.pop(0)
    new = server('new', lost.zone, lost.accelerator)
    (placement,) = layer_placement.plan(ENGINE, [*servers, new], {})
    assert placement.layers == lost.layers


def test_a_gap_in_the_fleet_is_closed_by_a_redundant_server():
    servers = [
        server('first', held=(0, 17)),
        server('same', held=(0, 17)),
        server('last', held=(34, 80)),
    ]
    (placement,) = layer_placement.plan(ENGINE, servers, {})
    assert placement.server.id in ('first', 'same')
    assert placement.layers == backends.LayerRange(17, 34)


def test_no_move_opens_a_gap():
    servers = [server('first', held=(0, 17)), server('last', held=(34, 80))]
    assert layer_placement.plan(ENGINE, servers, {}) == []


@pytest.mark.parametrize('are_zones_apart', [False, True])
@pytest.mark.parametrize('seed', range(20))
def test_zones_keep_complete_pipelines_while_servers_leave(
    seed, are_zones_apart
):
    """Removes servers one by one, as releases and crashes do."""
    rng = random.Random(seed)
    servers = with_planned_layers(empty_fleet(), are_zones_apart)
    for _ in range(6):
        servers.remove(rng.choice(servers))
        for _ in range(10):
            moves = layer_placement.plan(ENGINE, servers, {}, are_zones_apart)
            if not moves:
                break
            by_id = {move.server.id: move.layers for move in moves}
            servers = [
                server(
                    s.id,
                    s.zone,
                    s.accelerator,
                    (by_id[s.id].first, by_id[s.id].end),
                )
                if s.id in by_id
                else s
                for s in servers
            ]
        assert paths.first_uncovered_layer(ENGINE, servers) is None
    complete_zones = [
        zone
        for zone in FLEET
        if paths.first_uncovered_layer(
            ENGINE, [s for s in servers if s.zone == zone]
        )
        is None
    ]
    assert len(complete_zones) >= 2


def complete_zones(servers):
    return {
        s.zone
        for s in servers
        if paths.first_uncovered_layer(
            ENGINE, [other for other in servers if other.zone == s.zone]
        )
        is None
    }


def room(servers, zone):
    """Return the requests for whose KV caches a zone's servers have room."""
    tokens = ENGINE.mean_prompt_tokens + ENGINE.mean_answer_tokens
    room_by_layer = [0.0] * ENGINE.layers
    for s in servers:
        for layer in (
            range(s.layers.first, s.layers.end) if s.zone == zone else ()
        ):
            room_by_layer[layer] += memory.cache_capacity(ENGINE, s) / (
                tokens * len(s.layers)
            )
    return min(room_by_layer)


def test_a_zone_with_one_pipeline_has_room_for_the_requests_of_a_lost_zone():
    """A full zone sends its requests to others, which fill as well."""
    servers = with_planned_layers(
        [server(f's{n}', 'a', 'small') for n in range(7)]
        + [server(f'm{n}', 'a', 'middle') for n in range(4)]
        + [server('l', 'a', 'large')],
        are_zones_apart=True,
    )
    assert complete_zones(servers) == {'a'}
    assert room(servers, 'a') >= 1.5 * (
        layer_placement.PREFERRED_CONCURRENT_REQUESTS
    )


@pytest.mark.parametrize(
    ('kind', 'cache_bytes'), [('unknown', 918000), ('large', 0)]
)
def test_a_plan_ends_whatever_servers_and_engines_name(kind, cache_bytes):
    """Entries may lack their kind, and engines the size of their caches."""
    engine = dataclasses.replace(ENGINE, cache_bytes_per_token=cache_bytes)
    servers = [server(f's{n}', 'a', kind) for n in range(100)]
    layer_placement.plan(engine, servers, {}, True)
    held = [
        server(f's{n}', 'a', kind, held=(n % 70, n % 70 + 1))
        for n in range(100)
    ]
    other = server('other', 'b', 'large', held=(0, 80))
    layer_placement.plan(engine, [*held, other], {}, True)


def test_a_zone_whose_servers_can_spare_nothing_is_arranged_anew():
    """Otherwise all of them are idle for good after the loss of one."""
    servers = with_planned_layers(
        [
            server(f'{zone}{kind}{n}', zone, kind)
            for zone in 'ab'
            for kind, count in (('small', 7), ('middle', 4), ('large', 1))
            for n in range(count)
        ],
        are_zones_apart=True,
    )
    lost = next(s for s in servers if s.id == 'alarge0')
    servers.remove(lost)
    assert complete_zones(servers) == {'b'}
    moves = layer_placement.plan(ENGINE, servers, {}, True)
    assert {move.urgency for move in moves} == {layer_placement.Urgency.LOW}
    moved = {move.server.id: move.layers for move in moves}
    servers = [
        dataclasses.replace(s, layers=moved.get(s.id, s.layers))
        for s in servers
    ]
    assert complete_zones(servers) == {'a', 'b'}
    assert layer_placement.plan(ENGINE, servers, {}, True) == []


def test_no_zone_is_arranged_anew_that_alone_holds_some_layers():
    servers = [
        server('a1', 'a', 'middle', held=(0, 8)),
        *[
            server(f'a{n}', 'a', 'large', held=(n * 11, n * 11 + 11))
            for n in range(2, 7)
        ],
        server('b', 'b', 'middle', held=(8, 22)),
        server('c', 'c', 'middle', held=(77, 80)),
    ]
    assert not any(
        move.urgency is layer_placement.Urgency.LOW
        for move in layer_placement.plan(ENGINE, servers, {}, True)
    )


def test_a_pending_order_is_not_given_twice():
    servers = [server('one')]
    pending = {'one': backends.LayerRange(0, 17)}
    assert layer_placement.plan(ENGINE, servers, pending) == []


def test_uncovered_layers_go_first_without_room_for_a_pipeline():
    servers = [
        server('far', 'b', 'large', (0, 17)),
        server('near', 'a', 'large'),
    ]
    (placement,) = layer_placement.plan(ENGINE, servers, {})
    assert placement.layers.first == 17


@pytest.mark.parametrize('seed', range(20))
def test_paths_over_random_ranges_run_every_layer_once(seed):
    rng = random.Random(seed)
    servers = []
    for number in range(40):
        first = rng.randrange(80)
        end = min(80, first + rng.randrange(1, 25))
        zone = rng.choice('abc')
        servers.append(server(f's{number}', zone, 'small', (first, end)))
    loads = {s.id: rng.randrange(30) for s in servers}
    found = path(servers, running_requests=loads.__getitem__)
    if paths.first_uncovered_layer(ENGINE, servers) is None:
        assert_runs_every_layer_once(found)
    else:
        assert found == ()


def test_the_first_uncovered_layer_is_found():
    servers = [server('one', held=(0, 20)), server('two', held=(30, 80))]
    assert paths.first_uncovered_layer(ENGINE, servers) == 20


def test_a_slow_server_is_avoided():
    servers = [
        server('slow', held=(0, 40)),
        server('other', held=(0, 40)),
        server('rest', held=(40, 80)),
    ]
    found = path(servers, slowdown=lambda s: 5.0 if s.id == 'slow' else 1.0)
    assert [stage.server.id for stage in found] == ['other', 'rest']


def memory_factor(usage, gateways=1):
    own = usage.load_by_server()

    def factor(server):
        reserved = own.get(server.id, loads.NO_LOAD)[1]
        share = reserved / memory.cache_capacity(ENGINE, server)
        return memory.cost_factor(share, gateways, 0.0)

    return factor


def used_share(usages, server):
    reserved = sum(
        u.load_by_server().get(server.id, (0, 0.0))[1] for u in usages
    )
    return reserved / memory.cache_capacity(ENGINE, server)


def test_a_server_that_fills_up_is_avoided():
    servers = with_planned_layers(empty_fleet())
    usage = memory.Usage()
    used = set()
    for _ in range(60):
        found = path(servers, memory_factor=memory_factor(usage))
        assert_runs_every_layer_once(found)
        usage.reserve(found, SIZE.total_tokens)
        used.update(stage.server.id for stage in found)
    assert max(used_share([usage], s) for s in servers) <= 1.0
    assert len(used) > 20


def test_gateways_share_the_fleet():
    """Four gateways with 25 streams each, as at the highest load."""
    servers = with_planned_layers(empty_fleet())
    zones = ['a', 'a', 'b', 'c']
    usages = [memory.Usage() for _ in zones]
    for _ in range(25):
        for usage, zone in zip(usages, zones, strict=True):
            found = path(
                servers, zone, memory_factor=memory_factor(usage, len(zones))
            )
            assert_runs_every_layer_once(found)
            usage.reserve(found, SIZE.total_tokens)
    assert max(used_share(usages, s) for s in servers) <= 1.0


def test_released_requests_use_nothing():
    servers = with_planned_layers(empty_fleet())
    usage = memory.Usage()
    found = path(servers)
    usage.reserve(found, 100)
    usage.release(found, 100)
    assert usage.load_by_server() == {}


def test_servers_beside_a_small_gap_extend_over_it():
    """They keep what they hold, and load only the missing layers."""
    servers = [
        server('low', held=(0, 15)),
        server('high', held=(18, 33)),
        server('last', held=(33, 80)),
    ]
    moves = {
        p.server.id: p.layers
        for p in layer_placement.plan(ENGINE, servers, {})
    }
    assert moves['low'].first == 0
    assert moves.get('high', servers[1].layers).end == 33
    assert moves['low'].end >= moves.get('high', servers[1].layers).first


def test_a_zone_whose_gaps_cannot_be_closed_is_left_alone():
    """A move that leaves the zone without a pipeline is useless."""
    servers = [
        server('one', 'a', held=(0, 15)),
        server('spare', 'a', 'small', held=(0, 6)),
        server('two', 'a', held=(60, 80)),
        server('other', 'b', held=(0, 80)),
        *[server(f'b{number}', 'b', held=(0, 80)) for number in range(4)],
    ]
    assert layer_placement.plan(ENGINE, servers, {}) == []


def test_zones_with_many_servers_keep_room_for_more_requests():
    """Where servers are lost, requests run longer and gather elsewhere."""
    few = with_planned_layers(empty_fleet())
    many = with_planned_layers(
        [
            server(f'{zone}-{kind}-{n}', zone, kind)
            for zone, counts in FLEET.items()
            for kind, count in counts.items()
            for n in range(3 * count)
        ]
    )

    def room(servers):
        return min(
            memory.cache_capacity(ENGINE, s)
            / (len(s.layers) * SIZE.total_tokens)
            for s in servers
        )

    most = layer_placement.AMPLE_CONCURRENT_REQUESTS
    assert room(few) < most <= room(many)
    for zone in FLEET:
        held = [s for s in many if s.zone == zone]
        counts = [
            sum(s.layers.first <= layer < s.layers.end for s in held)
            for layer in range(ENGINE.layers)
        ]
        assert min(counts) >= layer_placement.AMPLE_PIPELINES


@pytest.mark.parametrize('zone', FLEET)
def test_each_zone_has_room_for_a_burst(zone):
    """The specified peak is three times 31 streams a second of 1.5 s."""
    servers = [s for s in with_planned_layers(empty_fleet()) if s.zone == zone]
    room = [0.0] * ENGINE.layers
    for found in servers:
        streams = memory.cache_capacity(ENGINE, found)
        streams /= len(found.layers) * SIZE.total_tokens
        for layer in range(found.layers.first, found.layers.end):
            room[layer] += streams
    assert min(room) * len(FLEET) >= 3 * 31 * 1.5
