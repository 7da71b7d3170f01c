"""Configuration changes and the records that they carry."""

import enum
import functools
from typing import Annotated

import msgspec

from burdockmast.base import ids

Weight = Annotated[float, msgspec.Meta(gt=0)]
LayerIndex = Annotated[int, msgspec.Meta(ge=0)]


class ServerKind(enum.Enum):
    """What runs on a backend server."""

    ENGINE = 'engine'
    SERVICE = 'service'


class ServerState(enum.Enum):
    """Whether a backend server gets new work."""

    ACTIVE = 'active'
    DRAINING = 'leaving'


class Model(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A model and its number of layers."""

    id: ids.ModelId
    layers: Annotated[int, msgspec.Meta(ge=1)]


class Placement(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, omit_defaults=True
):
    """Layers ``first`` up to, not including, ``end`` on a server or a pool.

    Exactly one of ``server`` and ``pool`` is given. A server's own placement
    takes precedence over that of its pool.
    """

    server: ids.ServerId = ids.ServerId('')
    model: ids.ModelId = ids.ModelId('')
    first: LayerIndex = 0
    end: LayerIndex = 0
    pool: ids.PoolId = ids.PoolId('')

    @property
    def target(self) -> str:
        """Name of the server or the pool, for messages."""
        return self.server or f'pool {self.pool}'


class Organisation(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An organisation and its weight when the fleet is shared under load."""

    id: ids.OrganisationId
    weight: Weight = 1.0


class Preset(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, dict=True
):
    """What the fleet serves while this preset is in force."""

    id: ids.PresetId
    models: tuple[Model, ...]
    placements: tuple[Placement, ...]
    organisations: tuple[Organisation, ...]

    @functools.cached_property
    def model_by_id(self) -> dict[ids.ModelId, Model]:
        """Models of this preset, by id."""
        return {model.id: model for model in self.models}

    @functools.cached_property
    def placement_by_server(self) -> dict[ids.ServerId, Placement]:
        """Placements that name a single server, by that server."""
        return {p.server: p for p in self.placements if p.server}

    @functools.cached_property
    def placement_by_pool(self) -> dict[ids.PoolId, Placement]:
        """Placements that name a pool, by that pool."""
        return {p.pool: p for p in self.placements if p.pool}

    @functools.cached_property
    def organisation_by_id(self) -> dict[ids.OrganisationId, Organisation]:
        """Organisations of this preset, by id."""
        return {o.id: o for o in self.organisations}


class Server(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A backend server, reached through the side process beside it.

    :ivar pool: pool whose servers presets place together, empty for none
    """

    id: ids.ServerId
    address: ids.Address
    zone: ids.ZoneId
    kind: ServerKind = ServerKind.ENGINE
    accelerator: str = ''
    service: ids.ServiceId = ids.ServiceId('')
    state: ServerState = ServerState.ACTIVE
    pool: ids.PoolId = ids.PoolId('')


class PutPreset(msgspec.Struct, tag='put_preset', frozen=True):
    """Create or replace a preset that is not in force."""

    preset: Preset


class SwitchPreset(msgspec.Struct, tag='switch_preset', frozen=True):
    """Put a preset in force if ``expected`` is the one in force now."""

    preset: ids.PresetId
    expected: ids.PresetId


class AddServer(msgspec.Struct, tag='add_server', frozen=True):
    """Add or replace a backend server, or return a draining one to use."""

    server: Server


class RetireServer(msgspec.Struct, tag='retire_server', frozen=True):
    """Drain a backend server: it gets no new work."""

    server: ids.ServerId


class RemoveServer(msgspec.Struct, tag='remove_server', frozen=True):
    """Remove a draining backend server from the configuration."""

    server: ids.ServerId


Body = PutPreset | SwitchPreset | AddServer | RetireServer | RemoveServer


class Change(msgspec.Struct, frozen=True):
    """An operator's change; its id identifies it when a write is repeated."""

    id: ids.ChangeId
    author: str
    body: Body
