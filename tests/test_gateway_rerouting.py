"""Running answers leave lost servers without a new attempt."""

import contextlib
import dataclasses
import errno
import socket
import time
import types

import eventlet
import eventlet.event
import msgspec
import pytest
import test_gateway_links as link_tests
import test_gateway_paths as fleets
import test_gateway_zone_balance as zones

from burdockmast.base import failures
from burdockmast.base import metrics
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import buffers
from burdockmast.gateway import crash_suspects
from burdockmast.gateway import crossings
from burdockmast.gateway import server_states
from burdockmast.gateway import silence
from burdockmast.gateway import stream_attempts
from burdockmast.gateway import stream_progress
from burdockmast.gateway import streams
from burdockmast.gateway import upstream
from burdockmast.gateway.rerouting import decision
from burdockmast.gateway.rerouting import detours
from burdockmast.gateway.rerouting import probes
from burdockmast.gateway.rerouting import rerouter
from burdockmast.platform import engine_client

RUNS = decision.StageState(False, 0.0, True)
LOST = decision.StageState(True, 0.0, False)
UNREACHABLE = decision.StageState(False, 0.05, False)
# Its connection is only slower than a round trip.
CONNECTING = decision.StageState(False, 0.01, False)


@pytest.mark.parametrize(
    'stages, changes, affected',
    [
        ([RUNS, RUNS, RUNS], 0, ()),
        ([RUNS, LOST, RUNS], 0, (1,)),
        ([RUNS, LOST, UNREACHABLE], 0, (1,)),
        ([RUNS, UNREACHABLE, RUNS], 0, (1,)),
        # It ran when the silence began.
        ([RUNS, decision.StageState(False, 0.05, True), RUNS], 0, (1,)),
        ([RUNS, UNREACHABLE, UNREACHABLE], 1, (1, 2)),
        # The first server holds the answer.
        ([LOST, LOST, RUNS], 0, ()),
        ([UNREACHABLE, RUNS], 0, ()),
        # It is not known that the others run.
        ([RUNS, UNREACHABLE, CONNECTING], 0, ()),
        # The gateway itself is cut off, or too busy to connect.
        ([RUNS, UNREACHABLE, UNREACHABLE, UNREACHABLE], 0, ()),
        # A request that ends its servers ends no more of them.
        ([RUNS, LOST, RUNS], 2, ()),
    ],
)
def test_only_servers_that_are_lost_alone_are_replaced(
    stages, changes, affected
):
    assert decision.affected_stages(stages, changes) == affected


@pytest.mark.parametrize(
    'objective, longest_pause, seconds',
    [
        (0.25, 0.0, 0.1),
        (0.25, 0.06, 0.1),
        (0.25, 0.12, 0.18),
        (0.25, 0.9, 0.2),
        (0.0, 0.0, 0.2),
        (5.0, 0.0, 0.2),
    ],
)
def test_a_silent_answer_is_looked_at_in_time_for_its_objective(
    objective, longest_pause, seconds
):
    found = decision.check_seconds(objective, longest_pause)
    assert found == pytest.approx(seconds)


def stages(*held):
    """Return a path of servers named by their position."""
    return tuple(
        backends.Stage(fleets.server(f's{index}', held=layers), *layers)
        for index, layers in enumerate(held)
    )


PATH = stages((0, 20), (20, 40), (40, 60), (60, 80))
SPARES = [
    fleets.server('spare', held=(15, 50)),
    fleets.server('late', held=(50, 80)),
]


def search(spares):
    """Return a search among servers; each room and crossing is recorded."""
    asked = []

    def run(layers, before, room, crossing):
        asked.append((layers, before.server.id, room, crossing))
        return fleets.path(spares, layers=layers)

    run.asked = asked
    return run


def test_neighbouring_lost_servers_are_replaced_together():
    found = detours.find(PATH, {1, 2}, search(SPARES))
    assert found[0] == PATH[0]
    assert found[-1] == PATH[3]
    fleets.assert_runs_every_layer_once(found)
    assert {s.server.id for s in found[1:-1]} == {'spare', 'late'}


@pytest.mark.parametrize(
    'affected, spares',
    [
        ({0}, SPARES),
        (set(), SPARES),
        ({1}, SPARES[1:]),
        # One server can't stand on a path twice.
        ({1, 3}, [fleets.server('only', held=(0, 80))]),
    ],
)
def test_no_path_is_returned_that_engines_would_reject(affected, spares):
    assert detours.find(PATH, affected, search(spares)) == ()


