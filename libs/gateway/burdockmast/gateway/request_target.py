"""Keeps the target of a request as its caller sent it."""

from burdockmast.base import request_heads

# Key of the target in a WSGI environment.
ENVIRON_KEY = 'REQUEST_URI'


class Protocol(request_heads.Protocol):
    """Adds the target to the environment, byte for byte.

    The other keys don't tell an empty query from none, nor one slash at the
    start of a path from several.
    """

    def get_environ(self) -> dict:
        """Return the environment of a request."""
        environ = super().get_environ()
        environ[ENVIRON_KEY] = self.requestline.split()[1]
        return environ
