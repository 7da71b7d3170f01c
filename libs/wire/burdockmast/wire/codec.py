"""Encodes and decodes messages; limits the size of what a peer may send."""

import msgpack
import msgspec

from burdockmast.base import failures
from burdockmast.wire import messages

# Snapshots of the configuration are the largest messages.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Prompts are the longest arrays in messages.
MAX_ARRAY_LENGTH = 1_000_000
# Bytes to read from a socket in one call.
READ_BYTES = 64 * 1024

_encoder = msgspec.msgpack.Encoder()


def encode(message: messages.Message) -> bytes:
    """Encode a message as msgpack."""
    return _encoder.encode(message)


class Decoder:
    """Decodes the byte stream of one connection into messages."""

    def __init__(self, limit: int = MAX_MESSAGE_BYTES):
        """Create a decoder.

        :param limit: largest size of a message in bytes
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
        """Add received bytes; return the messages that are now complete.

        The second value is the failure after which the stream can't be
        decoded any further, or None.
        """
        received: list[messages.AnyMessage] = []
        try:
            self._unpacker.feed(data)
            for value in self._unpacker:
                received.append(_convert(value))
        except msgpack.exceptions.BufferFull:
            detail = f'message larger than {self._limit} bytes'
            return received, _failure(failures.Reason.TOO_LARGE, detail)
        except (msgspec.ValidationError, ValueError, RecursionError) as error:
            return received, _failure(failures.Reason.PROTOCOL, str(error))
        except msgpack.exceptions.UnpackException as error:
            return received, _failure(failures.Reason.PROTOCOL, repr(error))
        return received, None


def _convert(value: object) -> messages.AnyMessage:
    """Convert a decoded value to the message type that its tag names.

    Looking the type up here is much faster than having msgspec convert to
    the union of all message types.
    """
    tag = value[0] if isinstance(value, list) and value else None
    kind = messages.TYPE_BY_TAG.get(tag) if isinstance(tag, int) else None
    if kind is None:
        raise ValueError(f'unknown message tag {tag!r}')
    return msgspec.convert(value, kind)


def _failure(reason: failures.Reason, detail: str) -> failures.Failure:
    return failures.Failure(reason, 'stream.decode', detail=detail)
