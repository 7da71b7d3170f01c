"""What must hold in a play of faults on gateways."""

import collections
from collections.abc import Iterable
import dataclasses

from burdockmast.bench import gateway_processes
from burdockmast.bench import lost_requests
from burdockmast.platform import headers
from burdockmast.platform import standin

# Longest time after which a server that leaves gets no more requests.
DRAIN_SECONDS = 2.0
# The operators' rules: crashes until all gateways should know a part, and
# requests that may still come; what a server may get beyond its limit in some
# seconds.
LEARNING_CRASHES = 5
LATE_REQUESTS = 3
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
WINDOW_SECONDS = 4.0
# Time after which no gateway accepts a key that was revoked.
REVOKE_SECONDS = 5.0


@dataclasses.dataclass(slots=True)
class Report:
    """What happened in a play."""

    faults: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)
    excused: list[str] = dataclasses.field(default_factory=list)
    statuses: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def find_false_end(
    number: int, body: bytes, events: int, ids_begin_after: int = 0
) -> list[str]:
    """Return a violation if a complete answer lacks events of its stream."""
    whole = b''.join(
        b'id: %d\ndata: token %d\n\n' % (ids_begin_after + n, n)
        for n in range(1, events + 1)
    )
    if body == whole:
        return []
    return [f'r{number} looks complete with {body[-60:]!r}']


def find_lost(
    report: Report,
    requests: Iterable[lost_requests.SentRequest],
    circumstances: lost_requests.Circumstances,
) -> None:
    """Report requests without a whole answer, and why they may have none."""
    for request in requests:
        if not request.is_lost:
            continue
        found = lost_requests.describe(request, circumstances)
        excuse = circumstances.excuse(request)
        if excuse:
            report.excused.append(f'excused, {excuse.value}: {found}')
        else:
            report.violations.append(found)


def find_late_arrivals(
    server: standin.BackendServer,
    left_at: float,
    excused_until: float,
    until: float,
) -> list[str]:
    """Return a violation if a server got requests after it had left.

    :param excused_until: earlier requests don't count
    """
    since = max(left_at + DRAIN_SECONDS, excused_until)
    late = [seen.id for seen in server.requests if since < seen.at < until]
    if not late:
        return []
    return [f'{server.id} got {late[:3]} after it had left']


def find_cut_bodies(
    requests: Iterable[lost_requests.SentRequest],
    servers: Iterable[standin.BackendServer],
) -> list[str]:
    """Return a violation for each body that did not run as it was sent."""
    size_by_request = {request.id: request.body_bytes for request in requests}
    return [
        f'{seen.id} ran with {len(seen.body)} bytes of its body'
        for server in servers
        for seen in server.requests
        if len(seen.body) != size_by_request.get(seen.id, len(seen.body))
    ]


def find_repeated_commands(
    servers: Iterable[standin.BackendServer],
) -> list[str]:
    """Return a violation for each unsafe call that ran more than once."""
    runs = collections.Counter(
        seen.id
        for server in servers
        for seen in server.requests
        if seen.path.startswith('/confirm/')
    )
    return [
        f'{request} ran {count} times'
        for request, count in runs.items()
        if count > 1
    ]


def find_deadly_requests(
    engines: Iterable[standin.BackendServer], part: str
) -> list[str]:
    """Return a violation if a part that crashes servers goes on coming."""
    engines = list(engines)
    crashes = sorted(at for engine in engines for at in engine.crashed_at)
    if len(crashes) < LEARNING_CRASHES:
        return []
    since = crashes[LEARNING_CRASHES - 1] + gateway_processes.STABLE_SECONDS
    late = [
        seen
        for engine in engines
        for seen in engine.requests
        if f'{part}:'
        in seen.header_by_name.get(headers.PROMPT_PARTS.lower(), '')
        and seen.at > since
    ]
    if len(late) <= LATE_REQUESTS:
        return []
    return [f'{len(late)} deadly requests after {len(crashes)} crashes']


def find_excess(
    server: standin.BackendServer,
    named_at: float,
    limit: float,
    excused_until: float,
    until: float,
) -> list[str]:
    """Return a violation if a server got more than the limit it named.

    :param excused_until: earlier requests don't count
    """
    since = max(named_at + gateway_processes.STABLE_SECONDS, excused_until)
    times = [seen.at for seen in server.requests if since <= seen.at < until]
    most = max(
        (
            sum(first <= at < first + WINDOW_SECONDS for at in times)
            for first in times
        ),
        default=0,
    )
    if most <= LIMIT_FACTOR * limit * WINDOW_SECONDS + LIMIT_SLACK:
        return []
    return [f'{server.id} got {most} requests at the limit {limit}']


def find_unauthorized(
    requests: Iterable[lost_requests.SentRequest],
    servers: Iterable[standin.BackendServer],
    held_key: str,
    revoked_at: float,
) -> list[str]:
    """Return a violation for each other key, or late use of the held one.

    No disruption excuses one.

    :param held_key: the only key that was ever in force
    """
    ran = {seen.id for server in servers for seen in server.requests}
    count_by_key = collections.Counter(
        request.api_key
        for request in requests
        if request.id in ran
        and (
            request.api_key != held_key
            or request.sent_at > revoked_at + REVOKE_SECONDS
        )
    )
    return [
        f'{count} requests with the key {key!r} ran'
        for key, count in count_by_key.items()
    ]
