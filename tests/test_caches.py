"""Prefix caches: estimates of their content, and routing by them."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import program
import pytest

from burdockmast.fleet import changes
from burdockmast.operator import queries
from burdockmast.routing import affinity
from burdockmast.routing import loads
from burdockmast.routing import paths
from burdockmast.routing import policies
from burdockmast.routing import rendezvous
from burdockmast.side import engine
from burdockmast.side import prefix_cache
from burdockmast.standins import engine as standin
from burdockmast.wire import messages

MODEL = changes.Model('draft', 24)
BEGINNING = tuple(range(512))


class Published:
    """An engine client whose cache events come from a stand-in."""

    def __init__(self, blocks=64, lag=0.0, loss=0.0):
        self.blocks = blocks
        self.lag = lag
        self.loss = loss
        self.restart()

    def restart(self):
        costs = standin.Costs(cache_blocks=self.blocks)
        publishing = standin.Publishing(self.lag, self.loss)
        self.engine = standin.Engine(costs, {}, True, 0.0, publishing)
        self.engine._epoch = str(id(self.engine))

    def cache_events(self, epoch, after):
        wanted = standin.CacheEventsWanted(epoch, after)
        found = self.engine._published(wanted)
        return engine.CacheEvents(
            found['epoch'],
            found['blocks'],
            found['block_tokens'],
            [
                engine.CacheEvent(
                    e.number, e.block, e.is_stored, e.parent, tuple(e.tokens)
                )
                for e in found['events']
            ],
        )

    def run(self, prompt):
        """Run a prompt; return how many of its tokens were cached."""
        return len(prompt) - self.engine._uncached(list(prompt))


def polled_caches(published):
    """Return the record of a side process that has polled once."""
    view = prefix_cache.PrefixCacheEstimate(published)
    view.poll()
    return view


def hop(server, first=0, end=24):
    return messages.Hop(server, '127.0.0.1:1', first, end)


def test_side_process_knows_what_ran_before_any_event():
    published = Published(lag=3600.0)
    view = polled_caches(published)
    assert view.record_prompt(BEGINNING) == published.run(BEGINNING) == 0
    assert view.record_prompt(BEGINNING) == published.run(BEGINNING) == 512


def test_new_side_process_applies_events():
    published = Published()
    published.run(BEGINNING)
    view = polled_caches(published)
    assert view.record_prompt(BEGINNING) == 512


def test_removed_blocks_do_not_count_as_cached():
    published = Published(blocks=32)
    view = polled_caches(published)
    other = tuple(range(1000, 1512))
    for prompt in (BEGINNING, other, BEGINNING, other):
        assert view.record_prompt(prompt) == published.run(prompt)
        view.poll()


def test_restarted_engine_has_nothing():
    published = Published()
    view = polled_caches(published)
    view.record_prompt(BEGINNING)
    published.restart()
    view.poll()
    assert view.record_prompt(BEGINNING) == 0


def test_engine_that_publishes_nothing_has_nothing():
    view = prefix_cache.PrefixCacheEstimate(Published())
    view.record_prompt(BEGINNING)
    assert view.record_prompt(BEGINNING) == 0


@given(
    picks=strategies.lists(strategies.integers(0, 5), max_size=60),
    loss=strategies.sampled_from([0.0, 0.2, 0.6]),
)
@settings(derandomize=True, max_examples=60, deadline=None)
def test_estimate_stays_within_capacity_whatever_is_lost(picks, loss):
    """Proves: errors from lost cache events don't accumulate."""
    published = Published(blocks=64, loss=loss)
    view = polled_caches(published)
    rng = random.Random(3)
    mismatches = 0
    for pick in picks:
        prompt = tuple(range(1000 * pick, 1000 * pick + 320))
        prompt += tuple(rng.randrange(1000) for _ in range(16))
        mismatches += view.record_prompt(prompt) != published.run(prompt)
        view.poll()
        assert len(view._blocks) <= 64
    if not loss:
        assert mismatches == 0


def test_entry_records_where_a_prefix_ran():
    prefixes = affinity.Affinity()
    prefixes.record(BEGINNING + (1, 2, 3), [hop('a', 0, 8), hop('b', 8, 24)])
    demand = prefixes.demand(BEGINNING + (7, 8, 9), 20)
    assert demand.cached_tokens_by_server == {'a': 512, 'b': 512}
    assert demand.uncached_tokens('a', False) == 3


def test_estimate_follows_what_side_processes_report():
    prefixes = affinity.Affinity()
    for _ in range(50):
        prefixes.record(BEGINNING, [hop('a')])
        demand = prefixes.demand(BEGINNING, 20)
        prefixes.apply_reports(demand, [hop('a')], (0,))
    lost = prefixes.demand(BEGINNING, 20).cached_tokens_by_server['a']
    assert lost < 64
    for _ in range(50):
        demand = prefixes.demand(BEGINNING, 20)
        prefixes.apply_reports(demand, [hop('a')], (512,))
    assert prefixes.demand(BEGINNING, 20).cached_tokens_by_server['a'] > 448


