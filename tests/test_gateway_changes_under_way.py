"""Requests that an older configuration admitted, while a newer one applies."""

import copy

import eventlet
import platforms
import pytest

EVENTS = 60


def remove_routes(configuration):
    configuration['routes'] = configuration['routes'][-1:]
    configuration['routes'][0]['path-prefix'] = '/other/'


def remove_services(configuration):
    remove_routes(configuration)
    configuration['services'] = []


def shorten_timeouts(configuration):
    for route in configuration['routes']:
        route['timeout-ms'] = 1


def allow_one_attempt(configuration):
    for route in configuration['routes']:
        route['max-attempts'] = 1
        route['resumable'] = False


def move_traffic(configuration):
    for route in configuration['routes']:
        route['traffic-split'] = [{'service': 'elsewhere', 'weight': 1.0}]
        route['service'] = 'elsewhere'


def remove_engines(configuration):
    for service in configuration['services']:
        service.pop('engine', None)


def remove_keys(configuration):
    configuration['tenants'][0]['api-keys'] = ['another']


CHANGES = [
    remove_routes,
    remove_services,
    shorten_timeouts,
    allow_one_attempt,
    move_traffic,
    remove_engines,
    remove_keys,
]


def apply(platform, change):
    configuration = copy.deepcopy(platforms.CONFIGURATION)
    configuration['version'] += 1
    change(configuration)
    platform.store.put('config', 'main', configuration)
    platform.wait_for(lambda: platform.logged('configuration applied')[1:])


@pytest.mark.parametrize('change', CHANGES)
@pytest.mark.parametrize('path', ['/draft/x', '/draft/plain/x'])
def test_a_stream_goes_on_as_the_configuration_that_admitted_it_says(
    platform, path, change
):
    """It is broken off, and goes on elsewhere, after the change."""
    for server in (*platform.engines, *platform.apps):
        server.event_count = EVENTS
        server.pause_before_event = 8
        server.pause_seconds = 0.4
    platform.store.break_next_stream_after = 20
    asked = eventlet.spawn(platform.ask, path)
    servers = (*platform.engines, *platform.apps)
    platform.wait_for(lambda: platforms.requests_at(servers))
    apply(platform, change)
    assert not platform.logged('stream attempt failed')
    status, _, body = asked.wait()
    assert (status, body) == (200, platforms.events(1, EVENTS))
    assert len({r.server for r in platforms.requests_at(servers)}) == 2


@pytest.mark.parametrize('change', CHANGES)
@pytest.mark.parametrize('crashes', [False, True])
def test_a_call_is_answered_as_the_configuration_that_admitted_it_says(
    platform, crashes, change
):
    for app in platform.apps:
        app.body_pause_seconds = 0.8
    asked = eventlet.spawn(platform.ask, '/lookup/x')
    platform.wait_for(lambda: platforms.requests_at(platform.apps))
    apply(platform, change)
    first = next(app for app in platform.apps if app.requests)
    if crashes:
        first.crash()
    status, _, body = asked.wait()
    answering = next(
        app for app in platform.apps if (app is first) is not crashes
    )
    assert (status, body) == (200, f'answer of {answering.id}'.encode())


@pytest.mark.parametrize('change', CHANGES)
def test_a_call_that_may_run_once_is_answered_though_its_route_changes(
    platform, change
):
    for app in platform.apps:
        app.body_pause_seconds = 0.8
    asked = eventlet.spawn(platform.ask, '/confirm/x')
    platform.wait_for(lambda: platforms.requests_at(platform.apps))
    apply(platform, change)
    assert asked.wait()[0] == 200
    assert len(platforms.requests_at(platform.apps)) == 1
