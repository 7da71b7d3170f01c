"""A relay between gateways and the store, whose connections may go silent."""

import contextlib
import socket
import threading

PIECE_BYTES = 65536


class Relay:
    """Forwards connections to an address.

    :ivar address: at which it listens
    """

    def __init__(self, host, target):
        """Start to listen on a free port."""
        target_host, _, port = target.rpartition(':')
        self._target = target_host, int(port)
        self._open = []
        self._lock = threading.Lock()
        self._listener = socket.create_server((host, 0), backlog=64)
        self.address = '{}:{}'.format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(self._target)
            is_silent = threading.Event()
            with self._lock:
                self._open.append(is_silent)
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._forward,
                    args=(source, sink, is_silent),
                    daemon=True,
                ).start()

    def _forward(self, source, sink, is_silent):
        with contextlib.suppress(OSError):
            while data := source.recv(PIECE_BYTES):
                # A silent connection loses all that is sent, for good.
                if not is_silent.is_set():
                    sink.sendall(data)
            if not is_silent.is_set():
                sink.shutdown(socket.SHUT_WR)

    def silence(self):
        """Let all open connections go silent; new ones work."""
        with self._lock:
            for is_silent in self._open:
                is_silent.set()
            count = len(self._open)
            self._open.clear()
        return count
