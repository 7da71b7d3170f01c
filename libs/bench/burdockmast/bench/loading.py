"""Measures how soon a fleet serves when all its engines load at once."""

import time

import msgspec

from burdockmast.standins import fleets
from burdockmast.standins import layouts

# Layers a second that the weight store gives, for all engines together.
WEIGHT_RATE = 40.0
GROUPS = (
    layouts.Group(0, 12, 6),
    layouts.Group(12, 24, 6),
)
POLL_SECONDS = 0.05


class Loading(msgspec.Struct):
    """How soon a fleet served.

    :ivar at_once: servers of the model that might load at the same time
    :ivar first: seconds until every layer was held by some engine
    :ivar all: seconds until every engine held its layers
    """

    at_once: int
    first: float
    all: float


def measure(at_once: int) -> Loading:
    """Start a fleet with an empty weight cache; return when it served."""
    layout = layouts.Layout(
        groups=GROUPS,
        services=0,
        entries=1,
        weight_rate=WEIGHT_RATE,
        side_settings={'loads_at_once': at_once},
    )
    with fleets.running(layout) as fleet:
        names = [name for name, _ in layout.engines()]
        for name in names:
            fleet.kill(f'engine-{name}')
        for name in names:
            fleet.start(f'engine-{name}')
        began = time.monotonic()
        first = 0.0
        while True:
            held = [_held(fleet, name) for name in names]
            seconds = time.monotonic() - began
            if not first and len(set(held) - {None}) == len(GROUPS):
                first = seconds
            if None not in held:
                return Loading(at_once, first, seconds)
            time.sleep(POLL_SECONDS)


def _held(fleet: fleets.Fleet, name: str) -> int | None:
    """Return the first layer that an engine holds, None for no layers."""
    status = fleet.get_json(f'engine-{name}', '/v1/status')
    if not status or not status['held']:
        return None
    return status['held']['first']
