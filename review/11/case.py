"""No model replica gets layers again after a loss of power.

The store's counter of changes stands above a thousand million, as after some
weeks of use. REVISION in the environment sets another value.
"""

import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig_3 import clients  # noqa: E402
from rig_3 import fleet as fleets  # noqa: E402

REVISION = int(os.environ.get('REVISION', '1200000000'))
DOWN_SECONDS = 1.2
RECOVER_SECONDS = 12.0
REQUESTS = 20
TARGET = '/lohu930/2f'


def ask(fleet, gateways, count):
    """Let clients ask for streams, and return how many got a whole one."""
    served = 0
    for number in range(count):
        gateway = gateways[number % len(gateways)]
        try:
            answer = clients.ask(
                fleet.host,
                gateway.front,
                'POST',
                TARGET,
                Burdockmast_Token_Counts='760,154',
            )
        except OSError as error:
            fleet.record(f'{gateway.name}: {error}')
            continue
        if answer.status == 200 and answer.reply.is_whole:
            served += 1
        elif number < len(gateways):
            text = answer.reply.body if answer.reply else b''
            fleet.record(f'{gateway.name}: {answer.describe()} {text!r}')
        time.sleep(0.2)
    return served


def script(fleet):
    """Return whether less than a quarter is served after the recovery."""
    fleet.store.put('config', 'main', fleets.configuration())
    replicas = [
        fleets.Replica(fleet, name, fleets.MODEL_SERVICE, ['model'])
        for name in ('i-7f3a91c2', 'i-02d9e6b4')
    ]
    gateways = [fleets.Gateway(fleet, number) for number in (1, 2)]
    has_ended = threading.Event()

    def report():
        while not has_ended.wait(0.2):
            for replica in replicas:
                replica.report_orders()

    threading.Thread(target=report, daemon=True).start()
    for gateway in gateways:
        fleet.wait_for(gateway.is_ready, gateway.name)
    fleet.wait_for(
        lambda: all(r.events('order') for r in replicas), 'the first orders'
    )
    time.sleep(3.0)
    before = ask(fleet, gateways, REQUESTS)
    fleet.record(f'in calm, {before} of {REQUESTS} streams are served')
    if before < REQUESTS:
        raise fleets.UnusableError('not all streams are served in calm')
    if fleet.has_trouble:
        for machine in (*gateways, *replicas):
            machine.process.kill()
        for machine in (*gateways, *replicas):
            machine.process.wait()
        fleet.record('all machines have lost power')
        time.sleep(DOWN_SECONDS)
        for machine in (*replicas, *gateways):
            machine.start()
        fleet.record('all machines are back; replicas start empty')
    orders = sum(len(r.events('order')) for r in replicas)
    time.sleep(RECOVER_SECONDS)
    served = ask(fleet, gateways, REQUESTS)
    fleet.record(f'{RECOVER_SECONDS:.0f} s later, {served} are served')
    found = sum(len(r.events('order')) for r in replicas) - orders
    fleet.record(f'orders that replicas have accepted since: {found}')
    for gateway in gateways:
        failed = gateway.log_lines('planner lock not acquired')
        if failed:
            fleet.record(
                f'{gateway.name} has logged {len(failed)} times that the '
                f'planner lock was not acquired: {failed[-1]["reason"][:90]}'
            )
    has_ended.set()
    return served < REQUESTS / 4


fleets.run(__file__, script, REVISION)
