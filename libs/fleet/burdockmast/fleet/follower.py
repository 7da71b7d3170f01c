"""Keeps a process's configuration current, from its peers and the store.

A few side processes of each zone, chosen by hash, watch the store for the
next change. All others get changes from their peers at once, and compare
versions in every heartbeat. A process whose configuration is stale polls the
store itself, so that the loss of the watchers delays changes only briefly.
Versions never decrease.
"""

import collections
from collections.abc import Callable
import random

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import rendezvous
from burdockmast.base import timeline
from burdockmast.base import timers
from burdockmast.fleet import change_journal
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import encoding
from burdockmast.fleet import snapshots
from burdockmast.store import objects
from burdockmast.store import truncation
from burdockmast.wire import links
from burdockmast.wire import messages

LOG = logs.get('fleet')

# Side processes of a zone that watch the store.
WATCHERS_PER_ZONE = 2
# Longest time that one read of a watcher waits for a change.
WATCH_SECONDS = 10.0
# Heartbeat periods after which a configuration counts as stale.
STALE_PERIOD_COUNT = 2.5
# Longest interval between polls of the store by a process whose configuration
# is stale. It grows in fleets that would exceed FLEET_POLLS_PER_SECOND.
POLL_SECONDS = 2.0
# Target rate of such polls by the whole fleet, to protect the store.
FLEET_POLLS_PER_SECOND = 200.0
# Changes kept for peers; a peer that is further behind gets a snapshot.
KEPT_CHANGES = 4096

# Called with each applied change, and with None after a snapshot, which may
# have changed any part.
Subscriber = Callable[[changes.Body | None], None]


