"""Attempts that are started while another one of the stream is silent."""

import eventlet
import eventlet.event
import greenlet
import pytest

from burdockmast.base import failures
from burdockmast.gateway import stream_standbys

FAILURE = failures.Failure(failures.Reason.ENGINE_LOST, 'backend.head')


class Attempt:
    """An attempt whose first events come when the test says so."""

    def __init__(self):
        self.first = eventlet.event.Event()
        self.has_been_closed = False

    def receive_first(self):
        try:
            return self.first.wait()
        except greenlet.GreenletExit:
            self.close()
            raise

    def close(self):
        self.has_been_closed = True


@pytest.fixture
def attempt():
    return Attempt()


@pytest.fixture
def failed():
    return []


@pytest.fixture
def standby(attempt, failed):
    found = stream_standbys.Standby(
        lambda: attempt, lambda *found: failed.append(found)
    )
    eventlet.sleep(0)
    return found


def test_a_standby_is_ready_once_it_delivers(standby, attempt, failed):
    assert standby.state is stream_standbys.State.OPENING
    attempt.first.send(None)
    standby.wait(1.0)
    assert standby.state is stream_standbys.State.READY
    assert not failed


def test_a_standby_that_fails_is_recorded(standby, attempt, failed):
    attempt.first.send(FAILURE)
    standby.wait(1.0)
    assert standby.has_ended
    assert failed == [(attempt, FAILURE)]


@pytest.mark.parametrize('is_ready', [False, True])
def test_a_cancelled_standby_ends_its_request(standby, attempt, is_ready):
    if is_ready:
        attempt.first.send(None)
        standby.wait(1.0)
    assert standby.cancel()
    eventlet.sleep(0)
    assert attempt.has_been_closed
    assert standby.has_ended


def test_a_standby_that_delivers_after_its_cancellation_is_closed(
    standby, attempt
):
    standby.cancel()
    attempt.first.send(None)
    eventlet.sleep(0)
    assert attempt.has_been_closed
    assert standby.state is stream_standbys.State.CANCELLED


def test_a_standby_without_a_path_may_not_have_run(failed):
    standby = stream_standbys.Standby(lambda: FAILURE, failed.append)
    standby.wait(1.0)
    assert standby.has_ended
    assert not standby.cancel()
    assert not failed


def test_an_unexpected_error_ends_only_the_standby():
    def open_attempt():
        raise ValueError('unexpected')

    standby = stream_standbys.Standby(open_attempt, None)
    standby.wait(1.0)
    assert standby.state is stream_standbys.State.FAILED
