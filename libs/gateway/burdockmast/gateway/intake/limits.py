"""Limits on callers, with defaults that no caller within its rights meets."""

import dataclasses

# Below this size, the framing of a chunk is larger than its content: a size
# line of 3 bytes at least, and the end of a line.
MIN_CHUNK_BYTES = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits on callers' connections and bodies.

    :ivar max_connections: that are open at once
    :ivar max_connections_per_address: of them from one address; a balancer
        may bring all callers from one address
    :ivar max_waiting_bodies: requests whose bodies are on their way
    :ivar body_progress_seconds: within which more of a body must come
    :ivar body_progress_bytes: as much must come within that time, or the end
    :ivar min_chunk_bytes: mean size of chunks, beyond the first ones, below
        which a body is refused; 0 for any
    """

    max_connections: int = 3000
    max_connections_per_address: int = 3000
    max_waiting_bodies: int = 1500
    body_progress_seconds: float = 30.0
    body_progress_bytes: int = 256
    min_chunk_bytes: int = MIN_CHUNK_BYTES
