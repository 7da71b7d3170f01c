"""The measurements behind the capacity page, each over several sizes."""

from collections.abc import Callable

from burdockmast.bench import control
from burdockmast.bench import datapath
from burdockmast.bench import slopes

EXPERIMENTS: dict[str, Callable[[], list[slopes.Slope]]] = {
    'tokens': datapath.tokens,
    'requests': datapath.requests,
    'calls': datapath.calls,
    'claims': control.claims,
    'keys': control.kept_keys,
    'peers': control.peers,
    'changes': control.configuration_changes,
    'presets': control.preset_sizes,
    'servers': control.known_servers,
    'streams': datapath.streams,
}
