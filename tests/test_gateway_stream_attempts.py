"""What the attempts of a stream are used up by."""

import http.client

import eventlet
import platforms
import pytest

from burdockmast.platform import standin

EVENTS = 60


def answer(platform, path):
    """Return the status and the part of the body that the caller got."""
    try:
        status, _, body = platform.ask(path)
    except http.client.IncompleteRead as error:
        return 'cut', error.partial
    return status, body


def break_streams(platform, after_events, count):
    """Let the next streams break off, one after the other."""

    def break_next():
        nonlocal count
        count -= 1
        if count >= 0:
            platform.store.break_next_stream_after = after_events

    platform.store.on_stream_break = break_next
    break_next()


def servers_asked(platform):
    servers = (*platform.engines, *platform.apps)
    return {seen.server for seen in platforms.requests_at(servers)}


@pytest.mark.parametrize('path', ['/draft/x', '/draft/plain/x'])
def test_a_pause_uses_up_no_attempt_of_a_stream_that_breaks_later(
    platform, path
):
    """A standby that had not delivered was cancelled meanwhile."""
    for server in (*platform.engines, *platform.apps):
        server.event_count = EVENTS
        server.pause_before_event = 8
        server.pause_seconds = 1.3
    break_streams(platform, 20, 1)
    assert answer(platform, path) == (200, platforms.events(1, EVENTS))
    assert len(servers_asked(platform)) == 2


@pytest.mark.parametrize('breaks', [1, 4])
def test_a_stream_with_one_attempt_goes_on_at_the_server_that_broke_it_off(
    platform, breaks
):
    for engine in platform.engines:
        engine.event_count = EVENTS
    break_streams(platform, 10, breaks)
    found = answer(platform, '/draft/once/x')
    assert found == (200, platforms.events(1, EVENTS))
    assert len(servers_asked(platform)) == 1


@pytest.mark.parametrize(
    ('path', 'servers'),
    [('/draft/x', 2), ('/draft/once/x', 1), ('/draft/plain/x', 2)],
)
def test_a_stream_runs_at_no_more_servers_than_its_route_allows(
    platform, path, servers
):
    for name in ('i-app2', 'i-app3'):
        platform.add_app(name)
    for server in (*platform.engines, *platform.apps):
        server.event_count = EVENTS
    break_streams(platform, 7, 6)
    assert answer(platform, path) == (200, platforms.events(1, EVENTS))
    assert 1 <= len(servers_asked(platform)) <= servers


def test_a_stream_that_only_breaks_off_is_not_sent_again_without_a_pause(
    platform,
):
    for engine in platform.engines:
        engine.event_count = EVENTS
        engine.pace_by_path['/draft/'] = standin.Pace(EVENTS, 0.05)
    break_streams(platform, 5, 1)
    asked = eventlet.spawn(
        platform.ask, '/draft/x', Burdockmast_Deadline_Ms='2500'
    )
    platform.wait_for(lambda: platforms.requests_at(platform.engines))
    break_streams(platform, 0, 1000)
    platform.store.break_next_stream_after = 5
    with pytest.raises(http.client.IncompleteRead):
        asked.wait()
    assert len(platforms.requests_at(platform.engines)) <= 16


def test_a_request_without_an_event_runs_as_often_as_its_route_allows(
    platform,
):
    break_streams(platform, 0, 1000)
    assert answer(platform, '/draft/x')[0] == 502
    assert len(platforms.requests_at(platform.engines)) == 2


@pytest.mark.parametrize('event', [1, 8])
def test_a_silent_stream_is_not_sent_once_more_to_the_server_that_has_it(
    platform, event
):
    """No other server holds its first layers."""
    for engine in platform.engines:
        engine.event_count = EVENTS
        engine.pause_before_event = event
        engine.pause_seconds = 3.0
    asked = eventlet.spawn(answer, platform, '/draft/x')
    platform.wait_for(lambda: platforms.requests_at(platform.engines))
    for engine in platform.engines:
        if engine.orders[-1]['from'] == 0 and not engine.requests:
            platform.store.remove('servers', engine.id)
    assert asked.wait() == (200, platforms.events(1, EVENTS))
    assert len(platforms.requests_at(platform.engines)) == 1


def test_a_pause_uses_up_no_attempt_of_a_stream_that_is_stuck_later(platform):
    """The server that it is stuck at sends nothing and closes nothing."""
    for engine in platform.engines:
        engine.pace_by_path['/draft/'] = standin.Pace(100, 0.02)
        engine.pause_before_event = 8
        engine.pause_seconds = 1.3
    asked = eventlet.spawn(answer, platform, '/draft/x')
    platform.wait_for(lambda: platforms.requests_at(platform.engines))
    first = next(e for e in platform.engines if e.requests)
    eventlet.sleep(2.0)
    first.fall_silent(30.0, with_reports=True)
    with eventlet.Timeout(10):
        assert asked.wait() == (200, platforms.events(1, 100))
    assert len(servers_asked(platform)) == 2
