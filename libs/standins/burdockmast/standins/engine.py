"""Stand-in for a model engine that holds a range of layers."""

import collections
import os
import random
import time
from typing import Any

import eventlet
import eventlet.semaphore
import msgspec

from burdockmast.standins import tokens
from burdockmast.standins import web
from burdockmast.standins import weights

CRASH_STATUS = 70
# Prompt tokens of one block of the prefix cache.
BLOCK = 16
# Events of the cache that can still be asked for.
KEPT_EVENTS = 8192


class Costs(msgspec.Struct):
    """Time of one iteration, in microseconds, and memory, in layers.

    :ivar overhead_us: for each iteration
    :ivar layer_us: for each layer
    :ivar sequence_us: for each layer and sequence of the batch
    :ivar prefill_us: for each layer and prompt token that is not cached
    """

    overhead_us: float = 200.0
    layer_us: float = 50.0
    sequence_us: float = 1.0
    prefill_us: float = 0.2
    memory_layers: int = 64
    cache_blocks: int = 4096


class Sequence(msgspec.Struct):
    """KV cache of one sequence."""

    first: int
    end: int
    context: int
    next_index: int
    prefill: int
    crashes: bool


class CacheEvent(msgspec.Struct):
    """A block that came into the cache of prompts, or left it.

    :ivar at: monotonic seconds at which it did
    """

    number: int
    block: int
    is_stored: bool
    at: float
    parent: int | None = None
    tokens: list[int] = []


class CacheEventsWanted(msgspec.Struct):
    """A question for the events after a number."""

    epoch: str
    after: int


class Publishing(msgspec.Struct):
    """How the events of the cache are published.

    :ivar lag: seconds until an event shows
    :ivar loss: share of events that never do
    """

    lag: float = 0.0
    loss: float = 0.0
    seed: int = 1


class Open(msgspec.Struct):
    """Part of a call: prepare a sequence."""

    sequence: str
    model: str
    tokens: list[int]
    first: int
    end: int


class Step(msgspec.Struct):
    """Part of a call: run one token of a sequence through the layers.

    ``state`` comes from the stage before; a first stage gets ``token``
    instead, None for the first step.
    """

    sequence: str
    index: int
    state: int | None
    token: int | None


class Iteration(msgspec.Struct):
    """A call: what to run in one iteration."""

    open: list[Open]
    steps: list[Step]
    close: list[str]


class Order(msgspec.Struct):
    """An order to hold layers of a model, with a fencing number."""

    fence: int
    model: str
    first: int
    end: int


