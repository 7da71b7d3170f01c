"""No reply reaches callers of an entry whose status is not a final one."""

import types

import msgspec
import pytest

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.claims import records
from burdockmast.entry import refusals
from burdockmast.entry import services
from burdockmast.wire import messages

INVALID_STATUSES = (-1, 0, 1, 99, 100, 101, 199, 600, 999, 2000)
VALID_STATUSES = (200, 204, 299, 304, 404, 500, 599)
SERVER = types.SimpleNamespace(id='app-1', address='10.0.0.1:1')


class Link:
    """A link to a side process, whose service replies with a status."""

    closed = None
    hello = types.SimpleNamespace(server=SERVER.id, process='p')
    address = SERVER.address

    def __init__(self, status):
        self.status = status

    def request(self, message, seconds):
        return messages.ServiceReply(
            message.call,
            outcomes.Outcome.RAN,
            self.status,
            (),
            b'body',
            None,
            '',
            1,
        )


def ask(status, *, key='', is_idempotent=False, earlier=None):
    """Return what a caller gets of a reply with a status.

    :param earlier: returns the state of the key before the call, of its claim
    """
    link = Link(status)
    client = services.ServiceClient(
        types.SimpleNamespace(
            events=types.SimpleNamespace(
                clock=1, add=lambda *args, **extra: 1, advance_clock=int
            ),
            metrics=types.SimpleNamespace(count=lambda name: None),
            follower=None,
        ),
        types.SimpleNamespace(
            knows_service=lambda service: True,
            connected_servers=lambda service: [SERVER],
            may_have_service=lambda *args: False,
            peers=types.SimpleNamespace(get=lambda address: link),
        ),
    )
    call = services.Call(
        'r1',
        'app',
        'POST',
        '/x',
        (),
        b'',
        key,
        is_idempotent,
        timers.now() + 5.0,
    )

    def submit(request_id, record, deadline):
        if earlier and isinstance(record, records.Claim):
            return earlier(call, record)
        return records.KeyState(record, 1)

    client._submit = submit
    return client.call(call)


def done(call, claim):
    """Return the state of a key whose outcome is stored."""
    return records.KeyState(
        claim, 1, records.Done(call.key, 1, int(call.key), (), b'body')
    )


def another_s(call, claim):
    """Return the state of a key that another call has claimed."""
    return records.KeyState(
        msgspec.structs.replace(claim, claimant='another'), 1
    )


WAYS = {
    'once': lambda status: ask(status),
    'idempotent': lambda status: ask(status, is_idempotent=True),
    'claimed': lambda status: ask(status, key='k'),
    'resolved': lambda status: ask(status, key='k', earlier=another_s),
    'replayed': lambda status: ask(200, key=str(status), earlier=done),
}


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('status', INVALID_STATUSES)
def test_an_invalid_status_reaches_no_caller(way, status):
    """Guards against status 0 of a side process in a caller's status line."""
    found = WAYS[way](status)
    assert isinstance(found, failures.Failure)
    assert found.outcome is outcomes.Outcome.UNKNOWN
    assert refusals.status_of(found) == '409 Conflict'


@pytest.mark.parametrize('way', WAYS)
@pytest.mark.parametrize('status', VALID_STATUSES)
def test_a_final_status_reaches_callers(way, status):
    found = WAYS[way](status)
    assert isinstance(found, services.Reply)
    assert found.status == status
