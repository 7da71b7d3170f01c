"""Finds requests that a gateway has read and not answered."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum
import math
import signal

from burdockmast.bench import gateway_processes
from burdockmast.platform import standin

# Time in which a request and the close of its connection may cross.
LOSS_SLACK_SECONDS = 0.2
# A stopping gateway answers what was sent up to this long after its stop
# signal, unless servers still work in the last part of its grace period.
STOP_ACCEPT_SECONDS = 3.0
LAST_GRACE_SHARE = 1 / 6
# Delay between a caller's clock and a gateway's for the same request.
CLOCK_SLACK_SECONDS = 0.05
# A server may notice so much later that a gateway has left it.
LEAVING_SLACK_SECONDS = 0.1
# An unhandled error, which says nothing about the request.
INTERNAL_ERROR_STATUS = 500


class Ending(enum.Enum):
    """How a request ended for its caller."""

    OPEN = 'is open'
    WHOLE = 'was answered'
    CUT = 'was cut'
    CLOSED = 'got no answer before its connection ended'
    UNANSWERED = 'got no whole answer in time'


class Excuse(enum.Enum):
    """Why a request may end without a whole answer."""

    DISRUPTED = 'gateway killed or suspended'
    BROKEN_OFF = 'server broke off'
    DEADLINE = 'deadline or timeout reached'
    CROSSED_CLOSE = 'crossed the close of a stopping gateway'
    SLOW_SERVER = 'server at work at the end of the grace period'


@dataclasses.dataclass(slots=True)
class SentRequest:
    """A request that was wholly written to a gateway.

    :ivar host: of the gateway
    :ivar sent_at: monotonic seconds of its last byte
    :ivar status: of the answer, or None if no head was received
    :ivar body_bytes: size of the request's body
    """

    id: str
    host: str
    path: str
    sent_at: float
    deadline_seconds: float
    ended_at: float = math.inf
    ending: Ending = Ending.OPEN
    status: int | None = None
    detail: str = ''
    api_key: str = ''
    body_bytes: int = 0

    @property
    def is_lost(self) -> bool:
        """Whether it has no whole answer, or one that is no gateway's."""
        return (
            self.ending is not Ending.WHOLE
            or self.status == INTERNAL_ERROR_STATUS
        )


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTimeout:
    """A timeout that was given to the routes with a path's prefix."""

    path_prefix: str
    seconds: float
    written_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Circumstances:
    """What the soak did to gateways, servers and routes.

    :ivar runs_by_request: in the order in which servers received them
    """

    outages_by_host: Mapping[str, list[gateway_processes.Outage]]
    runs_by_request: Mapping[str, list[standin.ReceivedRequest]]
    timeouts: list[RouteTimeout]

    @classmethod
    def from_play(
        cls,
        gateways: Iterable[gateway_processes.GatewayProcess],
        servers: Iterable[standin.BackendServer],
        timeouts: list[RouteTimeout],
    ) -> 'Circumstances':
        """Collect what gateways and servers have recorded."""
        runs_by_request: dict[str, list[standin.ReceivedRequest]] = {}
        received = (seen for server in servers for seen in server.requests)
        for run in sorted(received, key=lambda run: run.at):
            runs_by_request.setdefault(run.id, []).append(run)
        return cls(
            {gateway.host: gateway.outages for gateway in gateways},
            runs_by_request,
            timeouts,
        )

    def excuse(self, request: SentRequest) -> Excuse | None:
        """Return why a request may have been lost, None if it may not."""
        if request.status == INTERNAL_ERROR_STATUS:
            return None
        if self._is_disrupted(request):
            return Excuse.DISRUPTED
        if self._is_broken_off(request):
            return Excuse.BROKEN_OFF
        if self._is_at_deadline(request):
            return Excuse.DEADLINE
        for outage in self._outages(request, signal.SIGTERM):
            if outage.began_at <= request.ended_at <= outage.ended_at:
                excuse = self._excuse_at_stop(request, outage)
                if excuse:
                    return excuse
        return None

    def _outages(
        self, request: SentRequest, *numbers: signal.Signals
    ) -> list[gateway_processes.Outage]:
        return [
            outage
            for outage in self.outages_by_host.get(request.host, [])
            if outage.signal in numbers
        ]

    def _is_disrupted(self, request: SentRequest) -> bool:
        since = request.sent_at - gateway_processes.STABLE_SECONDS
        return any(
            outage.began_at <= request.ended_at and outage.ended_at >= since
            for outage in self._outages(
                request, signal.SIGKILL, signal.SIGSTOP
            )
        )

    def _is_broken_off(self, request: SentRequest) -> bool:
        """Return whether a server broke off while no other was at work."""
        runs = self.runs_by_request.get(request.id, [])
        before = request.ended_at + CLOCK_SLACK_SECONDS
        times = [run.broken_off_at for run in runs]
        broken_at = max((at for at in times if at <= before), default=-1.0)
        return broken_at >= 0 and all(
            run.at <= broken_at
            and min(run.ended_at, run.broken_off_at)
            <= broken_at + LEAVING_SLACK_SECONDS
            for run in runs
        )

    def _is_at_deadline(self, request: SentRequest) -> bool:
        """Return whether a begun answer was cut at its deadline.

        A gateway can still answer a request that has no answer by then.
        """
        timeouts = [
            timeout.seconds
            for timeout in self.timeouts
            if request.path.startswith(timeout.path_prefix)
            and timeout.written_at <= request.sent_at
        ]
        limit = min((request.deadline_seconds, *timeouts))
        seconds = request.ended_at - request.sent_at
        return (
            request.ending is Ending.CUT
            and seconds >= limit - CLOCK_SLACK_SECONDS
        )

    def _excuse_at_stop(
        self, request: SentRequest, stop: gateway_processes.Outage
    ) -> Excuse | None:
        runs = self.runs_by_request.get(request.id, [])
        seconds = request.ended_at - request.sent_at
        if not runs:
            crossed = seconds <= LOSS_SLACK_SECONDS
            return Excuse.CROSSED_CLOSE if crossed else None
        last_part_at = stop.began_at + gateway_processes.GRACE_SECONDS * (
            1 - LAST_GRACE_SHARE
        )
        if (
            request.sent_at <= stop.began_at + STOP_ACCEPT_SECONDS
            and request.ended_at >= last_part_at
            and any(run.ended_at >= last_part_at for run in runs)
        ):
            return Excuse.SLOW_SERVER
        return None


def describe(request: SentRequest, circumstances: Circumstances) -> str:
    """Return what became of a lost request, for a violation."""
    seconds = request.ended_at - request.sent_at
    runs = circumstances.runs_by_request.get(request.id, [])
    signals = [
        f'{outage.signal.name} {outage.began_at - request.sent_at:.2f} to '
        f'{outage.ended_at - request.sent_at:.2f} s'
        for outage in circumstances.outages_by_host.get(request.host, [])
    ]
    known = [
        f'{run.server} {run.at - request.sent_at:.2f} to '
        f'{run.ended_at - request.sent_at:.2f} s'
        + (' (broken off)' if math.isfinite(run.broken_off_at) else '')
        for run in runs
    ]
    return (
        f'{request.id} {request.path} {request.ending.value} '
        f'at {request.host} after {seconds:.2f} s, '
        f'status {request.status} {request.detail}; runs: {known}, '
        f'signals: {signals}'
    )
