"""Measurements of what tokens, requests and calls cost the daemons."""

import time

import eventlet

from burdockmast.bench import rigs
from burdockmast.bench import slopes
from burdockmast.standins import fleets

TOKEN_SIZES = (20, 40, 80, 160)
REQUEST_SIZES = (200, 400, 800, 1600)
CALL_SIZES = (200, 400, 800, 1600)
CONCURRENCY = 64


def tokens() -> list[slopes.Slope]:
    """Measure the cost of a token at the entry and at each stage."""
    names = ('entry-0', 'side-e1', 'side-e2', 'side-e3')
    with fleets.running(rigs.pipeline(rigs.STEADY)) as fleet:
        rates: list[float] = []

        def work(count: int) -> None:
            began = time.monotonic()

            def answer(number: int) -> None:
                response = fleet.complete(
                    [number], count, stream=True, preload=False
                )
                for _ in response.stream(65536):
                    pass

            rigs.run_all(rigs.STREAMS, rigs.STREAMS, answer)
            rates.append(rigs.STREAMS * count / (time.monotonic() - began))

        work(TOKEN_SIZES[0])
        rates.clear()
        spent = rigs.each_size(fleet, names, TOKEN_SIZES, work)
    sizes = [rigs.STREAMS * count for count in TOKEN_SIZES]
    titles = ('entry', 'head side', 'middle side', 'last side')
    rate = slopes.highest(
        'tokens relayed by one entry', 'tokens/s', sizes, rates
    )
    return [*slopes.fit_each('token', titles, names, sizes, spent), rate]


def requests() -> list[slopes.Slope]:
    """Measure the cost of a request for an answer of one token."""
    names = ('entry-0', 'side-e1', 'side-e3')
    with fleets.running(rigs.pipeline(rigs.INSTANT)) as fleet:

        def work(count: int) -> None:
            rigs.run_all(count, CONCURRENCY, lambda n: fleet.complete([n], 1))

        work(REQUEST_SIZES[0])
        spent = rigs.each_size(fleet, names, REQUEST_SIZES, work)
    titles = ('entry', 'head side', 'last side')
    sizes = list(REQUEST_SIZES)
    return slopes.fit_each('request', titles, names, sizes, spent)


def calls() -> list[slopes.Slope]:
    """Measure the cost of plain calls, and of claimed ones."""
    with fleets.running(rigs.pipeline(rigs.INSTANT)) as fleet:
        turn = iter(range(1_000_000))

        def read(count: int) -> None:
            rigs.run_all(
                count,
                CONCURRENCY,
                lambda n: fleet.call('stock/read', method='GET'),
            )

        def command(count: int) -> None:
            rigs.run_all(
                count,
                CONCURRENCY,
                lambda n: fleet.call(
                    'stock/run', '{}', **{'Idempotency-Key': f'k{next(turn)}'}
                ),
            )

        read(CALL_SIZES[0])
        command(CALL_SIZES[0])
        names = ('entry-0', 'side-s1')
        reads = rigs.each_size(fleet, names, CALL_SIZES, read)
        commands = rigs.each_size(fleet, names, CALL_SIZES, command)
    sizes = list(CALL_SIZES)
    return [
        slopes.fit('entry: read', 'us', 'call', sizes, reads['entry-0']),
        slopes.fit('side: read', 'us', 'call', sizes, reads['side-s1']),
        slopes.fit('entry: command', 'us', 'call', sizes, commands['entry-0']),
        slopes.fit('side: command', 'us', 'call', sizes, commands['side-s1']),
    ]


def streams() -> list[slopes.Slope]:
    """Measure the memory of open answers."""
    with fleets.running(rigs.pipeline(rigs.STEADY)) as fleet:
        names = ('entry-0', 'side-e1')
        memory: dict[str, list[float]] = {name: [] for name in names}
        sizes = (60, 120, 240, 480)
        for size in sizes:
            pool = eventlet.GreenPool(size)
            for number in range(size):
                pool.spawn(fleet.complete, [number] * 500, 80)
            eventlet.sleep(2.0)
            for name in names:
                memory[name].append(slopes.memory_bytes(fleet.pid(name)))
            pool.waitall()
    return [
        slopes.fit(
            'entry: open answer memory', 'bytes', 'answer',
            list(sizes), memory['entry-0'],
        ),
        slopes.fit(
            'side: open answer memory', 'bytes', 'answer',
            list(sizes), memory['side-e1'],
        ),
    ]  # fmt: skip
