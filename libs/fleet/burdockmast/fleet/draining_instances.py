"""Which instances the platform is about to take away.

The sides that watch the store also look into the instance list; what they
find goes from neighbour to neighbour, newest revision first, so that the
list is read a few times a second however large the fleet is. A process that
finds its own instance there takes no new work.
"""

from collections.abc import Callable

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.fleet import follower
from burdockmast.store import instancelist
from burdockmast.wire import links
from burdockmast.wire import messages

LOG = logs.get('instances')

# Seconds between looks into the instance list by one watcher.
POLL_SECONDS = 2.0


class DrainingInstances:
    """The instances that are leaving, as one process knows them."""

    def __init__(
        self,
        listing: instancelist.InstanceList | None,
        own: ids.PlatformInstance,
        configuration: follower.Follower,
    ):
        """Create an empty record.

        :param listing: None for a platform without such a list
        :param own: this process's instance, empty if it is not known
        """
        self.subscribers: list[Callable[[], None]] = []
        self._listing = listing
        self._own = own
        self._follower = configuration
        self._known = messages.Leaving(0, ())

    @property
    def is_draining(self) -> bool:
        """Whether this process's own instance is about to go."""
        return bool(self._own) and self._own in self._known.instances

    @property
    def revision(self) -> int:
        """The list's revision at which the newest news was found."""
        return self._known.revision

    def poll(self) -> None:
        """Read the list, if this process is one of those that do."""
        if not self._listing or not self._follower.is_watcher():
            return
        found = self._listing.leaving()
        if isinstance(found, failures.Failure):
            LOG.debug('Instance list not read: {}.', found)
            return
        instances = tuple(sorted(item.id for item in found.items))
        if instances != self._known.instances:
            self._take(messages.Leaving(found.revision, instances))

    def on_heartbeat(
        self, link: links.Link, heartbeat: messages.Heartbeat
    ) -> None:
        """Tell a neighbour that knows less."""
        if heartbeat.list_revision < self.revision:
            link.send(self._known)

    def apply_update(self, link: links.Link, news: messages.Leaving) -> None:
        """Take in a neighbour's news."""
        self._take(news, link)

    def _take(
        self, news: messages.Leaving, source: links.Link | None = None
    ) -> None:
        """Take in news unless newer ones are known, and pass them on."""
        if news.revision <= self.revision:
            return
        was_leaving = self.is_draining
        self._known = news
        for link in self._follower.peer_links():
            if link is not source:
                link.send(news)
        if self.is_draining is not was_leaving:
            LOG.info('This instance is leaving: {}.', self.is_draining)
            for subscriber in self.subscribers:
                subscriber()
