"""Tracks the instances that the platform is about to remove.

The side processes that watch the store also poll the platform's instance
list, and peers pass on the newest revision, so that the list is read a few
times a second however large the fleet is. A process that finds its own
instance in the list takes no new work.
"""

from collections.abc import Callable

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.fleet import follower
from burdockmast.store import instance_list
from burdockmast.wire import links
from burdockmast.wire import messages

LOG = logs.get('instances')

# Interval between polls of the instance list by one watcher.
POLL_SECONDS = 2.0


class DrainingInstances:
    """The newest list of draining instances that one process knows."""

    def __init__(
        self,
        listing: instance_list.InstanceList | None,
        own: ids.PlatformInstance,
        config_follower: follower.Follower,
    ):
        """Create an empty list.

        :param listing: None for a platform without an instance list
        :param own: this process's instance, empty if unknown
        :param config_follower: tells whether this process is a watcher
        """
        self.subscribers: list[Callable[[], None]] = []
        self._listing = listing
        self._own = own
        self._follower = config_follower
        self._newest = messages.Leaving(0, ())

    @property
    def is_draining(self) -> bool:
        """Whether this process's own instance is about to be removed."""
        return bool(self._own) and self._own in self._newest.instances

    @property
    def revision(self) -> int:
        """Revision of the instance list at which this state was found."""
        return self._newest.revision

    def poll(self) -> None:
        """Read the instance list, if this process is a watcher."""
        if not self._listing or not self._follower.is_watcher():
            return
        found = self._listing.list_draining()
        if isinstance(found, failures.Failure):
            LOG.debug(
                'Instance list not read, keeping the known one: {}.', found
            )
            return
        instances = tuple(sorted(item.id for item in found.items))
        if instances != self._newest.instances:
            self._replace(messages.Leaving(found.revision, instances))

    def on_heartbeat(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Send the list to a peer whose list is older."""
        if heartbeat.list_revision < self.revision:
            link.send(self._newest)

    def apply_update(self, link: links.Link, update: messages.Leaving) -> None:
        """Replace the list by that of a peer, if that is newer."""
        self._replace(update, link)

    def _replace(
        self, update: messages.Leaving, source: links.Link | None = None
    ) -> None:
        """Replace an older list, and forward the new one to the peers."""
        if update.revision <= self.revision:
            return
        was_draining = self.is_draining
        self._newest = update
        for link in self._follower.peer_links():
            if link is not source:
                link.send(update)
        if self.is_draining is not was_draining:
            LOG.info(
                'The platform is draining this instance: {}.', self.is_draining
            )
            for subscriber in self.subscribers:
                subscriber()
