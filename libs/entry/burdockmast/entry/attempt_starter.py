"""Chooses paths for attempts and opens the attempts on them."""

import dataclasses

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.entry import attempts
from burdockmast.entry import fleet
from burdockmast.limits import queues
from burdockmast.node import node
from burdockmast.routing import demands
from burdockmast.wire import messages

# Time limit for the first token: a fixed part, and a part for each prompt
# token that may have to be prefilled.
FIRST_TOKEN_TIMEOUT_SECONDS = 5.0
PREFILL_SECONDS_PER_TOKEN = 0.002
# Paths tried in a row before the request waits in the admission queue.
MAX_PATHS_TRIED = 8
# Time that a new request waits for a path while servers load layers.
PATH_TIMEOUT_SECONDS = 5.0
# Time that an answer with delivered tokens waits for a path.
RESUME_PATH_TIMEOUT_SECONDS = 20.0
PATH_POLL_SECONDS = 0.05


class AttemptStarter:
    """Starts attempts and keeps the running attempts of one entry."""

    def __init__(
        self,
        process: node.Node,
        view: fleet.FleetView,
        queue: queues.FairQueue,
    ):
        """Create the starter with no attempts running."""
        self.attempt_by_answer: dict[ids.RequestId, attempts.Attempt] = {}
        self._crash_reports = process.crash_reports
        self._events = process.events
        self._metrics = process.metrics
        self._view = view
        self._queue = queue
        self._follower = process.follower

    def start(
        self, request: attempts.Request, progress: attempts.Progress
    ) -> attempts.Attempt | failures.Failure:
        """Start an attempt on the first path that accepts it."""
        for _ in range(MAX_PATHS_TRIED):
            opened = self._try_path(request, progress)
            if isinstance(opened, failures.Failure):
                self._record_refused_path(request, opened)
            match opened:
                case attempts.Attempt():
                    return opened
                case failures.Failure() if opened.step == 'routing.choose':
                    return opened
                case failures.Failure(reason=failures.Reason.CRASHES_SERVERS):
                    return opened
        return dataclasses.replace(opened, reason=failures.Reason.OVERLOADED)

    def _record_refused_path(
        self, request: attempts.Request, failure: failures.Failure
    ) -> None:
        self._events.add(
            'answer.unopened',
            request.id,
            reason=failure.reason.value,
            step=failure.step,
            peer=failure.peer,
            detail=failure.detail,
            waiting=len(self._queue),
            version=self._follower.version,
        )

    def _try_path(
        self, request: attempts.Request, progress: attempts.Progress
    ) -> attempts.Attempt | failures.Failure:
        demand = self._view.affinity.demand(
            (*request.prompt, *progress.delivered),
            request.max_tokens - len(progress.delivered),
        )
        hops = self._choose_path(request, progress, demand)
        if isinstance(hops, failures.Failure):
            return hops
        link = self._view.peers.get(hops[0].address)
        if isinstance(link, failures.Failure):
            self._view.loads.forget(hops[0].server)
            return link
        progress.number += 1
        attempt = attempts.Attempt(
            progress.number,
            link,
            hops,
            len(progress.delivered),
            timers.now(),
            self._first_token_deadline(request, progress),
            demand,
        )
        self._view.loads.add_attempt(hops)
        self.attempt_by_answer[request.id] = attempt
        link.send(self._start_message(request, progress, attempt))
        refusal = self._await_opened(attempt)
        if refusal is None:
            self._view.affinity.record(request.prompt, hops)
            return attempt
        self.end(request, attempt)
        self._view.loads.mark_full(refusal.server)
        return self._refusal_failure(refusal)

    def _choose_path(
        self,
        request: attempts.Request,
        progress: attempts.Progress,
        demand: demands.Demand,
    ) -> tuple[messages.Hop, ...] | failures.Failure:
        """Return a path, waiting while one may appear."""
        seconds = (
            RESUME_PATH_TIMEOUT_SECONDS
            if progress.delivered
            else PATH_TIMEOUT_SECONDS
        )
        started_at = timers.now()
        until = min(request.deadline, started_at + seconds)
        while True:
            hops = self._view.choose_path(
                request.model, frozenset(progress.excluded), demand
            )
            if not isinstance(hops, failures.Failure):
                return hops
            if hops.reason is not failures.Reason.NO_PATH:
                return hops
            if timers.now() > until:
                return hops
            # An answer with delivered tokens also waits for servers to
            # restart.
            is_resumed = bool(progress.delivered)
            may_have_path = self._view.may_have_path(request.model, started_at)
            if not is_resumed and not may_have_path:
                return hops
            self._view.redial_refused(started_at)
            eventlet.sleep(PATH_POLL_SECONDS)

    def _await_opened(
        self, attempt: attempts.Attempt
    ) -> messages.Failed | None:
        """Wait for the path's reply; return the refusal, None if accepted."""
        attempt.opening_messages = attempt.mailbox.take_all()
        match attempt.opening_messages[0]:
            case messages.Failed(step=messages.OPEN_STEP) as refusal:
                return refusal
        return None

    def _first_token_deadline(
        self, request: attempts.Request, progress: attempts.Progress
    ) -> float:
        """Return the monotonic time by which the first token is due."""
        prefill_tokens = len(request.prompt) + len(progress.delivered)
        seconds = (
            FIRST_TOKEN_TIMEOUT_SECONDS
            + PREFILL_SECONDS_PER_TOKEN * prefill_tokens
        )
        return min(timers.now() + seconds, request.deadline)

    def _refusal_failure(self, refusal: messages.Failed) -> failures.Failure:
        self._events.advance_clock(refusal.clock)
        return failures.Failure(
            refusal.reason,
            refusal.step,
            refusal.server,
            retry_after=max(0.5, refusal.retry_after_ms / 1000),
        )

    def _start_message(
        self,
        request: attempts.Request,
        progress: attempts.Progress,
        attempt: attempts.Attempt,
    ) -> messages.Start:
        delivered = progress.delivered
        clock = self._events.add(
            'answer.started',
            request.id,
            attempt=attempt.number,
            path=[f'{h.server}:{h.first}-{h.end}' for h in attempt.hops],
            resumed_at=len(delivered),
            version=self._follower.version,
            believed=[
                self._view.loads.describe(h.server) for h in attempt.hops
            ],
        )
        if delivered:
            self._metrics.count('answers.resumed')
        return messages.Start(
            request.id,
            attempt.number,
            request.model.id,
            attempt.hops,
            0,
            (*request.prompt, *delivered),
            len(request.prompt),
            request.max_tokens - len(delivered),
            int((request.deadline - timers.now()) * 1000),
            request.priority,
            request.fingerprint,
            clock,
            self._crash_reports.count(request.fingerprint),
        )

    def end(
        self, request: attempts.Request, attempt: attempts.Attempt
    ) -> None:
        """Cancel an attempt; messages that arrive later are dropped."""
        self._view.loads.remove_attempt(attempt.hops)
        if self.attempt_by_answer.get(request.id) is attempt:
            del self.attempt_by_answer[request.id]
        attempt.link.send(messages.Cancel(request.id, attempt.number))
        self._queue.wake()
