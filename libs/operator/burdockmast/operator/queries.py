"""Queries the processes of a fleet over its internal links."""

import dataclasses

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timeline
from burdockmast.node import inspection
from burdockmast.wire import messages
from burdockmast.wire import request_client

QUERY_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Replies:
    """Reply bodies of the processes, and the failures of the others."""

    body_by_address: dict[ids.Address, bytes]
    failure_by_address: dict[ids.Address, failures.Failure]


def send_query(
    address: ids.Address, question: str, argument: str = ''
) -> bytes | failures.Failure:
    """Query one process over a new link and return the body of its reply."""
    link = request_client.connect(address, messages.Role.OPERATOR)
    if isinstance(link, failures.Failure):
        return link
    reply = link.request(
        messages.Query(ids.new_id(), question, argument), QUERY_TIMEOUT_SECONDS
    )
    link.close(failures.Failure(failures.Reason.CANCELLED, 'operator.ask'))
    if isinstance(reply, failures.Failure):
        return reply
    return reply.body


def query_fleet(
    seeds: list[ids.Address], question: str, argument: str = ''
) -> Replies:
    """Query all processes of a fleet concurrently.

    :param seeds: addresses to start from; the others are discovered as peers
        in the status of each process
    """
    collected = Replies({}, {})
    visited: set[ids.Address] = set()
    batch = set(seeds)
    while batch:
        visited |= batch
        replies = _query_batch(sorted(batch), 'status', '')
        batch = set()
        for address, reply in replies:
            if isinstance(reply, failures.Failure):
                collected.failure_by_address[address] = reply
                continue
            collected.body_by_address[address] = reply
            batch |= _peer_addresses(reply) - visited
    if question == 'status':
        return collected
    reachable = sorted(collected.body_by_address)
    collected.body_by_address.clear()
    for address, reply in _query_batch(reachable, question, argument):
        if isinstance(reply, failures.Failure):
            collected.failure_by_address[address] = reply
        else:
            collected.body_by_address[address] = reply
    return collected


def _query_batch(
    batch: list[ids.Address], question: str, argument: str
) -> list[tuple[ids.Address, bytes | failures.Failure]]:
    pool = eventlet.GreenPool(64)
    replies = pool.imap(
        lambda address: send_query(address, question, argument), batch
    )
    return list(zip(batch, replies, strict=True))


def _peer_addresses(reply: bytes) -> set[ids.Address]:
    status = inspection.decode_status(reply)
    return {ids.Address(peer.address) for peer in status.peers if peer.address}


def fetch_statuses(
    seeds: list[ids.Address],
) -> tuple[dict[ids.Address, inspection.Status], Replies]:
    """Return the status of each process by address, and the raw replies."""
    collected = query_fleet(seeds, 'status')
    found: dict[ids.Address, inspection.Status] = {}
    processes: set[str] = set()
    for address, body in sorted(collected.body_by_address.items()):
        status = inspection.decode_status(body)
        # One process may have replied at several addresses.
        if status.process not in processes:
            processes.add(status.process)
            found[address] = status
    return found, collected


def fetch_events(
    seeds: list[ids.Address], request: str
) -> tuple[list[timeline.Event], Replies]:
    """Return the merged time line of all processes.

    :param request: a request's id, or empty for the events of all requests
    """
    collected = query_fleet(seeds, 'timeline', request)
    records = [
        inspection.decode_events(body)
        for body in collected.body_by_address.values()
    ]
    return timeline.merge(records), collected
