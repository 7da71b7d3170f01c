"""Calls plain services, and retries a call only where that is safe."""

import collections
import dataclasses
import hashlib
import random

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.claims import records
from burdockmast.claims import writer_directory
from burdockmast.entry import fleet
from burdockmast.entry import hedges
from burdockmast.fleet import changes
from burdockmast.limits import budgets
from burdockmast.node import node
from burdockmast.replies import grammar
from burdockmast.wire import links
from burdockmast.wire import messages

# Attempts at a call that is neither idempotent nor keyed. Another is made only
# if the last one has certainly not run.
MAX_ATTEMPTS = 4
# Time that a call waits for a link to a server that may be reachable; the same
# as the timeout of a dial.
LINK_TIMEOUT_SECONDS = 1.0
LINK_POLL_SECONDS = 0.01
# Time limit for writing a claim to the store.
CLAIM_TIMEOUT_SECONDS = 3.0
# Retry-After while the store is unavailable.
STORE_RETRY_SECONDS = 2.0
# Retry-After if no server is available, or if a side process refused the call.
NO_SERVER_RETRY_SECONDS = 1.0
# Retry-After of a keyed call with an unknown outcome. Entries learn of a
# replaced side process within this time, and a repeat with the same key may
# then get the outcome.
KEYED_RETRY_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A validated call to a plain service.

    :ivar key: the caller's idempotency key as it is stored, empty if none
    :ivar deadline: monotonic seconds
    """

    id: ids.RequestId
    service: ids.ServiceId
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str
    is_idempotent: bool
    deadline: float

    @property
    def fingerprint(self) -> ids.Fingerprint:
        """Hash that must be the same for a repeat with the same key."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.method, self.path):
            digest.update(part.encode() + b'\0')
        digest.update(self.body)
        return ids.Fingerprint(digest.hexdigest())


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Reply of a service.

    :ivar is_replay: whether this is the stored reply of an earlier call with
        the same key
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_replay: bool = False


Result = Reply | failures.Failure


