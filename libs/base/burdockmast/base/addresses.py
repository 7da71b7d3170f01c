"""Parses ``IP:port`` addresses of processes."""

import ipaddress
import re

from burdockmast.base import ids

MAX_PORT = 65535
_ADDRESS = re.compile(r'([0-9.]{7,15}):([0-9]{1,5})')


def split(address: ids.Address) -> tuple[str, int]:
    """Split ``IP:port``.

    :raises ValueError: if the port is missing or not a number
    """
    host, _, port = address.rpartition(':')
    return host, int(port)


def parse(text: str) -> ids.Address | None:
    """Return ``IP:port``, None if it is no address to connect to."""
    match = _ADDRESS.fullmatch(text)
    if match is None or not 0 < int(match[2]) <= MAX_PORT:
        return None
    try:
        ipaddress.IPv4Address(match[1])
    except ipaddress.AddressValueError:
        return None
    return ids.Address(text)
