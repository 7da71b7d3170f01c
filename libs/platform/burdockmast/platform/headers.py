"""Decodes and writes the headers of requests and replies."""

import re

from burdockmast.base import failures
from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces

REQUEST_ID = 'Burdockmast-Request-Id'
DEADLINE = 'Burdockmast-Deadline-Ms'
API_KEY = 'Burdockmast-Key'
# The name of the caller's organisation, as backend servers get it.
ORGANISATION = 'Burdockmast-Tenant'
EXPECTED_SERVER = 'Burdockmast-Expect-Instance'
# The urgency of a request, 0 to 9; 0 is first.
PRIORITY = 'Burdockmast-Request-Priority'
# "PROMPT,ANSWER": tokens of the prompt, and of the answer at most.
TOKEN_COUNTS = 'Burdockmast-Token-Counts'
LENGTH_HINT = 'Burdockmast-Length-Hint'
# Despite its name, the stages of a path: "IP:PORT=FROM-TO", comma-separated.
PATH = 'Burdockmast-Hop-Count'
LAST_EVENT_ID = 'Last-Event-Id'
# A server's signature of its answer.
SIGNATURE = 'Burdockmast-Response-Seal'
NOT_RUN = 'Burdockmast-Not-Executed'
# The server that caused a refusal.
REFUSED_BY = 'At-Server'

MS_PER_SECOND = 1000.0
# Headers that concern one connection only.
_OF_CONNECTION = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
    )
)
# Headers of requests that the gateway writes itself.
_OWN = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        API_KEY,
        ORGANISATION,
        EXPECTED_SERVER,
        PRIORITY,
        PATH,
        LAST_EVENT_ID,
    )
)
_NUMBER = re.compile(r'\d{1,12}')

Headers = tuple[tuple[str, str], ...]


class HeaderCodec:
    """The platform's names of headers."""

    def read_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> interfaces.CallerRequest | failures.Failure:
        """Read a caller's request."""
        value_by_name = {name.lower(): value for name, value in headers}
        request = value_by_name.get(REQUEST_ID.lower(), '')
        milliseconds = _number(value_by_name.get(DEADLINE.lower()))
        prompt, _, answer = value_by_name.get(
            TOKEN_COUNTS.lower(), ''
        ).partition(',')
        return interfaces.CallerRequest(
            id=ids.RequestId(request),
            method=method,
            target=target,
            path=target.partition('?')[0],
            host=value_by_name.get('host', ''),
            api_key=value_by_name.get(API_KEY.lower(), ''),
            timeout_seconds=(
                None if milliseconds is None else milliseconds / MS_PER_SECOND
            ),
            prompt_tokens=_number(prompt) or 0,
            max_answer_tokens=_number(answer) or 0,
            length_hint=_number(value_by_name.get(LENGTH_HINT.lower())) or 0,
            last_event_id=_number(value_by_name.get(LAST_EVENT_ID.lower())),
            headers=_passed_on(headers, value_by_name, _OWN),
            body=body,
        )

    def backend_headers(
        self, request: interfaces.CallerRequest, attempt: interfaces.Attempt
    ) -> list[tuple[str, str]]:
        """Return the headers of a request as it is sent on."""
        left = max(1, int(attempt.timeout_seconds * MS_PER_SECOND))
        found = [
            *request.headers,
            (DEADLINE, str(left)),
            (EXPECTED_SERVER, attempt.server.id),
        ]
        if attempt.organisation:
            found.append((ORGANISATION, attempt.organisation))
        if attempt.path:
            found.append((PATH, format_path(attempt.path)))
            found.append((PRIORITY, str(attempt.priority)))
        if attempt.last_event_id is not None:
            found.append((LAST_EVENT_ID, str(attempt.last_event_id)))
        return found

    def read_reply(
        self, headers: list[tuple[str, str]]
    ) -> interfaces.ReplyMetadata:
        """Read the head of a reply."""
        value_by_name = {name.lower(): value for name, value in headers}
        return interfaces.ReplyMetadata(
            request=value_by_name.get(REQUEST_ID.lower(), ''),
            is_signed=SIGNATURE.lower() in value_by_name,
            is_not_run=NOT_RUN.lower() in value_by_name,
            refused_by=ids.Address(value_by_name.get(REFUSED_BY.lower(), '')),
            is_encoded='content-encoding' in value_by_name,
        )

    def caller_headers(
        self, headers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the headers of a reply that the caller gets."""
        value_by_name = {name.lower(): value for name, value in headers}
        return list(_passed_on(headers, value_by_name, frozenset()))


def format_path(path: tuple[backends.Stage, ...]) -> str:
    """Return a path as the platform writes it."""
    return ','.join(
        f'{stage.server.address}={stage.first}-{stage.end}' for stage in path
    )


def _passed_on(
    headers: list[tuple[str, str]] | Headers,
    value_by_name: dict[str, str],
    left_out: frozenset[str],
) -> Headers:
    named = {
        name.strip().lower()
        for name in value_by_name.get('connection', '').split(',')
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _OF_CONNECTION
        and name.lower() not in named
        and name.lower() not in left_out
    )


def _number(text: str | None) -> int | None:
    if text is None or not _NUMBER.fullmatch(text.strip()):
        return None
    return int(text)
