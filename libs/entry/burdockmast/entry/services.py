"""Plain service calls: repeated only where that is safe."""

import collections
import dataclasses
import hashlib
import random

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.claims import directory
from burdockmast.claims import records
from burdockmast.entry import fleet
from burdockmast.entry import hedges
from burdockmast.fleet import changes
from burdockmast.limits import budgets
from burdockmast.node import node
from burdockmast.wire import links
from burdockmast.wire import messages

# Tries of a call while it is certain that nothing ran.
TRIES = 4
# Seconds that a call waits for a link to a server that may be reached: as long
# as a dial may take.
LINK_SECONDS = 1.0
LINK_POLL_SECONDS = 0.01
# Seconds for a claim to be in the store.
CLAIM_SECONDS = 3.0
# Seconds until a caller may come back when the store is out.
STORE_RETRY_SECONDS = 2.0
NO_SERVER_RETRY_SECONDS = 1.0
# Seconds until a repeat with the same key may learn what became of a call;
# a replaced side is known to entries within this time.
KEYED_RETRY_SECONDS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A checked call to a plain service.

    :ivar key: the caller's idempotency key as it is kept, empty if none
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
        """What a repeat with the same key must have in common."""
        digest = hashlib.blake2b(digest_size=16)
        for part in (self.method, self.path):
            digest.update(part.encode() + b'\0')
        digest.update(self.body)
        return ids.Fingerprint(digest.hexdigest())


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What the service answered.

    :ivar is_replay: the call ran earlier; this is its first outcome
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    is_replay: bool = False


Result = Reply | failures.Failure


