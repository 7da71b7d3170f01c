"""The whole path on one machine, for a first look."""

import json
import time

import click

from burdockmast.base import ids
from burdockmast.operator import queries
from burdockmast.standins import fleets
from burdockmast.standins import layouts

TOKENS = 8


def run(seconds: float) -> None:
    """Start a fleet, answer one request, wait until interrupted.

    :param seconds: end by itself after this time; 0 to wait for the user
    """
    click.echo('Starting engines, services, sides and entries.')
    with fleets.running(layouts.Layout()) as fleet:
        try:
            _show(fleet)
            _wait(seconds)
        except KeyboardInterrupt:
            click.echo('Stopping.')


def _show(fleet: fleets.Fleet) -> None:
    answer = fleet.complete([1, 2, 3], TOKENS, stream=True)
    request = answer.headers['Burdockmast-Request-Id']
    click.echo(f'A streamed answer of {TOKENS} tokens, request {request}:')
    path = _path(fleet, ids.RequestId(request))
    for number, event in enumerate(answer.data.decode().split('\n\n')):
        if '"delta":{"content"' in event:
            content = json.loads(event[len('data: ') :])
            token = content['choices'][0]['delta']['content'].strip()
            click.echo(f'  token {number} = {token:>8}  through {path}')
    store = fleet.url('store')
    click.echo('Try, in another terminal:')
    for command in (
        f'burdockmast status --store {store}',
        f'burdockmast explain {request} --store {store}',
        f'burdockmast server list --store {store}',
    ):
        click.echo(f'  {command}')
    for entry in fleet.entries:
        click.echo(f'Entry at {fleet.url(entry)}/v1/chat/completions')


def _path(fleet: fleets.Fleet, request: ids.RequestId) -> str:
    """Return the servers and layers that a request's tokens passed."""
    addresses = [server.address for server in fleet.servers]
    addresses += [
        ids.Address(fleet.address_by_name[f'{entry}-peer'])
        for entry in fleet.entries
    ]
    found, _ = queries.fetch_events(addresses, request)
    paths = [e.fields['path'] for e in found if e.what == 'answer.started']
    return ', then '.join(' -> '.join(path) for path in paths)


def _wait(seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while not seconds or time.monotonic() < deadline:
        time.sleep(0.1)
