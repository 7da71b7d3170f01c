"""Parses and validates callers' requests."""

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.base import timers
from burdockmast.claims import records
from burdockmast.entry import attempts
from burdockmast.entry import completions
from burdockmast.entry import headers
from burdockmast.entry import services
from burdockmast.fleet import follower

SERVICES_PREFIX = '/v1/services/'
# Headers that are forwarded to a plain service, by WSGI variable.
FORWARDED_HEADERS = {
    'CONTENT_TYPE': 'Content-Type',
    'HTTP_ACCEPT': 'Accept',
    'HTTP_IDEMPOTENCY_KEY': 'Idempotency-Key',
    'HTTP_BURDOCKMAST_ORGANISATION': 'Burdockmast-Organisation',
}


class RequestParser:
    """Parses WSGI requests into typed requests, or says what is wrong."""

    def __init__(
        self,
        configuration: follower.Follower,
        default_deadline_seconds: float,
        max_body_bytes: int,
    ):
        """Create a parser.

        :param default_deadline_seconds: deadline of requests that give none
        :param max_body_bytes: largest body of a request
        """
        self._follower = configuration
        self._default_deadline_seconds = default_deadline_seconds
        self._max_body_bytes = max_body_bytes

    def parse_answer(
        self, environ: dict, request_id: ids.RequestId
    ) -> tuple[attempts.Request, completions.ChatRequest] | failures.Failure:
        """Return a validated request for an answer and its decoded body."""
        declared = headers.parse(environ, self._default_deadline_seconds)
        if isinstance(declared, failures.Failure):
            return declared
        body = self._read_body(environ)
        if isinstance(body, failures.Failure):
            return body
        chat = completions.parse(body)
        if isinstance(chat, failures.Failure):
            return chat
        current = self._follower.configuration
        organisation = current.organisation(declared.organisation)
        if organisation is None:
            return _unknown_organisation(declared)
        model = current.model(ids.ModelId(chat.model))
        if model is None:
            return failures.Failure(
                failures.Reason.UNKNOWN_MODEL,
                'request.model',
                detail=f'preset {current.in_force} has no model {chat.model}',
            )
        tokens = chat.prompt_tokens()
        request = attempts.Request(
            request_id,
            organisation,
            declared.priority,
            timers.now() + declared.deadline_seconds,
            model,
            tokens,
            chat.token_limit,
            completions.fingerprint_of(chat.model, tokens),
        )
        return request, chat

    def parse_call(
        self, environ: dict, request_id: ids.RequestId
    ) -> services.Call | failures.Failure:
        """Return a validated call to a plain service."""
        declared = headers.parse(environ, self._default_deadline_seconds)
        if isinstance(declared, failures.Failure):
            return declared
        organisation = self._follower.configuration.organisation(
            declared.organisation
        )
        if organisation is None:
            return _unknown_organisation(declared)
        body = self._read_body(environ)
        if isinstance(body, failures.Failure):
            return body
        rest = environ['PATH_INFO'][len(SERVICES_PREFIX) :]
        name, _, path = rest.partition('/')
        service = ids.ServiceId(name)
        query = environ.get('QUERY_STRING')
        key = ''
        if declared.key:
            key = records.hash_key(
                declared.organisation, service, declared.key
            )
        return services.Call(
            request_id,
            service,
            environ['REQUEST_METHOD'],
            f'/{path}?{query}' if query else f'/{path}',
            tuple(
                (name, environ[variable])
                for variable, name in FORWARDED_HEADERS.items()
                if environ.get(variable)
            ),
            body,
            key,
            declared.is_idempotent,
            timers.now() + declared.deadline_seconds,
        )

    def _read_body(self, environ: dict) -> bytes | failures.Failure:
        length = environ.get('CONTENT_LENGTH') or ''
        if length and not length.isdigit():
            return bad_request(
                f'Content-Length: found {length!r}, expected digits'
            )
        if int(length or 0) > self._max_body_bytes:
            return _too_large(self._max_body_bytes)
        body = environ['wsgi.input'].read(self._max_body_bytes + 1)
        if len(body) > self._max_body_bytes:
            return _too_large(self._max_body_bytes)
        return body


def bad_request(detail: str) -> failures.Failure:
    """Return the failure for a malformed request."""
    return failures.Failure(
        failures.Reason.BAD_REQUEST, 'request.read', detail=detail
    )


def _too_large(limit: int) -> failures.Failure:
    return failures.Failure(
        failures.Reason.TOO_LARGE,
        'request.body',
        detail=f'the body is larger than {limit} bytes',
    )


def _unknown_organisation(declared: headers.Headers) -> failures.Failure:
    return failures.Failure(
        failures.Reason.UNKNOWN_ORGANISATION,
        'request.organisation',
        detail=f'unknown organisation {declared.organisation}',
    )
