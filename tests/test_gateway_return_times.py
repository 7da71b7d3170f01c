"""When callers of requests that were not run are told to return."""

import math
import random

import pytest

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.gateway import interfaces
from burdockmast.gateway import neighbours
from burdockmast.gateway.admission import return_times

OBJECTIVE_SECONDS = 0.5
CONFIGURATION_SECONDS = 4.0


def refusal(reason, step='stream.retry', retry_after=0.3):
    return failures.Failure(reason, step, retry_after=retry_after)


def return_time(failure, elapsed=0.0, others_confirm=True):
    refused = return_times.Refused(elapsed, OBJECTIVE_SECONDS)
    return return_times.with_return_time(
        failure, refused, others_confirm
    ).retry_after


@pytest.mark.parametrize(
    'reason',
    [
        failures.Reason.OVERLOADED,
        failures.Reason.ENGINE_REFUSED,
        failures.Reason.NO_PATH,
    ],
)
def test_callers_return_in_time_while_they_can(reason):
    """Callers were late only as they had been told to wait."""
    seconds = return_time(refusal(reason), elapsed=0.1)
    answered_at = 0.1 + 2 * seconds + return_times.FIRST_EVENT_SECONDS
    assert answered_at <= OBJECTIVE_SECONDS
    assert return_time(refusal(reason), elapsed=0.45) > seconds


@pytest.mark.parametrize('step', ['stream.limit', 'call.limit'])
def test_callers_wait_as_long_as_servers_ask(step):
    """Callers who returned at once met the same limit again."""
    limited = refusal(failures.Reason.OVERLOADED, step, retry_after=0.4)
    assert return_time(limited) == 0.4


def test_callers_wait_for_a_store_that_nobody_reaches():
    """All gateways would refuse them again."""
    stale = refusal(failures.Reason.STORE_UNAVAILABLE, retry_after=1.0)
    assert return_time(stale, others_confirm=False) == 1.0
    assert return_time(stale, others_confirm=True) < 0.3


def test_refusals_for_good_get_no_return_time():
    invalid = refusal(failures.Reason.BAD_REQUEST, retry_after=None)
    assert return_time(invalid) is None


@pytest.fixture
def clock():
    return [0.0]


@pytest.fixture
def known(clock):
    own = interfaces.GatewayRecord(
        'g-1', ids.ZoneId('a'), ids.Address('g-1:1')
    )
    return neighbours.Neighbours(own, random.Random(1), lambda: clock[0])


def hear(known, age, sender='g-2'):
    known.receive(
        neighbours.Message(
            sender,
            'a',
            f'{sender}:1',
            [],
            learned=neighbours.Learned(configuration_age=age),
        )
    )


def test_a_gateway_that_hears_nobody_sends_callers_to_others(known):
    """It is likely to be cut off alone."""
    assert known.others_confirm(CONFIGURATION_SECONDS)
    hear(known, math.inf)
    assert not known.others_confirm(CONFIGURATION_SECONDS)


def test_what_others_confirmed_grows_old(known, clock):
    hear(known, 1.0)
    assert known.others_confirm(CONFIGURATION_SECONDS)
    clock[0] = 3.5
    hear(known, 4.5)
    assert not known.others_confirm(CONFIGURATION_SECONDS)
    hear(known, 0.1, sender='g-3')
    assert known.others_confirm(CONFIGURATION_SECONDS)
