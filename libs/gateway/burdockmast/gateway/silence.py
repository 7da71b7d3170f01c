"""Decides when to try another path beside one that sends nothing.

The load: servers die in the middle of answers, while others are busy or pause
for seconds and go on. A stream behind a dead server must move to another path
before its caller leaves. One on a busy path must not, since its retry would
add to the load. A silent path may go on at any moment, so that it is only left
for one that delivers.
"""

import dataclasses

# Silence after which the path's servers are asked for reports.
CHECK_SECONDS = 0.2
# Silence after which another path is tried if a server of this one doesn't
# answer a report either.
UNRESPONSIVE_SECONDS = 0.5
# Silence after which another path is tried even though the servers of this one
# serve other streams.
MAX_BUSY_SECONDS = 1.9
# Silence after which a stream whose route has no more attempts is sent again
# to a server that has had it. Callers leave after 2 s, and the first event
# takes some tenths of a second.
REPEAT_SECONDS = 1.2


@dataclasses.dataclass(frozen=True, slots=True)
class Silence:
    """What is known of a stream that sends nothing.

    :ivar seconds: since its last data, or since the request was sent
    :ivar limit_seconds: after which another path is tried, unless this one is
        known to be alive
    :ivar may_retry: another attempt is allowed
    :ivar is_repeat: it would run at a server that has run the request
    :ivar has_lost_server: a server of the path was found lost meanwhile
    :ivar has_unresponsive_server: the same for one that doesn't answer
    :ivar is_path_active: other streams have just passed all its servers
    """

    seconds: float
    limit_seconds: float
    may_retry: bool
    is_repeat: bool
    has_lost_server: bool
    has_unresponsive_server: bool
    is_path_active: bool


def should_try_another(silence: Silence) -> bool:
    """Return whether to try another path beside the silent one."""
    if not silence.may_retry:
        return False
    if silence.has_lost_server or silence.seconds > MAX_BUSY_SECONDS:
        return True
    if silence.is_repeat and silence.seconds < REPEAT_SECONDS:
        return False
    if silence.has_unresponsive_server:
        return silence.seconds >= UNRESPONSIVE_SECONDS
    return (
        silence.seconds >= silence.limit_seconds and not silence.is_path_active
    )
