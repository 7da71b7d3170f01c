"""Keeps a process's configuration current, from peers and the store.

A few sides of each zone, chosen by hash, wait on the store for the next
change; all others get changes from their neighbours at once, and compare
versions in every heartbeat. A process whose information has grown old
looks into the store by itself, so a lost watcher delays nothing for long.
Versions only go up.
"""

import collections
from collections.abc import Callable
import random

import eventlet

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import ranks
from burdockmast.base import timeline
from burdockmast.base import timers
from burdockmast.fleet import change_journal
from burdockmast.fleet import changes
from burdockmast.fleet import configuration
from burdockmast.fleet import encoding
from burdockmast.fleet import snapshots
from burdockmast.store import cuts
from burdockmast.store import objects
from burdockmast.wire import links
from burdockmast.wire import messages

LOG = logs.get('fleet')

# Sides of a zone that wait on the store.
WATCHERS_PER_ZONE = 2
# Seconds that one watch waits for a change.
WATCH_SECONDS = 10.0
# Periods of heartbeats after which information counts as old.
OLD_PERIODS = 2.5
# Shortest time between looks into the store by a process with old
# information, in seconds.
LOOK_SECONDS = 2.0
# Such looks that the whole fleet makes in a second, for the store's sake.
FLEET_POLLS_PER_SECOND = 200.0
# Changes kept for neighbours; one further behind gets a snapshot.
KEPT_CHANGES = 4096


# Called after each change, with None if any part may have changed.
Subscriber = Callable[[changes.Body | None], None]


