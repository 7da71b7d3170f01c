"""Headers of callers' requests."""

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
# Largest deadline that a caller may ask for, in seconds. Idempotency keys have
# to be remembered for much longer; see the setting ``claims_retention``.
MAX_DEADLINE_SECONDS = 600.0
IDEMPOTENT_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


@dataclasses.dataclass(frozen=True, slots=True)
class Headers:
    """What a caller says about a request.

    :ivar deadline_seconds: until the caller's deadline
    :ivar key: idempotency key, empty if none
    """

    organisation: ids.OrganisationId
    priority: int
    deadline_seconds: float
    key: str
    is_idempotent: bool


def parse(environ: dict, default_seconds: float) -> Headers | failures.Failure:
    """Read the headers of a WSGI request.

    :returns: a failure that names the header, what was found and what is
        allowed
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
            f'{IDEMPOTENCY_KEY} and {ORGANISATION} may each stand only once'
        )
    idempotent = _read(environ, IDEMPOTENT).lower()
    if idempotent not in ('', 'true', 'false'):
        return _bad_header(
            f'{IDEMPOTENT}: found {idempotent!r}, true or false'
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
        return _bad_header(f'{DEADLINE}: found {text!r}, seconds are expected')
    if seconds <= 0:
        return failures.Failure(
            failures.Reason.DEADLINE,
            'request.headers',
            detail=f'{DEADLINE}: {text} has passed',
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
