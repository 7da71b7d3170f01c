"""Many callers at once that send bodies without end, or in tiny chunks.

They check only that the process lives, that its memory and descriptors stay
bounded, and that an ordinary request is answered afterwards.
"""

import itertools
import os

import crowds
import eventlet
import platforms
import pytest

MIB = 1024 * 1024
MEMORY_MB = 100
LIMIT_BYTES = 4 * MIB
CALLERS = 40
# Above the memory before the callers. Their bodies may take a fifth of
# ``memory-mb``; the rest is for copies, buffers and the allocator.
MAX_GROWTH_MIB = 50
# Above the descriptors before the callers.
MAX_LEFT_DESCRIPTORS = 5
UNSAFE = '/confirm/x'
STREAMING = '/draft/unsafe/x'
CHUNKED = {'Transfer-Encoding': 'chunked'}
LARGE_CHUNK = b'10000\r\n' + b'x' * 65536 + b'\r\n'


def declared(size):
    """Return the header that names a length."""
    return {'Content-Length': str(size)}


def stalled_chunks():
    """Yield a body within the limit, but for its last bytes."""
    yield from itertools.repeat(LARGE_CHUNK, LIMIT_BYTES // 65536 - 1)
    yield b'ffd8\r\n' + b'x' * 65496


def endless_chunks():
    """Yield large chunks without end."""
    return itertools.repeat(LARGE_CHUNK)


def small_chunks(size):
    """Return what yields chunks of a size without end."""
    block = (b'%x\r\n%s\r\n' % (size, b'x' * size)) * 2000
    return lambda: itertools.repeat(block)


def plain(size, head=b''):
    """Return what yields bytes that follow an optional size line."""
    pieces = [head, *[b'x' * 65536] * (size // 65536)]
    return lambda: iter(pieces)


CROWDS = {
    'stalled-unsafe': (UNSAFE, CHUNKED, stalled_chunks),
    'stalled-streaming': (STREAMING, CHUNKED, stalled_chunks),
    'endless': (UNSAFE, CHUNKED, endless_chunks),
    'chunks-of-16': (UNSAFE, CHUNKED, small_chunks(16)),
    'chunks-of-1': (UNSAFE, CHUNKED, small_chunks(1)),
    'declared-over-limit': (
        UNSAFE,
        declared(32 * MIB),
        plain(32 * MIB),
    ),
    'declared-far-over-limit': (
        UNSAFE,
        declared(10**11),
        endless_chunks,
    ),
    'sent-over-limit': (
        UNSAFE,
        CHUNKED,
        plain(32 * MIB, b'2000000\r\n'),
    ),
    'declared-and-short': (
        UNSAFE,
        declared(LIMIT_BYTES),
        plain(LIMIT_BYTES - 65536),
    ),
}


@pytest.fixture
def small_platform(tmp_path):
    """A gateway with little memory."""
    found = platforms.Platform(tmp_path, os.getpid() % 60000)
    with found.file.open('a') as file:
        file.write(f'\n[limits]\nmemory-mb = {MEMORY_MB}\n')
    try:
        found.start()
        yield found
    finally:
        found.stop()


@pytest.mark.parametrize('name', CROWDS)
def test_crowd_takes_neither_memory_nor_descriptors(small_platform, name):
    """Evicted bodies kept their bytes; tiny chunks took all the time."""
    process = small_platform.process
    memory_mib = crowds.resident_mib(process.pid)
    descriptors = crowds.descriptor_count(process.pid)
    crowd = crowds.Crowd(small_platform, CALLERS)
    try:
        crowd.send(*CROWDS[name])
        assert process.poll() is None
        growth_mib = crowds.peak_mib(process.pid) - memory_mib
    finally:
        crowd.close()
    assert small_platform.ask('/lookup/x', 'GET')[0] == 200
    small_platform.wait_for(
        lambda: (
            crowds.descriptor_count(process.pid)
            <= descriptors + MAX_LEFT_DESCRIPTORS
        )
    )
    assert process.poll() is None
    assert growth_mib <= MAX_GROWTH_MIB


def test_slow_but_steady_body_of_exactly_the_limit_is_served(small_platform):
    """Limits on callers must not refuse a sound body that takes its time."""
    size = 512 * 1024
    small_platform.store.put(
        'config',
        'main',
        {
            **platforms.CONFIGURATION,
            'version': 9,
            'limits': {'max-body-bytes': size},
        },
    )
    small_platform.wait_for(
        lambda: (
            small_platform.ask('/confirm/x', body=b'x' * (size + 1))[0] == 413
        )
    )
    for app in small_platform.apps:
        app.requests.clear()
    connection = small_platform.connect()
    connection.putrequest('POST', UNSAFE, skip_host=True)
    for name, value in {**small_platform.headers(UNSAFE), **CHUNKED}.items():
        connection.putheader(name, value)
    connection.endheaders()
    chunk = b'x' * 1024
    for _ in range(size // len(chunk)):
        connection.send(b'400\r\n' + chunk + b'\r\n')
        eventlet.sleep(0.005)
    connection.send(b'0\r\n\r\n')
    with eventlet.Timeout(platforms.TEST_TIMEOUT_SECONDS):
        assert connection.getresponse().status == 200
    seen = platforms.requests_at(small_platform.apps)
    assert [len(request.body) for request in seen] == [size]