def test_no_path_is_longer_than_engines_take():
    held = [(2 * i, 2 * i + 2) for i in range(32)]
    spares = [fleets.server(f'd{i}', held=(2 + i, 3 + i)) for i in range(2)]
    assert detours.find(stages(*held), {1}, search(spares)) == ()
    assert len(detours.find(stages(*held[:31]), {1}, search(spares))) == 32


def test_other_zones_are_asked_last():
    asking = search([])
    detours.find(PATH, {2}, asking)
    layers = backends.LayerRange(40, 60)
    assert [a[0] for a in asking.asked] == [layers] * 3
    assert [a[3] for a in asking.asked] == [
        crossings.Crossing.NONE,
        crossings.Crossing.NONE,
        crossings.Crossing.FREE,
    ]


@dataclasses.dataclass
class Attempt:
    """A silent attempt, and the paths that it was accounted for."""

    path: tuple = PATH
    silent_since: float = 0.0
    silent_seconds: float = 0.1
    is_rerouting: bool = False
    path_changes: int = 0
    rerouted_at: float = float('-inf')
    last_event_id: int = 7
    has_ended: bool = False
    is_checked_early: bool = True
    recheck_seconds: float = 0.0
    servers: tuple = ()

    def check_early(self, check_seconds):
        self.is_checked_early = True

    def recheck_after(self, seconds):
        self.recheck_seconds = seconds

    def fetch_reports(self):
        pass

    def change_path(self, path):
        if not self.has_ended:
            self.path = path
        return not self.has_ended

    def restore_path(self, path):
        self.change_path(path)


class Fleet:
    """A view, a selector, an engine and probes with given answers."""

    def __init__(self, lost, answers):
        self.lost = set(lost)
        self.answers = list(answers)
        self.is_contended = True
        self.active_at = {}
        self.unanswered = {}
        self.orders = []
        self.asked = []
        spares = {'spare': (20, 60), 'other': (20, 60)}
        self.spares = [
            fleets.server(name, held=held) for name, held in spares.items()
        ]

    def admission_policy(self, service):
        return types.SimpleNamespace(is_contended=self.is_contended)

    def is_lost(self, server):
        return server in self.lost

    def all_active_since(self, servers, since):
        return all(
            server not in self.lost
            and since <= self.active_at.get(server, float('inf'))
            for server in servers
        )

    def unanswered_seconds(self, server):
        return self.unanswered.get(server, 0.0)

    def has_accepted_since(self, server, since):
        return server not in self.lost

    def ask(self, servers, request):
        self.asked += [server.id for server in servers]

    def find_detour(self, job, path, affected, failed):
        spares = [s for s in self.spares if s.id not in failed]
        return detours.find(path, affected, search(spares))

    def change_path(self, request, path):
        self.orders.append([stage.server.id for stage in path])
        return self.answers.pop(0)

    def rerouter(self):
        return rerouter.Rerouter(self, self, self, self, metrics.Metrics())


JOB = types.SimpleNamespace(
    id='r1',
    service=types.SimpleNamespace(
        id='draft',
        engine=dataclasses.replace(fleets.ENGINE, zone_delay_ms=20.0),
    ),
    route=None,
    seconds_left=9.0,
)


def refused_by(address):
    return failures.Failure(
        failures.Reason.ENGINE_REFUSED, 'engine.path', address
    )


def look_at(fleet, attempt):
    """Look at a silent attempt, and let the order be answered."""
    keeps = fleet.rerouter().keep(JOB, attempt)
    eventlet.sleep(0)
    eventlet.sleep(0)
    return keeps


def test_a_lost_server_is_replaced_and_the_others_stay():
    fleet, attempt = Fleet({'s1'}, [None]), Attempt()
    assert look_at(fleet, attempt)
    assert fleet.asked == ['s1']
    assert [s.server.id for s in attempt.path] in (
        ['s0', 'spare', 's2', 's3'],
        ['s0', 'other', 's2', 's3'],
    )
    fleets.assert_runs_every_layer_once(attempt.path)
    assert not attempt.is_rerouting
    assert look_at(fleet, Attempt()) and len(fleet.orders) == 2