class Services:
    """Plain service calls of one entry."""

    def __init__(
        self,
        process: node.Node,
        view: fleet.FleetView,
        seed: int | None = None,
    ):
        """Create a caller of plain services."""
        self._view = view
        self._events = process.events
        self._metrics = process.metrics
        self._directory = directory.Directory(process.follower)
        self._budget = budgets.RetryBudget()
        self._random = random.Random(seed)
        self._open_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        self._latencies_by_service: collections.defaultdict[
            ids.ServiceId, hedges.Latencies
        ] = collections.defaultdict(hedges.Latencies)

    def call(self, call: Call) -> Result:
        """Execute a call in the way that its kind allows."""
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
        """Try on several servers, within the retry budget."""
        self._budget.deposit()
        tried: set[ids.ServerId] = set()
        latencies = self._latencies_by_service[call.service]

        def attempt() -> Result:
            link = self._link(call, tried)
            if isinstance(link, failures.Failure):
                return link
            tried.add(link.hello.server)
            began = timers.now()
            result = self._ask(call.id, link, self._message(call, link))
            if isinstance(result, Reply):
                latencies.note(timers.now() - began)
            return result

        def may_repeat(is_alone: bool) -> bool:
            find = self._await_untried if is_alone else self._untried
            if not find(call, tried) or not self._budget.withdraw():
                return False
            self._metrics.count('reads.repeated')
            return True

        tries = hedges.Tries(attempt, may_repeat, call.deadline)
        return tries.run(latencies.delay())

    def _call_once(self, call: Call) -> Result:
        """Send once; go on only while it is certain that nothing ran."""
        tried: set[ids.ServerId] = set()
        for _ in range(TRIES):
            link = self._link(call, tried)
            if isinstance(link, failures.Failure):
                return link
            tried.add(link.hello.server)
            result = self._ask(call.id, link, self._message(call, link))
            if _has_run_or_may_have(result):
                break
        return result

    def _call_claimed(self, call: Call) -> Result:
        """Claim the key first, so that it runs at most once anywhere."""
        tried: set[ids.ServerId] = set()
        attempt = 1
        while timers.now() < call.deadline:
            link = self._link(call, tried)
            if isinstance(link, failures.Failure):
                return link
            claim = self._claim(call, attempt, link)
            state = self._submit(call.id, claim, call.deadline)
            match state:
                case failures.Failure():
                    return state
                case records.State() if (
                    state.claim.fingerprint != call.fingerprint
                ):
                    return self._key_reused(state)
                case records.State(done=records.Done() as done):
                    return _replay(done)
                case records.State(is_released=True):
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
                result = self._settle(call, state.claim)
            else:
                message = self._message(call, link, claim)
                result = self._ask(call.id, link, message)
                tried.add(link.hello.server)
            if isinstance(result, Reply):
                self._record(call, state.claim, result)
                return result
            if _has_run_or_may_have(result):
                # With its key a repeat is safe, and may tell the outcome.
                return dataclasses.replace(
                    result, retry_after=KEYED_RETRY_SECONDS
                )
            released = records.Released(call.key, state.claim.attempt)
            refusal = self._submit(call.id, released, call.deadline)
            if isinstance(refusal, failures.Failure):
                return refusal
            attempt = state.claim.attempt + 1
        return failures.Failure(
            failures.Reason.DEADLINE, 'service.claim', detail='not run in time'
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
        request: ids.RequestId,
        record: records.Record,
        deadline: float,
    ) -> records.State | failures.Failure:
        """Append a record through one of its shard's homes."""
        shard = records.shard_of(record.key)
        encoded = records.encode(record)
        for address in self._directory.places(shard):
            link = self._view.peers.get(address)
            if isinstance(link, failures.Failure):
                continue
            ask = messages.Claim(ids.new_id(), shard, encoded)
            seconds = min(CLAIM_SECONDS, deadline - timers.now())
            reply = link.ask(ask, max(0.001, seconds))
            if isinstance(reply, failures.Failure):
                continue
            if reply.reason is None:
                return records.decode_state(reply.record)
            break
        self._metrics.count('claims.refused')
        self._events.add('claim.refused', request, shard=shard)
        return failures.Failure(
            failures.Reason.STORE_UNAVAILABLE,
            'service.claim',
            detail='the claim could not be written; nothing was run',
            retry_after=STORE_RETRY_SECONDS,
        )

    def _record(self, call: Call, claim: records.Claim, reply: Reply) -> None:
        """Keep the outcome for repeats, without making the caller wait."""
        if len(reply.body) > records.OUTCOME_BYTES:
            return
        done = records.Done(
            claim.key, claim.attempt, reply.status, reply.headers, reply.body
        )
        until = timers.now() + CLAIM_SECONDS
        eventlet.spawn(self._submit, call.id, done, until)

    def _settle(self, call: Call, claim: records.Claim) -> Result:
        """Ask the claim's process what became of it.

        That process alone may run the attempt. If it has not, it never
        will once it has answered.
        """
        self._events.add('service.settle', call.id, server=claim.server)
        link = self._view.peers.get(claim.address)
        if isinstance(link, failures.Failure):
            return self._unsettled(call, claim)
        settle = messages.Settle(
            ids.new_id(),
            claim.key,
            claim.attempt,
            claim.incarnation,
            self._events.clock,
        )
        result = self._ask(call.id, link, settle, call.deadline)
        if isinstance(result, Reply):
            return dataclasses.replace(result, is_replay=True)
        if result.outcome is outcomes.Outcome.UNKNOWN:
            return self._unsettled(call, claim)
        return result

    def _unsettled(self, call: Call, claim: records.Claim) -> failures.Failure:
        return failures.Failure(
            failures.Reason.MAY_HAVE_RUN,
            'service.settle',
            claim.server,
            'an earlier request with this key may have run',
            outcomes.Outcome.UNKNOWN,
        )

    def _link(
        self, call: Call, tried: set[ids.ServerId]
    ) -> links.Link | failures.Failure:
        fresh = self._await_untried(call, tried)
        if not fresh:
            return self._no_server(call)
        # Of two at random the one with fewer calls of ours: one that stands
        # still gathers calls, and soon gets no more.
        two = self._random.sample(fresh, min(2, len(fresh)))
        server = min(two, key=lambda one: self._open_by_server[one.id])
        return self._view.peers.get(server.address)

    def _await_untried(
        self, call: Call, tried: set[ids.ServerId]
    ) -> list[changes.Server]:
        """Return connected servers, waiting while one may get connected."""
        began = timers.now()
        until = min(call.deadline, began + LINK_SECONDS)
        while True:
            fresh = self._untried(call, tried)
            if fresh or timers.now() >= until:
                return fresh
            if not self._view.may_have_service(call.service, tried, began):
                return []
            self._view.dial_refused(began)
            eventlet.sleep(LINK_POLL_SECONDS)

    def _untried(
        self, call: Call, tried: set[ids.ServerId]
    ) -> list[changes.Server]:
        servers = self._view.services(call.service)
        return [server for server in servers if server.id not in tried]

    def _no_server(self, call: Call) -> failures.Failure:
        return failures.Failure(
            failures.Reason.NO_SERVER,
            'service.choose',
            detail=f'no server of {call.service} takes new calls',
            retry_after=NO_SERVER_RETRY_SECONDS,
        )

    def _message(
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
        request: ids.RequestId,
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
        self._open_by_server[link.hello.server] += 1
        try:
            reply = link.ask(message, max(0.001, seconds))
        finally:
            self._open_by_server[link.hello.server] -= 1
        if isinstance(reply, failures.Failure):
            self._events.add(
                'service.lost',
                request,
                server=link.hello.server,
                reason=reply.reason.value,
                step=reply.step,
            )
            return dataclasses.replace(
                reply,
                outcome=outcomes.Outcome.UNKNOWN,
                detail='the answer was lost; the call may have run',
            )
        self._events.witness(reply.clock)
        self._events.add(
            'service.answered',
            request,
            server=link.hello.server,
            status=reply.status,
            outcome=reply.outcome.value,
            reason=reply.reason.value if reply.reason else '',
        )
        if reply.outcome is outcomes.Outcome.RAN:
            return Reply(reply.status, reply.headers, reply.body)
        return failures.Failure(
            reply.reason,
            'service.execute',
            link.hello.server,
            reply.detail,
            reply.outcome,
            NO_SERVER_RETRY_SECONDS,
        )

    def _key_reused(self, state: records.State) -> failures.Failure:
        return failures.Failure(
            failures.Reason.KEY_REUSED,
            'service.claim',
            detail='this idempotency key was used for another request',
        )


def _has_run_or_may_have(result: Result) -> bool:
    return (
        isinstance(result, Reply)
        or result.outcome is not outcomes.Outcome.NOT_RUN
    )


def _replay(done: records.Done) -> Reply:
    return Reply(done.status, done.headers, done.body, is_replay=True)
