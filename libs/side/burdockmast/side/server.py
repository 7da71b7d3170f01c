"""The side process: its parts, and which part gets which message."""

import eventlet

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.claims import claim_writer
from burdockmast.claims import records
from burdockmast.fleet import changes
from burdockmast.node import node
from burdockmast.settings import models
from burdockmast.side import caches
from burdockmast.side import engine
from burdockmast.side import executions
from burdockmast.side import holding
from burdockmast.side import stage
from burdockmast.wire import links
from burdockmast.wire import messages

IDLE_SECONDS = 0.05


class Side:
    """One side process, beside an engine or a plain service."""

    def __init__(self, settings: models.SideSettings):
        """Create the process's parts; ``start`` begins their work."""
        self.settings = settings
        self.node = node.Node.from_config(
            settings, messages.Role.SIDE, self, settings.server
        )
        self.node.describe_role = self._details
        self.homes = claim_writer.ClaimWriters(
            self.node.store, self.node.metrics, settings.claims_retention
        )
        self.stage: stage.Stage | None = None
        self.holding: holding.Holding | None = None
        self.executions: executions.Executions | None = None
        self._is_stopping = False
        if settings.engine_url:
            client = engine.Engine(settings.engine_url)
            self.holding = holding.Holding(
                self.node,
                client,
                settings.engine_checks_fence,
                settings.loads_at_once,
            )
            self.stage = stage.Stage(
                self.node, client, self.holding, settings.slots
            )
            self.holding.is_idle = self._is_idle
            self.holding.found_dead = self.stage.driver.found_dead
        if settings.service_url:
            self.executions = executions.Executions(
                self.node, settings.service_url
            )
        self.node.follower.subscribers.append(self._configured)
        self.node.instances.subscribers.append(self._configured)

    def start(self) -> None:
        """Begin all work.

        :raises OSError: if another process has the slot's address
        """
        self.node.start()
        if self.stage:
            self.stage.start()
            self.node.timers.subscribe(
                'holding', holding.LOOK_SECONDS, self.holding.look
            )
            self.node.timers.subscribe(
                'caches', caches.LOOK_SECONDS, self.stage.caches.look
            )

    def stop(self) -> None:
        """Refuse new work and wait until work in flight has ended."""
        self._is_stopping = True
        self.node.events.add('process.stopping', drain=self.settings.drain)
        deadline = timers.now() + self.settings.drain
        self._set_leaving(True)
        while not self._is_idle() and timers.now() < deadline:
            eventlet.sleep(IDLE_SECONDS)

    def _is_idle(self) -> bool:
        if self.stage and self.stage.running_by_answer:
            return False
        return not self.executions or not self.executions.running

    def _configured(self, _: changes.Body | None = None) -> None:
        server = self.node.follower.configuration.server_by_id.get(
            self.settings.server
        )
        if self._is_stopping:
            return
        is_retired = server and server.state is changes.ServerState.DRAINING
        self._set_leaving(bool(is_retired) or self.node.instances.is_draining)

    def _set_leaving(self, leaving: bool) -> None:
        for part in (self.stage, self.executions):
            if part and part.leaving is not leaving:
                part.leaving = leaving
                self.node.peers.beat()

    def receive(self, link: links.Link, message: messages.AnyMessage) -> None:
        """Hand a message to its part."""
        match message:
            case _ if self.stage and self.stage.receive(link, message):
                pass
            case messages.Claim():
                eventlet.spawn(self._claim, link, message)
            case messages.ServiceCall() | messages.Settle():
                eventlet.spawn(self._execute, link, message)
            case _:
                self.node.receive(link, message)

    def _claim(self, link: links.Link, claim: messages.Claim) -> None:
        record = records.decode(claim.record)
        state = self.homes.submit(
            claim.shard, record, claim_writer.WRITE_TIMEOUT_SECONDS
        )
        if isinstance(state, failures.Failure):
            reply = messages.Claimed(
                claim.call, b'', state.reason, state.detail
            )
        else:
            reply = messages.Claimed(claim.call, records.encode_state(state))
        link.send(reply)

    def _execute(
        self,
        link: links.Link,
        message: messages.ServiceCall | messages.Settle,
    ) -> None:
        match message:
            case _ if not self.executions:
                reply = executions.no_service(message.call)
            case messages.ServiceCall():
                reply = self.executions.call(message)
            case messages.Settle():
                reply = self.executions.settle(message)
        link.send(reply)

    def describe(self, link: links.Link) -> messages.Heartbeat:
        """Return the heartbeat for a peer; entries get the load too."""
        load = None
        if link.hello.role is messages.Role.ENTRY and self.stage:
            load = self._load()
        return self.node.heartbeat(load)

    def period(self) -> float:
        """Return the seconds between heartbeats."""
        return self.node.peers.period()

    def closed(self, link: links.Link, why: failures.Failure) -> None:
        """End what depended on a lost link."""
        self.node.closed(link, why)
        if self.stage:
            self.stage.link_closed(link, why)

    def _load(self) -> messages.Load:
        running = len(self.stage.running_by_answer)
        is_engine_lost = not self.stage.driver.ready
        times = tuple(
            messages.LinkTime(address, int(link.rtt * 1e6))
            for address, link in self.node.peers.link_by_address.items()
        )
        return messages.Load(
            self.settings.server,
            running,
            running + self.stage.free_slots,
            int(self.stage.driver.layer_seconds * 1e9),
            self.stage.leaving,
            () if is_engine_lost else self.holding.ranges(),
            times,
            int(self.stage.driver.prefill_seconds * 1e9),
            is_engine_lost,
        )

    def _details(self) -> dict:
        if not self.stage:
            return {'executing': self.executions.running}
        return {
            'running': len(self.stage.running_by_answer),
            'free_slots': self.stage.free_slots,
            'layer_us': self.stage.driver.layer_seconds * 1e6,
            'prefill_us': self.stage.driver.prefill_seconds * 1e6,
            'lost_cache_events': self.stage.caches.lost_events,
            'held': self.holding.held,
            'leaving': self.stage.leaving,
        }