def test_a_kept_server_that_the_engine_finds_lost_is_replaced_as_well():
    fleet, attempt = Fleet({'s1'}, [refused_by('s2:1'), None]), Attempt()
    look_at(fleet, attempt)
    assert len(fleet.orders) == 2
    assert not {'s1', 's2'} & {s.server.id for s in attempt.path}
    fleets.assert_runs_every_layer_once(attempt.path)


def test_a_server_without_room_is_not_asked_again():
    fleet, attempt = Fleet({'s1'}, []), Attempt()
    fleet.answers = [refused_by('spare:1'), None]
    fleet.spares.pop()
    look_at(fleet, attempt)
    assert len(fleet.orders) == 1
    assert attempt.path == PATH


@pytest.mark.parametrize(
    'refusal, is_kept',
    [
        # The first server doesn't know the request, or can't change it.
        (refused_by('s0:1'), True),
        # The order may be carried out later.
        (
            failures.Failure(
                failures.Reason.ENGINE_LOST,
                'engine.order',
                's0',
                outcome=outcomes.Outcome.UNKNOWN,
            ),
            False,
        ),
    ],
)
def test_a_path_counts_as_changed_only_if_it_may_be(refusal, is_kept):
    fleet, attempt = Fleet({'s1'}, [refusal]), Attempt()
    look_at(fleet, attempt)
    assert len(fleet.orders) == 1
    assert (attempt.path == PATH) is is_kept


def test_an_attempt_is_moved_twice_at_most_and_once_at_a_time(monkeypatch):
    """A request that ends its servers would end all that hold its layers."""
    fleet, attempt = Fleet({'s1'}, [None] * 5), Attempt()
    monkeypatch.setattr(
        fleet, 'is_lost', lambda server: server in ('s1', 'spare', 'other')
    )
    for server in fleet.spares:
        fleet.spares = [server]
        rerouting = fleet.rerouter()
        assert rerouting.keep(JOB, attempt) and rerouting.keep(JOB, attempt)
        assert look_at(fleet, attempt)
    assert look_at(fleet, attempt)
    attempt.rerouted_at = float('-inf')
    assert not look_at(fleet, attempt)
    assert len(fleet.orders) == 2


def test_a_silent_stream_is_opened_and_looked_at_for_path_changes(monkeypatch):
    fleet = Fleet({'s1'}, [None])
    proxy = streams.StreamProxy(*[fleet] * 9, fleet.rerouter(), fleet)
    progress = stream_progress.Progress(None, ())
    monkeypatch.setattr(proxy, '_wait_for_path', lambda *_: PATH)
    assert proxy._open(JOB, progress).is_checked_early
    assert proxy._keep_waiting(JOB, Attempt(), progress)
    eventlet.sleep(0)
    assert len(fleet.orders) == 1


def test_an_ended_attempt_is_accounted_for_no_more():
    """An order that is under way would reserve memory for good."""
    selector, _ = zones.selector([*HOPS, FAR])
    job = link_tests.job()
    for name, value in (('deadline', timers.now() + 9), ('priority', 0)):
        object.__setattr__(job, name, value)
    object.__setattr__(job, 'organisation', '')
    job.request.id, job.request.method = 'r1', 'POST'
    job.request.target, job.request.body = '/', b''
    codec = types.SimpleNamespace(backend_headers=lambda *_: [])
    attempt = stream_attempts.StreamAttempt(
        stream_attempts.Dependencies(
            None,
            codec,
            selector,
            crash_suspects.CrashSuspects(),
            selector._limits,
            None,
            None,
            None,
            buffers.BufferPool(10),
        ),
        job,
        (backends.Stage(target(), 0, 40), full_stages(HOPS)[1]),
        (),
        None,
    )
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(attempt, '_log_end', lambda failure: None)
        assert attempt.receive_first().step == 'backend.connect'
    assert selector._usage.load_by_server() == {}
    assert not attempt.change_path(full_stages((HOPS[0], FAR)))
    attempt.restore_path(full_stages(HOPS))
    assert selector._usage.load_by_server() == {}


