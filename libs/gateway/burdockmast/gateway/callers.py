"""The WSGI application that callers and the balancer talk to."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import random

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import logs
from burdockmast.base import metrics
from burdockmast.base import outcomes
from burdockmast.base import timers
from burdockmast.gateway import calls
from burdockmast.gateway import config
from burdockmast.gateway import interfaces
from burdockmast.gateway import jobs
from burdockmast.gateway import retries
from burdockmast.gateway import streams
from burdockmast.gateway import view
from burdockmast.gateway import watching
from burdockmast.limits import returns

LOG = logs.get('callers')

# Largest body until the configuration names a limit, in bytes.
DEFAULT_BODY_BYTES = 4 * 1024 * 1024
# Seconds for requests that name no deadline, up to their route's.
DEFAULT_SECONDS = 60.0
# Seconds until a caller may come back when this gateway can't serve it.
RETRY_SECONDS = 0.2
NO_ORGANISATION = ids.OrganisationId('')
StartResponse = Callable[[str, list[tuple[str, str]]], object]

PHRASE_BY_STATUS = {
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    413: 'Content Too Large',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


def status_of(failure: failures.Failure) -> int:
    """Return the status that tells a caller of a failure."""
    match failure.reason:
        case failures.Reason.BAD_REQUEST:
            return 400
        case failures.Reason.UNKNOWN_ORGANISATION:
            return 401
        case failures.Reason.UNKNOWN_SERVICE:
            return 404
        case failures.Reason.TOO_LARGE:
            return 413
    if failure.outcome is outcomes.Outcome.NOT_RUN:
        return 503
    if failure.reason is failures.Reason.DEADLINE:
        return 504
    return 502


class Application:
    """Callers' requests to one gateway."""

    def __init__(
        self,
        fleet: view.View,
        dialect: interfaces.HeaderCodec,
        plain: calls.Calls,
        streamed: streams.Streams,
        budget: retries.Budget,
        measures: metrics.Metrics,
        trusted_seconds: float,
        ready_seconds: float,
        source: random.Random,
    ):
        """Create an application.

        ``is_leaving`` tells the balancer and callers to go elsewhere;
        ``is_closed`` refuses what still comes.

        :param trusted_seconds: age of the configuration up to which keys
            that it names are accepted
        :param ready_seconds: age up to which the balancer may send callers
        """
        self.is_leaving = False
        self.is_closed = False
        self.running = 0
        self._view = fleet
        self._dialect = dialect
        self._plain = plain
        self._streamed = streamed
        self._budget = budget
        self._metrics = measures
        self._trusted_seconds = trusted_seconds
        self._ready_seconds = ready_seconds
        self._body_bytes = DEFAULT_BODY_BYTES
        self._random = source

    def is_ready(self) -> bool:
        """Tell whether the balancer is to send callers here."""
        return (
            not self.is_leaving
            and self._view.configuration is not None
            and self._view.configuration_age < self._ready_seconds
        )

    def __call__(
        self, environ: dict, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request."""
        began = timers.now()
        self.running += 1
        try:
            body = self._serve(environ, start_response, began)
            yield from body
        finally:
            self.running -= 1

    def _serve(
        self, environ: dict, start_response: StartResponse, began: float
    ) -> Iterator[bytes]:
        request = self._read(environ)
        if isinstance(request, failures.Failure):
            yield self._refuse(start_response, ids.RequestId(''), request)
            return
        job = self._job(request, began)
        if isinstance(job, failures.Failure):
            yield self._refuse(start_response, request.id, job)
            return
        self._budget.deposit(job.service.id)
        try:
            with watching.Watch(environ['eventlet.input'].get_socket()):
                yield from self._answer(job, start_response)
        except watching.CallerGone:
            self._metrics.count('callers.gone')
            LOG.info(
                'caller left',
                extra={
                    'request': job.id,
                    'seconds': round(timers.now() - began, 3),
                },
            )
            raise
        except streams.Cut as error:
            self._metrics.count('streams.cut')
            LOG.warning(
                'stream cut', extra={'request': job.id, 'reason': str(error)}
            )
            raise
        self._metrics.timing('request', timers.now() - began)

    def _read(
        self, environ: dict
    ) -> interfaces.CallerRequest | failures.Failure:
        target = environ['RAW_PATH_INFO']
        query = environ.get('QUERY_STRING')
        if query:
            target = f'{target}?{query}'
        try:
            # One byte over the limit is enough to know that it is exceeded.
            body = environ['wsgi.input'].read(self._body_bytes + 1)
        except (OSError, ValueError) as error:
            return failures.Failure(
                failures.Reason.BAD_REQUEST, 'request.body', detail=str(error)
            )
        return self._dialect.read_request(
            environ['REQUEST_METHOD'], target, environ['headers_raw'], body
        )

    def _job(
        self, request: interfaces.CallerRequest, began: float
    ) -> jobs.Job | failures.Failure:
        if self.is_closed:
            return failures.Failure(
                failures.Reason.LEAVING,
                'request.admit',
                detail='this process is stopping',
                retry_after=RETRY_SECONDS,
            )
        known = self._view.configuration
        if known is None:
            return _unready('no configuration is known yet')
        route = known.find_route(request.host, request.path)
        age = self._view.configuration_age
        if route is None:
            # A route that is new may not have arrived here.
            if age > self._trusted_seconds:
                return _unready(f'the configuration is {age:.1f} s old')
            return failures.Failure(
                failures.Reason.UNKNOWN_SERVICE,
                'request.route',
                detail=f'no route in version {known.version}',
            )
        organisation = config.Organisation(NO_ORGANISATION, None)
        if not route.is_public and known.organisation_by_api_key:
            if age > self._trusted_seconds:
                return _unready(f'the configuration is {age:.1f} s old')
            organisation = known.organisation_by_api_key.get(request.api_key)
            if organisation is None:
                return failures.Failure(
                    failures.Reason.UNKNOWN_ORGANISATION,
                    'request.key',
                    detail=f'the key is not in version {known.version}',
                )
        self._body_bytes = known.limits.max_body_bytes
        if len(request.body) > self._body_bytes:
            return failures.Failure(
                failures.Reason.TOO_LARGE,
                'request.body',
                detail=f'over {known.limits.max_body_bytes} bytes',
            )
        service = self._service(known, route)
        if service is None:
            return _unready(f'route {route.name} has no service')
        seconds = request.timeout_seconds
        if seconds is None:
            seconds = DEFAULT_SECONDS
        priority = organisation.priority
        return jobs.Job(
            request,
            route,
            service,
            organisation.id,
            route.priority if priority is None else priority,
            began,
            began + min(seconds, route.timeout_seconds),
            known.version,
        )

    def _service(
        self, known: config.Configuration, route: config.Route
    ) -> config.Service | None:
        services = list(route.weight_by_service)
        if not services:
            return None
        weights = list(route.weight_by_service.values())
        chosen = services[0]
        if len(services) > 1 and sum(weights) > 0:
            chosen = self._random.choices(services, weights)[0]
        return known.service_by_id.get(chosen, config.Service(chosen, None))

    def _answer(
        self, job: jobs.Job, start_response: StartResponse
    ) -> Iterator[bytes]:
        if not job.route.is_stream:
            result = self._plain.call(job)
            if isinstance(result, failures.Failure):
                yield self._refuse(start_response, job.id, result)
            else:
                yield self._pass_on(start_response, result)
            return
        for item in self._streamed.stream(job):
            match item:
                case failures.Failure():
                    yield self._refuse(start_response, job.id, item)
                case jobs.Reply(body=None):
                    self._start(start_response, item, item.headers)
                case jobs.Reply():
                    yield self._pass_on(start_response, item)
                case _:
                    yield item

    def _pass_on(
        self, start_response: StartResponse, reply: jobs.Reply
    ) -> bytes:
        length = ('Content-Length', str(len(reply.body)))
        self._start(start_response, reply, [*reply.headers, length])
        return reply.body

    def _start(
        self,
        start_response: StartResponse,
        reply: jobs.Reply,
        headers: list[tuple[str, str]],
    ) -> None:
        if self.is_leaving:
            headers = [*headers, ('Connection', 'close')]
        start_response(f'{reply.status} {reply.phrase}', headers)

    def _refuse(
        self,
        start_response: StartResponse,
        request: ids.RequestId,
        failure: failures.Failure,
    ) -> bytes:
        status = status_of(failure)
        self._metrics.count(f'refusals.{failure.reason.value}')
        headers = [('Content-Type', 'text/plain')]
        body = f'{failure}\n'.encode()
        after = None
        if status == 503:
            after = failure.retry_after or RETRY_SECONDS
            after = round(returns.spread(after, self._random), 3)
            headers.append(('Retry-After', str(after)))
        if self.is_leaving:
            headers.append(('Connection', 'close'))
        headers.append(('Content-Length', str(len(body))))
        LOG.info(
            'request refused',
            extra={
                'request': request,
                'status': status,
                'reason': failure.reason.value,
                'step': failure.step,
                'peer': failure.peer,
                'detail': failure.detail,
                'outcome': failure.outcome.value,
                'retry_after': after,
                'configuration_age': round(self._view.configuration_age, 3),
                'list_age': round(self._view.server_list_age, 3),
            },
        )
        start_response(f'{status} {PHRASE_BY_STATUS[status]}', headers)
        return body


def _unready(detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.STORE_UNAVAILABLE,
        'request.configuration',
        detail=detail,
        retry_after=RETRY_SECONDS,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class Readiness:
    """The WSGI application that the balancer asks."""

    application: Application

    def __call__(
        self, environ: dict, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer 200 while callers may be sent here."""
        is_ready = self.application.is_ready()
        status = '200 OK' if is_ready else '503 Service Unavailable'
        start_response(status, [('Content-Length', '0')])
        return [b'']
