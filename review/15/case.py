"""A faulty replica spoils one answer in fifty: a success without its seal."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig_3 import clients  # noqa: E402
from rig_3 import fleet as fleets  # noqa: E402

REQUESTS = 150
SPOIL_EACH = 50
TARGET = '/oneway2/2f'
SEAL = 'burdockmast-response-seal'


def script(fleet):
    """Return whether a client got a success without a replica's seal."""
    found = fleets.configuration()
    found['routes'].append(
        fleets.route(
            'r-once',
            '/oneway2/',
            'streaming',
            fleets.PLAIN_SERVICE,
            **{'gap-aim-ms': 200},
        )
    )
    fleet.store.put('config', 'main', found)
    options = [f'spoil={SPOIL_EACH}'] if fleet.has_trouble else []
    fleets.Replica(fleet, 'i-7f3a91c2', fleets.PLAIN_SERVICE, options)
    fleets.Replica(fleet, 'i-02d9e6b4', fleets.PLAIN_SERVICE)
    gateway = fleets.Gateway(fleet, 1)
    fleet.wait_for(gateway.is_ready, 'the gateway')
    unsealed = 0
    for _ in range(REQUESTS):
        answer = clients.ask(fleet.host, gateway.front, 'POST', TARGET)
        is_success = 200 <= answer.status < 300
        if is_success and SEAL not in answer.reply.headers:
            unsealed += 1
            fleet.record(f'{answer.describe()}: {answer.reply.body!r}')
    fleet.record(f'{unsealed} of {REQUESTS} streams: success, no seal')
    return unsealed > 0


fleets.run(__file__, script)