def test_a_slow_order_delays_a_new_attempt_only_for_a_while(monkeypatch):
    """Three orders to a busy first server take more than two seconds."""
    fleet, attempt = Fleet({'s1'}, []), Attempt()
    answered = eventlet.event.Event()
    monkeypatch.setattr(fleet, 'change_path', lambda *_: answered.wait())
    assert look_at(fleet, attempt)
    assert look_at(fleet, attempt) and attempt.is_rerouting
    monkeypatch.setattr(rerouter, 'SETTLE_SECONDS', 0.0)
    assert not look_at(fleet, attempt)
    monkeypatch.undo()
    answered.send(refused_by('s0:1'))
    eventlet.sleep(0)
    attempt.path_changes = decision.MAX_CHANGES
    assert not look_at(fleet, attempt)


def test_an_order_that_raises_an_error_leaves_the_path(monkeypatch):
    """A gateway without sockets accounted for servers not in use."""
    fleet, attempt = Fleet({'s1'}, []), Attempt()

    def fail(*args):
        raise OSError(errno.EMFILE, 'too many open files')

    monkeypatch.setattr(fleet, 'change_path', fail)
    look_at(fleet, attempt)
    assert attempt.path == PATH
    assert not attempt.is_rerouting
    attempt.path_changes = decision.MAX_CHANGES
    assert not look_at(fleet, attempt)


@pytest.mark.parametrize(('seconds', 'orders'), [(0.06, 0), (0.08, 1)])
def test_a_round_trip_between_zones_makes_no_server_unreachable(
    seconds, orders
):
    fleet = Fleet(set(), [None])
    fleet.unanswered = {'s1': seconds}
    look_at(fleet, Attempt())
    assert len(fleet.orders) == orders


FAR = fleets.server('far', 'b', held=(40, 80))
HOPS = (
    fleets.server('near', 'a', held=(0, 40)),
    fleets.server('lost', 'a', held=(40, 80)),
)


def full_stages(servers):
    return tuple(
        backends.Stage(s, s.layers.first, s.layers.end) for s in servers
    )


@pytest.mark.parametrize('zone_delay_ms', [0.0, 5.0])
def test_detours_to_another_zone_fill_its_link(zone_delay_ms):
    """All answers of a lost server look for one at the same time."""
    selector, _ = zones.selector([*HOPS, FAR])
    job = link_tests.job(
        dataclasses.replace(fleets.ENGINE, zone_delay_ms=zone_delay_ms)
    )
    path = full_stages(HOPS)
    count = 0
    while count < 100 and (found := selector.find_detour(job, path, {1})):
        selector.reserve(job, path)
        selector.move(job, path, found)
        count += 1
    assert 0 < count < 100


def test_a_detour_leads_to_a_server_that_does_not_answer_as_a_last_resort(
    monkeypatch,
):
    """The other servers never hold all layers without those of the path."""
    spares = [fleets.server(n, 'a', held=(40, 80)) for n in ('b1', 'b2')]
    selector, _ = zones.selector([*HOPS, *spares])
    view, path = selector._view, full_stages(HOPS)
    monkeypatch.setattr(
        view,
        'preferred',
        lambda service, excluded: server_states.spare(
            service.engine, view.usable(service.id, excluded), ['b1', 'b2']
        ),
    )
    found = selector.find_detour(link_tests.job(), path, {1}, ['b1'])
    assert found[1].server.id == 'b2'
    avoided = {'b1'}
    monkeypatch.setattr(view, 'is_avoided', avoided.__contains__)
    found = selector.find_detour(link_tests.job(), path, {1})
    assert found[1].server.id == 'b2'
    avoided.add('b2')
    assert len(selector.find_detour(link_tests.job(), path, {1})) == 2


@pytest.mark.parametrize(
    ('status', 'data', 'peer'),
    [
        (200, b'{}', None),
        (202, b'', None),
        (404, b'{}', 's0:1'),
        (409, b'{"address": "s2:1"}', 's2:1'),
        (409, b'{"address": 2}', 's0:1'),
        (409, b'["s2:1"', 's0:1'),
        (503, b'', 's0:1'),
    ],
)
def test_an_order_that_is_refused_names_the_server(
    status, data, peer, monkeypatch
):
    """Only a server that is named is replaced as well."""
    client = engine_client.EngineClient()
    calls = []

    def call(method, server, path, body, timeout):
        calls.append((method, server.id, path, msgspec.json.decode(body)))
        return engine_client._Response(status, data)

    monkeypatch.setattr(client, '_call', call)
    failure = client.change_path('r1', PATH[:2])
    assert calls == [
        (
            'POST',
            's0',
            '/api/order',
            {'op': 'repath', 'id': 'r1', 'path': 's0:1=0-20,s1:1=20-40'},
        )
    ]
    assert (failure.peer if failure else None) == peer
    assert not failure or failure.outcome is outcomes.Outcome.NOT_RUN


