"""What the check of a configuration reports."""

from collections.abc import Sequence
import dataclasses
import difflib
import enum
import math

# Longest text of a value that is shown.
SHOWN_CHARACTERS = 100
# Stands for a value that is, or may be, an API key.
HIDDEN = '(not shown)'
# Location of the whole configuration.
ROOT = '$'


class Severity(enum.Enum):
    """Whether a finding keeps requests from being served.

    ERROR: a gateway rejects it, or can never serve it.
    WARNING: a gateway accepts it, but it is probably not what is meant.
    """

    ERROR = 'error'
    WARNING = 'warning'


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One fault of a configuration.

    :ivar rule: stable name of the rule that is broken, for programs
    :ivar location: path of keys, such as ``routes[3].kind``
    :ivar value: the value there, None if it is absent
    :ivar message: what is wrong
    :ivar allowed: what is allowed instead, empty if the message says it
    :ivar nearest: known name that is most like the value, if one is
    """

    severity: Severity
    rule: str
    location: str
    value: object
    message: str
    allowed: str = ''
    nearest: str | None = None


def error(
    rule: str,
    location: str,
    value: object,
    message: str,
    allowed: str = '',
    nearest: str | None = None,
) -> Finding:
    """Return an error; its value is made safe to show."""
    return Finding(
        Severity.ERROR,
        rule,
        location,
        shown(location, value),
        message,
        allowed,
        nearest,
    )


def warning(
    rule: str,
    location: str,
    value: object,
    message: str,
    allowed: str = '',
    nearest: str | None = None,
) -> Finding:
    """Return a warning; its value is made safe to show."""
    return Finding(
        Severity.WARNING,
        rule,
        location,
        shown(location, value),
        message,
        allowed,
        nearest,
    )


def shown(location: str, value: object) -> object:
    """Return a value as it is shown: short, and without API keys."""
    if value is None:
        return None
    section, _, key = location.partition('.')
    # A key may stand at the wrong place of its organisation.
    if section.startswith('tenants') and key != 'name':
        if isinstance(value, str) or key not in ('priority', ''):
            return HIDDEN
    match value:
        case dict():
            return f'an object with {len(value)} keys'
        case list():
            return f'a list of {len(value)}'
        case str() if len(value) > SHOWN_CHARACTERS:
            return value[:SHOWN_CHARACTERS] + '...'
        case float() if not math.isfinite(value):
            return str(value)
        case float() if value.is_integer():
            return int(value)
    return value


def nearest(name: object, known: Sequence[str]) -> str | None:
    """Return the known name that is most like another one, if one is."""
    matches = difflib.get_close_matches(str(name), known, n=1)
    return matches[0] if matches else None
