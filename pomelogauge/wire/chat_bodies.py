"""JSON bodies of chat requests and responses in the OpenAI format."""

import json
import time
from dataclasses import dataclass
from hashlib import sha256

from returns.result import Failure, Result, Success

from ..engines.protocols import Token
from ..model.ids import ModelName, OrganisationName, RequestId
from ..model.request import ModelRequest

END_EVENT = b'data: [DONE]\n\n'

#: Messages at the start of a chat that are hashed for prefix affinity.
_PREFIX_MESSAGES = 2


@dataclass(frozen=True)
class ChatBody:
    """The parts of a chat request that the router reads.

    Parameters
    ----------
    model
        Model name as the caller sent it.
    stream
        Whether the caller wants tokens as server-sent events.
    prefix
        Hash of the first messages, for routing by prefix affinity.
    upstream
        Body to send to the engine, with ``stream`` set to true.

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
        """Return the request for the routing decisions.

        Parameters
        ----------
        request
            Identifier of the request.
        organisation
            Organisation that the caller's key belongs to.
        deadline_s
            Seconds until the first token; then the request is refused.

        """
        return ModelRequest(
            request, organisation, self.model, self.prefix, deadline_s
        )


def parse_chat(body: bytes) -> Result[ChatBody, str]:
    """Parse and check a chat request.

    Parameters
    ----------
    body
        Body as the caller sent it.

    Returns
    -------
    Result
        The parsed body, or a message that names the field at fault.

    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        return Failure('body is not valid JSON')
    if not isinstance(document, dict):
        return Failure('body must be a JSON object')
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
    """Return the server-sent event of one token."""
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
    """Return the chunk with the finish reason and the ``[DONE]`` event."""
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
    """Return the server-sent event that carries a JSON document."""
    return b'data: %b\n\n' % document


def completion_document(
    request: RequestId, model: str, texts: list[str]
) -> object:
    """Return the response to a request that is not streamed.

    Parameters
    ----------
    request
        Identifier of the request.
    model
        Model name as the caller sent it.
    texts
        Text of each token in order; their number is reported as usage.

    """
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
        return 'model: must be a non-empty string'
    messages = document.get('messages')
    if not isinstance(messages, list) or not messages:
        return 'messages: must be a non-empty list'
    if not all(isinstance(message, dict) for message in messages):
        return 'messages: each message must be an object'
    if not isinstance(document.get('stream', False), bool):
        return 'stream: must be true or false'
    return ''
