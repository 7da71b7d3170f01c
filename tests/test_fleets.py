"""The fleets that other tests run on."""

import pytest

from burdockmast.base import failures
from burdockmast.operator import queries
from burdockmast.standins import fleets
from burdockmast.standins import layouts

LATE_SIDE = 'side-s2'


class LateFleet(fleets.Fleet):
    """A fleet with a side process that starts once both entries serve."""

    def start(self, name, *command):
        super().start(name, *command)
        if name == LATE_SIDE:
            self.freeze(name)

    def serves(self, entry):
        found = super().serves(entry)
        if found and entry == self.entries[-1]:
            self.thaw(LATE_SIDE)
        return found


@pytest.fixture
def late_fleet(tmp_path):
    fleet = LateFleet(tmp_path, layouts.Layout())
    yield fleet
    fleet.close()


def test_started_fleet_has_no_side_that_refuses_connections(late_fleet):
    """A started fleet used to lack servers that no entry needed at first."""
    late_fleet.start_all()
    for server in late_fleet.servers:
        reply = queries.send_query(server.address, 'status')
        assert not isinstance(reply, failures.Failure), server.id
    lines = [late_fleet.log(entry) for entry in late_fleet.entries]
    for server in late_fleet.servers:
        assert all(f'"peer_server":"{server.id}"' in log for log in lines)
