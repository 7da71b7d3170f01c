"""Decodes the entries that backend servers write to the platform's store."""

import msgspec

from burdockmast.base import addresses
from burdockmast.base import ids
from burdockmast.base import json_values
from burdockmast.gateway import backends

KIND = 'servers'
READY = 'ready'
DRAINING = 'draining'
# Larger than all that a sound entry holds, and safe in messages of gateways.
MAX_INTEGER = 2**53
MAX_LAYERS = 100_000


class _Layers(
    msgspec.Struct, frozen=True, rename={'first': 'from', 'end': 'to'}
):
    """The range of layers that a server holds; ``end`` is exclusive."""

    first: int
    end: int


class _Entry(msgspec.Struct, frozen=True):
    """A backend server's entry.

    :ivar sequence: increases with each entry that the server writes, unlike
        the field of that name in reports, which counts orders
    :ivar kind: of its accelerator, empty if it has none
    :ivar born: when it started, in milliseconds since the epoch
    """

    service: str
    address: str
    zone: str
    state: str
    sequence: int = 0
    kind: str = ''
    born: int = 0
    layers: _Layers | None = None


def decode(name: str, spec: object) -> backends.BackendServer:
    """Decode an entry, whose name is the server's id.

    :raises msgspec.ValidationError: if it is not a valid entry
    """
    entry = json_values.convert(spec, _Entry)
    if entry.state not in (READY, DRAINING):
        raise msgspec.ValidationError(f'unknown state {entry.state!r}')
    address = addresses.parse(entry.address)
    if address is None:
        raise msgspec.ValidationError(
            f'address {entry.address!r} is not of the form IP:PORT'
        )
    for field, number in (('sequence', entry.sequence), ('born', entry.born)):
        if not 0 <= number <= MAX_INTEGER:
            raise msgspec.ValidationError(f'{field} {number} is out of range')
    layers = backends.NO_LAYERS
    if entry.layers and entry.layers.first < entry.layers.end:
        layers = backends.LayerRange(entry.layers.first, entry.layers.end)
    if layers.first < 0 or layers.end > MAX_LAYERS:
        raise msgspec.ValidationError(
            f'layers {layers.first} to {layers.end} are out of range'
        )
    return backends.BackendServer(
        id=ids.ServerId(name),
        service=ids.ServiceId(entry.service),
        address=address,
        zone=ids.ZoneId(entry.zone),
        is_ready=entry.state == READY,
        layers=layers,
        accelerator=entry.kind,
        started_ms=entry.born,
        entry_sequence=entry.sequence,
    )
