"""What must hold for requests on paths of several servers."""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools

import eventlet

from burdockmast.base import timers
from burdockmast.bench import lost_requests
from burdockmast.platform import standin
from burdockmast.platform import standin_paths

MAX_PATH_CHANGES = 2
# Statuses with which a gateway says that a request has not run.
NOT_RUN_STATUSES = (408, 429, 503)
HTTP_OK = 200
# A priority starves if so many of its requests in a row get no answer in at
# least this time, while so many of the others do.
STARVED_REQUESTS = 10
STARVED_SECONDS = 6.0
SERVED_OTHERS = 30


# Requests on this path may run once.
ONCE_PATH = '/once/'
# Time after which a run whose caller has left must have ended.
LEFT_SECONDS = 5.0
LEFT_POLL_SECONDS = 0.05


def find_violations(
    engine: standin_paths.PathEngine,
    requests: list[lost_requests.SentRequest],
    servers: list[standin.BackendServer],
    priority_by_path: Mapping[str, int],
) -> list[str]:
    """Return all violations at the end of a play, once no caller waits."""
    once = [r.id for r in requests if r.path.startswith(ONCE_PATH)]
    return [
        *find_broken_runs(engine),
        *find_repeated_streams(engine, once),
        *find_false_refusals(requests, servers),
        *find_starved(requests, priority_by_path),
        *find_left_runs(engine),
    ]


def find_broken_runs(engine: standin_paths.PathEngine) -> list[str]:
    """Return violations of what holds for each attempt at an engine."""
    found = [f'invalid path {path!r}' for path in engine.invalid_paths]
    for run in engine.runs:
        if len(run.changed_at) > MAX_PATH_CHANGES:
            found.append(f'{run.id} had {len(run.changed_at)} path changes')
        numbers = [event.number for event in run.events]
        if any(b != a + 1 for a, b in itertools.pairwise(numbers)):
            found.append(f'{run.id} had events out of order: {numbers}')
        for event in run.events:
            layers = [
                layer
                for stage in event.stages
                for layer in range(stage.first, stage.end)
            ]
            if layers != list(range(engine.layers)):
                found.append(
                    f'event {event.number} of {run.id} ran {event.stages}'
                )
    return found


def find_repeated_streams(
    engine: standin_paths.PathEngine, once: Iterable[str]
) -> list[str]:
    """Return a violation for each request that ran twice, but may not.

    :param once: requests that may run once
    """
    ran = [run.id for run in engine.runs]
    return [
        f'{request} ran {ran.count(request)} times'
        for request in once
        if ran.count(request) > 1
    ]


def find_left_runs(engine: standin_paths.PathEngine) -> list[str]:
    """Return a violation for each run that goes on without its caller."""
    until = timers.now() + LEFT_SECONDS
    while timers.now() < until and any(r.is_active for r in engine.runs):
        eventlet.sleep(LEFT_POLL_SECONDS)
    return [
        f'{run.id} runs on {timers.now() - run.began_at:.1f} s after its begin'
        for run in engine.runs
        if run.is_active
    ]


def find_false_refusals(
    requests: Iterable[lost_requests.SentRequest],
    servers: Iterable[standin.BackendServer],
) -> list[str]:
    """Return a violation for each request that ran, but is said not to have.

    Servers run what they receive and don't refuse, also if they crash on it.
    """
    ran = {
        seen.id: seen.server
        for server in servers
        for seen in server.requests
        if not seen.is_refused
    }
    return [
        f'{request.id} {request.path} got {request.status}, '
        f'but ran at {ran[request.id]}'
        for request in requests
        if request.status in NOT_RUN_STATUSES and request.id in ran
    ]


def find_starved(
    requests: Iterable[lost_requests.SentRequest],
    priority_by_path: Mapping[str, int],
) -> list[str]:
    """Return a violation for each priority whose requests get no answers.

    A request counts as served once its answer has begun.
    """
    by_priority: dict[int, list[lost_requests.SentRequest]] = {}
    for request in sorted(requests, key=lambda r: r.ended_at):
        for path, priority in priority_by_path.items():
            if request.path.startswith(path):
                by_priority.setdefault(priority, []).append(request)
    found = []
    for priority, own in by_priority.items():
        others = [
            request.ended_at
            for other, of_other in by_priority.items()
            if other != priority
            for request in of_other
            if request.status == HTTP_OK
        ]
        for is_served, group in itertools.groupby(
            own, lambda r: r.status == HTTP_OK
        ):
            unserved = list(group)
            since, until = unserved[0].sent_at, unserved[-1].ended_at
            served_others = sum(since <= at <= until for at in others)
            if (
                not is_served
                and len(unserved) >= STARVED_REQUESTS
                and until - since >= STARVED_SECONDS
                and served_others >= SERVED_OTHERS
            ):
                found.append(
                    f'{len(unserved)} requests of priority {priority} in a '
                    f'row got no answer in {until - since:.1f} s, '
                    f'{served_others} of others did'
                )
    return found
