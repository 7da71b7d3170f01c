"""Parses the headers of callers' requests."""

import dataclasses

from burdockmast.base import failures
from burdockmast.base import ids

ORGANISATION = 'Burdockmast-Organisation'
PRIORITY = 'Burdockmast-Priority'
DEADLINE = 'Burdockmast-Deadline'
REQUEST_ID = 'Burdockmast-Request-Id'
IDEMPOTENCY_KEY = 'Idempotency-Key'
IDEMPOTENT = 'Burdockmast-Idempotent'

PRIORITIES = {'low': 0, 'normal': 1, 'high': 2}
MAX_KEY_CHARACTERS = 255
# Idempotency keys have to be kept for much longer than a request may run; see
# the setting ``claims_retention``.
MAX_DEADLINE_SECONDS = 600.0
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


@dataclasses.dataclass(frozen=True, slots=True)
class Headers:
    """Values of the headers of a request.

    :ivar deadline_seconds: time left until the caller's deadline
    :ivar key: idempotency key, empty if none
    """

    organisation: ids.OrganisationId
    priority: int
    deadline_seconds: float
    key: str
    is_idempotent: bool


def parse(environ: dict, default_seconds: float) -> Headers | failures.Failure:
    """Parse the headers of a WSGI request.

    :param default_seconds: deadline of requests that give none
    :returns: the values, or a failure that names the header, the value found
        and the allowed values
    """
    organisation = _read(environ, ORGANISATION)
    if not organisation:
        return _bad_header(f'header {ORGANISATION} is missing')
    priority = _read(environ, PRIORITY) or 'normal'
    if priority not in PRIORITIES:
        allowed = ', '.join(PRIORITIES)
        return _bad_header(
            f'{PRIORITY}: found {priority!r}, allowed: {allowed}'
        )
    seconds = _parse_deadline(_read(environ, DEADLINE), default_seconds)
    if isinstance(seconds, failures.Failure):
        return seconds
    key = _read(environ, IDEMPOTENCY_KEY)
    if len(key) > MAX_KEY_CHARACTERS:
        return _bad_header(
            f'{IDEMPOTENCY_KEY}: at most {MAX_KEY_CHARACTERS} characters'
        )
    if ',' in key or ',' in organisation:
        return _bad_header(
            f'{IDEMPOTENCY_KEY} and {ORGANISATION} may each be given only once'
        )
    idempotent = _read(environ, IDEMPOTENT).lower()
    if idempotent not in ('', 'true', 'false'):
        return _bad_header(
            f'{IDEMPOTENT}: found {idempotent!r}, allowed: true, false'
        )
    return Headers(
        ids.OrganisationId(organisation),
        PRIORITIES[priority],
        seconds,
        key,
        _is_idempotent(environ['REQUEST_METHOD'], idempotent),
    )


def _is_idempotent(method: str, declared: str) -> bool:
    if declared:
        return declared == 'true'
    return method in IDEMPOTENT_METHODS


def _read(environ: dict, name: str) -> str:
    return environ.get('HTTP_' + name.upper().replace('-', '_'), '').strip()


def _parse_deadline(text: str, default: float) -> float | failures.Failure:
    if not text:
        return default
    try:
        seconds = float(text)
    except ValueError:
        return _bad_header(f'{DEADLINE}: found {text!r}, expected seconds')
    if seconds <= 0:
        return failures.Failure(
            failures.Reason.DEADLINE,
            'request.headers',
            detail=f'{DEADLINE}: found {text}, the deadline has passed',
        )
    if not seconds <= MAX_DEADLINE_SECONDS:
        return _bad_header(
            f'{DEADLINE}: at most {MAX_DEADLINE_SECONDS:.0f} seconds'
        )
    return seconds


def _bad_header(detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.BAD_REQUEST, 'request.headers', detail=detail
    )
