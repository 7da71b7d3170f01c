"""The side process: builds its parts and dispatches messages to them."""

import eventlet

from burdockmast.base import failures
from burdockmast.base import timers
from burdockmast.claims import claim_writer
from burdockmast.claims import records
from burdockmast.fleet import changes
from burdockmast.node import node
from burdockmast.settings import models
from burdockmast.side import engine
from burdockmast.side import layer_reconciler
from burdockmast.side import prefix_cache
from burdockmast.side import service_executor
from burdockmast.side import stage
from burdockmast.wire import links
from burdockmast.wire import messages

IDLE_POLL_SECONDS = 0.05


class SideProcess:
    """One side process, beside an engine or a plain service."""

    def __init__(self, settings: models.SideSettings):
        """Create the process's parts; ``start`` starts them."""
        self.settings = settings
        self.node = node.Node.from_config(
            settings, messages.Role.SIDE, self, settings.server
        )
        self.node.describe_role = self._status_details
        self.claim_writers = claim_writer.ClaimWriters(
            self.node.store, self.node.metrics, settings.claims_retention
        )
        self.stage: stage.Stage | None = None
        self.reconciler: layer_reconciler.LayerReconciler | None = None
        self.service_executor: service_executor.ServiceExecutor | None = None
        self._is_stopping = False
        if settings.engine_url:
            client = engine.Client(settings.engine_url)
            self.reconciler = layer_reconciler.LayerReconciler(
                self.node,
                client,
                settings.engine_checks_fence,
                settings.loads_at_once,
            )
            self.stage = stage.Stage(
                self.node, client, self.reconciler, settings.slots
            )
            self.reconciler.is_idle = self._is_idle
            self.reconciler.on_engine_unreachable = (
                self.stage.scheduler.on_engine_unreachable
            )
        if settings.service_url:
            self.service_executor = service_executor.ServiceExecutor(
                self.node, settings.service_url
            )
        self.node.follower.subscribers.append(self._update_draining)
        self.node.draining_instances.subscribers.append(self._update_draining)

    def start(self) -> None:
        """Start listening, the engine's tasks and the periodic polls.

        :raises OSError: if another process listens on the peer address
        """
        self.node.start()
        if self.stage:
            self.stage.start()
            self.node.timers.subscribe(
                'holding',
                layer_reconciler.POLL_SECONDS,
                self.reconciler.poll_engine,
            )
            self.node.timers.subscribe(
                'caches',
                prefix_cache.POLL_SECONDS,
                self.stage.prefix_cache.poll,
            )

    def stop(self) -> None:
        """Refuse new work, and wait up to the drain time for running work."""
        self._is_stopping = True
        self.node.events.add('process.stopping', drain=self.settings.drain)
        deadline = timers.now() + self.settings.drain
        self._set_draining(True)
        while not self._is_idle() and timers.now() < deadline:
            eventlet.sleep(IDLE_POLL_SECONDS)

    def _is_idle(self) -> bool:
        if self.stage and self.stage.attempt_by_answer:
            return False
        return (
            not self.service_executor
            or not self.service_executor.running_count
        )

    def _update_draining(self, _: changes.Body | None = None) -> None:
        server = self.node.follower.configuration.server_by_id.get(
            self.settings.server
        )
        if self._is_stopping:
            return
        is_retired = server and server.state is changes.ServerState.DRAINING
        self._set_draining(
            bool(is_retired) or self.node.draining_instances.is_draining
        )

    def _set_draining(self, is_draining: bool) -> None:
        for part in (self.stage, self.service_executor):
            if part and part.is_draining is not is_draining:
                part.is_draining = is_draining
                self.node.peers.send_heartbeats()

    def receive(self, link: links.Link, message: messages.AnyMessage) -> None:
        """Dispatch a message to the part that handles it."""
        match message:
            case _ if self.stage and self.stage.receive(link, message):
                pass
            case messages.Claim():
                eventlet.spawn(self._submit_claim, link, message)
            case messages.ServiceCall() | messages.Settle():
                eventlet.spawn(self._handle_service_message, link, message)
            case _:
                self.node.receive(link, message)

    def _submit_claim(self, link: links.Link, claim: messages.Claim) -> None:
        record = records.decode(claim.record)
        state = self.claim_writers.submit(
            claim.shard, record, claim_writer.WRITE_TIMEOUT_SECONDS
        )
        if isinstance(state, failures.Failure):
            reply = messages.Claimed(
                claim.call, b'', state.reason, state.detail
            )
        else:
            reply = messages.Claimed(claim.call, records.encode_state(state))
        link.send(reply)

    def _handle_service_message(
        self,
        link: links.Link,
        message: messages.ServiceCall | messages.Settle,
    ) -> None:
        match message:
            case _ if not self.service_executor:
                reply = service_executor.no_service_reply(message.call)
            case messages.ServiceCall():
                reply = self.service_executor.call(message)
            case messages.Settle():
                reply = self.service_executor.resolve(message)
        link.send(reply)

    def build_heartbeat(self, link: links.Link) -> messages.Heartbeat:
        """Return the heartbeat for a peer; entries also get the load."""
        load = None
        if link.hello.role is messages.Role.ENTRY and self.stage:
            load = self._load_report()
        return self.node.heartbeat(load)

    def heartbeat_period(self) -> float:
        """Return the seconds between heartbeats."""
        return self.node.peers.heartbeat_period()

    def on_closed(self, link: links.Link, why: failures.Failure) -> None:
        """Forget a closed link, and end the attempts that used it."""
        self.node.on_closed(link, why)
        if self.stage:
            self.stage.on_link_closed(link, why)

    def _load_report(self) -> messages.Load:
        running = len(self.stage.attempt_by_answer)
        is_engine_lost = not self.stage.scheduler.is_ready
        times = tuple(
            messages.LinkTime(address, int(link.rtt * 1e6))
            for address, link in self.node.peers.link_by_address.items()
        )
        return messages.Load(
            self.settings.server,
            running,
            running + self.stage.free_slots,
            int(self.stage.scheduler.layer_seconds * 1e9),
            self.stage.is_draining,
            () if is_engine_lost else self.reconciler.serving_ranges(),
            times,
            int(self.stage.scheduler.prefill_seconds * 1e9),
            is_engine_lost,
        )

    def _status_details(self) -> dict:
        if not self.stage:
            return {'executing': self.service_executor.running_count}
        return {
            'running': len(self.stage.attempt_by_answer),
            'free_slots': self.stage.free_slots,
            'layer_us': self.stage.scheduler.layer_seconds * 1e6,
            'prefill_us': self.stage.scheduler.prefill_seconds * 1e6,
            'lost_cache_events': self.stage.prefix_cache.lost_events,
            'held': self.reconciler.held,
            'leaving': self.stage.is_draining,
        }
