"""Decides whether a backend server that doesn't answer is lost.

The load: some of many servers die, in the middle of answers, and must get no
more requests. Sound ones fall silent for a second and go on, at times all at
once, or their gateway was held up. Silence alone is no loss: the server is
avoided where others hold its layers, and used where none do.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.gateway import backends
from burdockmast.gateway import config
from burdockmast.gateway import paths

# Time for which evidence holds that nothing ends. A dead server is removed
# from the list after three missed heartbeats, which is 3.6 s.
EVIDENCE_VALID_SECONDS = 4.0


class State(enum.Enum):
    """Whether a server may get requests."""

    SOUND = 'sound'
    UNRESPONSIVE = 'unresponsive'
    LOST = 'lost'


class Fate(enum.Enum):
    """What has become of a start of a server."""

    RUNS = 'runs'
    LEAVES = 'leaves'
    ENDED = 'ended'


class Evidence(enum.IntEnum):
    """What was seen of a server, the weakest first."""

    NO_ANSWER = 1
    REQUESTS_STALL = 2
    CONNECTION_REFUSED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Finding:
    """Evidence against an incarnation of a server.

    :ivar found_at: monotonic seconds
    """

    evidence: Evidence
    found_at: float
    started_ms: int


def evidence_of(failure: failures.Failure) -> Evidence:
    """Return what a failure to get an answer shows."""
    match failure:
        case failures.Failure(
            reason=failures.Reason.ENGINE_LOST, step='backend.connect'
        ):
            return Evidence.CONNECTION_REFUSED
    return Evidence.NO_ANSWER


class ServerStates:
    """The states of all servers, as far as one gateway knows."""

    def __init__(self):
        """Create a record in which all servers are sound."""
        self._finding_by_server: dict[ids.ServerId, _Finding] = {}

    def state(self, server: ids.ServerId) -> State:
        """Return the state of a server."""
        found = self._finding_by_server.get(server)
        if found is None or _has_expired(found):
            return State.SOUND
        if found.evidence is Evidence.NO_ANSWER:
            return State.UNRESPONSIVE
        return State.LOST

    def refuses_connections(self, server: ids.ServerId) -> bool:
        """Return whether a server has lately refused a connection."""
        found = self._finding_by_server.get(server)
        return (
            found is not None
            and not _has_expired(found)
            and found.evidence is Evidence.CONNECTION_REFUSED
        )

    def in_state(self, state: State) -> set[ids.ServerId]:
        """Return the servers in a state other than sound."""
        return {s for s in self._finding_by_server if self.state(s) is state}

    def record(
        self, server: backends.BackendServer, evidence: Evidence
    ) -> None:
        """Record evidence, unless there is stronger one."""
        found = self._finding_by_server.get(server.id)
        if found is None or _has_expired(found) or found.evidence <= evidence:
            self._finding_by_server[server.id] = _Finding(
                evidence, timers.now(), server.started_ms
            )

    def record_answer(self, server: ids.ServerId) -> bool:
        """Record an answer of a server; return whether it changes its state.

        One that others can't reach may answer this gateway.
        """
        return self._end(server, Evidence.NO_ANSWER)

    def record_event(self, server: ids.ServerId) -> bool:
        """Record an event of a stream that passes a server.

        It shows that others reach the server, though it may be older than a
        refused connection. Returns whether it changes the server's state.
        """
        return self._end(server, Evidence.REQUESTS_STALL)

    def failed_since(
        self, servers: Iterable[ids.ServerId], since: float
    ) -> list[ids.ServerId]:
        """Return those of the servers that are not sound since a time.

        :param since: monotonic seconds
        """
        return [
            server
            for server in servers
            if self.state(server) is not State.SOUND
            and self._finding_by_server[server].found_at >= since
        ]

    def keep_listed(
        self, listed: Mapping[ids.ServerId, backends.BackendServer]
    ) -> None:
        """Drop what is known of incarnations that are not listed."""
        for server, found in list(self._finding_by_server.items()):
            entry = listed.get(server)
            if entry is None or entry.started_ms != found.started_ms:
                del self._finding_by_server[server]

    def _end(self, server: ids.ServerId, strongest: Evidence) -> bool:
        found = self._finding_by_server.get(server)
        if found is None or found.evidence > strongest:
            return False
        del self._finding_by_server[server]
        return True


def _has_expired(found: _Finding) -> bool:
    return timers.now() >= found.found_at + EVIDENCE_VALID_SECONDS


def spare(
    engine: config.Engine,
    servers: list[backends.BackendServer],
    unresponsive: Collection[ids.ServerId],
) -> list[backends.BackendServer]:
    """Return the servers without unresponsive ones.

    Those stay if the others don't hold all layers.
    """
    if not unresponsive:
        return servers
    sound = [s for s in servers if s.id not in unresponsive]
    if paths.first_uncovered_layer(engine, sound) is None:
        return sound
    return servers
