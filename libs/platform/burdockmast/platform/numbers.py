"""Reads the numbers in headers of callers, backend servers and the store.

The platform's pages give no range for them, so that a number of any length is
read. Only text that is no number is not: its reader tells whoever sent it, or
the log.
"""

import re

# Largest whole number that is exact in all readers, those that hold numbers as
# doubles included. A larger one is read as this one.
MAX_EXACT = 2**53 - 1
# Its digits. Longer numbers need not be converted, which takes time that grows
# faster than their length.
_MAX_DIGITS = len(str(MAX_EXACT))

_DECIMAL = re.compile(r'([0-9]*+)(?:\.([0-9]*+))?')


def parse_whole(text: str) -> int | None:
    """Return a whole number, ``MAX_EXACT`` for a larger one.

    :returns: None if the text is no whole number
    """
    text = text.strip()
    if not (text.isascii() and text.isdigit()):
        return None
    if len(text) < _MAX_DIGITS:
        return int(text)
    significant = text.lstrip('0')
    if len(significant) > _MAX_DIGITS:
        return MAX_EXACT
    return min(int(significant or '0'), MAX_EXACT)


def parse_decimal(text: str) -> float | None:
    """Return a number with or without a fraction, at most ``MAX_EXACT``.

    :returns: None if the text is no decimal number
    """
    number = parse_whole(text)
    if number is not None:
        return float(number)
    found = _DECIMAL.fullmatch(text.strip())
    if not found or not (found[1] or found[2]):
        return None
    whole = parse_whole(found[1] or '0')
    fraction = (found[2] or '')[:_MAX_DIGITS]
    return min(float(f'{whole}.{fraction or 0}'), float(MAX_EXACT))
