"""Connections that carry typed msgpack messages between processes."""
