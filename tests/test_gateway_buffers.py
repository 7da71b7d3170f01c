"""What a process holds of bodies, and the time that busy readers take."""

import pytest

from burdockmast.base import failures
from burdockmast.gateway import bodies
from burdockmast.gateway import buffers
from burdockmast.gateway import busy_readers


@pytest.fixture
def pool():
    return buffers.BufferPool(100)


def test_an_endless_body_is_given_up_for_sound_ones(pool):
    endless, sound = pool.open(), pool.open()
    endless.grow(90)
    sound.grow(20)
    with pytest.raises(buffers.BufferFull):
        endless.grow(1)
    assert pool.held_bytes == 20
    assert pool.given_up_count == 1


def test_the_largest_body_is_given_up_by_itself(pool):
    sound, endless = pool.open(), pool.open()
    sound.grow(20)
    endless.grow(80)
    with pytest.raises(buffers.BufferFull):
        endless.grow(1)
    sound.grow(80)
    assert pool.held_bytes == 100


def test_a_complete_body_is_not_given_up(pool):
    complete, other = pool.open(), pool.open()
    complete.grow(90)
    complete.is_complete = True
    with pytest.raises(buffers.BufferFull):
        other.grow(20)
    assert pool.held_bytes == 90
    complete.close()
    assert pool.held_bytes == 0
    assert complete not in pool.buffers


def test_what_is_passed_on_gives_its_room_back(pool):
    buffer = pool.open()
    buffer.resize(80)
    buffer.resize(10)
    assert pool.held_bytes == 10
    buffer.restart()
    assert pool.held_bytes == 0


def test_all_bodies_together_stay_within_the_limit(pool):
    opened = [pool.open() for _ in range(30)]
    for _ in range(20):
        for buffer in opened:
            try:
                buffer.grow(3)
            except buffers.BufferFull:
                buffer.restart()
            assert pool.held_bytes <= pool.limit_bytes


def test_an_upload_without_room_is_refused_without_running(pool):
    upload = pool.open()
    upload.grow(60)
    upload.is_complete = True
    found = bodies.Body(None, bodies.Length(50)).read(1000, pool.open())
    assert found.reason is failures.Reason.OVERLOADED
    assert found.retry_after > 0


def test_busy_readers_leave_time_to_others():
    """However many there are, and whatever each turn takes."""
    now = 0.0
    schedule = busy_readers.Schedule(lambda: now)
    next_turn_at = [0.0] * 60
    spent = 0.0
    while now < 10.0:
        number = min(range(60), key=next_turn_at.__getitem__)
        now = max(now, next_turn_at[number]) + 0.002
        spent += 0.002
        next_turn_at[number] = now + schedule.pause_after(0.002)
    assert spent <= 0.5 * now


def test_a_single_busy_reader_goes_on_at_once_after_a_pause():
    schedule = busy_readers.Schedule(lambda: 5.0)
    assert schedule.pause_after(0.002) == 0.0
