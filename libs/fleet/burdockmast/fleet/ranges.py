"""Coverage of a model by layer ranges."""

from collections.abc import Iterable


def first_uncovered(ranges: Iterable[tuple[int, int]]) -> int:
    """Return the first layer that no range covers.

    :param ranges: first layer of each range, and the layer after its last
    """
    layer = 0
    for first, end in sorted(ranges):
        if first <= layer:
            layer = max(layer, end)
    return layer
