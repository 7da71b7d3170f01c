"""Typed messages over one socket, with limits on what a peer may send."""

import msgpack
import msgspec

from burdockmast.base import failures
from burdockmast.wire import messages

# Largest message, in bytes; a snapshot of the configuration is the largest.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Largest array in a message, in elements; prompts are the longest.
MAX_ARRAY_LENGTH = 1_000_000
# Bytes asked of the socket at once.
READ_BYTES = 64 * 1024

_encoder = msgspec.msgpack.Encoder()


def encode(message: messages.Message) -> bytes:
    """Return the bytes of a message."""
    return _encoder.encode(message)


class Decoder:
    """Turns received bytes into typed messages."""

    def __init__(self, limit: int = MAX_MESSAGE_BYTES):
        """Create a decoder.

        :param limit: bytes that one message may have
        """
        self._limit = limit
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=limit + READ_BYTES,
            max_array_len=min(MAX_ARRAY_LENGTH, limit),
            max_map_len=0,
            max_bin_len=limit,
            max_str_len=limit,
            max_ext_len=0,
        )
        self._consumed = 0

    def feed(
        self, data: bytes
    ) -> tuple[list[messages.AnyMessage], failures.Failure | None]:
        """Take in bytes; return the messages completed by them.

        The second value tells why the stream cannot go on, or is None.
        """
        received: list[messages.AnyMessage] = []
        try:
            self._unpacker.feed(data)
            for value in self._unpacker:
                received.append(_convert(value))
        except msgpack.exceptions.BufferFull:
            detail = f'message larger than {self._limit} bytes'
            return received, _broken(failures.Reason.TOO_LARGE, detail)
        except (msgspec.ValidationError, ValueError, RecursionError) as error:
            return received, _broken(failures.Reason.PROTOCOL, str(error))
        except msgpack.exceptions.UnpackException as error:
            return received, _broken(failures.Reason.PROTOCOL, repr(error))
        return received, None


def _convert(value: object) -> messages.AnyMessage:
    """Check a decoded value against the type that its tag names.

    Looking the type up here is much faster than handing over their union.
    """
    tag = value[0] if isinstance(value, list) and value else None
    kind = messages.TYPE_BY_TAG.get(tag) if isinstance(tag, int) else None
    if kind is None:
        raise ValueError(f'no message begins with {tag!r}')
    return msgspec.convert(value, kind)


def _broken(reason: failures.Reason, detail: str) -> failures.Failure:
    return failures.Failure(reason, 'stream.decode', detail=detail)
