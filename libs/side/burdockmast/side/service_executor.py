"""Calls the plain service beside this process, at most once for each key."""

import collections
import dataclasses

import eventlet.event
import urllib3

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.node import node
from burdockmast.replies import connections
from burdockmast.wire import messages

# Beyond this count, the oldest keys are forgotten.
MAX_REMEMBERED_KEY_COUNT = 100_000
# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    ('connection', 'content-length', 'host', 'keep-alive', 'te', 'upgrade',
     'transfer-encoding')
)  # fmt: skip


@dataclasses.dataclass(slots=True)
class Execution:
    """Execution of a key: running, ended, or voided before it began.

    :ivar reply_event: gets the reply when the execution ends
    """

    attempt: int
    reply_event: eventlet.event.Event
    is_voided: bool = False


class ServiceExecutor:
    """Executes calls, and remembers their outcomes by idempotency key.

    A call with a key runs only if that key has not run here, the attempt is
    not voided, and the call is for this incarnation of the process.
    """

    def __init__(self, process: node.Node, url: str):
        """Create an executor.

        :param url: base of the plain service
        """
        self.is_draining = False
        self.running_count = 0
        self._url = url
        self._incarnation = process.peers.hello.process
        self._events = process.events
        self._metrics = process.metrics
        self._execution_by_key: collections.OrderedDict[str, Execution] = (
            collections.OrderedDict()
        )
        self._pool = connections.pool_manager(maxsize=32, retries=False)

    def call(self, call: messages.ServiceCall) -> messages.ServiceReply:
        """Execute or refuse a call, or return its key's earlier reply."""
        self._events.advance_clock(call.clock)
        if call.incarnation and call.incarnation != self._incarnation:
            return self._refuse(call, failures.Reason.STALE_INCARNATION)
        if not call.key:
            if self.is_draining:
                return self._refuse(call, failures.Reason.LEAVING)
            if call.budget_ms <= 0:
                return self._refuse(call, failures.Reason.DEADLINE)
            return self._execute(call)
        earlier = self._execution_by_key.get(call.key)
        if earlier and not earlier.is_voided:
            return _reply_for_call(earlier.reply_event.wait(), call.call)
        if earlier and earlier.attempt >= call.attempt:
            return self._refuse(call, failures.Reason.CANCELLED)
        if self.is_draining:
            return self._refuse(call, failures.Reason.LEAVING)
        if call.budget_ms <= 0:
            return self._refuse(call, failures.Reason.DEADLINE)
        return self._execute_key(call)

    def resolve(self, request: messages.Settle) -> messages.ServiceReply:
        """Return the outcome of a key; void its attempt if it never began."""
        self._events.advance_clock(request.clock)
        if request.incarnation != self._incarnation:
            return self._reply(
                request.call,
                outcomes.Outcome.UNKNOWN,
                reason=failures.Reason.STALE_INCARNATION,
            )
        earlier = self._execution_by_key.get(request.key)
        if earlier and not earlier.is_voided:
            return _reply_for_call(earlier.reply_event.wait(), request.call)
        voided = Execution(request.attempt, eventlet.event.Event(), True)
        self._remember(request.key, voided)
        self._events.add('execution.barred', attempt=request.attempt)
        return self._reply(
            request.call,
            outcomes.Outcome.NOT_RUN,
            reason=failures.Reason.CANCELLED,
        )

    def _execute_key(
        self, call: messages.ServiceCall
    ) -> messages.ServiceReply:
        execution = Execution(call.attempt, eventlet.event.Event())
        self._remember(call.key, execution)
        reply = self._execute(call)
        if reply.outcome is outcomes.Outcome.NOT_RUN:
            execution.is_voided = True
        execution.reply_event.send(reply)
        return reply

    def _remember(self, key: str, execution: Execution) -> None:
        self._execution_by_key[key] = execution
        self._execution_by_key.move_to_end(key)
        if len(self._execution_by_key) > MAX_REMEMBERED_KEY_COUNT:
            self._execution_by_key.popitem(last=False)

    def _execute(self, call: messages.ServiceCall) -> messages.ServiceReply:
        self._events.add('execution.began', call.request)
        self._metrics.count('executions')
        self.running_count += 1
        try:
            return self._send_request(call)
        finally:
            self.running_count -= 1
            self._events.add('execution.ended', call.request)

    def _send_request(
        self, call: messages.ServiceCall
    ) -> messages.ServiceReply:
        headers = dict(call.headers)
        # On a pooled connection that the service has closed, it is unknown
        # whether the request ran. A new one fails before anything is sent.
        if call.method not in ('GET', 'HEAD'):
            headers['Connection'] = 'close'
            pool = connections.pool_manager(retries=False)
        else:
            pool = self._pool
        try:
            response = pool.request(
                call.method,
                self._url + call.path,
                body=call.body or None,
                headers=headers,
                timeout=max(0.001, call.budget_ms / 1000),
                redirect=False,
                retries=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return self._reply(
                call.call,
                outcomes.Outcome.NOT_RUN,
                reason=failures.Reason.ENGINE_LOST,
                detail=str(error),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._reply(
                call.call,
                outcomes.Outcome.UNKNOWN,
                reason=failures.Reason.MAY_HAVE_RUN,
                detail=str(error),
            )
        response_headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_BY_HOP_HEADERS
        )
        return messages.ServiceReply(
            call.call,
            outcomes.Outcome.RAN,
            response.status,
            response_headers,
            response.data,
            None,
            '',
            self._events.clock,
        )

    def _refuse(
        self, call: messages.ServiceCall, reason: failures.Reason
    ) -> messages.ServiceReply:
        self._events.add(
            'execution.refused', call.request, reason=reason.value
        )
        return self._reply(call.call, outcomes.Outcome.NOT_RUN, reason=reason)

    def _reply(
        self,
        call: str,
        outcome: outcomes.Outcome,
        reason: failures.Reason,
        detail: str = '',
    ) -> messages.ServiceReply:
        return messages.ServiceReply(
            call, outcome, 0, (), b'', reason, detail, self._events.clock
        )


def no_service_reply(call: str) -> messages.ServiceReply:
    """Return the refusal of a side process without a plain service."""
    return messages.ServiceReply(
        call,
        outcomes.Outcome.NOT_RUN,
        0,
        (),
        b'',
        failures.Reason.UNKNOWN_SERVICE,
        'this side process has no plain service',
        0,
    )


def _reply_for_call(
    reply: messages.ServiceReply, call: str
) -> messages.ServiceReply:
    return messages.ServiceReply(
        call,
        reply.outcome,
        reply.status,
        reply.headers,
        reply.body,
        reply.reason,
        reply.detail,
        reply.clock,
    )
