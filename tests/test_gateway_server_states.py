"""Silent servers are told from lost ones."""

import dataclasses

import pytest

from burdockmast.base import failures
from burdockmast.gateway import backends
from burdockmast.gateway import server_states

SERVER = backends.BackendServer(
    'i-1', 's', 'h:1', 'a', True, backends.NO_LAYERS, '', 1, 1
)
Evidence = server_states.Evidence
State = server_states.State


@pytest.fixture
def states(clock):
    return server_states.ServerStates()


@pytest.mark.parametrize(
    ('reason', 'step', 'evidence'),
    [
        ('PEER_SILENT', 'backend.connect', Evidence.NO_ANSWER),
        ('DEADLINE', 'backend.head', Evidence.NO_ANSWER),
        ('ENGINE_LOST', 'backend.head', Evidence.NO_ANSWER),
        ('ENGINE_LOST', 'backend.connect', Evidence.CONNECTION_REFUSED),
    ],
)
def test_only_a_refused_connection_shows_a_loss(reason, step, evidence):
    failure = failures.Failure(failures.Reason[reason], step)
    assert server_states.evidence_of(failure) is evidence


@pytest.mark.parametrize(
    ('evidence', 'state', 'after_answer', 'after_event'),
    [
        ('NO_ANSWER', State.UNRESPONSIVE, State.SOUND, State.SOUND),
        ('REQUESTS_STALL', State.LOST, State.LOST, State.SOUND),
        ('CONNECTION_REFUSED', State.LOST, State.LOST, State.LOST),
    ],
)
def test_a_sign_of_life_ends_only_what_it_refutes(
    states, evidence, state, after_answer, after_event
):
    states.record(SERVER, Evidence[evidence])
    assert states.state('i-1') is state
    assert states.in_state(state) == {'i-1'}
    changed = states.record_answer('i-1')
    assert states.state('i-1') is after_answer
    assert changed is (after_answer is not state)
    states.record_event('i-1')
    assert states.state('i-1') is after_event


def test_silence_does_not_replace_a_loss(states):
    states.record(SERVER, Evidence.CONNECTION_REFUSED)
    states.record(SERVER, Evidence.NO_ANSWER)
    assert states.state('i-1') is State.LOST


def test_evidence_expires(states, clock):
    states.record(SERVER, Evidence.CONNECTION_REFUSED)
    clock.now += server_states.EVIDENCE_VALID_SECONDS
    assert states.state('i-1') is State.SOUND
    assert states.failed_since(['i-1'], 0.0) == []
    states.record(SERVER, Evidence.NO_ANSWER)
    assert states.state('i-1') is State.UNRESPONSIVE


def test_a_restarted_server_is_not_taken_for_the_one_before(states):
    states.record(SERVER, Evidence.CONNECTION_REFUSED)
    states.keep_listed({'i-1': SERVER})
    assert states.state('i-1') is State.LOST
    states.keep_listed({'i-1': dataclasses.replace(SERVER, started_ms=2)})
    assert states.state('i-1') is State.SOUND


def test_an_unlisted_server_is_forgotten(states):
    states.record(SERVER, Evidence.NO_ANSWER)
    states.keep_listed({})
    assert states.state('i-1') is State.SOUND
