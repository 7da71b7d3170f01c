"""Plots of figures, as SVG."""

import pathlib

import matplotlib

matplotlib.use('Agg')

from matplotlib import pyplot  # noqa: E402

from burdockmast.bench import measures  # noqa: E402


def draw(found: list[measures.Figures], path: pathlib.Path) -> None:
    """Draw throughput over the bound, and the time to the first token."""
    names = [figures.name for figures in found]
    chart, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    left.barh(names, [figures.ratio for figures in found], color='#4a7')
    left.axvline(1.0, color='#555', linestyle='--')
    left.set_xlabel('throughput over the bound of the hardware')
    right.barh(
        names, [figures.first_token.p95 for figures in found], color='#47a'
    )
    right.set_xlabel('time to the first token, 95 in 100, ms')
    right.set_yticklabels([])
    chart.tight_layout()
    chart.savefig(path)
    pyplot.close(chart)
