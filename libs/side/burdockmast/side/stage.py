"""One stage of many answers: drives the engine's layer range.

Each step carries answer, attempt, index and next layer. A stage runs only
what exactly continues what it ran before, so that for each token every
layer runs once, in order, whatever arrives late or twice.
"""

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.limits import crashreports
from burdockmast.node import node
from burdockmast.side import caches
from burdockmast.side import driver
from burdockmast.side import engine
from burdockmast.side import holding
from burdockmast.side import runs
from burdockmast.wire import links
from burdockmast.wire import messages

BUSY_RETRY_MS = 500
# Parts of a stage's answers that wait for the engine while others run.
SPARE_PARTS = 1
STATE_BYTES = 4


class Stage:
    """The answers that run on one engine."""

    def __init__(
        self,
        process: node.Node,
        engine_client: engine.Engine,
        holder: holding.Holding,
        slots: int,
    ):
        """Create a stage; ``start`` begins its work."""
        self.running_by_answer: dict[ids.RequestId, runs.Run] = {}
        self.leaving = False
        self.driver = driver.Driver(engine_client, self)
        self.caches = caches.Caches(engine_client)
        self._server = process.peers.hello.server
        self._holding = holder
        self._peers = process.peers
        self._slots = slots
        self._strikes = process.crash_reports
        self._events = process.events
        self._metrics = process.metrics

    def start(self) -> None:
        """Start driving the engine."""
        self.driver.start()

    def receive(self, link: links.Link, message: messages.AnyMessage) -> bool:
        """Handle what concerns answers; tell whether it did."""
        match message:
            case messages.Step():
                self.step(link, message)
            case messages.Token():
                self.token(message)
            case messages.Start():
                self.open(link, message)
            case messages.Opened():
                self.opened(message)
            case messages.Cancel():
                self.cancel(message)
            case messages.Failed():
                self.failed(message)
            case _:
                return False
        return True

    @property
    def free_slots(self) -> int:
        """Answers that may still be accepted."""
        if self.leaving or not self.driver.ready:
            return 0
        return max(0, self._slots - len(self.running_by_answer))

    def open(self, link: links.Link, start: messages.Start) -> None:
        """Accept or refuse an attempt."""
        self._events.advance_clock(start.clock)
        refusal = self._refusal(start)
        if refusal:
            self._metrics.count('stage.refused')
            link.send(self._failed(start, refusal, messages.OPEN_STEP))
            return
        earlier = self.running_by_answer.pop(start.answer, None)
        if earlier:
            self.driver.close(earlier.sequence)
        expires = timers.now() + start.budget_ms / 1000
        cached = (*start.cached, self.caches.run(start.tokens))
        running = runs.Run(start, link, expires, cached)
        self.running_by_answer[start.answer] = running
        self._events.add('stage.opened', start.answer, attempt=start.attempt)
        self.driver.open(running)
        if running.next_hop:
            self._forward_start(running, running.next_hop)
        elif start.position == 0:
            self._begin(running, cached)
        else:
            opened = messages.Opened(
                start.answer, start.attempt, self._events.clock, cached
            )
            self._send(running, start.hops[0], opened)

    def opened(self, opened: messages.Opened) -> None:
        """Begin an answer that all its stages have accepted."""
        self._events.advance_clock(opened.clock)
        running = self._current(opened.answer, opened.attempt)
        if running and running.start.position == 0 and not running.index:
            self._begin(running, opened.cached)

    def _begin(self, running: runs.Run, cached: tuple[int, ...]) -> None:
        start = running.start
        running.upstream.send(
            messages.Begun(
                start.answer, start.attempt, cached, self._events.clock
            )
        )
        self._enqueue(running, 0, None, None)

    def step(self, link: links.Link, step: messages.Step) -> None:
        """Take a token's state from the stage before."""
        running = self._current(step.answer, step.attempt)
        if not running:
            self._metrics.count('stage.stale_step')
            return
        if step.index != running.index or step.next_layer != running.hop.first:
            self._fail(running, failures.Reason.OUT_OF_ORDER, 'stage.step', '')
            return
        state = int.from_bytes(step.state, 'big')
        self._enqueue(running, step.index, state, None)

    def token(self, token: messages.Token) -> None:
        """Take a finished token back from the last stage."""
        running = self._current(token.answer, token.attempt)
        if not running or running.start.position != 0:
            self._metrics.count('stage.stale_token')
            return
        if token.index != running.sent:
            self._fail(
                running, failures.Reason.OUT_OF_ORDER, 'stage.token', ''
            )
            return
        self._deliver(running, token)

    def failed(self, failed: messages.Failed) -> None:
        """Pass a later stage's failure on towards the entry."""
        running = self._current(failed.answer, failed.attempt)
        if running:
            self._events.advance_clock(failed.clock)
            running.upstream.send(failed)
            self._drop(running)

    def cancel(self, cancel: messages.Cancel) -> None:
        """Forget an attempt, here and on the stages after."""
        running = self._current(cancel.answer, cancel.attempt)
        if running:
            self._drop(running)
            self._cancel_next(running)

    def link_closed(self, link: links.Link, why: failures.Failure) -> None:
        """End what depended on a connection."""
        for running in list(self.running_by_answer.values()):
            following = running.next_hop
            if running.upstream is link:
                self._drop(running)
                self._cancel_next(running)
            elif following and following.address == link.address:
                self._fail(running, why.reason, why.step, following.server)

    def _current(self, answer: ids.RequestId, attempt: int) -> runs.Run | None:
        running = self.running_by_answer.get(answer)
        if running and running.start.attempt == attempt:
            return running
        return None

    def _refusal(self, start: messages.Start) -> failures.Reason | None:
        running = self.running_by_answer.get(start.answer)
        if running and running.start.attempt >= start.attempt:
            return failures.Reason.OUT_OF_ORDER
        if self.leaving:
            return failures.Reason.LEAVING
        hop = start.hops[start.position]
        if not self.driver.ready:
            return failures.Reason.ENGINE_LOST
        if hop.server != self._server or not self._holding.covers(
            start.model, hop.first, hop.end
        ):
            return failures.Reason.NO_PATH
        if start.budget_ms <= 0:
            return failures.Reason.DEADLINE
        if not running and self.free_slots == 0:
            return failures.Reason.OVERLOADED
        if self._strikes.is_quarantined(start.fingerprint):
            return failures.Reason.CRASHES_SERVERS
        if self._is_suspect(start) and any(
            self._is_suspect(other.start)
            for other in self.running_by_answer.values()
        ):
            return failures.Reason.OVERLOADED
        return None

    def _is_suspect(self, start: messages.Start) -> bool:
        """Tell whether a request must not run beside another such one.

        What its entry says counts too, as news of a crash may not have
        reached this side yet.
        """
        return (
            start.strikes >= crashreports.SUSPECT_CRASH_COUNT
            or self._strikes.is_suspect(start.fingerprint)
        )

    def _forward_start(
        self, running: runs.Run, following: messages.Hop
    ) -> None:
        start = running.start
        forwarded = messages.Start(
            start.answer,
            start.attempt,
            start.model,
            start.hops,
            start.position + 1,
            start.tokens,
            start.prompt_length,
            start.max_tokens,
            int((running.expires - timers.now()) * 1000),
            start.priority,
            start.fingerprint,
            self._events.clock,
            start.strikes,
            running.cached,
        )
        self._send(running, following, forwarded)

    def _send(
        self,
        running: runs.Run,
        hop: messages.Hop,
        message: messages.Message,
    ) -> None:
        link = self._peers.link_by_address.get(hop.address)
        if link and link.send(message):
            return
        self._peers.post(
            hop.address,
            message,
            lambda why: self._fail(running, why.reason, why.step, hop.server),
        )

    def _enqueue(
        self,
        running: runs.Run,
        index: int,
        state: int | None,
        token: int | None,
    ) -> None:
        step = engine.Step(running.sequence, index, state, token)
        running.index = index + 1
        self.driver.step(running, step)

    def batch_limit(self) -> int:
        """Return how many steps go into one iteration.

        If all answers went through a stage at once, the other stages of
        their paths would stand idle meanwhile. So an iteration takes one
        part of as many as the longest path has stages, and one more that
        waits for the engine here.
        """
        count = len(self.running_by_answer)
        stages = max(
            (len(r.start.hops) for r in self.running_by_answer.values()),
            default=1,
        )
        parts = stages + SPARE_PARTS
        return max(1, -(-count // parts))

    def is_live(self, running: runs.Run) -> bool:
        """Tell whether an attempt goes on here; end it if it is late."""
        if self.running_by_answer.get(running.start.answer) is not running:
            return False
        if timers.now() > running.expires:
            self._fail(running, failures.Reason.DEADLINE, 'stage.iterate', '')
            return False
        return True

    def take_result(
        self,
        running: runs.Run,
        index: int,
        result: engine.Result,
    ) -> None:
        """Pass a step's result on to the next stage, or towards the entry."""
        if result.error:
            eventlet.spawn(self._holding.look)
            self._fail(
                running,
                failures.Reason.ENGINE_REFUSED,
                'stage.iterate',
                result.error,
            )
            return
        start = running.start
        following = running.next_hop
        if following:
            state = result.state.to_bytes(STATE_BYTES, 'big')
            step = messages.Step(
                start.answer, start.attempt, index, following.first, state
            )
            self._send(running, following, step)
            return
        token = messages.Token(
            start.answer, start.attempt, index, result.token
        )
        if start.position == 0:
            self._deliver(running, token)
        else:
            self._send(running, start.hops[0], token)

    def _deliver(self, running: runs.Run, token: messages.Token) -> None:
        start = running.start
        running.sent += 1
        running.upstream.send(token)
        if running.sent < start.max_tokens:
            self._enqueue(running, running.sent, None, token.token)
            return
        clock = self._events.add(
            'stage.finished', start.answer, attempt=start.attempt
        )
        running.upstream.send(
            messages.Finished(start.answer, start.attempt, running.sent, clock)
        )
        self._drop(running)
        self._cancel_next(running)

    def engine_lost(
        self, why: failures.Failure, batch: list[runs.Run]
    ) -> None:
        """End all answers here; strike those that the engine had begun.

        An engine that was found dead has crashed at nothing.

        :param batch: what it was running, also if given up meanwhile
        """
        crash = '' if why.outcome is outcomes.Outcome.NOT_RUN else ids.new_id()
        self.caches.clear()
        self._events.add('engine.lost', crash=crash)
        self._metrics.count('engine.lost')
        begun = [r for r in self.running_by_answer.values() if r.index]
        if crash:
            for running in (*batch, *begun):
                self._strikes.add(running.start.fingerprint, crash)
        self._peers.send_heartbeats()
        for running in list(self.running_by_answer.values()):
            blame = crash if running.index else ''
            self._fail(running, why.reason, why.step, '', blame)

    def engine_back(self) -> None:
        """Have the layers loaded again, and tell the peers."""
        self._holding.reload()
        self._peers.send_heartbeats()

    def _fail(
        self,
        running: runs.Run,
        reason: failures.Reason,
        step: str,
        peer: str,
        crash: str = '',
    ) -> None:
        if self._current(running.start.answer, running.start.attempt) is None:
            return
        running.upstream.send(
            self._failed(running.start, reason, step, peer, crash)
        )
        self._drop(running)
        self._cancel_next(running)

    def _failed(
        self,
        start: messages.Start,
        reason: failures.Reason,
        step: str,
        peer: str = '',
        crash: str = '',
    ) -> messages.Failed:
        clock = self._events.add(
            'stage.failed',
            start.answer,
            attempt=start.attempt,
            reason=reason.value,
            step=step,
            peer=peer,
        )
        busy = reason is failures.Reason.OVERLOADED
        return messages.Failed(
            start.answer,
            start.attempt,
            reason,
            step,
            peer,
            self._server,
            clock,
            BUSY_RETRY_MS if busy else 0,
            crash,
        )

    def _drop(self, running: runs.Run) -> None:
        del self.running_by_answer[running.start.answer]
        self.driver.close(running.sequence)

    def _cancel_next(self, running: runs.Run) -> None:
        following = running.next_hop
        if following:
            cancel = messages.Cancel(
                running.start.answer, running.start.attempt
            )
            link = self._peers.link_by_address.get(following.address)
            if link:
                link.send(cancel)
