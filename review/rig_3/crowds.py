"""Callers that nobody controls, and ordinary callers beside them."""

import threading

from rig_3 import clients
from rig_3 import http_messages

SENDING_SECONDS = 30.0


class Crowd:
    """Connections whose requests never end."""

    def __init__(self, fleet, gateway):
        """Create a crowd without connections."""
        self._fleet = fleet
        self._gateway = gateway
        self._socks = []
        self._tasks = []

    def send(self, size, pieces):
        """Open connections, and send the same part of a request on each.

        :param pieces: of the body, in chunks, without the last chunk
        """
        for _ in range(size):
            task = threading.Thread(
                target=self._send_one, args=(pieces,), daemon=True
            )
            self._tasks.append(task)
            task.start()

    def _send_one(self, pieces):
        try:
            sock = clients.connect(
                self._fleet.host, self._gateway.front, SENDING_SECONDS
            )
            self._socks.append(sock)
            sock.sendall(
                clients.head(
                    'POST',
                    '/puxa403/2f',
                    clients.new_id(),
                    Transfer_Encoding='chunked',
                )
            )
            for piece in pieces:
                sock.sendall(piece)
        except OSError:
            # The gateway may refuse such a caller or close its connection.
            return

    def wait(self, seconds):
        """Wait until all have sent what they send, up to a time."""
        for task in self._tasks:
            task.join(seconds / max(1, len(self._tasks)))

    @property
    def open_count(self):
        """Number of connections that were opened."""
        return len(self._socks)

    def close(self):
        """Close all connections."""
        for sock in self._socks:
            sock.close()


def ask_at_once(fleet, gateway, count, timeout):
    """Let ordinary clients ask on new connections; return their statuses.

    A client that has no answer in time gives up; its status is 0.
    """
    statuses = [0] * count

    def ask(index):
        try:
            with clients.connect(fleet.host, gateway.front, timeout) as sock:
                sock.sendall(
                    clients.head(
                        'GET',
                        '/cufi504/2f',
                        clients.new_id(),
                        Burdockmast_Deadline_Ms=str(int(timeout * 1000)),
                    )
                )
                reply = http_messages.Reader(sock).message(is_request=False)
                statuses[index] = reply.status if reply else 0
        except (OSError, http_messages.ConnectionEnded):
            pass

    tasks = [
        threading.Thread(target=ask, args=(index,)) for index in range(count)
    ]
    for task in tasks:
        task.start()
    for task in tasks:
        task.join()
    return statuses
