"""Streams of typed msgpack messages between the system's processes."""
