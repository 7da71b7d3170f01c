"""Decodes the entries that backend servers write of themselves."""

import msgspec

from burdockmast.base import ids
from burdockmast.gateway import backends

KIND = 'servers'
READY = 'ready'
DRAINING = 'draining'


class _Layers(
    msgspec.Struct, frozen=True, rename={'first': 'from', 'end': 'to'}
):
    """The range that is held; ``to`` is exclusive."""

    first: int
    end: int


class _Entry(msgspec.Struct, frozen=True):
    """An entry.

    ``sequence`` counts what the server wrote here, unlike the field of that
    name in reports, which counts orders.
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
    """Decode an entry; its name is the server's id.

    :raises msgspec.ValidationError: if a server did not write it
    """
    entry = msgspec.convert(spec, _Entry)
    if entry.state not in (READY, DRAINING):
        raise msgspec.ValidationError(f'state {entry.state!r} is not known')
    host, _, port = entry.address.partition(':')
    if not host or not port.isdecimal():
        raise msgspec.ValidationError(f'address {entry.address!r} is none')
    held = backends.NO_LAYERS
    if entry.layers and entry.layers.first < entry.layers.end:
        held = backends.LayerRange(entry.layers.first, entry.layers.end)
    return backends.BackendServer(
        id=ids.ServerId(name),
        service=ids.ServiceId(entry.service),
        address=ids.Address(entry.address),
        zone=ids.ZoneId(entry.zone),
        is_ready=entry.state == READY,
        layers=held,
        accelerator=entry.kind,
        started_ms=entry.born,
        entry_sequence=entry.sequence,
    )
