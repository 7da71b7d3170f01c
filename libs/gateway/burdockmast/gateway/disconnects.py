"""Cancels requests whose callers disconnect."""

import errno
import socket

from eventlet import greenio
import eventlet.hubs
import greenlet


class CallerDisconnected(Exception):
    """The caller has closed its connection."""


class Watch:
    """Raises ``CallerDisconnected`` in its task when the connection ends.

    Used as a context manager by the task that serves the connection, which
    must not read from it meanwhile.
    """

    def __init__(self, sock: greenio.GreenSocket):
        """Prepare to watch a caller's connection."""
        self._sock = sock
        self._listener = None
        self._task: greenlet.greenlet | None = None

    def __enter__(self) -> 'Watch':
        """Start to watch the connection on behalf of the current task."""
        self._task = greenlet.getcurrent()
        hub = eventlet.hubs.get_hub()
        self._listener = hub.add(
            hub.READ,
            self._sock.fileno(),
            self._on_readable,
            self._on_disconnect,
            self._on_disconnect,
        )
        return self

    def __exit__(self, *error: object) -> None:
        """Stop watching."""
        self._task = None
        self._stop()

    def _stop(self) -> None:
        if self._listener is not None:
            eventlet.hubs.get_hub().remove(self._listener)
            self._listener = None

    def _on_readable(self, _: object) -> None:
        if self._listener is None:
            # The hub calls all listeners that were ready when it polled, also
            # those that were removed since.
            return
        try:
            # The green socket would wait, which the hub must not.
            data = self._sock.fd.recv(1, socket.MSG_PEEK)
        except OSError as error:
            if error.errno in (errno.EAGAIN, errno.EINTR):
                return
            data = b''
        if data:
            # This is a pipelined request; the WSGI server reads it later.
            self._stop()
            return
        self._on_disconnect()

    def _on_disconnect(self, *_: object) -> None:
        self._stop()
        task, self._task = self._task, None
        if task is not None and not task.dead:
            hub = eventlet.hubs.get_hub()
            hub.schedule_call_global(0, _raise_in, task)


def _raise_in(task: greenlet.greenlet) -> None:
    if not task.dead:
        task.throw(CallerDisconnected('the caller closed its connection'))
