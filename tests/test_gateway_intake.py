"""Decisions about bodies and connections of untrusted callers."""

import dataclasses
import io
import socket

import eventlet
import eventlet.greenio
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from burdockmast.base import failures
from burdockmast.gateway import bodies
from burdockmast.gateway import buffers
from burdockmast.gateway import busy_readers
from burdockmast.gateway import caller_connections
from burdockmast.gateway import wsgi
from burdockmast.gateway.intake import connection_limits
from burdockmast.gateway.intake import heads
from burdockmast.gateway.intake import held_bytes
from burdockmast.gateway.intake import limits
from burdockmast.gateway.intake import progress
from burdockmast.gateway.intake import shared
from burdockmast.gateway.intake import work_budget

LIMIT_BYTES = 1000
SIZES = strategies.integers(0, 400)


@dataclasses.dataclass(eq=False)
class Upload:
    """A body in the state machine, and what must be true of it."""

    buffer: buffers.Buffer
    content: held_bytes.Content = None
    sent: bytes = b''
    whole: bytes | None = None
    wake_count: int = 0

    def wake(self):
        self.wake_count += 1


class Uploads(stateful.RuleBasedStateMachine):
    """Bodies that grow, are evicted, completed and closed in any order."""

    uploads = stateful.Bundle('uploads')

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.pool = buffers.BufferPool(
            LIMIT_BYTES,
            lambda *given: held_bytes.choose_evicted(
                *given, now=lambda: self.now
            ),
        )
        self.opened = []

    @stateful.rule(target=uploads, length=strategies.none() | SIZES)
    def open(self, length):
        upload = Upload(self.pool.open())
        upload.content = held_bytes.Content(
            upload.buffer, upload.wake, lambda: self.now
        )
        self.opened.append(upload)
        if length is not None:
            try:
                upload.content.reserve(length)
            except buffers.BufferFull:
                assert upload.buffer.is_given_up
        return upload

    @stateful.rule(upload=uploads, size=SIZES)
    def grow(self, upload, size):
        if upload not in self.opened or upload.whole is not None:
            return
        was_evicted = upload.buffer.is_given_up
        try:
            upload.content.add(b'x' * size)
            assert not was_evicted
            upload.sent += b'x' * size
        except buffers.BufferFull:
            assert upload.buffer.is_given_up

    @stateful.rule(seconds=strategies.floats(0.0, 3.0))
    def wait(self, seconds):
        self.now += seconds

    @stateful.rule(upload=uploads)
    def complete(self, upload):
        if upload not in self.opened or upload.whole is not None:
            return
        try:
            upload.whole = upload.content.complete()
        except buffers.BufferFull:
            assert upload.buffer.is_given_up
        else:
            assert upload.whole == upload.sent

    @stateful.rule(upload=uploads)
    def close(self, upload):
        if upload in self.opened:
            upload.content.close()
            upload.buffer.close()
            self.opened.remove(upload)

    @stateful.invariant()
    def all_bytes_are_bounded(self):
        held = sum(
            u.content.stored_bytes + len(u.whole or b'') for u in self.opened
        )
        assert held <= self.pool.held_bytes <= LIMIT_BYTES
        assert self.pool.held_bytes == sum(
            u.buffer.size_bytes for u in self.opened
        )

    @stateful.invariant()
    def evicted_bodies_hold_nothing_and_wake_their_readers(self):
        for upload in self.opened:
            if upload.buffer.is_given_up:
                assert not upload.content.stored_bytes
                assert upload.whole is None
                assert upload.wake_count == 1


TestUploads = Uploads.TestCase
TestUploads.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)


class SilentCaller:
    """Sends a chunk and then nothing, until its read is interrupted."""

    until = float('inf')
    stall_seconds = 20.0
    has_ended = False
    ahead_bytes = 0

    def __init__(self, sent):
        self._sent = sent
        self._woken = eventlet.Event()

    def peek(self):
        return b''

    def readline(self, _):
        if not self._sent:
            self._woken.wait()
            raise OSError('the read was interrupted')
        line, _, self._sent = self._sent.partition(b'\r\n')
        return line + b'\r\n'

    def read1(self, size):
        found, self._sent = self._sent[:size], self._sent[size:]
        return found

    read = read1

    def read_ahead(self, max_bytes):
        return 0

    def drop_ahead(self):
        self.ahead_bytes = 0

    def interrupt(self):
        self._woken.send(None)

    def clear_interrupt(self):
        pass


def test_evicted_body_of_a_silent_caller_is_freed_and_refused_at_once():
    """Its bytes used to stay until the caller sent more."""
    pool = buffers.BufferPool(100, held_bytes.choose_evicted)
    caller = SilentCaller(b'50\r\n' + b'x' * 80 + b'\r\n')
    body = bodies.Body(caller, bodies.Chunks(), received=caller)
    reader = eventlet.spawn(body.read, 1000, pool.open())
    eventlet.sleep(0)
    assert pool.held_bytes == 80
    pool.open().grow(40)
    assert pool.held_bytes == 40
    with eventlet.Timeout(5):
        found = reader.wait()
    assert found.reason is failures.Reason.OVERLOADED
    assert wsgi.http_status(found) == 503
    # The end of the body is unknown, so that the connection is closed.
    assert not body.has_near_end


