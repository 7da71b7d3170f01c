"""Answers operators' queries about one process."""

import typing

import msgspec

from burdockmast.base import timeline
from burdockmast.wire import messages

if typing.TYPE_CHECKING:
    from burdockmast.node import node

MAX_EVENTS = 2000
MS_PER_SECOND = 1000.0


class PeerStatus(msgspec.Struct):
    """State of one link of a process."""

    address: str
    role: str
    process: str
    rtt_ms: float
    bytes_sent: int
    bytes_received: int


class Status(msgspec.Struct):
    """State of a process, as operators' tools show it.

    :ivar store_age: seconds since its configuration was read from the store
    :ivar details: fields that only this role reports
    """

    process: str
    role: str
    server: str
    zone: str
    version: int
    preset: str
    store_age: float
    peers: list[PeerStatus]
    counts: dict[str, int]
    store_calls: dict[str, int]
    details: dict


def answer_query(
    process: 'node.Node', query: messages.Query
) -> messages.QueryReply:
    """Return the reply to an operator's query."""
    match query.what:
        case 'status':
            value: object = status(process)
        case 'timeline':
            value = process.events.select(query.argument, MAX_EVENTS)
        case _:
            value = {'error': f'unknown query {query.what}'}
    return messages.QueryReply(query.call, msgspec.json.encode(value))


def status(process: 'node.Node') -> Status:
    """Return the current status of a process."""
    hello = process.peers.hello
    return Status(
        hello.process,
        hello.role.value,
        hello.server,
        hello.zone,
        process.follower.version,
        process.follower.configuration.in_force,
        min(process.follower.store_age_seconds, 1e6),
        [
            PeerStatus(
                link.hello.address,
                link.hello.role.value,
                link.hello.process,
                link.rtt * MS_PER_SECOND,
                link.bytes_sent,
                link.bytes_received,
            )
            for link in process.peers.all()
        ],
        dict(process.metrics.count_by_name),
        dict(process.store.calls_by_kind),
        process.describe_role(),
    )


def decode_events(body: bytes) -> list[timeline.Event]:
    """Decode the body of a reply to a ``timeline`` query."""
    return msgspec.json.decode(body, type=list[timeline.Event])


def decode_status(body: bytes) -> Status:
    """Decode the body of a reply to a ``status`` query."""
    return msgspec.json.decode(body, type=Status)
