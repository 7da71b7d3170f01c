"""A mailbox that hands over all that has arrived at once."""

import collections
from typing import Generic
from typing import TypeVar

import eventlet.semaphore

Item = TypeVar('Item')


class Mailbox(Generic[Item]):
    """Items for one task.

    Waiting sets no timer, which would cost more than a token does; who
    needs patience puts an item that ends it.
    """

    def __init__(self):
        """Create an empty mailbox."""
        self._items: collections.deque[Item] = collections.deque()
        self._filled = eventlet.semaphore.Semaphore(0)

    def put(self, item: Item) -> None:
        """Add an item, waking the task that waits."""
        if not self._items:
            self._filled.release()
        self._items.append(item)

    def take_all(self) -> list[Item]:
        """Wait until there is an item; return all, the oldest first."""
        self._filled.acquire()
        items = list(self._items)
        self._items.clear()
        return items
