"""Asks daemons questions over the system's own links."""

import dataclasses

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timeline
from burdockmast.node import inspection
from burdockmast.wire import messages
from burdockmast.wire import passive

ASK_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Replies:
    """Replies of daemons, and who did not answer."""

    body_by_address: dict[ids.Address, bytes]
    failure_by_address: dict[ids.Address, failures.Failure]


def send_query(
    address: ids.Address, what: str, argument: str = ''
) -> bytes | failures.Failure:
    """Ask one daemon."""
    link = passive.connect(address, messages.Role.OPERATOR)
    if isinstance(link, failures.Failure):
        return link
    reply = link.ask(messages.Query(ids.new_id(), what, argument), ASK_SECONDS)
    link.close(failures.Failure(failures.Reason.CANCELLED, 'operator.ask'))
    if isinstance(reply, failures.Failure):
        return reply
    return reply.body


def query_fleet(
    known: list[ids.Address], what: str, argument: str = ''
) -> Replies:
    """Ask all daemons of a fleet at once.

    :param known: some of them; others are found as their peers
    """
    answers = Replies({}, {})
    asked: set[ids.Address] = set()
    wave = set(known)
    while wave:
        asked |= wave
        replies = _ask_wave(sorted(wave), 'status', '')
        wave = set()
        for address, reply in replies:
            if isinstance(reply, failures.Failure):
                answers.failure_by_address[address] = reply
                continue
            answers.body_by_address[address] = reply
            wave |= _peers_of(reply) - asked
    if what == 'status':
        return answers
    found = sorted(answers.body_by_address)
    answers.body_by_address.clear()
    for address, reply in _ask_wave(found, what, argument):
        if isinstance(reply, failures.Failure):
            answers.failure_by_address[address] = reply
        else:
            answers.body_by_address[address] = reply
    return answers


def _ask_wave(
    wave: list[ids.Address], what: str, argument: str
) -> list[tuple[ids.Address, bytes | failures.Failure]]:
    pool = eventlet.GreenPool(64)
    replies = pool.imap(
        lambda address: send_query(address, what, argument), wave
    )
    return list(zip(wave, replies, strict=True))


def _peers_of(reply: bytes) -> set[ids.Address]:
    status = inspection.decode_status(reply)
    return {ids.Address(peer.address) for peer in status.peers if peer.address}


def fetch_statuses(
    known: list[ids.Address],
) -> tuple[dict[ids.Address, inspection.Status], Replies]:
    """Return the status of each daemon, and the raw answers."""
    answers = query_fleet(known, 'status')
    found: dict[ids.Address, inspection.Status] = {}
    processes: set[str] = set()
    for address, body in sorted(answers.body_by_address.items()):
        status = inspection.decode_status(body)
        # A process may be known by several addresses.
        if status.process not in processes:
            processes.add(status.process)
            found[address] = status
    return found, answers


def fetch_events(
    known: list[ids.Address], request: str
) -> tuple[list[timeline.Event], Replies]:
    """Return the time line over all daemons, of one request if given."""
    answers = query_fleet(known, 'timeline', request)
    records = [
        inspection.decode_events(body)
        for body in answers.body_by_address.values()
    ]
    return timeline.merge(records), answers