def test_a_reservation_is_moved_once_whatever_happens_meanwhile():
    """One that is refused, or whose attempt ends, must not leave a trace."""
    selector, _ = zones.selector([*HOPS, FAR])
    job = link_tests.job()
    crossing = (HOPS[0], FAR)
    before, after = full_stages(crossing), full_stages(HOPS)
    attempt = object.__new__(stream_attempts.StreamAttempt)
    attempt.path, attempt._job, attempt._has_ended = before, job, False
    attempt._dependencies = types.SimpleNamespace(path_selector=selector)
    selector.reserve(job, before)
    load = selector._usage.load_by_server()
    backlog = selector._links.backlog_seconds(('a', 'b'))
    assert attempt.change_path(after)
    assert set(selector._usage.load_by_server()) == {'near', 'lost'}
    attempt.restore_path(before)
    assert selector._usage.load_by_server() == load
    assert selector._links.backlog_seconds(('a', 'b')) <= backlog
    attempt.change_path(after)
    attempt._has_ended = True
    selector.release(job, attempt.path)
    attempt.restore_path(before)
    assert not attempt.change_path(after)
    assert selector._usage.load_by_server() == {}


def test_an_attempt_that_has_ended_is_not_accounted_for_again():
    fleet, attempt = Fleet({'s1'}, [None]), Attempt(has_ended=True)
    look_at(fleet, attempt)
    assert attempt.path == PATH
    assert fleet.orders == []


def test_a_server_that_relayed_events_after_the_last_one_is_asked():
    """It may have died just after it, unlike one that still relays some."""
    fleet, attempt = Fleet(set(), []), Attempt(silent_since=timers.now() - 0.5)
    fleet.active_at = {'s1': timers.now() - 0.4}
    assert not look_at(fleet, attempt)
    assert fleet.asked == ['s1']


@pytest.mark.parametrize(
    'is_contended, path', [(False, PATH), (True, PATH[:1])]
)
def test_answers_that_are_not_moved_are_looked_at_as_before(
    is_contended, path, monkeypatch
):
    """A lost server starts a standby at whatever silence it is seen."""
    fleet = Fleet({'s0'}, [])
    fleet.is_contended = is_contended
    attempt = Attempt(path=path, is_checked_early=False)
    rerouting = fleet.rerouter()
    rerouting.prepare(JOB, attempt)
    proxy = streams.StreamProxy(*[fleet] * 9, rerouting, fleet)
    progress = stream_progress.Progress(None, ())
    started = []
    found = silence.Silence(0.1, 1.0, True, False, True, False, False)
    monkeypatch.setattr(proxy, '_silence', lambda *_: found)
    monkeypatch.setattr(proxy, '_start_standby', lambda *a: started.append(a))
    assert proxy._keep_waiting(JOB, attempt, progress)
    assert started and not fleet.asked


class ProbedFleet:
    """A view and reports that record what probes find."""

    def __init__(self):
        self.active_at = float('-inf')
        self.failures = []

    def all_active_since(self, servers, since):
        return self.active_at >= since

    def record_failure(self, server, evidence, reason, request):
        self.failures.append(evidence)

    def record_lost(self, server):
        self.failures.append(server)


@pytest.fixture
def probed():
    fleet = ProbedFleet()
    return fleet, probes.ConnectionProbes(fleet, fleet)


def target(port=1):
    found = fleets.server('s1', held=(20, 40))
    return dataclasses.replace(found, address=f'127.0.0.1:{port}')


@pytest.fixture
def full_listener():
    """Return the address of a host that answers no more connections."""
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        for _ in range(3):
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            sock.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


def test_a_server_that_accepts_nothing_is_reported(probed, full_listener):
    """Other requests would use it until a report is asked for, and late."""
    fleet, connections = probed
    connections.ask([target(full_listener)], 'r1')
    eventlet.sleep(0.05)
    assert connections.unanswered_seconds('s1') > 0.03
    fleet.active_at = timers.now()
    assert connections.unanswered_seconds('s1') == 0
    fleet.active_at = float('-inf')
    eventlet.sleep(0.25)
    assert fleet.failures == [server_states.Evidence.NO_ANSWER, 's1']
    assert connections.unanswered_seconds('s1') > 0.25


