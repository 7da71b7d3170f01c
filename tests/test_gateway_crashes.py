"""Requests that crash the servers which run them."""

import eventlet
import platforms

from burdockmast.platform import standin

# Crashes of which all gateways may need to learn, and requests that may still
# reach servers after that, by the operators' rule.
LEARNING_CRASHES = 5
LATE_REQUESTS = 3
DEADLY_PART = 'dead01'
DEADLY_PARTS = f'5a5a:100,{DEADLY_PART}:100,%x:50'
SOUND_PARTS = '5a5a:100,50d0:100,%x:50'


def crash_on(platform, deadly):
    for server in [*platform.engines, *platform.apps]:
        server.crashes_on = deadly


def wait_for_service(platform):
    """Wait until a sound request with the same first part is served."""
    platform.wait_for(
        lambda: (
            platform.ask(
                '/draft/sound', Burdockmast_Prefix_Hash=SOUND_PARTS % 1
            )[0]
            == 200
        )
    )


def ask_deadly(platform, number):
    return platform.ask(
        f'/draft/{number}',
        Burdockmast_Prefix_Hash=DEADLY_PARTS % (number + 16),
        Burdockmast_Request_Id=f'r{number}',
    )


def deadly_requests(servers):
    return [
        seen
        for seen in platforms.requests_at(servers)
        if DEADLY_PART
        in seen.header_by_name.get('burdockmast-prefix-hash', '')
    ]


def test_requests_with_a_part_that_crashes_servers_are_stopped(platform):
    crash_on(platform, DEADLY_PART)
    for number in range(8):
        ask_deadly(platform, number)
        wait_for_service(platform)
    found = deadly_requests(platform.engines)
    assert len(found) <= LEARNING_CRASHES + LATE_REQUESTS


def test_a_stream_goes_on_after_more_crashes_than_attempts(platform):
    """Its route allows two attempts, and two of its servers crash."""
    for engine in platform.engines:
        engine.event_count = 200
        engine.requests.clear()

    def crash_two():
        for _ in range(2):
            platform.wait_for(lambda: platforms.requests_at(platform.engines))
            eventlet.sleep(2 * standin.RESTART_SECONDS)
            for engine in platform.engines:
                if engine.requests:
                    engine.crash()
                    engine.requests.clear()

    crashing = eventlet.spawn(crash_two)
    status, _, body = platform.ask('/draft/x')
    crashing.wait()
    assert status == 200
    assert body == platforms.events(1, 200)


def test_a_quarantine_outlasts_the_gateway_process(platform):
    crash_on(platform, DEADLY_PART)
    for number in range(3):
        ask_deadly(platform, number)
        wait_for_service(platform)
    kept = platform.store.objects_by_kind['burdockmast-quarantines']
    platform.wait_for(
        lambda: any(
            DEADLY_PART in stored['spec']['fingerprint']
            for stored in kept.values()
        )
    )
    platform.stop()
    platform.start()
    wait_for_service(platform)
    for number in range(3, 6):
        ask_deadly(platform, number)
    assert not deadly_requests(platform.engines)


def test_a_call_that_crashes_servers_is_stopped(platform):
    crash_on(platform, '/lookup/deadly')
    for _ in range(12):
        platform.ask('/lookup/deadly', 'GET')
        platform.wait_for(
            lambda: platform.ask('/lookup/sound', 'GET')[0] == 200
        )
        eventlet.sleep(0.3)
    found = [
        seen
        for seen in platforms.requests_at(platform.apps)
        if seen.path == '/lookup/deadly'
    ]
    assert len(found) <= LEARNING_CRASHES + LATE_REQUESTS
