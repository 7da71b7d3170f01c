"""Client of the model engine that runs beside this process.

It implements the engine's published interface, JSON over HTTP.
"""

import dataclasses
from typing import TypeVar

import msgspec
import urllib3

from burdockmast.base import failures
from burdockmast.base import outcomes
from burdockmast.replies import connections

# Timeout of all calls except loading layers.
CALL_TIMEOUT_SECONDS = 10.0
LOAD_TIMEOUT_SECONDS = 600.0
HTTP_OK = 200
HTTP_CONFLICT = 409

T = TypeVar('T')


class OpenSequence(msgspec.Struct):
    """Open a sequence on layers ``first`` up to, not including, ``end``."""

    sequence: str
    model: str
    tokens: tuple[int, ...]
    first: int
    end: int


class Step(msgspec.Struct):
    """Run token ``index`` of a sequence.

    The first stage of a path passes the previous ``token``, later stages the
    ``state`` that the stage before returned.
    """

    sequence: str
    index: int
    state: int | None
    token: int | None


class Iteration(msgspec.Struct):
    """One call: sequences to open, steps to run, sequences to close."""

    open: list[OpenSequence]
    steps: list[Step]
    close: list[str]


class StepResult(msgspec.Struct):
    """Result of one step: a state for the next stage, or a token."""

    state: int | None = None
    token: int | None = None
    error: str = ''


class HeldLayers(msgspec.Struct):
    """Layers ``first`` up to, not including, ``end`` of a model."""

    model: str
    first: int
    end: int


class Status(msgspec.Struct):
    """Status of the engine; ``held`` is None if it holds no layers."""

    held: HeldLayers | None


class CacheEvent(msgspec.Struct):
    """A block of prompt tokens that was added to the cache or removed.

    :ivar number: consecutive number; skipped ones are lost events
    :ivar parent: the block before it, None for the first of a prompt
    :ivar tokens: the block's tokens; empty if it was removed
    """

    number: int
    block: int
    is_stored: bool
    parent: int | None = None
    tokens: tuple[int, ...] = ()


class CacheEvents(msgspec.Struct):
    """Events of the engine's prefix cache, with its dimensions.

    :ivar epoch: differs for each start of the engine
    :ivar blocks: capacity of the cache in blocks
    :ivar block_tokens: tokens per block
    """

    epoch: str
    blocks: int
    block_tokens: int
    events: list[CacheEvent]


class _Results(msgspec.Struct):
    results: list[StepResult]


@dataclasses.dataclass(frozen=True, slots=True)
class LayersLoaded:
    """The engine has loaded the layers that it was ordered to hold."""


class Client:
    """Client of one engine, with persistent connections."""

    def __init__(self, url: str):
        """Create a client.

        :param url: base of the engine's interface
        """
        self._url = url
        self._pool = connections.pool_manager(maxsize=4, retries=False)
        self._result_decoder = msgspec.json.Decoder(_Results)
        self._status_decoder = msgspec.json.Decoder(Status)
        self._event_decoder = msgspec.json.Decoder(CacheEvents)

    def iterate(
        self, iteration: Iteration
    ) -> list[StepResult] | failures.Failure:
        """Run one iteration; return results in the order of its steps."""
        path = '/v1/iterate'
        found = self._fetch(path, iteration, self._result_decoder)
        if isinstance(found, failures.Failure):
            return found
        if len(found.results) != len(iteration.steps):
            return self._failure(
                failures.Reason.PROTOCOL,
                path,
                f'{len(found.results)} results for {len(iteration.steps)} '
                'steps',
            )
        return found.results

    def load_layers(
        self, fence: int, layers: HeldLayers
    ) -> LayersLoaded | failures.Failure:
        """Order the engine to load layers in place of those it holds.

        :param fence: fencing number; an engine may refuse one that is lower
            than the highest it has seen
        """
        body = {'fence': fence, **msgspec.to_builtins(layers)}
        response = self._call('/v1/orders', body, LOAD_TIMEOUT_SECONDS)
        if isinstance(response, failures.Failure):
            return response
        return LayersLoaded()

    def status(self) -> Status | failures.Failure:
        """Return the engine's status."""
        return self._fetch('/v1/status', None, self._status_decoder)

    def cache_events(
        self, epoch: str, after: int
    ) -> CacheEvents | failures.Failure:
        """Return the cache events after a number.

        If the engine's epoch is another one, it returns all events it still
        has.
        """
        body = {'epoch': epoch, 'after': after}
        return self._fetch('/v1/cache-events', body, self._event_decoder)

    def _fetch(
        self, path: str, body: object, decoder: msgspec.json.Decoder[T]
    ) -> T | failures.Failure:
        """Call the engine and decode its reply."""
        response = self._call(path, body, CALL_TIMEOUT_SECONDS)
        if isinstance(response, failures.Failure):
            return response
        try:
            return decoder.decode(response.data)
        except (msgspec.DecodeError, RecursionError) as error:
            return self._failure(failures.Reason.PROTOCOL, path, str(error))

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
