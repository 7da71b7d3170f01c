"""Whether a request was run, as far as is known."""

import enum


class Outcome(enum.Enum):
    """Whether a request was run, as far as its reporter knows.

    ``NOT_RUN`` is only reported if it is certain.
    """

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'may_have_run'
