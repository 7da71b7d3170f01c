"""What is known about whether a request was executed."""

import enum


class Outcome(enum.Enum):
    """Execution state of a request as far as its reporter knows.

    ``NOT_RUN`` is only ever said where it is certain.
    """

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'may_have_run'
