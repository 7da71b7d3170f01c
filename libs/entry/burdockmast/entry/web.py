"""The WSGI application that serves callers."""

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
from burdockmast.entry import refusals
from burdockmast.entry import request_parser
from burdockmast.entry import services
from burdockmast.limits import queues
from burdockmast.limits import retry_schedule
from burdockmast.node import node

# Only one pause in this many items is timed, since an entry relays thousands
# of tokens a second.
ITEMS_PER_PAUSE_SAMPLE = 16
STREAM_TYPE = 'text/event-stream'
JSON_TYPE = 'application/json'
Body = Iterable[bytes]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CountedBody:
    """A response body that counts as a running request until it is closed."""

    def __init__(self, body: Body, application: 'Application'):
        """Wrap a body; the server closes it even if the caller disconnects."""
        self._body = body
        self._items = iter(body)
        self._application = application

    def __iter__(self) -> 'CountedBody':
        """Return the iterator itself."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk."""
        return next(self._items)

    def close(self) -> None:
        """Count the request as ended and close the wrapped body."""
        if self._application:
            self._application.running_count -= 1
            self._application = None
        if hasattr(self._body, 'close'):
            self._body.close()


class Application:
    """Serves callers' requests to one entry."""

    def __init__(
        self,
        process: node.Node,
        model_answers: answers.Answers,
        service_client: services.ServiceClient,
        default_deadline_seconds: float,
        max_body_bytes: int,
    ):
        """Create an application.

        :param default_deadline_seconds: deadline of requests that give none
        :param max_body_bytes: largest body of a request
        """
        self.is_draining = False
        self.running_count = 0
        self._follower = process.follower
        self._answers = model_answers
        self._service_client = service_client
        self._metrics = process.metrics
        self._events = process.events
        self._request_parser = request_parser.RequestParser(
            process.follower, default_deadline_seconds, max_body_bytes
        )
        self._random = random.Random()

    def __call__(self, environ: dict, start_response: StartResponse) -> Body:
        """Serve one request."""
        if self.is_draining:
            start_response = _with_connection_close(start_response)
        self.running_count += 1
        try:
            body = self._route(environ, start_response)
        except BaseException:
            self.running_count -= 1
            raise
        return CountedBody(body, self)

    def _route(self, environ: dict, start_response: StartResponse) -> Body:
        path = environ['PATH_INFO']
        request_id = ids.RequestId(ids.new_id())
        match path:
            case '/livez':
                return _respond(start_response, '200 OK', {'live': True})
            case '/readyz':
                return self._readiness(start_response)
            case '/v1/models':
                return self._models(start_response)
            case '/v1/chat/completions' | '/v1/completions':
                return self._serve_answer(environ, start_response, request_id)
        if path.startswith(request_parser.SERVICES_PREFIX):
            return self._serve_call(environ, start_response, request_id)
        failure = failures.Failure(
            failures.Reason.UNKNOWN_SERVICE,
            'request.path',
            detail=f'no such path {path}',
        )
        return self._refuse(start_response, request_id, failure)

    def _readiness(self, start_response: StartResponse) -> Body:
        state = {
            'ready': not self.is_draining and self._follower.version > 0,
            'version': self._follower.version,
            'preset': self._follower.configuration.in_force,
        }
        status = '200 OK' if state['ready'] else refusals.UNAVAILABLE_STATUS
        return _respond(start_response, status, state)

    def _models(self, start_response: StartResponse) -> Body:
        preset = self._follower.configuration.preset
        models = preset.models if preset else ()
        listing = {
            'object': 'list',
            'data': [{'id': m.id, 'object': 'model'} for m in models],
        }
        return _respond(start_response, '200 OK', listing)

    def _serve_answer(
        self,
        environ: dict,
        start_response: StartResponse,
        request_id: ids.RequestId,
    ) -> Body:
        if environ['REQUEST_METHOD'] != 'POST':
            failure = request_parser.bad_request('the method must be POST')
            return self._refuse(start_response, request_id, failure)
        checked = self._request_parser.parse_answer(environ, request_id)
        if isinstance(checked, failures.Failure):
            return self._refuse(start_response, request_id, checked)
        request, chat = checked
        started_at = timers.now()
        items = self._answers.stream(request)
        # A failure before the first token can still set the HTTP status.
        first = next(items, None)
        if isinstance(first, failures.Failure):
            return self._refuse(start_response, request_id, first)
        self._metrics.count('answers.begun')
        self._metrics.timing('answer.first_token', timers.now() - started_at)
        items = self._measured(itertools.chain([first], items), started_at)
        if chat.stream:
            start_response(
                '200 OK',
                [
                    ('Content-Type', STREAM_TYPE),
                    ('Cache-Control', 'no-store'),
                    ('Burdockmast-Request-Id', request_id),
                ],
            )
            return self._stream_events(request, items)
        return self._json_answer(start_response, request, items)

    def _measured(
        self, items: Iterator[list[int] | failures.Failure], started_at: float
    ) -> Iterator[list[int] | failures.Failure]:
        """Yield the items unchanged; time the answer and some pauses."""
        for number, item in enumerate(items):
            match number % ITEMS_PER_PAUSE_SAMPLE:
                case 0:
                    paused_at = timers.now()
                case 1:
                    pause = timers.now() - paused_at
                    self._metrics.timing('answer.pause', pause)
            yield item
        self._metrics.timing('answer.whole', timers.now() - started_at)

    def _stream_events(
        self,
        request: attempts.Request,
        items: Iterator[list[int] | failures.Failure],
    ) -> Iterator[bytes]:
        writer = completions.ChunkWriter(request.id, request.model.id)
        count = 0
        for item in items:
            if isinstance(item, failures.Failure):
                item = self._jitter_retry_after(item)
                self._record_refusal(item, request.id)
                body = refusals.body_of(item, request.id)
                yield b'data: ' + body + b'\n\n'
                return
            count += len(item)
            yield b''.join(map(writer.token_event, item))
        yield writer.end_events(count)

    def _json_answer(
        self,
        start_response: StartResponse,
        request: attempts.Request,
        items: Iterator[list[int] | failures.Failure],
    ) -> Body:
        tokens: list[int] = []
        for item in items:
            if isinstance(item, failures.Failure):
                return self._refuse(start_response, request.id, item)
            tokens.extend(item)
        body = completions.completion_body(
            request.id, request.model.id, len(request.prompt), tokens
        )
        headers = [
            ('Content-Type', JSON_TYPE),
            ('Burdockmast-Request-Id', request.id),
        ]
        return _send(start_response, '200 OK', headers, body)

    def _serve_call(
        self,
        environ: dict,
        start_response: StartResponse,
        request_id: ids.RequestId,
    ) -> Body:
        call = self._request_parser.parse_call(environ, request_id)
        if isinstance(call, failures.Failure):
            return self._refuse(start_response, request_id, call)
        started_at = timers.now()
        result = self._service_client.call(call)
        self._metrics.timing('service.call', timers.now() - started_at)
        if isinstance(result, failures.Failure):
            return self._refuse(start_response, request_id, result)
        replayed = (
            [('Idempotent-Replayed', 'true')] if result.is_replay else []
        )
        headers = [
            *result.headers,
            ('Burdockmast-Outcome', outcomes.Outcome.RAN.value),
            ('Burdockmast-Request-Id', request_id),
            *replayed,
        ]
        status = f'{result.status} Answered'
        return _send(start_response, status, headers, result.body)

    def _refuse(
        self,
        start_response: StartResponse,
        request_id: ids.RequestId,
        failure: failures.Failure,
    ) -> Body:
        failure = self._jitter_retry_after(failure)
        self._record_refusal(failure, request_id)
        return _send(
            start_response,
            refusals.status_of(failure),
            refusals.headers_of(failure, request_id),
            refusals.body_of(failure, request_id),
        )

    def _jitter_retry_after(
        self, failure: failures.Failure
    ) -> failures.Failure:
        """Add jitter to ``retry_after``, unless the queue has done so."""
        seconds = failure.retry_after
        if seconds is None or failure.step == queues.WAIT_STEP:
            return failure
        later = retry_schedule.add_jitter(seconds, self._random)
        return dataclasses.replace(failure, retry_after=round(later, 3))

    def _record_refusal(
        self, failure: failures.Failure, request_id: ids.RequestId
    ) -> None:
        self._metrics.count(f'refusals.{failure.reason.value}')
        self._events.add(
            'request.refused',
            request_id,
            reason=failure.reason.value,
            step=failure.step,
            peer=failure.peer,
            detail=failure.detail,
            outcome=failure.outcome.value,
            retry_after=failure.retry_after,
            version=self._follower.version,
        )


def _with_connection_close(start_response: StartResponse) -> StartResponse:
    """Add the header that makes the caller open a new connection."""

    def start(status: str, headers: list[tuple[str, str]]) -> Any:
        return start_response(status, [*headers, ('Connection', 'close')])

    return start


def _respond(
    start_response: StartResponse, status: str, value: object
) -> Body:
    headers = [('Content-Type', JSON_TYPE)]
    return _send(start_response, status, headers, msgspec.json.encode(value))


def _send(
    start_response: StartResponse,
    status: str,
    headers: list[tuple[str, str]],
    body: bytes,
) -> Body:
    start_response(status, [*headers, ('Content-Length', str(len(body)))])
    return [body]
