"""Loads on a whole fleet: policies compared, faults on a schedule."""

import dataclasses

import eventlet

from burdockmast.base import ids
from burdockmast.bench import bounds
from burdockmast.bench import callers
from burdockmast.bench import measures
from burdockmast.bench import mixes
from burdockmast.fleet import changes
from burdockmast.standins import fleets
from burdockmast.standins import layouts

SLOTS = 32
ORGANISATION = changes.Organisation(ids.OrganisationId('souk'))
# Two kinds of accelerators; costs are large beside those of the daemons, and
# nearly all for each sequence, so that the bound hardly depends on batches.
FAST = layouts.Accelerator('fast', 100.0, 500.0)
SLOW = layouts.Accelerator('slow', 200.0, 1000.0)
LAYOUT = layouts.Layout(
    groups=(
        layouts.Group(0, 10, 2, FAST),
        layouts.Group(8, 16, 2, SLOW, link_delay=0.002),
        layouts.Group(14, 24, 2, FAST),
    ),
    slots=SLOTS,
)
# For prompts that share beginnings: equal servers, of which a cache holds a
# third of the beginnings. Its events are late, and one in ten is lost.
INSTRUCTED = layouts.Accelerator('instructed', 100.0, 500.0, prefill_us=10.0)
INSTRUCTED_LAYOUT = layouts.Layout(
    groups=(
        layouts.Group(0, 12, 4, INSTRUCTED),
        layouts.Group(12, 24, 4, INSTRUCTED),
    ),
    slots=SLOTS,
    engine_options=(
        *('--cache-blocks', '1024'),
        *('--cache-lag', '2'),
        *('--cache-loss', '0.1'),
    ),
)
PEAK = layouts.Layout(
    groups=(
        layouts.Group(0, 10, 2, FAST),
        layouts.Group(8, 16, 2, SLOW),
        layouts.Group(16, 24, 2, FAST),
    ),
)
FAULTS = (
    'none',
    'kill-engine',
    'kill-side',
    'freeze-side',
    'kill-entry',
    'store-out',
    'store-slow',
    'switch-preset',
    'retire-server',
)


def measure(
    name: str,
    mix: mixes.Mix,
    fraction: float,
    seconds: float,
    seed: int,
    policy: str = 'lowest-cost',
    fault: str = 'none',
) -> measures.Figures:
    """Run one load on a new fleet.

    :param fraction: offered tokens over the hardware's bound
    """
    layout = layout_for(mix)
    bound = bounds.tokens_a_second(layout, mix)
    requests = list(mixes.generate(mix, fraction * bound, seconds, seed))
    fault_at = None if fault == 'none' else seconds * 0.5
    layout = dataclasses.replace(layout, entry_settings={'routing': policy})
    with fleets.running(layout) as fleet:
        if fault_at is not None:
            eventlet.spawn_after(fault_at + 0.5, strike, fleet, fault)
        load = callers.run(fleet, mix, requests)
        return measures.figures(name, load, bound, seconds, fault_at)


def layout_for(mix: mixes.Mix) -> layouts.Layout:
    """Return the fleet that a mix is measured on."""
    return INSTRUCTED_LAYOUT if mix.beginnings else LAYOUT


def strike(fleet: fleets.Fleet, fault: str) -> None:
    """Cause one fault."""
    match fault:
        case 'kill-engine':
            fleet.kill(f'engine-{busiest(fleet)}')
        case 'kill-side':
            fleet.kill(f'side-{busiest(fleet)}')
        case 'freeze-side':
            fleet.freeze(f'side-{busiest(fleet)}')
        case 'kill-entry':
            fleet.kill('entry-1')
        case 'store-out':
            fleet.set_faults('store', outage=True)
        case 'store-slow':
            fleet.set_faults('store', delay=0.5)
        case 'retire-server':
            server = ids.ServerId(busiest(fleet))
            fleet.operate(changes.RetireServer(server))
        case 'switch-preset':
            fleet.operate(
                changes.PutPreset(PEAK.preset('peak')),
                changes.SwitchPreset(ids.PresetId('peak'), fleets.PRESET),
            )


def busiest(fleet: fleets.Fleet) -> str:
    """Return the head server with the most open sequences."""
    heads = [s for s, group in fleet.layout.engines() if group.first == 0]

    def sequences(server: str) -> int:
        status = fleet.get_json(f'engine-{server}', '/v1/status')
        return status['sequences'] if status else -1

    return max(heads, key=sequences)
