"""Configuration changes and what they are made of."""

import enum
import functools
from typing import Annotated

import msgspec

from burdockmast.base import ids

Weight = Annotated[float, msgspec.Meta(gt=0)]
Layers = Annotated[int, msgspec.Meta(ge=0)]


class ServerKind(enum.Enum):
    """What runs on a backend server."""

    ENGINE = 'engine'
    SERVICE = 'service'


class ServerState(enum.Enum):
    """Whether a backend server may get new work."""

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
    goes before that of its pool.
    """

    server: ids.ServerId = ids.ServerId('')
    model: ids.ModelId = ids.ModelId('')
    first: Layers = 0
    end: Layers = 0
    pool: ids.PoolId = ids.PoolId('')

    @property
    def target(self) -> str:
        """Name of the server or the pool."""
        return self.server or f'pool {self.pool}'


class Organisation(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An organisation and its share of a busy fleet."""

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
        """The models by their ids."""
        return {model.id: model for model in self.models}

    @functools.cached_property
    def placement_by_server(self) -> dict[ids.ServerId, Placement]:
        """What each server is to hold that is placed by itself."""
        return {p.server: p for p in self.placements if p.server}

    @functools.cached_property
    def placement_by_pool(self) -> dict[ids.PoolId, Placement]:
        """What the servers of each pool are to hold."""
        return {p.pool: p for p in self.placements if p.pool}

    @functools.cached_property
    def organisation_by_id(self) -> dict[ids.OrganisationId, Organisation]:
        """The organisations by their ids."""
        return {known.id: known for known in self.organisations}


class Server(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A backend server, reached through the side process beside it.

    :ivar pool: servers that presets can place together, empty for none
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
    """Put a preset in force in place of ``expected``."""

    preset: ids.PresetId
    expected: ids.PresetId


class AddServer(msgspec.Struct, tag='add_server', frozen=True):
    """Add a backend server, or let a leaving one serve again."""

    server: Server


class RetireServer(msgspec.Struct, tag='retire_server', frozen=True):
    """Give a backend server no new work."""

    server: ids.ServerId


class RemoveServer(msgspec.Struct, tag='remove_server', frozen=True):
    """Forget a backend server that is leaving."""

    server: ids.ServerId


Body = PutPreset | SwitchPreset | AddServer | RetireServer | RemoveServer


class Change(msgspec.Struct, frozen=True):
    """An operator's change, known again by its id."""

    id: ids.ChangeId
    author: str
    body: Body
