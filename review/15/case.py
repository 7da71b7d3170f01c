"""A configuration whose mean token counts are fractions is never in force."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from rig_3 import clients  # noqa: E402
from rig_3 import fleet as fleets  # noqa: E402

APPLY_SECONDS = 2.0
WATCHED_SECONDS = 8.0
# Of the requests that a model service was sent lately.
PROMPT_MEAN = 772.4
ANSWER_MEAN = 154.2


def script(fleet):
    """Return whether a route that was added is refused late with 404."""
    fleet.store.put('config', 'main', fleets.configuration(7))
    fleets.Replica(fleet, 'i-7f3a91c2', fleets.PLAIN_SERVICE)
    fleets.Replica(fleet, 'i-02d9e6b4', fleets.MODEL_SERVICE)
    gateway = fleets.Gateway(fleet, 1)
    fleet.wait_for(gateway.is_ready, 'the gateway')
    time.sleep(3.0)

    def ask(what, method, target, **given):
        answer = clients.ask(
            fleet.host, gateway.front, method, target, **given
        )
        fleet.record(f'{what}: {answer.describe()}')
        return answer.status

    old = {
        'a lookup': ('GET', '/cufi504/2f', {}),
        'a stream': (
            'POST',
            '/lohu930/2f',
            {'Burdockmast_Token_Counts': '760,154'},
        ),
    }
    for what, (method, target, given) in old.items():
        if ask(f'version 7, {what}', method, target, **given) != 200:
            raise fleets.UnusableError('no answers in calm')
    changed = fleets.configuration(8)
    changed['routes'].append(
        fleets.route('r-new', '/added77/', 'safe', fleets.PLAIN_SERVICE)
    )
    if fleet.has_trouble:
        for service in changed['services']:
            if 'engine' in service:
                service['engine']['usual'] = {
                    'prompt': PROMPT_MEAN,
                    'answer': ANSWER_MEAN,
                }
    fleet.store.put('config', 'main', changed)
    acknowledged_at = time.monotonic()
    fleet.record('version 8 is acknowledged; it adds a route')
    late = []
    while (
        since := time.monotonic() - acknowledged_at
    ) < APPLY_SECONDS + WATCHED_SECONDS:
        status = ask(f'{since:.2f} s later, added route', 'GET', '/added77/2f')
        if since > APPLY_SECONDS:
            late.append(status)
        time.sleep(0.2)
    fleet.record(f'the added route, later than {APPLY_SECONDS} s: {late}')
    for what, (method, target, given) in old.items():
        ask(f'at the end, {what}', method, target, **given)
    return 404 in late


fleets.run(__file__, script)