class Follower:
    """The configuration of one process and the tasks that update it."""

    def __init__(
        self,
        store: objects.Objects,
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
            links.HEARTBEAT_SECONDS
        )
        self._journal = change_journal.open_journal(store)
        self._snapshots = snapshots.Snapshots(store, self._journal)
        # Version and time of this process's last look whether one is due.
        self._snapshot_looked_at = ids.Version(0)
        self._snapshot_look_time = timers.now()
        self._server = server
        self._zone = zone
        self._events = events
        self._random = random.Random(seed)
        self._fresh_at: float | None = None
        self._elected = False
        self._elected_at = ids.Version(-1)
        self._kept: collections.deque[bytes] = collections.deque(
            maxlen=KEPT_CHANGES
        )

    def start(self) -> None:
        """Start following in a task of its own."""
        eventlet.spawn(self._follow)

    @property
    def version(self) -> ids.Version:
        """Number of changes this process has applied."""
        return self.configuration.version

    @property
    def store_age_seconds(self) -> float:
        """Seconds since this information left the store."""
        if self._fresh_at is None:
            return float('inf')
        return timers.now() - self._fresh_at

    @property
    def fresh_at(self) -> float:
        """Monotonic seconds at which this information left the store."""
        return timers.now() - self.store_age_seconds

    def store_age_ms(self) -> int:
        """Return the age for a heartbeat; bounded, in milliseconds."""
        return int(min(self.store_age_seconds, 1e6) * 1000)

    def on_heartbeat(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Compare versions with a neighbour."""
        if heartbeat.version > self.version:
            link.send(messages.ChangesWanted(self.version))
        elif heartbeat.version == self.version:
            self._refresh(heartbeat.store_age_ms)

    def send_changes_since(
        self, link: links.Link, version: ids.Version
    ) -> None:
        """Send a neighbour what it lacks."""
        missing = self.version - version
        if missing <= 0:
            return
        if missing > len(self._kept):
            encoded = encoding.encode(self.configuration)
            link.send(
                messages.Snapshot(
                    self.version, encoded, encoding.digest(encoded)
                )
            )
            return
        encoded_changes = tuple(self._kept)[-missing:]
        link.send(
            messages.Changes(
                ids.Version(version + 1), encoded_changes, self.store_age_ms()
            )
        )

    def apply_changes(
        self, link: links.Link, received: messages.Changes
    ) -> None:
        """Apply changes from a neighbour, and pass new ones on."""
        if received.first > self.version + 1:
            link.send(messages.ChangesWanted(self.version))
            return
        before = self.version
        for encoded in received.encoded[self.version + 1 - received.first :]:
            self._apply(encoded)
        if self.version > before:
            self._refresh(received.store_age_ms)
            self._spread(before, link)

    def apply_snapshot(
        self, link: links.Link, snapshot: messages.Snapshot
    ) -> None:
        """Take a neighbour's whole configuration if it is newer."""
        if snapshot.version <= self.version:
            return
        if encoding.digest(snapshot.encoded) != snapshot.digest:
            LOG.warning('Snapshot from {} is damaged.', link.address)
            return
        received = encoding.decode(
            snapshot.encoded, configuration.Configuration
        )
        if received.version != snapshot.version:
            LOG.warning('Snapshot from {} has no such version.', link.address)
            return
        self._take(received)

    def _take(self, received: configuration.Configuration) -> None:
        self.configuration = received
        self._kept.clear()
        self._notify(None)

    def _apply(self, encoded: bytes) -> None:
        change = encoding.decode(encoded, changes.Change)
        ignored = self.configuration.apply(change)
        self._kept.append(encoded)
        self._events.add(
            'configuration.applied',
            version=self.version,
            change=type(change.body).__name__,
            preset=self.configuration.in_force,
        )
        if ignored:
            LOG.info('Change {} has no effect: {}.', change.id, ignored.detail)
        self._notify(change.body)

    def _notify(self, change: changes.Body | None) -> None:
        for subscriber in self.subscribers:
            subscriber(change)

    def _refresh(self, age_ms: int) -> None:
        fresh_at = timers.now() - age_ms / 1000
        self._fresh_at = max(self._fresh_at or fresh_at, fresh_at)

    def _spread(
        self, before: ids.Version, source: links.Link | None = None
    ) -> None:
        encoded = tuple(self._kept)[before - self.version :]
        if not encoded:
            # A snapshot was taken in; neighbours ask for it by its version.
            return
        message = messages.Changes(
            ids.Version(before + 1), encoded, self.store_age_ms()
        )
        for link in self.peer_links():
            if link is not source:
                link.send(message)

    def is_watcher(self) -> bool:
        """Tell whether this process watches the platform for its zone."""
        if self._elected_at != self.version:
            self._elected_at = self.version
            self._elected = self._elect()
        return self._elected

    def _elect(self) -> bool:
        sides = [
            server.id
            for server in self.configuration.server_by_id.values()
            if server.zone == self._zone
        ]
        ranked = sorted(sides, key=lambda s: ranks.rank(self._zone, s))
        return self._server in ranked[:WATCHERS_PER_ZONE]

    def _follow(self) -> None:
        while True:
            if self.is_watcher():
                self._read_store(WATCH_SECONDS)
            elif (
                self.store_age_seconds > OLD_PERIODS * self.heartbeat_period()
            ):
                self._read_store(0.0)
                eventlet.sleep(self._look_seconds())
            else:
                eventlet.sleep(self._random.uniform(0.2, 0.5))

    def _look_seconds(self) -> float:
        """Return a random time until the next look, longer in big fleets."""
        fleet = len(self.configuration.server_by_id)
        longest = max(LOOK_SECONDS, 2 * fleet / FLEET_POLLS_PER_SECOND)
        return longest * self._random.uniform(0.2, 1.0)

    def _read_store(self, wait: float) -> None:
        before = self.version
        entries = self._journal.follow(before + 1, wait)
        if isinstance(entries, cuts.Void):
            entries = self._restore_from_store()
        if isinstance(entries, failures.Failure):
            LOG.debug('Store not read: {}.', entries)
            eventlet.sleep(self._random.uniform(0.2, 1.0))
            return
        self._refresh(0)
        for place, entry in entries:
            # Neighbours may have been faster while the store answered.
            if place == self.version + 1:
                self._apply(encoding.encode(change_journal.decode(entry)))
        if self.version > before:
            self._spread(before)
        if self.is_watcher():
            self._offer_snapshot()

    def _restore_from_store(self) -> list | failures.Failure:
        """Take the snapshot that the journal was cut behind."""
        found = self._snapshots.read()
        if isinstance(found, failures.Failure):
            return found
        if found.version > self.version:
            self._take(found)
        return []

    def _offer_snapshot(self) -> None:
        """Write a snapshot if one is due."""
        seconds = timers.now() - self._snapshot_look_time
        if seconds < snapshots.LOOK_SECONDS and not snapshots.is_due(
            self.version, self._snapshot_looked_at
        ):
            return
        self._snapshot_looked_at = self.version
        self._snapshot_look_time = timers.now()
        eventlet.spawn(self._write_snapshot)

    def _write_snapshot(self) -> None:
        failure = self._snapshots.write(self.configuration)
        if failure:
            LOG.warning('No snapshot written: {}.', failure)
