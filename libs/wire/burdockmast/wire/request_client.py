"""Links of tools that send requests to daemons and nothing else."""

from burdockmast.base import addresses
from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.wire import connections
from burdockmast.wire import links
from burdockmast.wire import messages

NO_CLOCK = 0
NO_ZONE = ids.ZoneId('')
# Reported store age of a process without a configuration.
NO_CONFIGURATION_AGE_MS = int(1e9)


class RequestOnlyHandler:
    """Ignores all messages but replies, and has no configuration to send."""

    def receive(self, link: links.Link, message: messages.AnyMessage) -> None:
        """Ignore the message."""

    def build_heartbeat(self, link: links.Link) -> messages.Heartbeat:
        """Return the heartbeat of a process without a configuration."""
        return messages.Heartbeat(
            NO_CLOCK, ids.Version(0), NO_CONFIGURATION_AGE_MS, 0, 0, 0
        )

    def heartbeat_period(self) -> float:
        """Return the shortest period, in seconds."""
        return links.MIN_HEARTBEAT_SECONDS

    def on_closed(self, link: links.Link, why: failures.Failure) -> None:
        """Do nothing: no state depends on the link."""


def connect(
    address: ids.Address,
    role: messages.Role,
    zone: ids.ZoneId = NO_ZONE,
) -> links.Link | failures.Failure:
    """Open a link to a daemon, for requests only."""
    hello = messages.Hello(
        messages.PROTOCOL_VERSION,
        role,
        ids.InstanceId(ids.new_id()),
        ids.Address(''),
        zone,
    )
    target = addresses.split(address)
    return connections.connect(address, target, hello, RequestOnlyHandler())
