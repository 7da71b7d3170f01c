"""Many callers at once that send heads or bodies without end, or datagrams.

They check only that the process lives, that its memory and descriptors stay
bounded, and that an ordinary request is answered afterwards.
"""

import itertools
import os

import crowds
import eventlet
import msgspec
import platforms
import pytest

from burdockmast.gateway import leaving_servers
from burdockmast.gateway import neighbours

MIB = 1024 * 1024
MEMORY_MB = 100
LIMIT_BYTES = 4 * MIB
CALLERS = 40
# Above the memory before the callers. Their bodies may take a fifth of
# ``memory-mb``; the rest is for copies, buffers and the allocator.
MAX_GROWTH_MIB = 50
# Above the descriptors before the callers.
MAX_LEFT_DESCRIPTORS = 5
# Time for which descriptors of callers that have left may stay open.
MAX_DESCRIPTOR_SECONDS = 3.0
# Of a head that never ends.
HEAD_BYTES = 2 * MIB
SENDERS = 20
# Start time that the stand-in's servers name.
STARTED_MS = 1000
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


def forged(number, count, leaving=()):
    """Return a datagram of a gateway that doesn't exist.

    :param count: servers of which it names the load
    :param leaving: servers of which it says that they leave
    """
    load_by_server = {f'i-{number}-{n}': (1, 1.0) for n in range(count)}
    name = f'z-{number}'
    return msgspec.msgpack.encode(
        neighbours.Message(
            name,
            'b',
            '127.0.0.1:9',
            [neighbours.SourceLoad(name, load_by_server)],
            learned=neighbours.Learned(leaving=list(leaving)),
        )
    )


def hosts(count):
    """Return loopback addresses at which no gateway is."""
    return [f'127.99.0.{number + 1}' for number in range(count)]


def set_intake(platform, line):
    """Start the gateway again with a setting of the section ``intake``."""
    platform.stop()
    with platform.file.open('a') as file:
        file.write(f'[intake]\n{line}\n')
    platform.start()


def check_flood(platform, sources, datagrams):
    """Check that a gateway withstands datagrams and answers afterwards."""
    process = platform.process
    memory_mib = crowds.resident_mib(process.pid)
    descriptors = crowds.descriptor_count(process.pid)
    crowds.flood(f'{platform.host}:7010', sources, datagrams)
    assert platform.ask('/lookup/x', 'GET')[0] == 200
    assert process.poll() is None
    assert crowds.peak_mib(process.pid) - memory_mib <= MAX_GROWTH_MIB
    assert (
        crowds.descriptor_count(process.pid)
        <= descriptors + MAX_LEFT_DESCRIPTORS
    )


def test_forged_datagrams_mark_no_servers_as_leaving(small_platform):
    """Anybody could send what only gateways may say."""
    set_intake(small_platform, "neighbours-key = 'known-to-gateways-only'")
    leaving = [
        leaving_servers.LeavingNews(app.id, STARTED_MS)
        for app in small_platform.apps
    ]
    datagrams = (forged(n, 1, leaving) for n in itertools.count())
    check_flood(small_platform, hosts(SENDERS), datagrams)


def test_datagrams_from_one_address_take_little_memory(small_platform):
    """Each made-up gateway and its loads were kept."""
    set_intake(small_platform, 'neighbour-datagrams-per-s = 20')
    datagrams = (forged(n, 400) for n in itertools.count())
    check_flood(small_platform, hosts(1) * SENDERS, datagrams)


def test_datagrams_larger_than_those_of_gateways_are_dropped(small_platform):
    """Datagrams of any size were decoded, from any number of addresses."""
    set_intake(small_platform, 'max-neighbour-datagram-bytes = 4096')
    datagrams = (forged(n, 2400) for n in itertools.count())
    check_flood(small_platform, hosts(SENDERS), datagrams)


def test_unfinished_heads_take_little_memory(small_platform):
    """Heads were bounded one by one only, whatever all of them took."""
    small_platform.store.put(
        'config',
        'main',
        {
            **platforms.CONFIGURATION,
            'version': 9,
            'limits': {'max-header-bytes': HEAD_BYTES},
        },
    )
    small_platform.wait_for(
        lambda: (
            small_platform.ask('/none', 'GET', X_Long='x' * 40_000)[0] == 404
        )
    )
    process = small_platform.process
    memory_mib = crowds.resident_mib(process.pid)
    descriptors = crowds.descriptor_count(process.pid)
    crowd = crowds.Crowd(small_platform, CALLERS)
    try:
        crowd.send_head(b'x' * (HEAD_BYTES - 4096))
        assert process.poll() is None
        growth_mib = crowds.peak_mib(process.pid) - memory_mib
        assert small_platform.ask('/lookup/x', 'GET')[0] == 200
    finally:
        crowd.close()
    small_platform.wait_for(
        lambda: (
            crowds.descriptor_count(process.pid)
            <= descriptors + MAX_LEFT_DESCRIPTORS
        )
    )
    assert process.poll() is None
    assert growth_mib <= MAX_GROWTH_MIB


def test_callers_that_leave_amid_small_chunks_leave_no_descriptors(
    small_platform,
):
    """What they had sent was parsed to its end before they were missed."""
    process = small_platform.process
    descriptors = crowds.descriptor_count(process.pid)
    crowd = crowds.Crowd(small_platform, CALLERS)
    try:
        crowd.send(UNSAFE, CHUNKED, small_chunks(6))
    finally:
        crowd.close()
    eventlet.sleep(MAX_DESCRIPTOR_SECONDS)
    assert process.poll() is None
    assert (
        crowds.descriptor_count(process.pid)
        <= descriptors + MAX_LEFT_DESCRIPTORS
    )
    assert small_platform.ask('/lookup/x', 'GET')[0] == 200
