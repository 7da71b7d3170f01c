"""Reads and writes the platform's headers of requests and replies."""

from collections.abc import Callable

from burdockmast.base import ids
from burdockmast.gateway import backends
from burdockmast.gateway import interfaces
from burdockmast.platform import numbers

REQUEST_ID = 'Burdockmast-Request-Id'
DEADLINE = 'Burdockmast-Deadline-Ms'
API_KEY = 'Burdockmast-Key'
# Name of the caller's organisation; sent to backend servers.
ORGANISATION = 'Burdockmast-Tenant'
EXPECTED_SERVER = 'Burdockmast-Expect-Instance'
# 0 to 9; 0 is admitted first.
PRIORITY = 'Burdockmast-Request-Priority'
# "PROMPT,ANSWER": tokens of the prompt and the limit for the answer.
TOKEN_COUNTS = 'Burdockmast-Token-Counts'
LENGTH_HINT = 'Burdockmast-Length-Hint'
# Despite its name, lists the parts of the prompt: "ID:TOKENS", separated by
# commas.
PROMPT_PARTS = 'Burdockmast-Prefix-Hash'
# Most parts of a prompt that are read.
MAX_PROMPT_PARTS = 32
# Despite its name, lists the stages of a path: "IP:PORT=FROM-TO", separated by
# commas.
PATH = 'Burdockmast-Hop-Count'
LAST_EVENT_ID = 'Last-Event-Id'
# The backend server's signature of its reply.
SIGNATURE = 'Burdockmast-Response-Seal'
NOT_RUN = 'Burdockmast-Not-Executed'
# Requests a second that the server accepts from all gateways together.
LIMIT = 'Server-Limit'
# The server is about to end, if the value is 1.
LEAVING = 'Server-Leaving'
# In refusals: seconds for which a server wants no requests from this gateway.
REST = 'Retry-After'
# Address of the server that caused a refusal.
REFUSED_BY = 'At-Server'

