"""Errors as values: the reason, the step and the peer concerned.

Functions that can fail in expected ways return a ``Failure`` in place of
their result; callers tell the two apart with ``match`` or ``isinstance``.
"""

import dataclasses
import enum

from burdockmast.base import outcomes


class Reason(enum.Enum):
    """Why a step failed or a request was refused."""

    BAD_REQUEST = 'bad_request'
    UNKNOWN_MODEL = 'unknown_model'
    UNKNOWN_SERVICE = 'unknown_service'
    UNKNOWN_ORGANISATION = 'unknown_organisation'
    TOO_LARGE = 'too_large'
    TOO_SLOW = 'too_slow'
    KEY_REUSED = 'idempotency_key_reused'
    NO_PATH = 'no_path'
    NO_SERVER = 'no_server'
    OVERLOADED = 'overloaded'
    DEADLINE = 'deadline_exceeded'
    LEAVING = 'leaving'
    STALE_INCARNATION = 'stale_incarnation'
    STORE_UNAVAILABLE = 'store_unavailable'
    STORE_CONFLICT = 'store_conflict'
    PEER_LOST = 'peer_lost'
    PEER_SILENT = 'peer_silent'
    PROTOCOL = 'protocol_error'
    ENGINE_LOST = 'engine_lost'
    ENGINE_REFUSED = 'engine_refused'
    OUT_OF_ORDER = 'out_of_order'
    CRASHES_SERVERS = 'crashes_servers'
    MAY_HAVE_RUN = 'may_have_run'
    IN_PROGRESS = 'in_progress'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed step.

    :ivar reason: machine-readable cause
    :ivar step: the operation that failed, e.g. ``claim.append``
    :ivar peer: address or id of the other end, empty if none
    :ivar detail: human-readable explanation
    :ivar outcome: whether the request was run, as far as is known
    :ivar retry_after: seconds to wait before a retry, None if a retry is
        of no use
    """

    reason: Reason
    step: str
    peer: str = ''
    detail: str = ''
    outcome: outcomes.Outcome = outcomes.Outcome.NOT_RUN
    retry_after: float | None = None

    def __str__(self) -> str:
        """Return one line with the reason, step, peer and detail."""
        peer = f' with {self.peer}' if self.peer else ''
        detail = f': {self.detail}' if self.detail else ''
        return f'{self.reason.value} at {self.step}{peer}{detail}'
