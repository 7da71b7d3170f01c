"""The throughput that the hardware allows, as a maximum flow."""

import networkx

from burdockmast.base import ids
from burdockmast.bench import mixes
from burdockmast.standins import layouts

MICROSECONDS = 1e6
# Precision of the bound, in tokens a second.
PRECISION = 0.5


def layer_tokens(group: layouts.Group, slots: int, prefilled: float) -> float:
    """Return the layers times tokens that a server runs in a second.

    It is full: each iteration runs one token of every slot.

    :param prefilled: tokens of prompts for each token of an answer
    """
    layers = group.end - group.first
    cost = group.accelerator
    token_us = cost.sequence_us + prefilled * cost.prefill_us
    micros = cost.overhead_us + layers * (cost.layer_us + slots * token_us)
    return slots * layers * MICROSECONDS / micros


def tokens_a_second(layout: layouts.Layout, mix: mixes.Mix) -> float:
    """Return the most tokens a second that all layers together allow.

    Each server may spread its work over the layers that it holds; each
    token needs every layer once. Beginnings that prompts share are cached.
    """
    prefilled = mix.mean_prompt / mix.mean_tokens
    carried = {
        server: layer_tokens(group, layout.slots, prefilled)
        for server, group in layout.engines()
    }
    low, high = 0.0, 1e6
    while high - low > PRECISION:
        rate = (low + high) / 2
        if _carries(layout, carried, rate):
            low = rate
        else:
            high = rate
    return low


def _carries(
    layout: layouts.Layout, carried: dict[ids.ServerId, float], rate: float
) -> bool:
    graph = networkx.DiGraph()
    for server, group in layout.engines():
        graph.add_edge('source', server, capacity=carried[server])
        for layer in range(group.first, group.end):
            graph.add_edge(server, layer)
    for layer in range(layout.layers):
        graph.add_edge(layer, 'sink', capacity=rate)
    flow = networkx.maximum_flow_value(graph, 'source', 'sink')
    return flow >= rate * layout.layers - PRECISION
