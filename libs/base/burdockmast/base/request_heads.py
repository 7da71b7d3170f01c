"""Reads the heads of callers' requests, for WSGI servers."""

import http.client

import eventlet.wsgi


class Headers(http.client.HTTPMessage):
    """Headers whose values the mail parser leaves alone.

    It splits the parameters of a content type of several parts, in a time that
    grows with the square of their bytes, to look for parts in the head.
    """

    def get_content_type(self) -> str:
        """Return the type of a message that names none."""
        return self.get_default_type()


class Protocol(eventlet.wsgi.HttpProtocol):
    """Reads a head in a time that is proportional to its bytes."""

    MessageClass = Headers
