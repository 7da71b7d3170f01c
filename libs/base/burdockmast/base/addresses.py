"""Addresses of processes, written ``IP:port``."""

from burdockmast.base import ids


def split(address: ids.Address) -> tuple[str, int]:
    """Split ``IP:port``.

    :raises ValueError: if the port is missing or no number
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
