"""What a fleet on one machine consists of."""

import dataclasses
from typing import Any

from burdockmast.base import ids
from burdockmast.fleet import changes

MODEL = ids.ModelId('draft')
SERVICE = ids.ServiceId('stock')
ZONES = ('za', 'zb', 'zc')


@dataclasses.dataclass(frozen=True, slots=True)
class Accelerator:
    """A kind of accelerator, as the options of a stand-in engine.

    :ivar layer_us: microseconds of each layer in each iteration
    :ivar sequence_us: microseconds of each layer and sequence
    :ivar prefill_us: microseconds of each layer and prompt token
    """

    name: str
    layer_us: float
    sequence_us: float
    overhead_us: float = 200.0
    prefill_us: float = 0.2

    def options(self) -> tuple[str, ...]:
        """Return the stand-in engine's options."""
        return (
            '--layer-us',
            str(self.layer_us),
            '--sequence-us',
            str(self.sequence_us),
            '--overhead-us',
            str(self.overhead_us),
            '--prefill-us',
            str(self.prefill_us),
        )


FAST = Accelerator('fast', 50.0, 1.0)
SLOW = Accelerator('slow', 100.0, 2.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """Equal backend servers.

    :ivar link_delay: seconds that the network adds before them, one way
    """

    first: int
    end: int
    count: int
    accelerator: Accelerator = FAST
    link_delay: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """A fleet: engines in unequal, overlapping layer ranges, and more.

    :ivar instance_lag: seconds that the platform's instance list lags; None
        for a platform without one
    :ivar weight_rate: layers a second that the weight store gives; None for
        engines that load without one
    """

    layers: int = 24
    groups: tuple[Group, ...] = (
        Group(0, 10, 2),
        Group(8, 16, 2),
        Group(16, 24, 2),
    )
    services: int = 2
    entries: int = 2
    slots: int = 64
    organisations: tuple[changes.Organisation, ...] = (
        changes.Organisation(ids.OrganisationId('souk')),
    )
    engine_options: tuple[str, ...] = ()
    service_options: tuple[str, ...] = ()
    store_options: tuple[str, ...] = ()
    instance_lag: float | None = None
    weight_rate: float | None = None
    entry_settings: dict[str, Any] = dataclasses.field(default_factory=dict)
    side_settings: dict[str, Any] = dataclasses.field(default_factory=dict)

    def engines(self) -> list[tuple[ids.ServerId, Group]]:
        """Return the engine servers with their groups."""
        found: list[tuple[ids.ServerId, Group]] = []
        for group in self.groups:
            for _ in range(group.count):
                name = f'e{len(found) + 1}'
                found.append((ids.ServerId(name), group))
        return found

    def preset(self, name: str) -> changes.Preset:
        """Return the preset that places the layers so."""
        return changes.Preset(
            ids.PresetId(name),
            (changes.Model(MODEL, self.layers),),
            tuple(
                changes.Placement(server, MODEL, group.first, group.end)
                for server, group in self.engines()
            ),
            self.organisations,
        )
