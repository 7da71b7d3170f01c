"""Exit statuses of the program."""

import enum


class ExitStatus(enum.IntEnum):
    """Status that the program exits with."""

    SUCCESS = 0
    ERROR = 1
    # Set by click for wrong options and arguments; also the status if a
    # configuration that is to be checked can't be read.
    USAGE = 2
    BAD_SETTINGS = 3
    ADDRESS_IN_USE = 4
    REFUSED = 5
    # A change may or may not have taken effect.
    UNKNOWN = 6
    STORE_UNAVAILABLE = 7
