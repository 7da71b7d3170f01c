"""Answers operators' questions to one process."""

import typing

import msgspec

from burdockmast.base import timeline
from burdockmast.wire import messages

if typing.TYPE_CHECKING:
    from burdockmast.node import node

EVENTS_LIMIT = 2000
MILLISECONDS = 1000.0


class PeerStatus(msgspec.Struct):
    """One link of a process."""

    address: str
    role: str
    process: str
    rtt_ms: float
    bytes_sent: int
    bytes_received: int


class Status(msgspec.Struct):
    """What a process tells of itself.

    :ivar store_age: seconds since its configuration left the store
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


def answer(of: 'node.Node', query: messages.Query) -> messages.QueryReply:
    """Return the reply to an operator's question."""
    match query.what:
        case 'status':
            value: object = status(of)
        case 'timeline':
            value = of.events.select(query.argument, EVENTS_LIMIT)
        case _:
            value = {'error': f'unknown question {query.what}'}
    return messages.QueryReply(query.call, msgspec.json.encode(value))


def status(of: 'node.Node') -> Status:
    """Return a process's status."""
    hello = of.peers.hello
    return Status(
        hello.process,
        hello.role.value,
        hello.server,
        hello.zone,
        of.follower.version,
        of.follower.configuration.in_force,
        min(of.follower.store_age_seconds, 1e6),
        [
            PeerStatus(
                link.hello.address,
                link.hello.role.value,
                link.hello.process,
                link.rtt * MILLISECONDS,
                link.bytes_sent,
                link.bytes_received,
            )
            for link in of.peers.all()
        ],
        dict(of.metrics.count_by_name),
        dict(of.store.calls_by_kind),
        of.describe_role(),
    )


def decode_events(body: bytes) -> list[timeline.Event]:
    """Return the events of a reply to ``timeline``."""
    return msgspec.json.decode(body, type=list[timeline.Event])


def decode_status(body: bytes) -> Status:
    """Return the status of a reply to ``status``."""
    return msgspec.json.decode(body, type=Status)
