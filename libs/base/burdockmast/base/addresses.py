"""Parses ``IP:port`` addresses of processes."""

from burdockmast.base import ids


def split(address: ids.Address) -> tuple[str, int]:
    """Split ``IP:port``.

    :raises ValueError: if the port is missing or not a number
    """
    host, _, port = address.rpartition(':')
    return host, int(port)
