"""Backend servers as the platform lists them."""

import dataclasses
from typing import NamedTuple

from burdockmast.base import ids


@dataclasses.dataclass(frozen=True, slots=True)
class LayerRange:
    """The layers from ``first`` up to, but not including, ``end``."""

    first: int
    end: int

    def __len__(self) -> int:
        """Return the number of layers."""
        return self.end - self.first


NO_LAYERS = LayerRange(0, 0)


class Incarnation(NamedTuple):
    """One start of a server.

    :ivar started_ms: milliseconds since the epoch
    """

    server: ids.ServerId
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One listed backend server.

    :ivar is_ready: accepts new requests
    :ivar layers: that it holds, by its own entry in the store
    :ivar accelerator: name of the accelerator kind, empty if it has none
    :ivar started_ms: start of this incarnation, milliseconds since the epoch
    :ivar entry_sequence: increases with each entry that the incarnation
        writes
    """

    id: ids.ServerId
    service: ids.ServiceId
    address: ids.Address
    zone: ids.ZoneId
    is_ready: bool
    layers: LayerRange
    accelerator: str
    started_ms: int
    entry_sequence: int

    @property
    def incarnation(self) -> Incarnation:
        """The start of the server that wrote this entry."""
        return Incarnation(self.id, self.started_ms)

    def is_older_than(self, other: 'BackendServer') -> bool:
        """Return whether this entry was written before ``other``."""
        return (self.started_ms, self.entry_sequence) < (
            other.started_ms,
            other.entry_sequence,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """One step of a path: a server and the layers that it runs.

    The layers are those from ``first`` up to, but not including, ``end``.
    """

    server: BackendServer
    first: int
    end: int
