"""All keys are revoked; requests with revoked and unknown keys still run."""

import asyncio
import collections
import sys
import time

from rig import deployment

REVOKE_SECONDS = 5.0
APPLY_SECONDS = 2.0
KEYS = {'fes': ['key-fes-1', 'key-fes-2'], 'meknes': ['key-meknes-1']}
# Three keys, as on the days of the site: count = 3, gap_s = 0.1.
GAP_SECONDS = 0.1
INTERVAL_SECONDS = 0.15
CALM_SECONDS = 4.0
AFTER_SECONDS = 12.0
ROUTES = [
    {
        'name': 'confirm',
        'host': 'desk.example',
        'path-prefix': '/confirm/',
        'kind': 'unsafe',
        'timeout-ms': 1000,
        'slo-ms': 200,
        'priority': 2,
        'service': 'desk-app',
        'max-attempts': 2,
        'public': False,
    }
]


def tenants(keys: dict[str, list[str]]) -> list[dict]:
    """Return the tenants of a configuration."""
    return [{'name': name, 'api-keys': held} for name, held in keys.items()]


async def call_steadily(
    played: deployment.Deployment,
    gateway: deployment.Gateway,
    key: str,
    sent: dict[str, tuple[str, float]],
) -> None:
    """Send a request with a key every now and then."""
    number = 0
    while True:
        number += 1
        request = f'{key}.{number}'
        answer = await played.ask(
            gateway.front,
            'POST',
            f'/confirm/{number}',
            {
                'Host': 'desk.example',
                'Burdockmast-Request-Id': request,
                'Burdockmast-Deadline-Ms': 1000,
                'Burdockmast-Key': key,
            },
            b'{"shipment": 1}',
            1.0,
        )
        sent[request] = key, answer.sent_at
        played.note(f'sent {request}: {answer.status} {answer.error}')
        await asyncio.sleep(INTERVAL_SECONDS)


async def scene(played: deployment.Deployment) -> int:
    """Revoke all keys while callers use them; count requests that ran."""
    await played.start_store()
    for name in ('i-app-1', 'i-app-2'):
        await played.start_replica(name, 'desk-app')
    held = {name: list(keys) for name, keys in KEYS.items()}
    await played.put_configuration(
        {
            'routes': ROUTES,
            'services': [{'name': 'desk-app', 'health-path': '/health'}],
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 4194304,
                'header-timeout-ms': 3000,
                'idle-timeout-ms': 15000,
            },
            'tenants': tenants(held),
        }
    )
    gateways = [played.write_settings(f'front-{n}') for n in (1, 2)]
    for gateway in gateways:
        await gateway.start()
    sent: dict[str, tuple[str, float]] = {}
    keys = [key for of_tenant in KEYS.values() for key in of_tenant]
    callers = [
        asyncio.ensure_future(call_steadily(played, gateway, key, sent))
        for key, gateway in zip(
            [*keys, 'key-of-nobody'], gateways * 2, strict=True
        )
    ]
    await asyncio.sleep(CALM_SECONDS)
    revoked_at = {'key-of-nobody': 0.0}
    for name, of_tenant in KEYS.items():
        for key in of_tenant:
            if deployment.is_troubled():
                held[name].remove(key)
            acknowledged = await played.put_configuration(
                {'tenants': tenants(held)}
            )
            if deployment.is_troubled():
                revoked_at[key] = acknowledged + REVOKE_SECONDS
                played.note(f'{key} is revoked', acknowledged)
            await asyncio.sleep(GAP_SECONDS)
    await asyncio.sleep(AFTER_SECONDS)
    for caller in callers:
        caller.cancel()
    return judge(played, sent, revoked_at)


def judge(
    played: deployment.Deployment,
    sent: dict[str, tuple[str, float]],
    revoked_at: dict[str, float],
) -> int:
    """Count the requests that ran though their key was not valid."""
    broken: collections.Counter[str] = collections.Counter()
    ran = 0
    for run in played.runs():
        key, sent_at = sent.get(run['request'], ('', time.monotonic()))
        ran += 1
        played.note(
            f'{run["replica"]} runs {run["request"]} for tenant '
            f'{run["tenant"]}',
            run['at'],
        )
        if sent_at > revoked_at.get(key, float('inf')):
            broken[key] += 1
    played.note(f'{len(sent)} sent, {ran} run')
    for key, count in broken.items():
        played.note(f'{count} requests with {key} ran')
    if not ran:
        raise deployment.CannotRun('no request ran')
    return sum(broken.values())


if __name__ == '__main__':
    sys.exit(deployment.play('1', scene))
