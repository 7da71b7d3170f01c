"""Servers that start after they were first dialled get work at once."""

import socket

import msgspec
import program

from burdockmast.base import addresses
from burdockmast.fleet import changes
from burdockmast.standins import layouts

GROUPS = (layouts.Group(0, 24, 1, layouts.FAST),)
# Servers joined in a row, since each join falls at a random moment between two
# dials.
JOIN_COUNT = 3


def announce(fleet, **server):
    """Add a server to the configuration before its side process starts."""
    address = fleet.add_address(f'side-{server["id"]}')
    new = changes.Server(address=address, zone='za', **server)
    accepted = fleet.operate(changes.AddServer(new))
    entry = fleet.entries[0]
    program.wait_until(
        lambda: fleet.ready(entry)['version'] >= accepted.version,
        'known to the entry',
    )


def listens(address):
    """Tell whether a process accepts connections."""
    try:
        socket.create_connection(addresses.split(address), 1.0).close()
    except ConnectionRefusedError:
        return False
    return True


def test_engine_that_was_dialled_too_early_serves_once_it_holds_layers(
    own_fleet,
):
    """Proves: a replacement server gets requests, and none of them fails."""
    fleet = own_fleet(services=0, groups=GROUPS, entries=1)
    fleet.operate(
        changes.AddServer(msgspec.structs.replace(fleet.servers[0], pool='p')),
        changes.PutPreset(
            changes.Preset(
                'pooled',
                (changes.Model(layouts.MODEL, 24),),
                (changes.Placement('', layouts.MODEL, 0, 24, 'p'),),
                fleet.layout.organisations,
            )
        ),
        changes.SwitchPreset('pooled', 'ordinary'),
    )
    last = 'e1'
    for number in range(JOIN_COUNT):
        name = f'e{number + 2}'
        url = fleet.start_engine(name, layouts.FAST)
        announce(fleet, id=name, pool='p')
        fleet.start_side(name, 'za', engine_url=url)
        program.wait_until(lambda n=name: fleet.holds_layers(n), name)
        fleet.kill(f'side-{last}')
        reply = fleet.complete([number], 5)
        assert program.answer_tokens(reply) == program.expected_tokens(
            [number], 5
        )
        last = name


def test_service_that_was_dialled_too_early_gets_reads_once_it_listens(
    own_fleet,
):
    """Proves: a read is not lost with the server that it went to."""
    fleet = own_fleet(services=1, groups=GROUPS, entries=1)
    last = 's1'
    for number in range(JOIN_COUNT):
        name = f's{number + 2}'
        url = fleet.start_service(name)
        announce(
            fleet,
            id=name,
            kind=changes.ServerKind.SERVICE,
            service=layouts.SERVICE,
        )
        fleet.start_side(name, 'za', service_url=url)
        address = fleet.address_by_name[f'side-{name}']
        program.wait_until(lambda a=address: listens(a), name)
        fleet.wait_for_services()
        fleet.kill(f'side-{last}')
        assert fleet.call('stock/x', method='GET').status == 200
        last = name