def test_owner_estimate_falls_if_nothing_is_cached_there():
    prefixes = affinity.Affinity()
    assert prefixes.demand(BEGINNING, 20).owner_cached_tokens == 256
    for number in range(50):
        prompt = tuple(range(1000 * number, 1000 * number + 512))
        demand = prefixes.demand(prompt, 20)
        prefixes.apply_reports(demand, [hop('a')], (0,))
    assert prefixes.demand(BEGINNING, 20).owner_cached_tokens < 10


def test_owners_are_even_and_move_only_with_their_server():
    servers = [f'e{number}' for number in range(8)]
    keys = [number.to_bytes(8, 'big') for number in range(4000)]
    before = [rendezvous.owner(key, servers) for key in keys]
    for server in servers:
        assert 400 < before.count(server) < 600
    after = [rendezvous.owner(key, servers[:-1]) for key in keys]
    for old, new in zip(before, after, strict=True):
        assert old == new or old == 'e7'


def router_over(running, cache_use=policies.CacheUse.OWNERS, entries=1):
    """Return routers over equal servers.

    :param running: answers that run on each server
    """
    table = loads.LoadTable()
    servers = []
    for number, count in enumerate(running):
        name = f'e{number}'
        servers.append(changes.Server(name, f'127.0.0.1:{number + 1}', 'za'))
        held = (messages.LayerRange('draft', 0, 24),)
        load = messages.Load(
            name, count, 64, 100_000, False, held, prefill_ns=20_000
        )
        table.apply_report(load, 1.0)
    policy = policies.LowestCost(cache_use=cache_use)
    routers = [paths.Router(table, policy, seed) for seed in range(entries)]
    return routers, servers


def test_entries_send_a_new_prefix_to_one_owner():
    routers, servers = router_over([4] * 8, entries=20)
    demand = affinity.Affinity().demand(BEGINNING, 20)
    chosen = {
        router.choose(MODEL, servers, demand=demand)[0].server
        for router in routers
    }
    assert len(chosen) == 1


def test_cached_prefix_is_weighed_against_load():
    """Proves: a cached prefix attracts answers only while it saves time."""
    prefixes = affinity.Affinity()
    prefixes.record(BEGINNING, [hop('e0')])
    # With 200 answer tokens, prefill of the prompt costs 1.5 times as much as
    # they do, and half of that at its owner.
    demand = prefixes.demand(BEGINNING, 200)
    for running, is_cached in ((4, True), (6, True), (16, False), (63, False)):
        (router,), servers = router_over([running, 4, 4, 4])
        path = router.choose(MODEL, servers, demand=demand)
        assert (path[0].server == 'e0') is is_cached


@pytest.mark.parametrize('cache_use', list(policies.CacheUse))
def test_path_is_found_for_each_use_of_caches(cache_use):
    (router,), servers = router_over([4] * 4, cache_use)
    demand = affinity.Affinity().demand(BEGINNING, 20)
    assert router.choose(MODEL, servers, demand=demand)[0].end == 24


def prefilled(fleet):
    """Return the prompt tokens that all engines together had to prefill."""
    return sum(
        fleet.get_json(f'engine-{server}', '/v1/status')['prefilled_tokens']
        for server, _ in fleet.layout.engines()
    )


def cached(fleet, entry, prompt):
    """Complete a prompt; return the tokens that each stage had cached."""
    reply = fleet.complete(prompt, 4, entry)
    expected = program.expected_tokens(prompt, 4)
    assert program.answer_tokens(reply) == expected
    request = reply.headers['Burdockmast-Request-Id']
    address = fleet.address_by_name[f'{entry}-peer']

    def opened():
        events, _ = queries.fetch_events([address], request)
        return [event for event in events if event.what == 'answer.opened']

    # Under high load, a process may not reply to a query in time.
    return program.wait_until(opened, 'event of the entry')[0].fields['cached']


def test_entries_find_what_others_have_had_cached(own_fleet):
    """Proves: caches are used though events are late and partly lost."""
    fleet = own_fleet(
        engine_options=('--cache-lag', '1', '--cache-loss', '0.2')
    )
    tails = iter(range(100_000))
    for entry in fleet.entries:

        def is_cached(entry=entry):
            before = prefilled(fleet)
            found = cached(fleet, entry, [*BEGINNING, next(tails)])
            done = prefilled(fleet) - before
            return sum(found) == 3 * 512 and done == 3

        program.wait_until(is_cached, f'all cached for {entry}')
