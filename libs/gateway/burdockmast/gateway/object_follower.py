"""Keeps a copy of one kind of object from the platform's store."""

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

import eventlet

from burdockmast.base import failures
from burdockmast.base import logs
from burdockmast.base import timers
from burdockmast.gateway import interfaces

LOG = logs.get('following')

# Seconds between tries while the store is away.
RETRY_SECONDS = 0.25
# Seconds between calls that brought changes, so that many come in one.
GATHER_SECONDS = 0.15
# Seconds after the store's return in which entries that lapsed meanwhile
# come back if their writers live; the users' pages name about two.
EXPIRY_GRACE_SECONDS = 2.0

T = TypeVar('T')


class Follower(Generic[T]):
    """A copy of all objects of a kind, and how old it is.

    :ivar item_by_name: present objects
    :ivar revision: of the store, at which the copy was right
    """

    def __init__(
        self,
        name: str,
        feed: interfaces.Feed[T],
        wait_seconds: float,
        keeps_expired: bool = False,
        is_older: Callable[[T, T], bool] | None = None,
    ):
        """Create an empty copy.

        :param name: for logs
        :param wait_seconds: that one call waits for a change
        :param keeps_lapsed: objects expire by themselves, so one that is
            missing after an outage may be back soon
        :param is_older: tells whether its first argument was written before
            the second; such an object does not replace a newer one
        """
        self.item_by_name: dict[str, T] = {}
        self.revision: int | None = None
        self.on_change: list[Callable[[], None]] = []
        self._name = name
        self._feed = feed
        self._wait_seconds = wait_seconds
        self._keeps_lapsed = keeps_expired
        self._is_older = is_older
        # Objects that vanished around an outage, and when they count as gone.
        self._gone_at_by_name: dict[str, float] = {}
        self._confirmed_at = float('-inf')
        self._lost_at: float | None = None
        self._returned_at = float('-inf')

    @property
    def age(self) -> float:
        """Seconds since the copy was last known to be right.

        They count on while the machine is suspended.
        """
        return timers.real_now() - self._confirmed_at

    def start(self) -> None:
        """Begin to follow, in a task of its own."""
        eventlet.spawn(self._run)

    def _run(self) -> None:
        while True:
            try:
                self.poll()
            except Exception:
                LOG.exception('following failed', extra={'what': self._name})
                self.revision = None
                eventlet.sleep(RETRY_SECONDS)

    def poll(self) -> None:
        """Make one call, and take in what it brings."""
        asked_at = timers.real_now()
        if self.revision is None:
            found = self._feed.list()
        else:
            wait = self._next_wait()
            found = self._feed.watch(self.revision, wait)
        self._drop_lapsed()
        match found:
            case failures.Failure():
                self._failed(found)
            case interfaces.Listing():
                self._reached()
                self._take_listing(found)
                self._confirmed_at = asked_at
            case interfaces.Changes():
                self._reached()
                self._take_changes(found)
                self._confirmed_at = asked_at
                if not found.changes and timers.real_now() >= asked_at + wait:
                    # Nothing had changed when the store gave up waiting.
                    self._confirmed_at += wait

    def _next_wait(self) -> float:
        if not self._gone_at_by_name:
            return self._wait_seconds
        earliest = min(at for at in self._gone_at_by_name.values())
        return min(self._wait_seconds, max(0.05, earliest - timers.now()))

    def _failed(self, failure: failures.Failure) -> None:
        if failure.reason is failures.Reason.STORE_CONFLICT:
            LOG.info(
                'history gone, listing anew',
                extra={'what': self._name, 'revision': self.revision},
            )
            self.revision = None
            return
        if self._lost_at is None:
            self._lost_at = timers.now()
            LOG.warning(
                'store lost',
                extra={
                    'what': self._name,
                    'step': failure.step,
                    'peer': failure.peer,
                    'reason': failure.detail,
                    'revision': self.revision,
                },
            )
        eventlet.sleep(RETRY_SECONDS)

    def _reached(self) -> None:
        if self._lost_at is None:
            return
        seconds = timers.now() - self._lost_at
        self._lost_at = None
        self._returned_at = timers.now()
        LOG.info(
            'store back',
            extra={'what': self._name, 'away_seconds': round(seconds, 3)},
        )

    def _take_listing(self, listing: interfaces.Listing[T]) -> None:
        missing = self.item_by_name.keys() - listing.item_by_name.keys()
        kept = {name: self.item_by_name[name] for name in missing}
        self.item_by_name = {
            name: self.item_by_name[name]
            if self._is_stale(name, item)
            else item
            for name, item in listing.item_by_name.items()
        }
        for name in listing.item_by_name:
            self._gone_at_by_name.pop(name, None)
        for name, item in kept.items():
            if self._may_come_back(name):
                self.item_by_name[name] = item
        self.revision = listing.revision
        LOG.info(
            'listed',
            extra={
                'what': self._name,
                'revision': listing.revision,
                'count': len(self.item_by_name),
                'missing': len(missing),
            },
        )
        self._notify()

    def _take_changes(self, changes: interfaces.Changes[T]) -> None:
        self.revision = changes.revision
        for change in changes.changes:
            if change.item is not None:
                self._gone_at_by_name.pop(change.name, None)
                if not self._is_stale(change.name, change.item):
                    self.item_by_name[change.name] = change.item
            elif not self._may_come_back(change.name):
                self.item_by_name.pop(change.name, None)
        if changes.changes:
            self._notify()
            eventlet.sleep(GATHER_SECONDS)

    def _is_stale(self, name: str, item: T) -> bool:
        known = self.item_by_name.get(name)
        if known is None or self._is_older is None:
            return False
        if not self._is_older(item, known):
            return False
        LOG.info(
            'older object ignored', extra={'what': self._name, 'name': name}
        )
        return True

    def _may_come_back(self, name: str) -> bool:
        """Tell whether a missing object may have lapsed in an outage."""
        if not self._keeps_lapsed:
            return False
        known = self._gone_at_by_name.get(name)
        if known is not None:
            return timers.now() < known
        until = self._returned_at + EXPIRY_GRACE_SECONDS
        if timers.now() >= until:
            return False
        self._gone_at_by_name[name] = until
        return True

    def _drop_lapsed(self) -> None:
        now = timers.now()
        gone = [n for n, p in self._gone_at_by_name.items() if now >= p]
        for name in gone:
            del self._gone_at_by_name[name]
            self.item_by_name.pop(name, None)
            LOG.info(
                'lapsed for good', extra={'what': self._name, 'name': name}
            )
        if gone:
            self._notify()

    def _notify(self) -> None:
        for subscriber in self.on_change:
            subscriber()
