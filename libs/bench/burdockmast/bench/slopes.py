"""Costs as slopes: what one more token, peer or change costs a process."""

import msgspec
import numpy
import psutil

MICROSECONDS = 1e6


class Slope(msgspec.Struct):
    """A line fitted to measurements at several sizes.

    :ivar per: what one more of costs ``value``
    :ivar error: standard error of ``value``
    :ivar base: the line's value at size 0
    """

    name: str
    unit: str
    per: str
    sizes: list[float]
    measured: list[float]
    value: float
    error: float
    base: float


def fit(
    name: str,
    unit: str,
    per: str,
    sizes: list[float],
    measured: list[float],
) -> Slope:
    """Fit a line by least squares.

    :raises ValueError: with fewer than four sizes
    """
    if len(sizes) < 4:
        raise ValueError('a slope needs four sizes')
    x = numpy.array(sizes, float)
    y = numpy.array(measured, float)
    value, base = numpy.polyfit(x, y, 1)
    residual = y - (value * x + base)
    spread = ((x - x.mean()) ** 2).sum()
    error = (residual**2).sum() / (len(x) - 2) / spread
    return Slope(
        name,
        unit,
        per,
        [float(size) for size in sizes],
        [float(value) for value in measured],
        float(value),
        float(error**0.5),
        float(base),
    )


def fit_each(
    what: str,
    titles: tuple[str, ...],
    names: tuple[str, ...],
    sizes: list[float],
    spent: dict[str, list[float]],
) -> list[Slope]:
    """Fit the processor time of several processes.

    :param what: what one more of costs them
    :param spent: microseconds at each size, by the names of processes
    """
    return [
        fit(f'{title}: {what}', 'us', what, sizes, spent[name])
        for title, name in zip(titles, names, strict=True)
    ]


def highest(
    name: str, unit: str, sizes: list[float], measured: list[float]
) -> Slope:
    """Return measurements without a line through them, but their highest."""
    return Slope(name, unit, '', sizes, measured, max(measured), 0.0, 0.0)


def cpu_us(pid: int) -> float:
    """Return the processor time of a process so far, in microseconds."""
    times = psutil.Process(pid).cpu_times()
    return (times.user + times.system) * MICROSECONDS


def memory_bytes(pid: int) -> float:
    """Return the resident memory of a process."""
    return float(psutil.Process(pid).memory_info().rss)