def test_stalled_body_is_evicted_before_a_larger_one_that_grows():
    pool = buffers.BufferPool()
    stalled, growing, new = (pool.open() for _ in range(3))
    stalled.grow(10)
    growing.grow(50)
    growing.progressed_at = 99.5

    def choose(added_bytes):
        return held_bytes.choose_evicted(
            pool.buffers, new, added_bytes, now=lambda: 100.0
        )

    assert choose(1000) is stalled
    stalled.is_complete = True
    assert choose(20) is growing
    assert choose(50) is None


def test_work_for_tiny_chunks_ends_a_turn_as_large_ones_do():
    """A reader of tiny chunks used to go on as long as there were any."""
    schedule = busy_readers.Schedule(lambda: 0.0)
    work = work_budget.WorkBudget(schedule, 0)
    chunk_count = 0
    while work.pause_seconds() is None:
        work.add_chunks(1)
        work.add_bytes(1)
        chunk_count += 1
    assert chunk_count <= 600
    work.add_bytes(work_budget.TURN_BYTES - 1)
    assert work.pause_seconds() is None
    work.add_bytes(1)
    assert work.pause_seconds() > 0


@pytest.mark.parametrize(
    ('chunk_bytes', 'chunk_count', 'is_refused'),
    [
        (1, work_budget.FREE_CHUNKS, False),
        (1, 2 * work_budget.FREE_CHUNKS, True),
        (16, 120_000, True),
        (32, 500_000, False),
        (1024, 4096, False),
    ],
)
def test_only_long_bodies_in_tiny_chunks_are_refused(
    chunk_bytes, chunk_count, is_refused
):
    work = work_budget.WorkBudget(busy_readers.Schedule(), 32)
    found = False
    for _ in range(chunk_count):
        work.add_chunks(1)
        work.add_bytes(chunk_bytes)
        found = found or work.has_excessive_framing
    assert found is is_refused


def test_time_for_a_body_is_renewed_by_enough_of_it_only():
    """A byte at a time used to keep a request open without end."""
    pace = progress.Progress(0.0, 30.0, 256)
    for second in range(255):
        pace.add(1, float(second))
    assert pace.until == 30.0
    pace.add(1, 29.0)
    assert pace.until == 59.0


def test_body_that_is_too_slow_is_refused_as_not_run():
    class Slow(SilentCaller):
        def readline(self, _):
            raise progress.TooSlow('the caller sent nothing in time')

    caller = Slow(b'')
    body = bodies.Body(caller, bodies.Chunks(), received=caller)
    found = body.read(1000, buffers.BufferPool().open())
    assert wsgi.http_status(found) == 408
    assert caller.stall_seconds == SilentCaller.stall_seconds


def test_slowest_body_is_evicted_when_too_many_are_waited_for():
    intake = shared.Intake(limits.Limits(max_waiting_bodies=2))
    pool = buffers.BufferPool()
    first, second, third, fourth = (pool.open() for _ in range(4))
    for buffer in (second, third, fourth):
        buffer.progressed_at = float('inf')
    with intake.waiting(first), intake.waiting(second):
        with intake.waiting(third):
            assert first.is_given_up
            with pytest.raises(buffers.BufferFull), intake.waiting(fourth):
                pass
    assert not intake.waiting_count


def test_connections_leave_descriptors_for_the_rest():
    assert connection_limits.max_connections(3000, 1e6) == 3000
    assert connection_limits.max_connections(3000, 1024) < 512


def test_connections_of_an_address_are_counted():
    count = connection_limits.ConnectionCount(10, 2)
    count.add('a')
    count.add('a')
    assert count.is_address_full('a')
    assert not count.is_address_full('b')
    count.remove('a')
    assert not count.is_address_full('a')
    assert count.open_count == 1


SMALL_CHUNKS = b'6\r\nxxxxxx\r\n' * 20_000


@pytest.fixture
def connection():
    """What is received of a caller that is connected, and the caller."""
    here, there = (
        eventlet.greenio.GreenSocket(sock) for sock in socket.socketpair()
    )
    yield caller_connections.ReceivedBytes(here), there
    here.close()
    there.close()


def start_reading(received, pool):
    """Start to read a chunked body; return it and the task."""
    stream = io.BufferedReader(received)
    body = bodies.Body(stream, bodies.Chunks(), received=received)
    buffer = pool.open()
    return body, buffer, eventlet.spawn(body.read, 10**6, buffer)


