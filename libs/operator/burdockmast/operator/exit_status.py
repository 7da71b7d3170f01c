"""Exit codes of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """What the program tells its caller."""

    SUCCESS = 0
    ERROR = 1
    # Used by the argument library itself.
    USAGE = 2
    BAD_SETTINGS = 3
    ADDRESS_IN_USE = 4
    REFUSED = 5
    # A write may or may not have taken effect.
    UNKNOWN = 6
    STORE_UNAVAILABLE = 7
