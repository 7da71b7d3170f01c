"""Sends a load to a fleet and records what its callers see."""

import dataclasses
import json
import time

import eventlet
import urllib3

from burdockmast.bench import mixes
from burdockmast.standins import fleets
from burdockmast.standins import tokens

READ_BYTES = 65536
# Callers at once; more than any load here needs.
CALLERS = 4000


@dataclasses.dataclass(slots=True)
class Record:
    """What one caller saw; times are seconds after the load's begin.

    Latencies count from when the request was due, not from when it was
    sent, so that a caller that is late itself hides nothing.
    """

    request: mixes.Request
    token_times: list[float] = dataclasses.field(default_factory=list)
    tokens: list[int] = dataclasses.field(default_factory=list)
    ended: float = 0.0
    status: int = 0
    error: str = ''
    outcome: str = ''

    @property
    def is_whole(self) -> bool:
        """Whether an answer is complete and every token right."""
        return (
            not self.error
            and self.status == 200
            and len(self.tokens) == self.request.tokens
        )


@dataclasses.dataclass(slots=True)
class Load:
    """A load under way."""

    fleet: fleets.Fleet
    mix: mixes.Mix
    began: float
    records: list[Record]

    def now(self) -> float:
        """Return seconds since the load's begin."""
        return time.monotonic() - self.began


def run(
    fleet: fleets.Fleet, mix: mixes.Mix, requests: list[mixes.Request]
) -> Load:
    """Send all requests when they are due; wait for all answers."""
    load = Load(fleet, mix, time.monotonic() + 0.5, [])
    pool = eventlet.GreenPool(CALLERS)
    for request in requests:
        eventlet.sleep(max(0.0, request.due - load.now()))
        record = Record(request)
        load.records.append(record)
        pool.spawn(_send, load, record)
    pool.waitall()
    return load


def _send(load: Load, record: Record) -> None:
    try:
        match record.request.kind:
            case mixes.Kind.ANSWER:
                _answer(load, record)
            case mixes.Kind.READ:
                _call(load, record, 'GET', {})
            case mixes.Kind.COMMAND:
                key = f'command-{record.request.number}'
                _call(load, record, 'POST', {'Idempotency-Key': key})
    except (urllib3.exceptions.HTTPError, OSError) as error:
        record.error = f'cut: {type(error).__name__}'
    record.ended = load.now()


def _entry(load: Load, record: Record) -> str:
    """Return the entry that a balancer would pick: a live one, in turn."""
    live = [
        entry
        for entry in load.fleet.entries
        if entry in load.fleet.process_by_name
    ]
    return live[record.request.number % len(live)]


def _call(
    load: Load, record: Record, method: str, said: dict[str, str]
) -> None:
    number = record.request.number
    body = None if method == 'GET' else json.dumps({'number': number})
    reply = load.fleet.call(
        f'stock/{number}', body, _entry(load, record), method, **said
    )
    record.status = reply.status
    if reply.status != 200:
        _note_error(record, json.loads(reply.data)['error'])


def _answer(load: Load, record: Record) -> None:
    request = record.request
    reply = load.fleet.complete(
        list(request.prompt),
        request.tokens,
        _entry(load, record),
        stream=True,
        preload=False,
        **{'Burdockmast-Deadline': str(load.mix.deadline)},
    )
    record.status = reply.status
    if reply.status != 200:
        return _note_error(record, json.loads(reply.read())['error'])
    is_done = False
    rest = b''
    # read1 returns what has arrived; stream would gather READ_BYTES first.
    while part := reply.read1(READ_BYTES):
        *events, rest = (rest + part).split(b'\n\n')
        now = load.now()
        for event in events:
            is_done |= _take(record, event, now)
    if not is_done and not record.error:
        record.error = 'cut: no end'
    if record.error or not is_done:
        return None
    expected = tokens.expected(
        list(request.prompt), request.tokens, load.fleet.layout.layers
    )
    if record.tokens != expected:
        record.error = 'wrong tokens'
    return None


def _take(record: Record, event: bytes, now: float) -> bool:
    """Take in a server-sent event; tell whether it is the last."""
    data = event[len(b'data: ') :]
    if data == b'[DONE]':
        return True
    value = json.loads(data)
    if 'error' in value:
        _note_error(record, value['error'])
        return False
    content = value['choices'][0]['delta'].get('content', '')
    for word in content.split():
        record.tokens.append(int(word))
        record.token_times.append(now)
    return False


def _note_error(record: Record, error: dict) -> None:
    record.error = error['type']
    record.outcome = error['outcome']
