"""Requests that crash servers are stopped, with real processes."""

import pytest

from burdockmast.bench import deadly_requests
from burdockmast.platform import standin


@pytest.mark.parametrize('outage', list(standin.Outage))
def test_deadly_requests_are_stopped(outage):
    found = deadly_requests.play(1, outage, 15.0, gateways=3, kinds=4)
    assert min(found.crashes_by_path.values()) >= 1
    assert not found.violations, found
