"""Servers that answer nobody for a while, and then go on."""

import collections

import eventlet
import platforms
import pytest

from burdockmast.platform import standin

# Requests that are sent after a pause, and the time between two of them.
REQUEST_COUNT = 40
REQUEST_INTERVAL_SECONDS = 0.1


def ask(platform, path='/draft/x'):
    return platform.ask(path, Burdockmast_Request_Id='new')[0]


def begin_streams(platform, count):
    """Let streams run at all servers for some seconds."""
    for engine in platform.engines:
        engine.pace_by_path['/draft/'] = standin.Pace(400, 0.01)
    tasks = [eventlet.spawn(platform.ask, '/draft/x') for _ in range(count)]
    platform.wait_for(
        lambda: len(platforms.requests_at(platform.engines)) == count
    )
    eventlet.sleep(0.2)
    for engine in platform.engines:
        engine.pace_by_path.clear()
    return tasks


@pytest.mark.parametrize('seconds', [0.7, 1.0, 1.6])
def test_no_new_request_is_refused_after_a_pause_of_all_servers(
    platform, seconds
):
    running = begin_streams(platform, 8)
    for engine in platform.engines:
        engine.fall_silent(seconds, with_reports=True)
    eventlet.sleep(seconds)
    asked = []
    for _ in range(REQUEST_COUNT):
        asked.append(eventlet.spawn(ask, platform))
        eventlet.sleep(REQUEST_INTERVAL_SECONDS)
    found = collections.Counter(task.wait() for task in asked)
    assert found == {200: REQUEST_COUNT}
    assert [task.wait()[0] for task in running] == [200] * len(running)