class Engine:
    """One engine; it runs one iteration at a time."""

    def __init__(
        self,
        costs: Costs,
        layers_by_model: dict[str, int],
        is_fenced: bool,
        loader: weights.Loader,
        publishing: Publishing,
    ):
        """Create an engine that holds nothing."""
        self._costs = costs
        self._layers_by_model = layers_by_model
        self._is_fenced = is_fenced
        self._loader = loader
        self._fence = 0
        self._held: Order | None = None
        self._sequence_by_id: dict[str, Sequence] = {}
        self._cached: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._cache_events: collections.deque[CacheEvent] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self._cache_event_count = 0
        self._publishing = publishing
        self._random = random.Random(publishing.seed)
        self._epoch = str(os.getpid())
        self._prompt_tokens = 0
        self._prefilled_tokens = 0
        self._busy = eventlet.semaphore.Semaphore()
        self._order_log: list[Order] = []
        self._steps_done = 0
        self._busy_seconds = 0.0

    def handle(self, environ: dict, body: bytes) -> web.Reply:
        """Serve one call."""
        match environ['PATH_INFO']:
            case '/v1/iterate':
                return self._iterate(msgspec.json.decode(body, type=Iteration))
            case '/v1/orders':
                return self._order(msgspec.json.decode(body, type=Order))
            case '/v1/status':
                return 200, self._status(), {}
            case '/v1/cache-events':
                wanted = msgspec.json.decode(body, type=CacheEventsWanted)
                return 200, self._published(wanted), {}
        return 404, {}, {}

    def _status(self) -> dict[str, Any]:
        return {
            'held': self._held,
            'fence': self._fence,
            'sequences': len(self._sequence_by_id),
            'orders': self._order_log,
            'steps': self._steps_done,
            'busy_seconds': self._busy_seconds,
            'prompt_tokens': self._prompt_tokens,
            'prefilled_tokens': self._prefilled_tokens,
        }

    def _order(self, order: Order) -> web.Reply:
        if self._is_fenced and order.fence < self._fence:
            return 409, {'fence': self._fence}, {}
        size = order.end - order.first
        if size > self._costs.memory_layers:
            return 409, {'error': f'{size} layers do not fit'}, {}
        for layer in self._missing(order):
            self._loader.load(order.model, layer)
        self._fence = max(self._fence, order.fence)
        self._held = order
        self._order_log.append(order)
        return 200, {}, {}

    def _missing(self, order: Order) -> list[int]:
        """Return the layers of an order that are not loaded yet."""
        held = self._held
        if not held or held.model != order.model:
            return list(range(order.first, order.end))
        return [
            layer
            for layer in range(order.first, order.end)
            if not held.first <= layer < held.end
        ]

    def _iterate(self, call: Iteration) -> web.Reply:
        with self._busy:
            for opened in call.open:
                self._open(opened)
            micros = self._iteration_us(call)
            results = [self._step(step) for step in call.steps]
            for sequence in call.close:
                self._sequence_by_id.pop(sequence, None)
            if call.steps:
                eventlet.sleep(micros / 1e6)
                self._busy_seconds += micros / 1e6
            return 200, {'results': results}, {}

    def _open(self, opened: Open) -> None:
        self._sequence_by_id[opened.sequence] = Sequence(
            opened.first,
            opened.end,
            tokens.context(opened.tokens),
            0,
            self._uncached(opened.tokens),
            tokens.CRASH_TOKEN in opened.tokens,
        )

    def _uncached(self, prompt: list[int]) -> int:
        """Return the tokens to prefill, and remember their blocks."""
        parent = None
        cached = 0
        is_prefix = True
        for at in range(0, len(prompt) - BLOCK + 1, BLOCK):
            block_tokens = prompt[at : at + BLOCK]
            block = tokens.context(block_tokens, parent or 1)
            is_prefix = is_prefix and block in self._cached
            if is_prefix:
                cached = at + BLOCK
            if block not in self._cached:
                self._note_cache(block, True, parent, block_tokens)
            self._cached[block] = None
            self._cached.move_to_end(block)
            parent = block
        while len(self._cached) > self._costs.cache_blocks:
            evicted, _ = self._cached.popitem(last=False)
            self._note_cache(evicted, False)
        self._prompt_tokens += len(prompt)
        self._prefilled_tokens += len(prompt) - cached
        return len(prompt) - cached

    def _note_cache(
        self,
        block: int,
        is_stored: bool,
        parent: int | None = None,
        block_tokens: list[int] | None = None,
    ) -> None:
        self._cache_event_count += 1
        if self._random.random() < self._publishing.loss:
            return
        self._cache_events.append(
            CacheEvent(
                self._cache_event_count,
                block,
                is_stored,
                time.monotonic(),
                parent,
                block_tokens or [],
            )
        )

    def _published(self, wanted: CacheEventsWanted) -> dict[str, Any]:
        after = wanted.after if wanted.epoch == self._epoch else 0
        latest = time.monotonic() - self._publishing.lag
        return {
            'epoch': self._epoch,
            'blocks': self._costs.cache_blocks,
            'block_tokens': BLOCK,
            'events': [
                event
                for event in self._cache_events
                if event.number > after and event.at <= latest
            ],
        }

    def _iteration_us(self, call: Iteration) -> float:
        costs = self._costs
        most_layers = 0
        work = 0.0
        for step in call.steps:
            sequence = self._sequence_by_id.get(step.sequence)
            if not sequence:
                continue
            layers = sequence.end - sequence.first
            most_layers = max(most_layers, layers)
            work += layers * costs.sequence_us
            work += layers * costs.prefill_us * sequence.prefill
            sequence.prefill = 0
        return costs.overhead_us + most_layers * costs.layer_us + work

    def _step(self, step: Step) -> dict[str, Any]:
        sequence = self._sequence_by_id.get(step.sequence)
        if not sequence:
            return {'error': 'unknown sequence'}
        if sequence.crashes:
            os._exit(CRASH_STATUS)
        if step.index != sequence.next_index:
            return {'error': f'index {step.index} is out of order'}
        sequence.next_index += 1
        self._steps_done += 1
        state = step.state
        if state is None:
            if step.token is not None:
                sequence.context = tokens.context(
                    [step.token], sequence.context
                )
            state = sequence.context
        held = self._held
        if not held or sequence.first < held.first or sequence.end > held.end:
            return {'error': 'layers are not loaded'}
        state = tokens.run_layers(state, sequence.first, sequence.end)
        if sequence.end == self._layers_by_model[held.model]:
            return {'token': tokens.sample(state)}
        return {'state': state}