def test_a_server_is_probed_only_once_for_many_silent_streams(probed):
    """In a slow phase, all streams of all gateways ask for it."""
    _, connections = probed
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(8)
        listener.settimeout(0)
        for _ in range(5):
            server = target(listener.getsockname()[1])
            connections.ask([server], 'r1')
            eventlet.sleep(0.01)
        listener.accept()[0].close()
        with pytest.raises(BlockingIOError):
            listener.accept()


def test_a_refused_connection_is_reported(probed):
    fleet, connections = probed
    with socket.socket() as closed:
        closed.bind(('127.0.0.1', 0))
        connections.ask([target(closed.getsockname()[1])], 'r1')
        eventlet.sleep(0.05)
    assert fleet.failures[0] is server_states.Evidence.CONNECTION_REFUSED


def test_a_gateway_that_is_held_up_finds_no_server_unreachable(probed):
    """Its event loop has not yet seen that the connection was made."""
    fleet, connections = probed
    with socket.socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen(8)
        connections.ask([target(listener.getsockname()[1])], 'r1')
        time.sleep(0.05)
        assert connections.unanswered_seconds('s1') == 0
        eventlet.sleep(0)
        time.sleep(0.05)
        assert connections.unanswered_seconds('s1') == 0
        eventlet.sleep(0.02)
    assert connections.has_accepted_since('s1', timers.now())
    assert fleet.failures == []


def test_a_suspended_gateway_finds_no_server_unreachable(
    probed, full_listener, monkeypatch
):
    """Answers may be lost meanwhile; the steady clock doesn't show it."""
    fleet, connections = probed
    connections.ask([target(full_listener)], 'r1')
    eventlet.sleep(0.05)
    assert connections.unanswered_seconds('s1') > 0.03
    before = timers.boottime_now
    monkeypatch.setattr(timers, 'boottime_now', lambda: before() + 3)
    assert connections.unanswered_seconds('s1') == 0
    eventlet.sleep(0.25)
    assert fleet.failures == []


def test_a_gateway_without_sockets_finds_no_server_unreachable(
    probed, monkeypatch
):
    fleet, connections = probed

    def fail(*args):
        raise OSError(errno.EMFILE, 'too many open files')

    monkeypatch.setattr(probes.upstream, 'BoundedSocket', fail)
    connections.ask([target()], 'r1')
    eventlet.sleep(0.05)
    assert connections.unanswered_seconds('s1') == 0
    assert fleet.failures == []


def test_new_attempts_of_a_request_change_no_more_paths():
    """One that ends the servers that run it would end two with each."""
    proxy = streams.StreamProxy.__new__(streams.StreamProxy)
    proxy._wait_for_path = lambda job, progress: PATH
    proxy._dependencies = None
    proxy._rerouter = types.SimpleNamespace(prepare=lambda job, attempt: None)
    progress = stream_progress.Progress(None, (), path_changes=2)
    assert proxy._open(JOB, progress).path_changes == 2


@pytest.mark.parametrize(
    'silent_seconds, recheck_seconds',
    [
        (0.1, rerouter.RECHECK_SECONDS),
        (0.5, upstream.SILENCE_RECHECK_SECONDS),
    ],
)
def test_an_attempt_that_is_silent_for_long_is_looked_at_less_often(
    silent_seconds, recheck_seconds
):
    """Many of them would take a small gateway's processor time."""
    attempt = Attempt(silent_seconds=silent_seconds)
    Fleet(set(), []).rerouter().keep(JOB, attempt)
    assert attempt.recheck_seconds == recheck_seconds


def test_a_gateway_begins_few_probes_while_many_answers_are_silent(
    monkeypatch,
):
    """Probes slowed small gateways, which silenced more answers."""
    began = []
    monkeypatch.setattr(
        probes.eventlet, 'spawn_n', lambda *args: began.append(args)
    )
    found = probes.ConnectionProbes(Fleet(set(), []), None)
    for number in range(100):
        servers = [fleets.server(f'{number}-{n}') for n in range(12)]
        found.ask(servers, 'r1')
    assert len(began) <= probes.MAX_AT_ONCE + probes.MAX_PER_SECOND
