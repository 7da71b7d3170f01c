"""The subset of the fleet that an entry uses."""

import collections

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.routing import subsets
from burdockmast.standins import layouts

LAYOUT = layouts.Layout(groups=(layouts.Group(0, 24, 40),))
SMALL = layouts.Layout(
    groups=(layouts.Group(0, 12, 3), layouts.Group(12, 24, 3))
)
OTHER = layouts.Layout(
    groups=(layouts.Group(0, 24, 2), layouts.Group(4, 24, 4))
)


class Fleet:
    """A configuration and the subsets that are updated with it."""

    def __init__(self, processes, size):
        self.current = configuration.Configuration()
        self.subsets = [subsets.Subset(name, size) for name in processes]

    def apply(self, body):
        self.current.apply(changes.Change('id', 'me', body))
        for subset in self.subsets:
            subset.apply_change(self.current, body)

    def add(self, name, service=''):
        kind = changes.ServerKind.ENGINE
        if service:
            kind = changes.ServerKind.SERVICE
        address = f'127.0.0.1:{name[1:]}'
        self.apply(
            changes.AddServer(
                changes.Server(name, address, 'za', kind, service=service)
            )
        )


def names(subset):
    return {server.id for server in subset.servers}


def test_subsets_are_bounded_even_and_stable():
    fleet = Fleet([f'entry{number}' for number in range(200)], 8)
    for server, _ in LAYOUT.engines():
        fleet.add(server)
    fleet.apply(changes.PutPreset(LAYOUT.preset('p')))
    fleet.apply(changes.SwitchPreset('p', ''))
    before = [names(subset) for subset in fleet.subsets]
    assert {len(chosen) for chosen in before} == {8}
    uses = collections.Counter(name for chosen in before for name in chosen)
    assert max(uses.values()) < 2 * min(uses.values())
    fleet.apply(changes.RetireServer('e1'))
    for subset, chosen in zip(fleet.subsets, before, strict=True):
        assert len(names(subset) - chosen) == ('e1' in chosen)


SERVERS = strategies.sampled_from([f'e{number}' for number in range(1, 7)])
CHANGES = strategies.one_of(
    strategies.builds(changes.RetireServer, SERVERS),
    strategies.builds(changes.RemoveServer, SERVERS),
    strategies.builds(
        changes.SwitchPreset,
        strategies.sampled_from(['p', 'q']),
        strategies.sampled_from(['', 'p', 'q']),
    ),
    strategies.tuples(SERVERS, strategies.sampled_from(['', 'stock'])),
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(strategies.lists(CHANGES, max_size=30))
def test_updated_subset_equals_a_rebuilt_one(drawn_changes):
    fleet = Fleet(['entry'], 2)
    fleet.apply(changes.PutPreset(SMALL.preset('p')))
    fleet.apply(changes.PutPreset(OTHER.preset('q')))
    for change in drawn_changes:
        if isinstance(change, tuple):
            fleet.add(*change)
        else:
            fleet.apply(change)
        rebuilt = subsets.Subset('entry', 2)
        rebuilt.apply_change(fleet.current, None)
        (updated,) = fleet.subsets
        assert names(updated) == names(rebuilt)
        assert len(updated.servers) == len(rebuilt.servers)
        assert updated.knows_service('stock') == rebuilt.knows_service('stock')
