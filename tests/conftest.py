"""Fixtures shared by all tests."""

import warnings

warnings.filterwarnings('ignore', message=r'\s*Eventlet is deprecated')

import pytest  # noqa: E402

from burdockmast.standins import fleets  # noqa: E402
from burdockmast.standins import layouts  # noqa: E402


@pytest.fixture(scope='session')
def shared_fleet(tmp_path_factory):
    """A whole fleet for tests that leave it as they found it."""
    fleet = fleets.Fleet(tmp_path_factory.mktemp('fleet'))
    try:
        fleet.start_all()
        yield fleet
    finally:
        fleet.close()


@pytest.fixture
def own_fleet(tmp_path):
    """Start fleets for one test, which may hurt them."""
    started = []

    def start(relay_sides=False, **layout):
        fleet = fleets.Fleet(tmp_path, layouts.Layout(**layout))
        started.append(fleet)
        fleet.start_all(relay_sides)
        return fleet

    yield start
    for fleet in started:
        fleet.close()
