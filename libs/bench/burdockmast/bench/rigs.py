"""What the measurements share: a small fleet, and work at several sizes."""

from collections.abc import Callable

import eventlet

from burdockmast.bench import slopes
from burdockmast.standins import fleets
from burdockmast.standins import layouts

# Streams open at once at one entry, as at the target's peak.
STREAMS = 256
# Three equal stages that together take about 26 ms a token.
STEADY = layouts.Accelerator('steady', 1000.0, 0.0)
# Engines that take no time, where only the daemons matter.
INSTANT = layouts.Accelerator('instant', 0.0, 0.0, 0.0)


def pipeline(accelerator: layouts.Accelerator) -> layouts.Layout:
    """Return a layout of one engine for each of three stages."""
    return layouts.Layout(
        groups=tuple(
            layouts.Group(first, first + 8, 1, accelerator)
            for first in (0, 8, 16)
        ),
        services=1,
        entries=1,
        slots=2 * STREAMS,
    )


def each_size(
    fleet: fleets.Fleet,
    names: tuple[str, ...],
    sizes: tuple[int, ...],
    work: Callable[[int], None],
) -> dict[str, list[float]]:
    """Return the processor time that each process spent at each size."""
    spent: dict[str, list[float]] = {name: [] for name in names}
    for size in sizes:
        before = {name: slopes.cpu_us(fleet.pid(name)) for name in names}
        work(size)
        for name in names:
            after = slopes.cpu_us(fleet.pid(name))
            spent[name].append(after - before[name])
    return spent


def run_all(count: int, at_once: int, work: Callable[[int], object]) -> None:
    """Call ``work`` with each number below ``count``, some at once."""
    pool = eventlet.GreenPool(at_once)
    for _ in pool.imap(work, range(count)):
        pass
