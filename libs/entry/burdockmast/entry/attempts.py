"""State of a request for an answer and of its attempts."""

import dataclasses

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.entry import mailboxes
from burdockmast.fleet import changes
from burdockmast.routing import demands
from burdockmast.wire import links
from burdockmast.wire import messages


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A validated request for an answer.

    :ivar deadline: monotonic seconds
    """

    id: ids.RequestId
    organisation: changes.Organisation
    priority: int
    deadline: float
    model: changes.Model
    prompt: tuple[int, ...]
    max_tokens: int
    fingerprint: ids.Fingerprint


Received = (
    messages.Token | messages.Finished | messages.Failed | failures.Failure
)


@dataclasses.dataclass(slots=True)
class Attempt:
    """A running attempt.

    :ivar first_index: index of its first token in the complete answer
    :ivar last_token_at: monotonic seconds of its start or its newest tokens
    :ivar silence_deadline: monotonic seconds at which the attempt ends unless
        tokens arrive before
    :ivar demand: expected work and cache hits when the path was chosen
    :ivar opening_messages: received while waiting for the path to accept
    :ivar token_interval_seconds: smoothed time between tokens
    """

    number: int
    link: links.Link
    hops: tuple[messages.Hop, ...]
    first_index: int
    last_token_at: float
    silence_deadline: float
    demand: demands.Demand = dataclasses.field(default_factory=demands.Demand)
    mailbox: mailboxes.Mailbox[Received] = dataclasses.field(
        default_factory=mailboxes.Mailbox
    )
    opening_messages: list[Received] = dataclasses.field(default_factory=list)
    token_interval_seconds: float = 0.0

    def hop_at(self, address: ids.Address) -> messages.Hop | None:
        """Return the path's hop at an address, None if there is none."""
        for hop in self.hops:
            if hop.address == address:
                return hop
        return None


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a request over all its attempts.

    :ivar delivered: tokens already delivered to the caller
    :ivar excluded: servers on which an attempt of this request has failed
    :ivar number: number of the newest attempt
    :ivar may_have_run: whether any stage may have run part of the request
    """

    delivered: list[int] = dataclasses.field(default_factory=list)
    excluded: set[ids.ServerId] = dataclasses.field(default_factory=set)
    number: int = 0
    may_have_run: bool = False
