"""Client of the model engine beside this process.

Source: the engine's published interface, JSON over HTTP.
"""

import dataclasses

import msgspec
import urllib3

from burdockmast.base import failures
from burdockmast.base import outcomes

# Seconds that one iteration or question may take.
CALL_TIMEOUT_SECONDS = 10.0
# Seconds that loading layers may take.
LOAD_TIMEOUT_SECONDS = 600.0
HTTP_OK = 200
HTTP_CONFLICT = 409


class OpenSequence(msgspec.Struct):
    """Prepare a sequence for layers ``first`` up to ``end``."""

    sequence: str
    model: str
    tokens: tuple[int, ...]
    first: int
    end: int


class Step(msgspec.Struct):
    """Run token ``index`` of a sequence.

    The first stage gives the previous ``token``, the others a ``state``.
    """

    sequence: str
    index: int
    state: int | None
    token: int | None


class Iteration(msgspec.Struct):
    """All that one iteration is to do."""

    open: list[OpenSequence]
    steps: list[Step]
    close: list[str]


class StepResult(msgspec.Struct):
    """Result of one step: a state for the next stage, or a token."""

    state: int | None = None
    token: int | None = None
    error: str = ''


class HeldLayers(msgspec.Struct):
    """Layers that the engine holds."""

    model: str
    first: int
    end: int


class Status(msgspec.Struct):
    """What the engine tells of itself."""

    held: HeldLayers | None


class CacheEvent(msgspec.Struct):
    """A block of prompt tokens that came into the cache or left it.

    :ivar number: counts the engine's events; those between are lost
    :ivar parent: the block before it, None for a prompt's first
    :ivar tokens: what it holds; empty if it left
    """

    number: int
    block: int
    is_stored: bool
    parent: int | None = None
    tokens: tuple[int, ...] = ()


class CacheEvents(msgspec.Struct):
    """What the engine has published of its cache of prompts.

    :ivar epoch: differs for each start of the engine
    :ivar blocks: how many blocks fit
    :ivar block_tokens: tokens of a block
    """

    epoch: str
    blocks: int
    block_tokens: int
    events: list[CacheEvent]


class _Results(msgspec.Struct):
    results: list[StepResult]


@dataclasses.dataclass(frozen=True, slots=True)
class LayersLoaded:
    """An order was carried out."""


class Client:
    """One engine, over kept-alive connections."""

    def __init__(self, url: str):
        """Create a client.

        :param url: base of the engine's interface
        """
        self._url = url
        self._pool = urllib3.PoolManager(maxsize=4, retries=False)
        self._decoder = msgspec.json.Decoder(_Results)

    def iterate(
        self, iteration: Iteration
    ) -> list[StepResult] | failures.Failure:
        """Run one iteration; results are in the order of its steps."""
        response = self._call('/v1/iterate', iteration, CALL_TIMEOUT_SECONDS)
        if isinstance(response, failures.Failure):
            return response
        return self._decoder.decode(response.data).results

    def load_layers(
        self, fence: int, layers: HeldLayers
    ) -> LayersLoaded | failures.Failure:
        """Make the engine hold other layers.

        :param fence: fencing number; an engine may refuse lower ones than
            it has seen
        """
        body = {'fence': fence, **msgspec.to_builtins(layers)}
        response = self._call('/v1/orders', body, LOAD_TIMEOUT_SECONDS)
        if isinstance(response, failures.Failure):
            return response
        return LayersLoaded()

    def status(self) -> Status | failures.Failure:
        """Ask what the engine holds."""
        response = self._call('/v1/status', None, CALL_TIMEOUT_SECONDS)
        if isinstance(response, failures.Failure):
            return response
        return msgspec.json.decode(response.data, type=Status)

    def cache_events(
        self, epoch: str, after: int
    ) -> CacheEvents | failures.Failure:
        """Ask for events later than a number, of an epoch.

        Of another epoch the engine tells all that it still knows.
        """
        body = {'epoch': epoch, 'after': after}
        response = self._call('/v1/cache-events', body, CALL_TIMEOUT_SECONDS)
        if isinstance(response, failures.Failure):
            return response
        return msgspec.json.decode(response.data, type=CacheEvents)

    def _call(
        self, path: str, body: object, timeout_seconds: float
    ) -> urllib3.BaseHTTPResponse | failures.Failure:
        try:
            response = self._pool.request(
                'POST',
                self._url + path,
                body=msgspec.json.encode(body),
                timeout=timeout_seconds,
                retries=False,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return self._failure(
                failures.Reason.ENGINE_LOST,
                path,
                str(error),
                outcomes.Outcome.NOT_RUN,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return self._failure(failures.Reason.ENGINE_LOST, path, str(error))
        if response.status != HTTP_OK:
            detail = f'status {response.status}: {response.data[:200]!r}'
            return self._failure(failures.Reason.ENGINE_REFUSED, path, detail)
        return response

    def _failure(
        self,
        reason: failures.Reason,
        path: str,
        detail: str,
        outcome: outcomes.Outcome = outcomes.Outcome.UNKNOWN,
    ) -> failures.Failure:
        return failures.Failure(
            reason, f'engine{path}', self._url, detail, outcome
        )
