"""Records when a process loses or regains the store or a peer."""

from burdockmast.base import failures
from burdockmast.base import metrics
from burdockmast.base import timeline
from burdockmast.base import timers
from burdockmast.wire import links
from burdockmast.wire import messages


class DependencyMonitor:
    """Writes an event when the store or a peer becomes unreachable or returns.

    Also counts failed store calls and measures the duration of all of them.
    """

    def __init__(self, events: timeline.Timeline, measures: metrics.Metrics):
        """Create a monitor that takes the store to be reachable."""
        self._events = events
        self._metrics = measures
        self._store_lost_at: float | None = None

    def on_store_call_ended(
        self, call: str, seconds: float, failure: failures.Failure | None
    ) -> None:
        """Record the result of a store call.

        A call whose precondition the store rejected reached it, and has no
        failure here.
        """
        self._metrics.timing('store.call', seconds)
        if failure is None:
            self._store_is_back()
            return
        self._metrics.count('store.failed')
        if self._store_lost_at is not None:
            return
        self._store_lost_at = timers.now()
        self._events.add(
            'store.lost',
            call=call,
            step=failure.step,
            peer=failure.peer,
            detail=failure.detail,
        )

    def _store_is_back(self) -> None:
        if self._store_lost_at is None:
            return
        seconds = timers.now() - self._store_lost_at
        self._store_lost_at = None
        self._events.add('store.back', seconds=round(seconds, 3))

    def on_connected(self, link: links.Link) -> None:
        """Record a new link to a peer."""
        if _is_operator(link):
            return
        self._events.add('peer.connected', **_identity(link))

    def on_disconnected(self, link: links.Link, why: failures.Failure) -> None:
        """Record that a link was closed."""
        if _is_operator(link):
            return
        self._events.add(
            'peer.lost',
            reason=why.reason.value,
            step=why.step,
            detail=why.detail,
            silent_seconds=round(link.silent_seconds, 3),
            **_identity(link),
        )


def _is_operator(link: links.Link) -> bool:
    """Tell whether a link is an operator tool's.

    Such links last for one query, so they get no events.
    """
    return link.hello.role is messages.Role.OPERATOR


def _identity(link: links.Link) -> dict[str, str]:
    hello = link.hello
    return {
        'peer': link.address,
        'peer_role': hello.role.value,
        'peer_process': hello.process,
        'peer_server': hello.server,
    }