class ServiceClient:
    """Client of one entry for calls to plain services."""

    def __init__(
        self,
        process: node.Node,
        view: fleet.FleetView,
        seed: int | None = None,
    ):
        """Create a client without running calls."""
        self._view = view
        self._events = process.events
        self._metrics = process.metrics
        self._directory = writer_directory.WriterDirectory(process.follower)
        self._budget = budgets.RetryBudget()
        self._random = random.Random(seed)
        self._running_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._latencies_by_service: collections.defaultdict[
            ids.ServiceId, hedges.Latencies
        ] = collections.defaultdict(hedges.Latencies)

    def call(self, call: Call) -> Result:
        """Execute a call, with the retries that are safe for it."""
        if not self._view.knows_service(call.service):
            return failures.Failure(
                failures.Reason.UNKNOWN_SERVICE,
                'service.choose',
                detail=f'no service {call.service}',
            )
        if call.is_idempotent:
            return self._call_idempotent(call)
        if call.key:
            return self._call_claimed(call)
        return self._call_once(call)

    def _call_idempotent(self, call: Call) -> Result:
        """Retry and hedge on other servers, within the retry budget."""
        self._budget.deposit()
        tried: set[ids.ServerId] = set()
        latencies = self._latencies_by_service[call.service]

        def attempt() -> Result:
            link = self._choose_link(call, tried)
            if isinstance(link, failures.Failure):
                return link
            tried.add(link.hello.server)
            started_at = timers.now()
            result = self._ask(call.id, link, self._call_message(call, link))
            if isinstance(result, Reply):
                latencies.record(timers.now() - started_at)
            return result

        def may_retry(none_running: bool) -> bool:
            find = (
                self._await_untried_servers
                if none_running
                else self._untried_servers
            )
            if not find(call, tried) or not self._budget.withdraw():
                return False
            self._metrics.count('reads.repeated')
            return True

        hedged_call = hedges.HedgedCall(attempt, may_retry, call.deadline)
        return hedged_call.run(latencies.hedge_delay())

    def _call_once(self, call: Call) -> Result:
        """Try other servers only as long as no attempt may have run."""
        tried: set[ids.ServerId] = set()
        for _ in range(MAX_ATTEMPTS):
            link = self._choose_link(call, tried)
            if isinstance(link, failures.Failure):
                return link
            tried.add(link.hello.server)
            result = self._ask(call.id, link, self._call_message(call, link))
            if _may_have_run(result):
                break
        return result

    def _call_claimed(self, call: Call) -> Result:
        """Claim the key before each attempt, to run the call at most once."""
        tried: set[ids.ServerId] = set()
        attempt = 1
        while timers.now() < call.deadline:
            link = self._choose_link(call, tried)
            if isinstance(link, failures.Failure):
                return link
            claim = self._claim(call, attempt, link)
            state = self._submit(call.id, claim, call.deadline)
            match state:
                case failures.Failure():
                    return state
                case records.KeyState() if (
                    state.claim.fingerprint != call.fingerprint
                ):
                    return self._key_reused(state)
                case records.KeyState(done=records.Done() as done):
                    return _replay(done)
                case records.KeyState(is_released=True):
                    attempt = state.claim.attempt + 1
                    continue
            self._events.add(
                'claim.written',
                call.id,
                attempt=state.claim.attempt,
                server=state.claim.server,
                is_own=state.claim == claim,
            )
            if state.claim != claim:
                result = self._resolve_claim(call, state.claim)
            else:
                message = self._call_message(call, link, claim)
                result = self._ask(call.id, link, message)
                tried.add(link.hello.server)
            if isinstance(result, Reply):
                self._store_outcome(call, state.claim, result)
                return result
            if _may_have_run(result):
                # A repeat with the same key is safe and may get the outcome.
                return dataclasses.replace(
                    result, retry_after=KEYED_RETRY_SECONDS
                )
            released = records.Released(call.key, state.claim.attempt)
            refusal = self._submit(call.id, released, call.deadline)
            if isinstance(refusal, failures.Failure):
                return refusal
            attempt = state.claim.attempt + 1
        return failures.Failure(
            failures.Reason.DEADLINE,
            'service.claim',
            detail='deadline passed before the call was run',
        )

    def _claim(
        self, call: Call, attempt: int, link: links.Link
    ) -> records.Claim:
        return records.Claim(
            call.key,
            attempt,
            call.fingerprint,
            link.hello.server,
            link.address,
            link.hello.process,
            call.id,
        )

    def _submit(
        self,
        request_id: ids.RequestId,
        record: records.Record,
        deadline: float,
    ) -> records.KeyState | failures.Failure:
        """Append a record through one of its shard's claim writers."""
        shard = records.shard_of(record.key)
        encoded = records.encode(record)
        for address in self._directory.candidates(shard):
            link = self._view.peers.get(address)
            if isinstance(link, failures.Failure):
                continue
            message = messages.Claim(ids.new_id(), shard, encoded)
            seconds = min(CLAIM_TIMEOUT_SECONDS, deadline - timers.now())
            reply = link.request(message, max(0.001, seconds))
            if isinstance(reply, failures.Failure):
                continue
            if reply.reason is None:
                return records.decode_state(reply.record)
            break
        self._metrics.count('claims.refused')
        self._events.add('claim.refused', request_id, shard=shard)
        return failures.Failure(
            failures.Reason.STORE_UNAVAILABLE,
            'service.claim',
            detail='the claim could not be written; the call was not run',
            retry_after=STORE_RETRY_SECONDS,
        )

    def _store_outcome(
        self, call: Call, claim: records.Claim, reply: Reply
    ) -> None:
        """Store the outcome for repeats in a task of its own.

        The caller doesn't wait for it. Outcomes that are too large to store
        are skipped.
        """
        if len(reply.body) > records.MAX_OUTCOME_BYTES:
            return
        done = records.Done(
            claim.key, claim.attempt, reply.status, reply.headers, reply.body
        )
        until = timers.now() + CLAIM_TIMEOUT_SECONDS
        eventlet.spawn(self._submit, call.id, done, until)

    def _resolve_claim(self, call: Call, claim: records.Claim) -> Result:
        """Ask the process named in a claim for the outcome of its attempt.

        Only that process may run the attempt. If it replies that the attempt
        has not run, it never runs it later.
        """
        self._events.add('service.settle', call.id, server=claim.server)
        link = self._view.peers.get(claim.address)
        if isinstance(link, failures.Failure):
            return self._unresolved(call, claim)
        message = messages.Settle(
            ids.new_id(),
            claim.key,
            claim.attempt,
            claim.incarnation,
            self._events.clock,
        )
        result = self._ask(call.id, link, message, call.deadline)
        if isinstance(result, Reply):
            return dataclasses.replace(result, is_replay=True)
        if result.outcome is outcomes.Outcome.UNKNOWN:
            return self._unresolved(call, claim)
        return result

    def _unresolved(
        self, call: Call, claim: records.Claim
    ) -> failures.Failure:
        return failures.Failure(
            failures.Reason.MAY_HAVE_RUN,
            'service.settle',
            claim.server,
            'an earlier request with this key may have run',
            outcomes.Outcome.UNKNOWN,
        )

    def _choose_link(
        self, call: Call, tried: set[ids.ServerId]
    ) -> links.Link | failures.Failure:
        untried = self._await_untried_servers(call, tried)
        if not untried:
            return self._no_server(call)
        # Takes the one with fewer running calls of two random servers. A
        # stalled server accumulates calls, and so soon gets no more.
        candidates = self._random.sample(untried, min(2, len(untried)))
        server = min(
            candidates, key=lambda server: self._running_by_server[server.id]
        )
        return self._view.peers.get(server.address)

    def _await_untried_servers(
        self, call: Call, tried: set[ids.ServerId]
    ) -> list[changes.Server]:
        """Return untried connected servers, waiting while none is connected.

        The wait ends early if no untried server may get connected.
        """
        started_at = timers.now()
        until = min(call.deadline, started_at + LINK_TIMEOUT_SECONDS)
        while True:
            untried = self._untried_servers(call, tried)
            if untried or timers.now() >= until:
                return untried
            if not self._view.may_have_service(
                call.service, tried, started_at
            ):
                return []
            self._view.redial_refused(started_at)
            eventlet.sleep(LINK_POLL_SECONDS)

    def _untried_servers(
        self, call: Call, tried: set[ids.ServerId]
    ) -> list[changes.Server]:
        servers = self._view.connected_servers(call.service)
        return [server for server in servers if server.id not in tried]

    def _no_server(self, call: Call) -> failures.Failure:
        return failures.Failure(
            failures.Reason.NO_SERVER,
            'service.choose',
            detail=f'no server of {call.service} is available',
            retry_after=NO_SERVER_RETRY_SECONDS,
        )

    def _call_message(
        self,
        call: Call,
        link: links.Link,
        claim: records.Claim | None = None,
    ) -> messages.ServiceCall:
        clock = self._events.add(
            'service.sent', call.id, server=link.hello.server
        )
        return messages.ServiceCall(
            ids.new_id(),
            call.id,
            call.service,
            call.method,
            call.path,
            call.headers,
            call.body,
            claim.key if claim else '',
            claim.attempt if claim else 0,
            claim.incarnation if claim else ids.InstanceId(''),
            int((call.deadline - timers.now()) * 1000),
            clock,
        )

    def _ask(
        self,
        request_id: ids.RequestId,
        link: links.Link,
        message: messages.ServiceCall | messages.Settle,
        deadline: float | None = None,
    ) -> Result:
        if link.closed:
            return dataclasses.replace(
                link.closed, outcome=outcomes.Outcome.NOT_RUN
            )
        if isinstance(message, messages.ServiceCall):
            seconds = message.budget_ms / 1000
        else:
            seconds = deadline - timers.now()
        self._running_by_server[link.hello.server] += 1
        try:
            reply = link.request(message, max(0.001, seconds))
        finally:
            self._running_by_server[link.hello.server] -= 1
        if isinstance(reply, failures.Failure):
            self._events.add(
                'service.lost',
                request_id,
                server=link.hello.server,
                reason=reply.reason.value,
                step=reply.step,
            )
            return dataclasses.replace(
                reply,
                outcome=outcomes.Outcome.UNKNOWN,
                detail='the reply was lost; the call may have run',
            )
        self._events.advance_clock(reply.clock)
        self._events.add(
            'service.answered',
            request_id,
            server=link.hello.server,
            status=reply.status,
            outcome=reply.outcome.value,
            reason=reply.reason.value if reply.reason else '',
        )
        if reply.outcome is outcomes.Outcome.RAN:
            if reply.status not in grammar.FINAL_STATUSES:
                return _invalid_status(reply.status, link.hello.server)
            return Reply(reply.status, reply.headers, reply.body)
        return failures.Failure(
            reply.reason,
            'service.execute',
            link.hello.server,
            reply.detail,
            reply.outcome,
            NO_SERVER_RETRY_SECONDS,
        )

    def _key_reused(self, state: records.KeyState) -> failures.Failure:
        return failures.Failure(
            failures.Reason.KEY_REUSED,
            'service.claim',
            detail='this idempotency key was used for another request',
        )


def _may_have_run(result: Result) -> bool:
    return (
        isinstance(result, Reply)
        or result.outcome is not outcomes.Outcome.NOT_RUN
    )


def _replay(done: records.Done) -> Result:
    if done.status not in grammar.FINAL_STATUSES:
        return _invalid_status(done.status, '')
    return Reply(done.status, done.headers, done.body, is_replay=True)


def _invalid_status(status: int, peer: str) -> failures.Failure:
    """Return the failure of a call whose reply no caller may get."""
    return failures.Failure(
        failures.Reason.PROTOCOL,
        'service.execute',
        peer,
        f'status {status} is not that of a final reply',
        outcomes.Outcome.UNKNOWN,
    )