MS_PER_SECOND = 1000.0
# Digits of the largest number of 64 bits; a UUID as text; an id of 16 digits,
# a colon, six digits of tokens and a comma.
_NUMBER_BYTES = 20
_ID_BYTES = 36
_PROMPT_PART_BYTES = 24
# Headers that apply to one connection, so they are not forwarded.
_CONNECTION_HEADERS = frozenset(
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
# Callers' headers that are not forwarded: the API key stays in the gateway,
# and the gateway sets the others itself.
_DROPPED_CALLER_HEADERS = frozenset(
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

Headers = tuple[tuple[str, str], ...]


def head_bytes(host: str, api_key: str) -> int:
    """Return the size of a request's headers if it has all of the platform's.

    Values that vary have the largest usual size.
    """
    value_bytes_by_name = {
        'Host': len(host.encode()),
        REQUEST_ID: _ID_BYTES,
        DEADLINE: _NUMBER_BYTES,
        API_KEY: len(api_key.encode()),
        TOKEN_COUNTS: 2 * _NUMBER_BYTES + 1,
        LENGTH_HINT: _NUMBER_BYTES,
        PROMPT_PARTS: MAX_PROMPT_PARTS * _PROMPT_PART_BYTES,
        LAST_EVENT_ID: _NUMBER_BYTES,
    }
    return sum(
        len(f'{name}: \r\n') + value_bytes
        for name, value_bytes in value_bytes_by_name.items()
    )


class HeaderCodec:
    """Reads and writes the headers that the platform defines."""

    def read_request(
        self, method: str, target: str, headers: Headers
    ) -> interfaces.CallerRequest:
        """Read the head of a caller's request."""
        value_by_name = {name.lower(): value for name, value in headers}
        unreadable: list[str] = []
        timeout_ms = _read_number(
            value_by_name, DEADLINE, numbers.parse_decimal, unreadable
        )
        prompt_tokens, answer_tokens = _read_token_counts(
            value_by_name, unreadable
        )
        length_hint = _read_number(
            value_by_name, LENGTH_HINT, numbers.parse_whole, unreadable
        )
        return interfaces.CallerRequest(
            id=ids.RequestId(value_by_name.get(REQUEST_ID.lower(), '')),
            method=method,
            target=target,
            path=target.partition('?')[0],
            host=value_by_name.get('host', ''),
            api_key=value_by_name.get(API_KEY.lower(), ''),
            timeout_seconds=(
                None if timeout_ms is None else timeout_ms / MS_PER_SECOND
            ),
            prompt_tokens=prompt_tokens,
            max_answer_tokens=answer_tokens,
            length_hint=length_hint or 0,
            last_event_id=_event_id(value_by_name.get(LAST_EVENT_ID.lower())),
            headers=_forwarded_headers(
                headers, value_by_name, _DROPPED_CALLER_HEADERS
            ),
            body=b'',
            prompt_parts=_parse_prompt_parts(
                value_by_name.get(PROMPT_PARTS.lower(), '')
            ),
            unreadable_headers=tuple(unreadable),
            invalid_deadline=(
                value_by_name[DEADLINE.lower()]
                if DEADLINE in unreadable
                else None
            ),
        )

    def backend_headers(
        self, request: interfaces.CallerRequest, attempt: interfaces.Attempt
    ) -> list[tuple[str, str]]:
        """Return the headers of a request to a backend server."""
        timeout_ms = max(1, int(attempt.timeout_seconds * MS_PER_SECOND))
        sent = [
            *request.headers,
            (DEADLINE, str(timeout_ms)),
            (EXPECTED_SERVER, attempt.server.id),
        ]
        if attempt.organisation:
            sent.append((ORGANISATION, attempt.organisation))
        if attempt.path:
            sent.append((PATH, format_path(attempt.path)))
            sent.append((PRIORITY, str(attempt.priority)))
        if attempt.last_event_id is not None:
            sent.append((LAST_EVENT_ID, attempt.last_event_id))
        return sent

    def read_reply(
        self, headers: list[tuple[str, str]]
    ) -> interfaces.ReplyMetadata:
        """Read the metadata of a backend server's reply."""
        value_by_name = {name.lower(): value for name, value in headers}
        unreadable: list[str] = []
        limit = _read_number(
            value_by_name, LIMIT, numbers.parse_decimal, unreadable
        )
        rest_seconds = _read_number(
            value_by_name, REST, numbers.parse_decimal, unreadable
        )
        return interfaces.ReplyMetadata(
            request=value_by_name.get(REQUEST_ID.lower(), ''),
            is_signed=SIGNATURE.lower() in value_by_name,
            is_not_run=NOT_RUN.lower() in value_by_name,
            refused_by=ids.Address(value_by_name.get(REFUSED_BY.lower(), '')),
            is_encoded='content-encoding' in value_by_name,
            limit=limit,
            rest_seconds=rest_seconds,
            is_leaving=value_by_name.get(LEAVING.lower(), '').strip() == '1',
            is_limit_unreadable=LIMIT in unreadable,
            is_rest_unreadable=REST in unreadable,
        )

    def caller_headers(
        self, headers: list[tuple[str, str]]
    ) -> list[tuple[str, str]]:
        """Return the headers of a reply to the caller."""
        value_by_name = {name.lower(): value for name, value in headers}
        return list(_forwarded_headers(headers, value_by_name, frozenset()))


def format_path(path: tuple[backends.Stage, ...]) -> str:
    """Return a path in the format of the header ``PATH``."""
    return ','.join(
        f'{stage.server.address}={stage.first}-{stage.end}' for stage in path
    )


def _forwarded_headers(
    headers: list[tuple[str, str]] | Headers,
    value_by_name: dict[str, str],
    dropped: frozenset[str],
) -> Headers:
    connection_options = {
        name.strip().lower()
        for name in value_by_name.get('connection', '').split(',')
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _CONNECTION_HEADERS
        and name.lower() not in connection_options
        and name.lower() not in dropped
    )


def _parse_prompt_parts(text: str) -> tuple[ids.Fingerprint, ...]:
    """Return the ids of all parts but the last, without repetitions."""
    parts = text.split(',', MAX_PROMPT_PARTS)[:-1]
    names = (part.partition(':')[0].strip().lower() for part in parts)
    return tuple(dict.fromkeys(ids.Fingerprint(n) for n in names if n))


def _event_id(text: str | None) -> ids.EventId | None:
    """Return an event's id as it was sent, None if there is none."""
    return ids.EventId(text.strip()) if text and text.strip() else None


def _read_number(
    value_by_name: dict[str, str],
    name: str,
    parse: Callable[[str], float | None],
    unreadable: list[str],
) -> float | None:
    """Return a header's number, None if it is absent or unreadable.

    :param unreadable: gets the name of a header that holds no number
    """
    text = value_by_name.get(name.lower())
    if text is None:
        return None
    number = parse(text)
    if number is None:
        unreadable.append(name)
    return number


def _read_token_counts(
    value_by_name: dict[str, str], unreadable: list[str]
) -> tuple[int, int]:
    """Return the tokens of the prompt and of the answer, 0 if absent.

    :param unreadable: gets the name of the header if it holds no numbers
    """
    text = value_by_name.get(TOKEN_COUNTS.lower())
    if text is None:
        return 0, 0
    prompt, _, answer = text.partition(',')
    prompt_tokens = numbers.parse_whole(prompt or '0')
    answer_tokens = numbers.parse_whole(answer or '0')
    if prompt_tokens is None or answer_tokens is None:
        unreadable.append(TOKEN_COUNTS)
    return prompt_tokens or 0, answer_tokens or 0
