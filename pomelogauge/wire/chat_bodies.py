"""Bodies of chat requests and of their answers."""

import json
import time
from dataclasses import dataclass
from hashlib import sha256

from returns.result import Failure, Result, Success

from ..engines.protocols import Token
from ..model.ids import ModelName, OrganisationName, RequestId
from ..model.request import ModelRequest

END_EVENT = b'data: [DONE]\n\n'

#: Messages whose text makes the prefix for affinity.
_PREFIX_MESSAGES = 2


@dataclass(frozen=True)
class ChatBody:
    """What the router needs of a chat body.

    Parameters
    ----------
    model
        Name that the caller asked for.
    stream
        Whether tokens are sent as they come.
    prefix
        Hash of the start of the prompt.
    upstream
        Body for the engine, which always streams.

    """

    model: ModelName
    stream: bool
    prefix: str
    upstream: bytes

    def request(
        self,
        request: RequestId,
        organisation: OrganisationName,
        deadline_s: float,
    ) -> ModelRequest:
        """Return the request without its encoding."""
        return ModelRequest(
            request, organisation, self.model, self.prefix, deadline_s
        )


def parse_chat(body: bytes) -> Result[ChatBody, str]:
    """Return the chat body, or what is wrong with it."""
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return Failure('the body is no JSON')
    if not isinstance(document, dict):
        return Failure('the body is no JSON object')
    fault = _fault(document)
    if fault:
        return Failure(fault)
    messages = document['messages']
    prefix = json.dumps(messages[:_PREFIX_MESSAGES], sort_keys=True)
    upstream = json.dumps({**document, 'stream': True}).encode()
    return Success(
        ChatBody(
            ModelName(document['model']),
            document.get('stream') is True,
            sha256(prefix.encode()).hexdigest(),
            upstream,
        )
    )


def encode_token(request: RequestId, model: str, token: Token) -> bytes:
    """Return the event of one token."""
    delta = {'content': token.text}
    return _event(
        {
            'id': request,
            'object': 'chat.completion.chunk',
            'created': int(time.time()),
            'model': model,
            'choices': [{'index': 0, 'delta': delta, 'finish_reason': None}],
        }
    )


def encode_finish(request: RequestId, model: str) -> bytes:
    """Return the last chunk and the explicit end."""
    choice = {'index': 0, 'delta': {}, 'finish_reason': 'stop'}
    chunk = _event(
        {
            'id': request,
            'object': 'chat.completion.chunk',
            'created': int(time.time()),
            'model': model,
            'choices': [choice],
        }
    )
    return chunk + END_EVENT


def encode_event(document: bytes) -> bytes:
    """Return the event that carries a JSON document."""
    return b'data: %b\n\n' % document


def completion_document(
    request: RequestId, model: str, texts: list[str]
) -> object:
    """Return the document of an answer that is not streamed."""
    message = {'role': 'assistant', 'content': ''.join(texts)}
    choice = {'index': 0, 'message': message, 'finish_reason': 'stop'}
    return {
        'id': request,
        'object': 'chat.completion',
        'created': int(time.time()),
        'model': model,
        'choices': [choice],
        'usage': {'completion_tokens': len(texts)},
    }


def _event(document: object) -> bytes:
    return encode_event(json.dumps(document).encode())


def _fault(document: dict[str, object]) -> str:
    model = document.get('model')
    if not isinstance(model, str) or not model:
        return 'model is no name'
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        return 'messages is no list of messages'
    if not all(isinstance(message, dict) for message in messages):
        return 'a message is no object'
    if not isinstance(document.get('stream', False), bool):
        return 'stream is neither true nor false'
    return ''
