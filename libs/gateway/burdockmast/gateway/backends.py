"""Backend servers as the platform lists them."""

import dataclasses

from burdockmast.base import ids


@dataclasses.dataclass(frozen=True, slots=True)
class LayerRange:
    """Layers ``first`` up to, not including, ``end``."""

    first: int
    end: int

    def __len__(self) -> int:
        """Return how many layers these are."""
        return self.end - self.first


NO_LAYERS = LayerRange(0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One listed backend server.

    :ivar is_ready: takes new work
    :ivar layers: layers that it reports to hold
    :ivar accelerator: of its accelerator, empty if it has none
    :ivar started_ms: start of this incarnation, milliseconds since the epoch
    :ivar entry_sequence: counts what the incarnation has written of itself
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

    def is_older_than(self, other: 'BackendServer') -> bool:
        """Tell whether this was written before ``other``."""
        return (self.started_ms, self.entry_sequence) < (
            other.started_ms,
            other.entry_sequence,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """A part of a path: a server and the layers that it runs."""

    server: BackendServer
    first: int
    end: int
