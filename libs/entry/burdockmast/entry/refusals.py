"""HTTP status, headers and JSON body of refused requests."""

import math

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes

STATUS_BY_REASON = {
    failures.Reason.BAD_REQUEST: '400 Bad Request',
    failures.Reason.UNKNOWN_MODEL: '404 Not Found',
    failures.Reason.UNKNOWN_SERVICE: '404 Not Found',
    failures.Reason.UNKNOWN_ORGANISATION: '403 Forbidden',
    failures.Reason.TOO_LARGE: '413 Content Too Large',
    failures.Reason.KEY_REUSED: '422 Unprocessable Content',
    failures.Reason.CRASHES_SERVERS: '422 Unprocessable Content',
    failures.Reason.MAY_HAVE_RUN: '409 Conflict',
    failures.Reason.IN_PROGRESS: '409 Conflict',
    failures.Reason.OVERLOADED: '429 Too Many Requests',
    failures.Reason.DEADLINE: '504 Gateway Timeout',
}
UNAVAILABLE_STATUS = '503 Service Unavailable'


class Refusal(msgspec.Struct):
    """The ``error`` object of a refusal's body.

    :ivar outcome: ``not_run``, ``ran`` or ``may_have_run``
    :ivar retry_after: seconds to wait before a retry, None if a retry is
        useless
    """

    type: str
    outcome: str
    message: str
    step: str
    peer: str
    request_id: str
    retry_after: float | None


def body_of(failure: failures.Failure, request_id: ids.RequestId) -> bytes:
    """Return the JSON body of a refusal."""
    refusal = Refusal(
        failure.reason.value,
        failure.outcome.value,
        failure.detail or failure.reason.value.replace('_', ' '),
        failure.step,
        failure.peer,
        request_id,
        failure.retry_after,
    )
    return msgspec.json.encode({'error': refusal})


def status_of(failure: failures.Failure) -> str:
    """Return the HTTP status of a refusal."""
    if failure.outcome is outcomes.Outcome.UNKNOWN and (
        failure.reason is not failures.Reason.CRASHES_SERVERS
    ):
        return STATUS_BY_REASON[failures.Reason.MAY_HAVE_RUN]
    return STATUS_BY_REASON.get(failure.reason, UNAVAILABLE_STATUS)


def headers_of(
    failure: failures.Failure, request_id: ids.RequestId
) -> list[tuple[str, str]]:
    """Return the HTTP headers of a refusal."""
    headers = [
        ('Content-Type', 'application/json'),
        ('Burdockmast-Outcome', failure.outcome.value),
        ('Burdockmast-Request-Id', request_id),
    ]
    if failure.retry_after is not None:
        seconds = str(math.ceil(failure.retry_after))
        headers.append(('Retry-After', seconds))
    return headers
