"""Streams whose sound servers send nothing for a while and then go on."""

import http.client

import eventlet
import platforms
import pytest

EVENTS = 20


def pause(platform, event, seconds):
    for server in (*platform.engines, *platform.apps):
        server.event_count = EVENTS
        server.pause_before_event = event
        server.pause_seconds = seconds


def answer(platform, path='/draft/x'):
    """Return the status and the part of the body that the caller got."""
    try:
        status, _, body = platform.ask(path)
    except http.client.IncompleteRead as error:
        return 'cut', error.partial
    return status, body


def fill_other_servers(platform, servers):
    """Let all servers but that of the stream refuse what comes next."""
    platform.wait_for(lambda: platforms.requests_at(servers))
    for server in servers:
        server.refuses = not server.requests


@pytest.mark.parametrize('event', [1, 8])
@pytest.mark.parametrize('seconds', [1.0, 1.6, 2.2])
def test_a_pause_of_the_only_server_ends_no_stream(platform, event, seconds):
    platform.store.remove('servers', platform.apps[1].id)
    pause(platform, event, seconds)
    found = answer(platform, '/draft/plain/x')
    assert found == (200, platforms.events(1, EVENTS))


@pytest.mark.parametrize('event', [1, 8])
@pytest.mark.parametrize('path', ['/draft/x', '/draft/plain/x'])
def test_a_pause_ends_no_stream_while_other_servers_are_full(
    platform, event, path
):
    pause(platform, event, 1.6)
    servers = platform.apps if 'plain' in path else platform.engines
    filling = eventlet.spawn(fill_other_servers, platform, servers)
    assert answer(platform, path) == (200, platforms.events(1, EVENTS))
    filling.wait()


@pytest.mark.parametrize('event', [1, 8])
def test_a_long_pause_ends_no_stream_that_has_no_attempt_left(platform, event):
    pause(platform, event, 3.0)
    found = answer(platform, '/draft/once/x')
    assert found == (200, platforms.events(1, EVENTS))
    assert len(platforms.requests_at(platform.engines)) == 1


def test_pauses_of_all_servers_end_no_stream(platform):
    pause(platform, 8, 2.5)
    asked = [eventlet.spawn(answer, platform) for _ in range(20)]
    found = [task.wait() for task in asked]
    assert found == [(200, platforms.events(1, EVENTS))] * 20
