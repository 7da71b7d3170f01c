"""Measures how the work of a reader grows with the bytes that it reads."""

import dataclasses
import gc
import time

# Largest input, unless a reader's own limit is lower.
MAX_BYTES = 131072
# Times below this one are too short to be compared.
FLOOR_SECONDS = 0.001
# No larger input is tried after one that took as long.
LONG_SECONDS = 0.5
# Four times the bytes may take so many times as long: 4 is linear, 16 is
# quadratic.
MAX_GROWTH = 8.0
REPEATS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Hostile:
    """Bytes of which the middle is repeated."""

    before: bytes = b''
    repeated: bytes = b'x'
    behind: bytes = b''

    def repeat(self, count):
        return self.before + self.repeated * count + self.behind


@dataclasses.dataclass(frozen=True, slots=True)
class Growth:
    """The processor time of an input and of one four times as long."""

    count: int
    seconds: float
    longer_seconds: float

    @property
    def factor(self):
        return self.longer_seconds / max(self.seconds, FLOOR_SECONDS)


def processor_seconds(read, data):
    """Return the processor time that this thread takes to read an input."""
    gc.disable()
    began = time.thread_time()
    try:
        read(data)
    finally:
        took = time.thread_time() - began
        gc.enable()
    return took


def worst(read, hostile, max_bytes=MAX_BYTES):
    """Return the largest growth of a reader's work over four times the bytes.

    :param read: takes bytes
    :param hostile: the input
    :returns: None if no input of three sizes fits into ``max_bytes``
    """
    seconds = []
    count = 1
    while len(data := hostile.repeat(count)) <= max_bytes:
        seconds.append(processor_seconds(read, data))
        if seconds[-1] > LONG_SECONDS:
            break
        count *= 2
    found = [
        Growth(2**power, *pair)
        for power, pair in enumerate(zip(seconds, seconds[2:], strict=False))
    ]
    largest = max(found, key=lambda growth: growth.factor, default=None)
    if largest is None or largest.factor <= MAX_GROWTH:
        return largest
    return _measured_again(read, hostile, largest.count)


def _measured_again(read, hostile, count):
    """Measure a growth without what interrupted the first measurement."""
    shortest = [
        min(
            processor_seconds(read, hostile.repeat(count * factor))
            for _ in range(REPEATS)
        )
        for factor in (1, 4)
    ]
    return Growth(count, *shortest)
