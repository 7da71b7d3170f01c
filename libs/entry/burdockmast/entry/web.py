"""The WSGI application that callers talk to."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import random
from typing import Any

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.entry import answers
from burdockmast.entry import attempts
from burdockmast.entry import completions
from burdockmast.entry import reading
from burdockmast.entry import refusals
from burdockmast.entry import services
from burdockmast.limits import queues
from burdockmast.limits import retryschedule
from burdockmast.node import node

# One pause between tokens in as many is measured; an entry relays thousands a
# second.
MEASURED_PAUSES = 16
STREAM_TYPE = 'text/event-stream'
JSON_TYPE = 'application/json'
Body = Iterable[bytes]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Counted:
    """A response body that counts as a running request until it is closed."""

    def __init__(self, body: Body, application: 'Application'):
        """Wrap a body; the server closes it, also if the caller leaves."""
        self._body = body
        self._items = iter(body)
        self._application = application

    def __iter__(self) -> 'Counted':
        """Return the iterator itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next part."""
        return next(self._items)

    def close(self) -> None:
        """End the request."""
        if self._application:
            self._application.running -= 1
            self._application = None
        if hasattr(self._body, 'close'):
            self._body.close()


class Application:
    """Callers' requests to one entry."""

    def __init__(
        self,
        process: node.Node,
        given: answers.Answers,
        called: services.Services,
        default_seconds: float,
        body_bytes: int,
    ):
        """Create an application.

        :param default_seconds: deadline of requests that name none
        :param body_bytes: largest body of a request
        """
        self.leaving = False
        self.running = 0
        self._follower = process.follower
        self._answers = given
        self._services = called
        self._metrics = process.metrics
        self._timeline = process.events
        self._reader = reading.Reader(
            process.follower, default_seconds, body_bytes
        )
        self._random = random.Random()

    def __call__(self, environ: dict, start_response: StartResponse) -> Body:
        """Serve one request."""
        if self.leaving:
            start_response = _closing(start_response)
        self.running += 1
        try:
            body = self._route(environ, start_response)
        except BaseException:
            self.running -= 1
            raise
        return Counted(body, self)

    def _route(self, environ: dict, start_response: StartResponse) -> Body:
        path = environ['PATH_INFO']
        request = ids.RequestId(ids.new_id())
        match path:
            case '/livez':
                return _respond(start_response, '200 OK', {'live': True})
            case '/readyz':
                return self._ready(start_response)
            case '/v1/models':
                return self._models(start_response)
            case '/v1/chat/completions' | '/v1/completions':
                return self._complete(environ, start_response, request)
        if path.startswith(reading.SERVICES_PREFIX):
            return self._serve(environ, start_response, request)
        failure = failures.Failure(
            failures.Reason.UNKNOWN_SERVICE,
            'request.path',
            detail=f'no such path {path}',
        )
        return self._refuse(start_response, request, failure)

    def _ready(self, start_response: StartResponse) -> Body:
        state = {
            'ready': not self.leaving and self._follower.version > 0,
            'version': self._follower.version,
            'preset': self._follower.configuration.in_force,
        }
        status = '200 OK' if state['ready'] else refusals.OTHER_STATUS
        return _respond(start_response, status, state)

    def _models(self, start_response: StartResponse) -> Body:
        preset = self._follower.configuration.preset
        models = preset.models if preset else ()
        listing = {
            'object': 'list',
            'data': [{'id': m.id, 'object': 'model'} for m in models],
        }
        return _respond(start_response, '200 OK', listing)

    def _complete(
        self,
        environ: dict,
        start_response: StartResponse,
        request: ids.RequestId,
    ) -> Body:
        if environ['REQUEST_METHOD'] != 'POST':
            failure = reading.bad_request('only POST is served here')
            return self._refuse(start_response, request, failure)
        checked = self._reader.answer(environ, request)
        if isinstance(checked, failures.Failure):
            return self._refuse(start_response, request, checked)
        asked, chat = checked
        began = timers.now()
        items = self._answers.stream(asked)
        # A refusal before the first token can still have a status.
        first = next(items, None)
        if isinstance(first, failures.Failure):
            return self._refuse(start_response, request, first)
        self._metrics.count('answers.begun')
        self._metrics.timing('answer.first_token', timers.now() - began)
        items = self._timed(itertools.chain([first], items), began)
        if chat.stream:
            start_response(
                '200 OK',
                [
                    ('Content-Type', STREAM_TYPE),
                    ('Cache-Control', 'no-store'),
                    ('Burdockmast-Request-Id', request),
                ],
            )
            return self._events(asked, items)
        return self._whole(start_response, asked, items)

    def _timed(
        self, items: Iterator[list[int] | failures.Failure], began: float
    ) -> Iterator[list[int] | failures.Failure]:
        """Pass an answer on, and measure its whole time and some pauses."""
        for number, item in enumerate(items):
            match number % MEASURED_PAUSES:
                case 0:
                    paused_at = timers.now()
                case 1:
                    pause = timers.now() - paused_at
                    self._metrics.timing('answer.pause', pause)
            yield item
        self._metrics.timing('answer.whole', timers.now() - began)

    def _events(
        self,
        asked: attempts.Request,
        items: Iterator[list[int] | failures.Failure],
    ) -> Iterator[bytes]:
        writer = completions.ChunkWriter(asked.id, asked.model.id)
        count = 0
        for item in items:
            if isinstance(item, failures.Failure):
                item = self._spread(item)
                self._note_refusal(item, asked.id)
                body = refusals.body_of(item, asked.id)
                yield b'data: ' + body + b'\n\n'
                return
            count += len(item)
            yield b''.join(map(writer.token, item))
        yield writer.end(count)

    def _whole(
        self,
        start_response: StartResponse,
        asked: attempts.Request,
        items: Iterator[list[int] | failures.Failure],
    ) -> Body:
        tokens: list[int] = []
        for item in items:
            if isinstance(item, failures.Failure):
                return self._refuse(start_response, asked.id, item)
            tokens.extend(item)
        body = completions.whole(
            asked.id, asked.model.id, len(asked.prompt), tokens
        )
        found = [
            ('Content-Type', JSON_TYPE),
            ('Burdockmast-Request-Id', asked.id),
        ]
        return _send(start_response, '200 OK', found, body)

    def _serve(
        self,
        environ: dict,
        start_response: StartResponse,
        request: ids.RequestId,
    ) -> Body:
        call = self._reader.call(environ, request)
        if isinstance(call, failures.Failure):
            return self._refuse(start_response, request, call)
        began = timers.now()
        result = self._services.call(call)
        self._metrics.timing('service.call', timers.now() - began)
        if isinstance(result, failures.Failure):
            return self._refuse(start_response, request, result)
        replayed = (
            [('Idempotent-Replayed', 'true')] if result.is_replay else []
        )
        found = [
            *result.headers,
            ('Burdockmast-Outcome', outcomes.Outcome.RAN.value),
            ('Burdockmast-Request-Id', request),
            *replayed,
        ]
        status = f'{result.status} Answered'
        return _send(start_response, status, found, result.body)

    def _refuse(
        self,
        start_response: StartResponse,
        request: ids.RequestId,
        failure: failures.Failure,
    ) -> Body:
        failure = self._spread(failure)
        self._note_refusal(failure, request)
        return _send(
            start_response,
            refusals.status_of(failure),
            refusals.headers_of(failure, request),
            refusals.body_of(failure, request),
        )

    def _spread(self, failure: failures.Failure) -> failures.Failure:
        """Spread times to come back that the queue has not spread already."""
        seconds = failure.retry_after
        if seconds is None or failure.step == queues.WAIT_STEP:
            return failure
        later = retryschedule.add_jitter(seconds, self._random)
        return dataclasses.replace(failure, retry_after=round(later, 3))

    def _note_refusal(
        self, failure: failures.Failure, request: ids.RequestId
    ) -> None:
        self._metrics.count(f'refusals.{failure.reason.value}')
        self._timeline.add(
            'request.refused',
            request,
            reason=failure.reason.value,
            step=failure.step,
            peer=failure.peer,
            detail=failure.detail,
            outcome=failure.outcome.value,
            retry_after=failure.retry_after,
            version=self._follower.version,
        )


def _closing(start_response: StartResponse) -> StartResponse:
    """Make the caller's next request open a new connection."""

    def start(status: str, found: list[tuple[str, str]]) -> Any:
        return start_response(status, [*found, ('Connection', 'close')])

    return start


def _respond(
    start_response: StartResponse, status: str, value: object
) -> Body:
    found = [('Content-Type', JSON_TYPE)]
    return _send(start_response, status, found, msgspec.json.encode(value))


def _send(
    start_response: StartResponse,
    status: str,
    found: list[tuple[str, str]],
    body: bytes,
) -> Body:
    start_response(status, [*found, ('Content-Length', str(len(body)))])
    return [body]
