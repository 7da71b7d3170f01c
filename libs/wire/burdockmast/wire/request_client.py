"""Handler of a link that only asks: for tools beside the daemons."""

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.wire import connections
from burdockmast.wire import links
from burdockmast.wire import messages

NO_CLOCK = 0
NO_ZONE = ids.ZoneId('')
# Age of the information of whoever has none, in milliseconds.
NO_INFORMATION_MS = int(1e9)


class RequestOnlyHandler:
    """Heeds nothing that daemons tell their neighbours, and knows nothing."""

    def receive(self, link: links.Link, message: messages.AnyMessage) -> None:
        """Ignore the message."""

    def build_heartbeat(self, link: links.Link) -> messages.Heartbeat:
        """Return the heartbeat of a process that knows nothing."""
        return messages.Heartbeat(
            NO_CLOCK, ids.Version(0), NO_INFORMATION_MS, 0, 0, 0
        )

    def heartbeat_period(self) -> float:
        """Return the shortest time between heartbeats."""
        return links.MIN_HEARTBEAT_SECONDS

    def on_closed(self, link: links.Link, why: failures.Failure) -> None:
        """Need no clean-up."""


def connect(
    address: ids.Address,
    role: messages.Role,
    zone: ids.ZoneId = NO_ZONE,
) -> links.Link | failures.Failure:
    """Open a link to a daemon, only to ask it."""
    hello = messages.Hello(
        messages.PROTOCOL_VERSION,
        role,
        ids.InstanceId(ids.new_id()),
        ids.Address(''),
        zone,
    )
    target = addresses.split(address)
    return connections.connect(address, target, hello, RequestOnlyHandler())
