"""The whole path on one machine, for a first look."""

import time

import click

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
    answer = fleet.complete([1, 2, 3], TOKENS)
    click.echo(f'An answer of {TOKENS} tokens: {answer.data.decode()}')
    request = answer.headers['Burdockmast-Request-Id']
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


def _wait(seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while not seconds or time.monotonic() < deadline:
        time.sleep(0.1)
