"""Measurements of what claims, peers, changes and servers cost."""

import random
import time
import tracemalloc

import eventlet
import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.bench import rigs
from burdockmast.bench import slopes
from burdockmast.claims import records
from burdockmast.fleet import change_journal
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import encoding
from burdockmast.fleet import snapshots
from burdockmast.operator import queries
from burdockmast.standins import fleets
from burdockmast.standins import layouts
from burdockmast.standins import processes
from burdockmast.wire import links
from burdockmast.wire import messages
from burdockmast.wire import request_client

PEER_SIZES = (25, 50, 100, 200)
CHANGE_SIZES = (50, 100, 200, 400)
SERVER_SIZES = (1000, 2000, 4000, 8000)
PRESET_SIZES = (100, 200, 400, 800)
KINDS = ('kind-a', 'kind-b', 'kind-c', 'kind-d', 'kind-e')
SEED = 1
MODEL_LAYERS = 100
KEY_SIZES = (5000, 10_000, 20_000, 40_000)
CLAIM_RATES = (25, 50, 100, 200)
PEER_SECONDS = 8.0
CLAIM_SECONDS = 5.0


def claims() -> list[slopes.Slope]:
    """Measure the store's calls for commands at several rates."""
    with fleets.running(rigs.pipeline(rigs.INSTANT)) as fleet:
        writes: list[float] = []
        waits: list[float] = []
        turn = iter(range(1_000_000))

        def command(due: float) -> float:
            eventlet.sleep(max(0.0, due - time.monotonic()))
            key = {'Idempotency-Key': f'r{next(turn)}'}
            fleet.call('stock/run', '{}', **key)
            return time.monotonic() - due

        for rate in CLAIM_RATES:
            before = fleet.get_json('store', '/counts')['write']
            began = time.monotonic()
            count = int(rate * CLAIM_SECONDS)
            pool = eventlet.GreenPool(1000)
            dues = [began + n / rate for n in range(count)]
            took = sorted(pool.imap(command, dues))
            seconds = time.monotonic() - began
            after = fleet.get_json('store', '/counts')['write']
            writes.append((after - before) / seconds)
            waits.append(took[len(took) // 2] * 1e3)
    sizes = list(CLAIM_RATES)
    return [
        slopes.fit(
            'store: writes for commands', '/s', 'command/s', sizes, writes
        ),
        slopes.fit(
            'caller: median time of a command', 'ms', 'command/s',
            sizes, waits,
        ),
    ]  # fmt: skip


def kept_keys() -> list[slopes.Slope]:
    """Measure the memory of an idempotency key that is remembered."""
    memory: list[float] = []
    for size in KEY_SIZES:
        tracemalloc.start()
        # The book is what is measured; it has to live until the reading.
        book = _book_of(size)
        memory.append(float(tracemalloc.get_traced_memory()[0]))
        tracemalloc.stop()
        del book
    return [
        slopes.fit('home: key memory', 'bytes', 'key', list(KEY_SIZES), memory)
    ]


def _book_of(size: int) -> records.KeyTable:
    """Return a book of commands that have ended, as read from a journal."""
    book = records.KeyTable()
    for number in range(size):
        key = records.hash_key('souk', layouts.SERVICE, str(number))
        claim = records.Claim(
            key,
            1,
            ids.Fingerprint(ids.new_id() * 2),
            ids.ServerId(f's{number % 3}'),
            ids.Address('127.1.0.1:9000'),
            ids.InstanceId(ids.new_id()),
            ids.new_id(),
        )
        headers = (('Content-Type', 'application/json'),)
        done = records.Done(key, 1, 200, headers, b'{"run": 1}')
        for line in (claim, done):
            stored = msgspec.json.encode([line])
            lines = msgspec.json.decode(
                stored, type=list[records.JournalRecord]
            )
            book.apply(book.last_index + 1, lines)
    return book


def peers() -> list[slopes.Slope]:
    """Measure what one more connected neighbour costs a side."""
    with fleets.running(rigs.pipeline(rigs.INSTANT)) as fleet:
        pid = fleet.pid('side-e1')
        address = ids.Address(fleet.address_by_name['side-e1'])
        cpu: list[float] = []
        memory: list[float] = []
        traffic: list[float] = []
        opened: list[links.Link] = []
        for size in PEER_SIZES:
            while len(opened) < size:
                opened.append(
                    request_client.connect(
                        address, messages.Role.ENTRY, ids.ZoneId('za')
                    )
                )
            eventlet.sleep(1.0)
            before = slopes.cpu_us(pid)
            bytes_before = sum(link.bytes_received for link in opened)
            eventlet.sleep(PEER_SECONDS)
            cpu.append((slopes.cpu_us(pid) - before) / PEER_SECONDS)
            received = sum(link.bytes_received for link in opened)
            traffic.append((received - bytes_before) / PEER_SECONDS)
            memory.append(slopes.memory_bytes(pid))
        done = failures.Failure(failures.Reason.CANCELLED, 'bench')
        for link in opened:
            link.close(done)
    sizes = list(PEER_SIZES)
    return [
        slopes.fit('side: peer', 'us/s', 'peer', sizes, cpu),
        slopes.fit('side: peer memory', 'bytes', 'peer', sizes, memory),
        slopes.fit(
            'side: bytes sent to a peer', 'bytes/s', 'peer', sizes, traffic
        ),
    ]


def configuration_changes() -> list[slopes.Slope]:
    """Measure what one change of configuration costs a process."""
    names = ('entry-0', 'side-e1', 'side-s1')
    with fleets.running(rigs.pipeline(rigs.INSTANT)) as fleet:
        turn = iter(range(1_000_000))
        delays: list[float] = []

        def work(count: int) -> None:
            writer = fleet.writer('bench')
            for _ in range(count):
                preset = fleet.layout.preset(f'p{next(turn)}')
                accepted = writer.submit(changes.PutPreset(preset))
                began = time.monotonic()
            version = accepted.version
            for name in names:
                _await_version(fleet, name, version)
            delays.append((time.monotonic() - began) * 1e3)

        work(CHANGE_SIZES[0])
        delays.clear()
        spent = rigs.each_size(fleet, names, CHANGE_SIZES, work)
    sizes = list(CHANGE_SIZES)
    titles = ('entry', 'watching side', 'service side')
    last = slopes.highest(
        'last change in force everywhere', 'ms', sizes, delays
    )
    return [*slopes.fit_each('change', titles, names, sizes, spent), last]


def _await_version(
    fleet: fleets.Fleet, name: str, version: ids.Version
) -> None:
    address = fleet.address_by_name.get(f'{name}-peer')
    address = address or fleet.address_by_name[name]

    def follows() -> bool:
        reply = queries.send_query(ids.Address(address), 'status')
        if isinstance(reply, failures.Failure):
            return False
        return queries.inspection.decode_status(reply).version >= version

    processes.wait_until(follows, f'{name} at version {version}')


def preset_sizes() -> list[slopes.Slope]:
    """Measure what a preset's parts add to the change that creates it."""
    pools = [float(_preset_bytes(size, 1)) for size in PRESET_SIZES]
    organisations = [float(_preset_bytes(1, size)) for size in PRESET_SIZES]
    servers = [float(_snapshot_bytes(size)) for size in SERVER_SIZES]
    sizes = list(PRESET_SIZES)
    return [
        slopes.fit(
            'snapshot: server', 'bytes', 'server',
            list(SERVER_SIZES), servers,
        ),
        slopes.fit('preset: pool', 'bytes', 'pool', sizes, pools),
        slopes.fit(
            'preset: organisation', 'bytes', 'organisation',
            sizes, organisations,
        ),
    ]  # fmt: skip


def _preset_bytes(pools: int, organisations: int) -> int:
    """Return the bytes that a new preset is to each process.

    Pools are named after a model, a kind of accelerator and a part.
    """
    rng = random.Random(SEED)
    preset = changes.Preset(
        ids.PresetId('measured'),
        (changes.Model(layouts.MODEL, MODEL_LAYERS),),
        tuple(_placed_pool(rng, number) for number in range(pools)),
        tuple(
            changes.Organisation(
                ids.OrganisationId(f'organisation-{number}'),
                rng.randint(1, 100) / 10,
            )
            for number in range(organisations)
        ),
    )
    body = changes.PutPreset(preset)
    change = changes.Change(ids.ChangeId(ids.new_id()), 'bench', body)
    return len(encoding.encode(change))


def _snapshot_bytes(servers: int) -> int:
    """Return the bytes of a snapshot in the store."""
    current = configuration.Configuration()
    for number in range(servers):
        server = _far(number)
        current.server_by_id[server.id] = server
    snapshot = snapshots.encode(current)
    return len(msgspec.json.encode(snapshot))


def _placed_pool(rng: random.Random, number: int) -> changes.Placement:
    name = f'model-{number // 15}/{rng.choice(KINDS)}/{number % 3}'
    first = rng.randrange(MODEL_LAYERS)
    end = rng.randint(first + 1, MODEL_LAYERS)
    model = ids.ModelId(f'model-{number // 15}')
    return changes.Placement(
        model=model, first=first, end=end, pool=ids.PoolId(name)
    )


def known_servers() -> list[slopes.Slope]:
    """Measure what each backend server in the configuration costs."""
    layout = rigs.pipeline(rigs.INSTANT)
    store = ('--writes', '1000000', '--reads', '1000000')
    layout = layouts.dataclasses.replace(layout, store_options=store)
    memory: dict[str, list[float]] = {'entry-0': [], 'side-e1': []}
    change_us: list[float] = []
    with fleets.running(layout) as fleet:
        writer = fleet.writer('bench')
        writer.refresh()
        known = 0
        for size in SERVER_SIZES:
            while known < size:
                known += 1
                accepted = writer.submit(changes.AddServer(_far(known)))
            for name in memory:
                _await_version(fleet, name, accepted.version)
                memory[name].append(slopes.memory_bytes(fleet.pid(name)))
            change_us.append(_cost_of_changes(fleet, writer, size))
    sizes = list(SERVER_SIZES)
    return [
        slopes.fit(
            'entry: known server memory', 'bytes', 'server',
            sizes, memory['entry-0'],
        ),
        slopes.fit(
            'side: known server memory', 'bytes', 'server',
            sizes, memory['side-e1'],
        ),
        slopes.fit(
            'entry: change by known servers', 'us', 'server',
            sizes, change_us,
        ),
    ]  # fmt: skip


def _cost_of_changes(
    fleet: fleets.Fleet, writer: change_journal.ChangeWriter, known: int
) -> float:
    """Return the entry's processor time for one more change."""
    count = 20
    before = slopes.cpu_us(fleet.pid('entry-0'))
    for number in range(count):
        server = _far(known + 100_000 + number)
        accepted = writer.submit(changes.AddServer(server))
    _await_version(fleet, 'entry-0', accepted.version)
    spent = slopes.cpu_us(fleet.pid('entry-0')) - before
    for number in range(count):
        server = _far(known + 100_000 + number)
        writer.submit(changes.RetireServer(server.id))
        writer.submit(changes.RemoveServer(server.id))
    return spent / count


def _far(number: int) -> changes.Server:
    """Return a server of another zone that nobody talks to."""
    address = f'127.1.{number // 250}.{number % 250 + 1}:9'
    return changes.Server(
        ids.ServerId(f'far{number}'),
        ids.Address(address),
        ids.ZoneId(f'z{number % 30}'),
        state=changes.ServerState.ACTIVE,
    )