class Follower:
    """A process's copy of the configuration and the task that updates it."""

    def __init__(
        self,
        store: objects.ObjectClient,
        server: ids.ServerId,
        zone: ids.ZoneId,
        events: timeline.Timeline,
        seed: int | None = None,
    ):
        """Create a follower at version 0.

        :param server: the backend server beside this process, '' if none
        """
        self.configuration = configuration.Configuration()
        self.subscribers: list[Subscriber] = []
        self.peer_links: Callable[[], list[links.Link]] = list
        self.heartbeat_period: Callable[[], float] = lambda: (
            links.MIN_HEARTBEAT_SECONDS
        )
        self._journal = change_journal.open_journal(store)
        self._snapshots = snapshots.Snapshots(store, self._journal)
        # Version and time at which the stored snapshot was last checked.
        self._snapshot_checked_version = ids.Version(0)
        self._snapshot_checked_at = timers.now()
        self._server = server
        self._zone = zone
        self._events = events
        self._random = random.Random(seed)
        self._fresh_at: float | None = None
        self._is_elected = False
        self._elected_at_version = ids.Version(-1)
        self._recent_changes: collections.deque[bytes] = collections.deque(
            maxlen=KEPT_CHANGES
        )

    def start(self) -> None:
        """Start the task that reads the store."""
        eventlet.spawn(self._follow)

    @property
    def version(self) -> ids.Version:
        """Number of changes this process has applied."""
        return self.configuration.version

    @property
    def store_age_seconds(self) -> float:
        """Seconds since some process last read this version from the store."""
        if self._fresh_at is None:
            return float('inf')
        return timers.now() - self._fresh_at

    @property
    def fresh_at(self) -> float:
        """Monotonic time at which this version was read from the store."""
        return timers.now() - self.store_age_seconds

    def store_age_ms(self) -> int:
        """Return the age in milliseconds, bounded since it may be infinite."""
        return int(min(self.store_age_seconds, 1e6) * 1000)

    def on_heartbeat(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Request changes from a newer peer, or adopt an equal one's age."""
        if heartbeat.version > self.version:
            link.send(messages.ChangesWanted(self.version))
        elif heartbeat.version == self.version:
            self._update_fresh_at(heartbeat.store_age_ms)

    def send_changes_since(
        self, link: links.Link, version: ids.Version
    ) -> None:
        """Send a peer the changes after ``version``.

        A peer that lacks more changes than are kept gets a snapshot.
        """
        missing = self.version - version
        if missing <= 0:
            return
        if missing > len(self._recent_changes):
            encoded = encoding.encode(self.configuration)
            link.send(
                messages.Snapshot(
                    self.version, encoded, encoding.digest(encoded)
                )
            )
            return
        encoded_changes = tuple(self._recent_changes)[-missing:]
        link.send(
            messages.Changes(
                ids.Version(version + 1), encoded_changes, self.store_age_ms()
            )
        )

    def apply_changes(
        self, link: links.Link, received: messages.Changes
    ) -> None:
        """Apply changes of a peer and forward new ones to the others."""
        if received.first > self.version + 1:
            link.send(messages.ChangesWanted(self.version))
            return
        before = self.version
        for encoded in received.encoded[self.version + 1 - received.first :]:
            self._apply(encoded)
        if self.version > before:
            self._update_fresh_at(received.store_age_ms)
            self._forward_changes(before, link)

    def apply_snapshot(
        self, link: links.Link, snapshot: messages.Snapshot
    ) -> None:
        """Replace the configuration by that of a peer if that is newer."""
        if snapshot.version <= self.version:
            return
        if encoding.digest(snapshot.encoded) != snapshot.digest:
            LOG.warning('Ignored a damaged snapshot from {}.', link.address)
            return
        received = encoding.decode(
            snapshot.encoded, configuration.Configuration
        )
        if received.version != snapshot.version:
            LOG.warning(
                'Ignored a snapshot from {}: its version is not as announced.',
                link.address,
            )
            return
        self._replace(received)

    def _replace(self, received: configuration.Configuration) -> None:
        self.configuration = received
        self._recent_changes.clear()
        self._notify(None)

    def _apply(self, encoded: bytes) -> None:
        change = encoding.decode(encoded, changes.Change)
        refusal = self.configuration.apply(change)
        self._recent_changes.append(encoded)
        self._events.add(
            'configuration.applied',
            version=self.version,
            change=type(change.body).__name__,
            preset=self.configuration.in_force,
        )
        if refusal:
            LOG.info(
                'Change {} is invalid and has no effect: {}.',
                change.id,
                refusal.detail,
            )
        self._notify(change.body)

    def _notify(self, change: changes.Body | None) -> None:
        for subscriber in self.subscribers:
            subscriber(change)

    def _update_fresh_at(self, age_ms: int) -> None:
        fresh_at = timers.now() - age_ms / 1000
        self._fresh_at = max(self._fresh_at or fresh_at, fresh_at)

    def _forward_changes(
        self, before: ids.Version, source: links.Link | None = None
    ) -> None:
        encoded = tuple(self._recent_changes)[before - self.version :]
        if not encoded:
            # After a snapshot, peers learn of the version by heartbeat and
            # request what they lack.
            return
        message = messages.Changes(
            ids.Version(before + 1), encoded, self.store_age_ms()
        )
        for link in self.peer_links():
            if link is not source:
                link.send(message)

    def is_watcher(self) -> bool:
        """Tell whether this process watches the platform for its zone."""
        if self._elected_at_version != self.version:
            self._elected_at_version = self.version
            self._is_elected = self._elect()
        return self._is_elected

    def _elect(self) -> bool:
        servers = [
            server.id
            for server in self.configuration.server_by_id.values()
            if server.zone == self._zone
        ]
        ranked = sorted(servers, key=lambda s: rendezvous.rank(self._zone, s))
        return self._server in ranked[:WATCHERS_PER_ZONE]

    def _follow(self) -> None:
        while True:
            if self.is_watcher():
                self._read_store(WATCH_SECONDS)
            elif (
                self.store_age_seconds
                > STALE_PERIOD_COUNT * self.heartbeat_period()
            ):
                self._read_store(0.0)
                eventlet.sleep(self._poll_interval_seconds())
            else:
                eventlet.sleep(self._random.uniform(0.2, 0.5))

    def _poll_interval_seconds(self) -> float:
        """Return a random time until the next poll, longer in large fleets."""
        server_count = len(self.configuration.server_by_id)
        longest = max(POLL_SECONDS, 2 * server_count / FLEET_POLLS_PER_SECOND)
        return longest * self._random.uniform(0.2, 1.0)

    def _read_store(self, wait: float) -> None:
        before = self.version
        entries = self._journal.follow(before + 1, wait)
        if isinstance(entries, truncation.Truncated):
            entries = self._restore_from_store()
        if isinstance(entries, failures.Failure):
            LOG.debug(
                'Configuration not read from the store; retrying: {}.', entries
            )
            eventlet.sleep(self._random.uniform(0.2, 1.0))
            return
        self._update_fresh_at(0)
        for place, entry in entries:
            # A peer may have sent the change while the store answered.
            if place == self.version + 1:
                self._apply(encoding.encode(change_journal.decode(entry)))
        if self.version > before:
            self._forward_changes(before)
        if self.is_watcher():
            self._write_snapshot_if_due()

    def _restore_from_store(self) -> list | failures.Failure:
        """Load the snapshot that replaces truncated entries of the journal."""
        found = self._snapshots.read()
        if isinstance(found, failures.Failure):
            return found
        if found.version > self.version:
            self._replace(found)
        return []

    def _write_snapshot_if_due(self) -> None:
        """Start a task that writes a snapshot, if it is time to check it."""
        seconds = timers.now() - self._snapshot_checked_at
        if seconds < snapshots.CHECK_INTERVAL_SECONDS and not snapshots.is_due(
            self.version, self._snapshot_checked_version
        ):
            return
        self._snapshot_checked_version = self.version
        self._snapshot_checked_at = timers.now()
        eventlet.spawn(self._write_snapshot)

    def _write_snapshot(self) -> None:
        failure = self._snapshots.write(self.configuration)
        if failure:
            LOG.warning(
                'No snapshot written until the next check: {}.', failure
            )
