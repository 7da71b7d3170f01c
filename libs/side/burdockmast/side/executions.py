"""Calls to the plain service beside this process, each at most once."""

import collections
import dataclasses

import eventlet.event
import urllib3

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.node import node
from burdockmast.wire import messages

# Keys whose executions are remembered.
REMEMBERED = 100_000
# Headers that belong to one connection and are not passed on.
HOP_HEADERS = frozenset(
    ('connection', 'content-length', 'host', 'keep-alive', 'te', 'upgrade',
     'transfer-encoding')
)  # fmt: skip


@dataclasses.dataclass(slots=True)
class Execution:
    """What became of a key here: running, ended, or barred."""

    attempt: int
    ended: eventlet.event.Event
    barred: bool = False


class Executions:
    """Executions by key, of one process.

    A call with a key runs only if that key has not run here, is not
    barred, and names this very process.
    """

    def __init__(self, process: node.Node, url: str):
        """Create an executor.

        :param url: base of the plain service
        """
        self.leaving = False
        self.running = 0
        self._url = url
        self._process = process.peers.hello.process
        self._events = process.events
        self._metrics = process.metrics
        self._execution_by_key: collections.OrderedDict[str, Execution] = (
            collections.OrderedDict()
        )
        self._pool = urllib3.PoolManager(maxsize=32, retries=False)

    def call(self, call: messages.ServiceCall) -> messages.ServiceReply:
        """Execute a call, unless it must not be."""
        self._events.advance_clock(call.clock)
        if call.incarnation and call.incarnation != self._process:
            return self._refuse(call, failures.Reason.STALE_INCARNATION)
        if not call.key:
            if self.leaving:
                return self._refuse(call, failures.Reason.LEAVING)
            if call.budget_ms <= 0:
                return self._refuse(call, failures.Reason.DEADLINE)
            return self._execute(call)
        known = self._execution_by_key.get(call.key)
        if known and not known.barred:
            return _reply_as(known.ended.wait(), call.call)
        if known and known.attempt >= call.attempt:
            return self._refuse(call, failures.Reason.CANCELLED)
        if self.leaving:
            return self._refuse(call, failures.Reason.LEAVING)
        if call.budget_ms <= 0:
            return self._refuse(call, failures.Reason.DEADLINE)
        return self._execute_key(call)

    def settle(self, settle: messages.Settle) -> messages.ServiceReply:
        """Tell what became of a key; bar its attempt if nothing has."""
        self._events.advance_clock(settle.clock)
        if settle.incarnation != self._process:
            return self._reply(
                settle.call,
                outcomes.Outcome.UNKNOWN,
                reason=failures.Reason.STALE_INCARNATION,
            )
        known = self._execution_by_key.get(settle.key)
        if known and not known.barred:
            return _reply_as(known.ended.wait(), settle.call)
        barred = Execution(settle.attempt, eventlet.event.Event(), True)
        self._remember(settle.key, barred)
        self._events.add('execution.barred', attempt=settle.attempt)
        return self._reply(
            settle.call,
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
            execution.barred = True
        execution.ended.send(reply)
        return reply

    def _remember(self, key: str, execution: Execution) -> None:
        self._execution_by_key[key] = execution
        self._execution_by_key.move_to_end(key)
        if len(self._execution_by_key) > REMEMBERED:
            self._execution_by_key.popitem(last=False)

    def _execute(self, call: messages.ServiceCall) -> messages.ServiceReply:
        self._events.add('execution.began', call.request)
        self._metrics.count('executions')
        self.running += 1
        try:
            return self._request(call)
        finally:
            self.running -= 1
            self._events.add('execution.ended', call.request)

    def _request(self, call: messages.ServiceCall) -> messages.ServiceReply:
        headers = dict(call.headers)
        # A kept connection may be dead; a new one fails before sending.
        if call.method not in ('GET', 'HEAD'):
            headers['Connection'] = 'close'
            pool = urllib3.PoolManager(retries=False)
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
        kept = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in HOP_HEADERS
        )
        return messages.ServiceReply(
            call.call,
            outcomes.Outcome.RAN,
            response.status,
            kept,
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


def no_service(call: str) -> messages.ServiceReply:
    """Return the refusal of a side beside no plain service."""
    return messages.ServiceReply(
        call,
        outcomes.Outcome.NOT_RUN,
        0,
        (),
        b'',
        failures.Reason.UNKNOWN_SERVICE,
        'no plain service is beside this process',
        0,
    )


def _reply_as(
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
