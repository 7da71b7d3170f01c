"""Requests to servers that name a limit in their answers."""

import eventlet

# The operators' rule: in some seconds a server gets at most so many times what
# its limit allows, and some requests more.
WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5


def most_in_a_window(times):
    """Return the largest number of times within one window."""
    return max(
        sum(first <= at < first + WINDOW_SECONDS for at in times)
        for first in times
    )


def allowed(limit):
    return LIMIT_FACTOR * limit * WINDOW_SECONDS + LIMIT_SLACK


def test_a_plain_server_gets_no_more_calls_than_it_names(platform):
    limited = platform.apps[0]
    limited.limit = 1.0
    for _ in range(60):
        assert platform.ask('/lookup/x', 'GET')[0] == 200
        eventlet.sleep(0.05)
    received = [seen.at for seen in limited.requests]
    assert most_in_a_window(received) <= allowed(limited.limit)


def test_a_model_server_gets_no_more_requests_than_it_names(platform):
    """Requests begin at another server with the same layers meanwhile."""
    platform.ask('/draft/first')
    limited = next(e for e in platform.engines if e.requests)
    limited.limit = 1.0
    for number in range(60):
        assert platform.ask(f'/draft/{number}')[0] == 200
    received = [seen.at for seen in limited.requests]
    assert most_in_a_window(received) <= allowed(limited.limit)
