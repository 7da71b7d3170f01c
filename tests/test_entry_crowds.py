"""Many callers of an entry at once that send bodies without end.

They check only that the process lives, that its memory and descriptors stay
bounded, and that an ordinary request is answered afterwards.
"""

import http.client
import itertools
import urllib.parse

import crowds
import eventlet
import pytest

from burdockmast.standins import fleets
from burdockmast.standins import layouts
from burdockmast.standins import processes

MIB = 1024 * 1024
BODY_BYTES = 8 * MIB
CALLERS = 40
# Above the memory before the callers; a fifth of 256 MiB is for bodies, which
# are held twice for a moment.
MAX_GROWTH_MIB = 120
# Above the descriptors before the callers.
MAX_LEFT_DESCRIPTORS = 5
PATH = '/v1/chat/completions'
CHUNKED = {'Transfer-Encoding': 'chunked'}
SMALL_CHUNKS = b'1\r\nx\r\n' * 10_000


class Target:
    """An entry of a fleet, as crowds of callers use it."""

    def __init__(self, fleet, name):
        """Take the address of an entry."""
        found = urllib.parse.urlsplit(fleet.url(name))
        self._address = found.hostname, found.port

    def connect(self):
        """Connect to the entry."""
        connection = http.client.HTTPConnection(*self._address)
        connection.sock = eventlet.connect(self._address)
        return connection

    def headers(self, path):
        """Return the headers of a sound request."""
        return {
            'Host': 'h.example',
            'Burdockmast-Organisation': fleets.ORGANISATION,
        }


def stalled():
    """Yield most of a body within the limit."""
    return itertools.repeat(b'x' * 65536, BODY_BYTES // 65536 - 1)


def small_chunks():
    """Yield chunks of a byte without end."""
    return itertools.repeat(SMALL_CHUNKS)


CROWDS = {
    'stalled': ({'Content-Length': str(BODY_BYTES)}, stalled),
    'chunks-of-1': (CHUNKED, small_chunks),
}


@pytest.mark.parametrize('name', CROWDS)
def test_crowd_takes_neither_memory_nor_descriptors(own_fleet, name):
    """Each body was bounded alone, whatever all of them took."""
    fleet = own_fleet(
        groups=(layouts.Group(0, layouts.Layout().layers, 1),),
        entries=1,
        services=0,
        entry_settings={'body_bytes': BODY_BYTES},
    )
    (entry,) = fleet.entries
    pid = fleet.pid(entry)
    memory_mib = crowds.resident_mib(pid)
    descriptors = crowds.descriptor_count(pid)
    crowd = crowds.Crowd(Target(fleet, entry), CALLERS)
    try:
        crowd.send(PATH, *CROWDS[name])
        fleet.check_alive()
        growth_mib = crowds.peak_mib(pid) - memory_mib
    finally:
        crowd.close()
    assert fleet.complete([1], 1, entry).status == 200
    processes.wait_until(
        lambda: (
            crowds.descriptor_count(pid) <= descriptors + MAX_LEFT_DESCRIPTORS
        ),
        'descriptors closed',
    )
    fleet.check_alive()
    assert growth_mib <= MAX_GROWTH_MIB
