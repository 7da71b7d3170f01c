"""Ranges of layers."""

from collections.abc import Iterable


def first_uncovered(ranges: Iterable[tuple[int, int]]) -> int:
    """Return how far ranges cover layers from 0 on without a hole.

    :param ranges: first layer, and the one after the last, of each
    """
    layer = 0
    for first, end in sorted(ranges):
        if first <= layer:
            layer = max(layer, end)
    return layer
