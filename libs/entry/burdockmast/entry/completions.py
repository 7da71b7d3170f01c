"""Bodies of chat completion requests and answers.

The fields below are the supported part of the common chat completions API.
Unknown fields are ignored, since clients send many.
"""

import hashlib
import time
from typing import Annotated
from typing import Literal

import msgspec

from burdockmast.base import failures
from burdockmast.base import ids

DEFAULT_MAX_TOKENS = 128
MAX_TOKENS = 8192
FINGERPRINT_BYTES = 12


class ChatMessage(msgspec.Struct):
    """One message of a chat."""

    role: Literal['system', 'developer', 'user', 'assistant']
    content: str


class ChatRequest(msgspec.Struct):
    """Body of a request for an answer.

    ``prompt`` holds token ids; if it is given, ``messages`` is ignored.
    """

    model: str
    messages: list[ChatMessage] = []
    prompt: list[Annotated[int, msgspec.Meta(ge=0, lt=2**32)]] = []
    stream: bool = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] | None = None
    max_completion_tokens: (
        Annotated[int, msgspec.Meta(ge=1, le=MAX_TOKENS)] | None
    ) = None

    @property
    def token_limit(self) -> int:
        """Largest number of tokens that the answer may have."""
        return (
            self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        )

    def prompt_tokens(self) -> tuple[int, ...]:
        """Return the prompt, or the tokenized chat if there is none."""
        if self.prompt:
            return tuple(self.prompt)
        return tokenize(self.messages)


def parse(body: bytes) -> ChatRequest | failures.Failure:
    """Decode a body; a failure names the field and the allowed values."""
    try:
        request = msgspec.json.decode(body, type=ChatRequest)
    except msgspec.DecodeError as error:
        return _bad_body(str(error))
    if not request.messages and not request.prompt:
        return _bad_body('`messages` or `prompt` must not be empty')
    return request


def tokenize(messages: list[ChatMessage]) -> tuple[int, ...]:
    """Return a chat as byte-level tokens, one per byte of its UTF-8 text."""
    text = ''.join(f'{m.role}: {m.content}\n' for m in messages)
    return tuple(text.encode())


def fingerprint_of(model: str, tokens: tuple[int, ...]) -> ids.Fingerprint:
    """Return a hash that is the same for equal requests."""
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(model.encode())
    digest.update(','.join(map(str, tokens)).encode())
    return ids.Fingerprint(digest.hexdigest())


class ChunkWriter:
    """Writes the server-sent events of one answer."""

    def __init__(self, request_id: ids.RequestId, model: str):
        """Encode the fields that all chunks share."""
        shared_fields = msgspec.json.encode(
            {
                'id': request_id,
                'object': 'chat.completion.chunk',
                'created': int(time.time()),
                'model': model,
            }
        )
        self._chunk_prefix = (
            b'data: '
            + shared_fields[:-1]
            + b',"choices":[{"index":0,"delta":{"content":"'
        )
        self._chunk_suffix = b'"},"finish_reason":null}]}\n\n'
        self._shared_fields = shared_fields

    def token_event(self, token: int) -> bytes:
        """Return the event for one token."""
        return b'%s%d %s' % (self._chunk_prefix, token, self._chunk_suffix)

    def end_events(self, count: int) -> bytes:
        """Return the events that end a complete answer of ``count`` tokens."""
        tail = (
            ',"choices":[{"index":0,"delta":{},"finish_reason":"length"}],'
            f'"usage":{{"completion_tokens":{count}}}}}\n\n'
        )
        return (
            b'data: '
            + self._shared_fields[:-1]
            + tail.encode()
            + b'data: [DONE]\n\n'
        )


def completion_body(
    request_id: ids.RequestId, model: str, prompt: int, tokens: list[int]
) -> bytes:
    """Return the body of an answer that is not streamed."""
    return msgspec.json.encode(
        {
            'id': request_id,
            'object': 'chat.completion',
            'created': int(time.time()),
            'model': model,
            'choices': [
                {
                    'index': 0,
                    'message': {
                        'role': 'assistant',
                        'content': ''.join(f'{token} ' for token in tokens),
                    },
                    'finish_reason': 'length',
                }
            ],
            'usage': {
                'prompt_tokens': prompt,
                'completion_tokens': len(tokens),
                'total_tokens': prompt + len(tokens),
            },
        }
    )


def _bad_body(detail: str) -> failures.Failure:
    return failures.Failure(
        failures.Reason.BAD_REQUEST, 'request.body', detail=detail
    )