def test_a_caller_that_left_amid_small_chunks_is_missed_at_once(connection):
    """What it had sent was parsed to its end before that."""
    received, caller = connection
    pool = buffers.BufferPool()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 10**6)
    caller.sendall(SMALL_CHUNKS)
    caller.close()
    body, buffer, reader = start_reading(received, pool)
    with eventlet.Timeout(5):
        found = reader.wait()
    assert 'disconnected' in found.detail
    assert not body.has_near_end
    assert pool.held_bytes == 0


def test_bytes_that_were_read_ahead_are_read_and_take_room(connection):
    """They are not lost, nor are those of the next request."""
    received, caller = connection
    pool = buffers.BufferPool()
    body, buffer, reader = start_reading(received, pool)
    next_request = b'GET / HTTP/1.1\r\n'
    ended = SMALL_CHUNKS + b'0\r\n\r\n' + next_request
    sender = eventlet.spawn(caller.sendall, ended)
    with eventlet.Timeout(5):
        whole = reader.wait()
        sender.wait()
    assert whole == b'x' * 120_000
    assert buffer.size_bytes == len(whole) + received.ahead_bytes
    assert body._stream.read(len(next_request)) == next_request


def test_nothing_behind_a_gap_is_taken_for_a_request(connection):
    """An evicted body was parsed on behind the bytes that it had lost."""
    received, caller = connection
    pool = buffers.BufferPool()
    body, buffer, reader = start_reading(received, pool)
    sender = eventlet.spawn(caller.sendall, SMALL_CHUNKS)
    with eventlet.Timeout(5):
        while not received.ahead_bytes:
            eventlet.sleep(0)
        buffer.give_up()
        assert not received.ahead_bytes
        found = reader.wait()
    sender.kill()
    assert found.reason is failures.Reason.OVERLOADED
    assert not body.has_near_end


def test_a_body_that_failed_is_not_taken_for_one_that_was_read(connection):
    """A generator that has failed ends like one that is complete."""
    received, caller = connection
    pool = buffers.BufferPool(40_000, held_bytes.choose_evicted)
    other = pool.open()
    body, _, reader = start_reading(received, pool)
    other.grow(39_000)
    other.is_complete = True
    sender = eventlet.spawn(caller.sendall, SMALL_CHUNKS)
    with eventlet.Timeout(5):
        assert reader.wait().reason is failures.Reason.OVERLOADED
        caller.close()
        sender.kill()
        with pytest.raises(bodies.UnreadBodyError):
            body.drop(received._sock)


class Sent:
    """What a caller has sent, as a stream that tells what is read of it."""

    def __init__(self, *pieces):
        self._pieces = list(pieces)

    def peek(self, size):
        return self._pieces[0] if self._pieces else b''

    def read(self, size):
        if not self._pieces:
            return b''
        piece = self._pieces.pop(0)
        if piece[size:]:
            self._pieces.insert(0, piece[size:])
        return piece[:size]


def read_head(pool, *pieces, max_bytes=100_000):
    """Read a line; return the head and what the read returned or raised."""
    head = heads.HeldHead(pool, lambda: None, lambda: 0.0)
    try:
        sent = Sent(*pieces)
        return head, heads.HeadReader(sent, max_bytes, head).readline()
    except (heads.CallerLeft, heads.HeadTooLarge, buffers.BufferFull) as error:
        return head, type(error)


@pytest.mark.parametrize(
    ('pieces', 'expected'),
    [
        ([b'one\ntwo\n'], b'one\n'),
        ([b'on', b'e\ntwo'], b'one\n'),
        ([b'one'], heads.CallerLeft),
        ([b'x' * 101], heads.HeadTooLarge),
        ([b'x' * 99 + b'\n'], b'x' * 99 + b'\n'),
    ],
)
def test_lines_of_heads_are_read_up_to_the_limit(pieces, expected):
    _, found = read_head(buffers.BufferPool(), *pieces, max_bytes=100)
    assert found == expected


def test_the_largest_unfinished_head_is_evicted_first():
    """Heads were bounded one by one only, whatever all of them took."""
    pool = buffers.BufferPool(10_000, held_bytes.choose_evicted)
    large, _ = read_head(pool, b'x' * (heads.FREE_BYTES + 8000))
    small, _ = read_head(pool, b'x' * (heads.FREE_BYTES + 1000))
    _, found = read_head(pool, b'x' * (heads.FREE_BYTES + 2000), b'\n')
    assert found == b'x' * (heads.FREE_BYTES + 2000) + b'\n'
    assert (large.is_evicted, small.is_evicted) == (True, False)
    assert not large.line


def test_a_short_head_is_read_while_bodies_take_all_room():
    """Ordinary requests without bodies must not depend on that room."""
    pool = buffers.BufferPool(100)
    body = pool.open()
    body.grow(100)
    body.is_complete = True
    line = b'x' * (heads.FREE_BYTES - 1) + b'\n'
    assert read_head(pool, line)[1] == line
    assert read_head(pool, b'x', line)[1] is buffers.BufferFull
