"""A queue whose reader takes all waiting items at once."""

import collections
from typing import Generic
from typing import TypeVar

import eventlet.semaphore

Item = TypeVar('Item')


class Mailbox(Generic[Item]):
    """A queue of items for one reading task.

    Waiting has no timeout, since a timer costs more than handling a token.
    To time out a reader, put an item that tells it so.
    """

    def __init__(self):
        """Create an empty mailbox."""
        self._items: collections.deque[Item] = collections.deque()
        self._filled = eventlet.semaphore.Semaphore(0)

    def put(self, item: Item) -> None:
        """Add an item and wake the reading task."""
        if not self._items:
            self._filled.release()
        self._items.append(item)

    def take_all(self) -> list[Item]:
        """Wait until there is an item; return all items, oldest first."""
        self._filled.acquire()
        items = list(self._items)
        self._items.clear()
        return items
