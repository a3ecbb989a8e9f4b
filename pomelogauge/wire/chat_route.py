"""Serves callers' chat requests over HTTP, streamed or as one document."""

import json
from collections.abc import Generator
from dataclasses import dataclass
from itertools import chain

from returns.result import Failure, Result, Success

from ..engines.protocols import Token
from ..model.ids import RequestId
from ..model.manifest import Organisation
from ..model.request import ModelRequest, Refusal, RefusalCode
from ..tasks.caller_link import CallerLink
from ..tasks.caller_task import (
    AnswerCompleted,
    CallerItem,
    CallerParts,
    CallerTask,
)
from . import chat_bodies
from .chat_events import text_of
from .http_requests import HttpRequest
from .http_responses import (
    Header,
    HttpResponse,
    encode_refusal,
    request_headers,
)
from .refusal_reporter import RefusalReporter


@dataclass(frozen=True)
class ChatCaller:
    """The caller's side of one chat request.

    Parameters
    ----------
    link
        Connection of the caller, watched for its end.
    refusals
        Reports a refusal in the middle of a stream.

    """

    link: CallerLink
    refusals: RefusalReporter


def answer_chat(
    req: HttpRequest,
    organisation: Organisation,
    parts: CallerParts,
    deadline_s: float,
    caller: ChatCaller,
) -> Result[HttpResponse, Refusal]:
    """Answer a chat request in the calling thread.

    Parameters
    ----------
    req
        Request whose body holds the chat.
    organisation
        Organisation that the caller's key belongs to.
    parts
        Collaborators of the task that serves the request.
    deadline_s
        Seconds until the first token; then the request is refused.
    caller
        The caller's connection and the reporter of refusals.

    Returns
    -------
    Result
        The response, or the refusal where no token has been sent yet. A
        later refusal ends the stream as an event.

    """
    parsed = chat_bodies.parse_chat(req.body)
    if isinstance(parsed, Failure):
        message = parsed.failure()
        return Failure(req.refuse(RefusalCode.MALFORMED, message))
    chat = parsed.unwrap()
    request = chat.request(req.request, organisation.name, deadline_s)
    task = CallerTask(parts, request, chat.upstream, caller.link)
    if chat.stream:
        return _stream(request, task, caller.refusals)
    return _complete(request, task)


def _complete(
    request: ModelRequest,
    task: CallerTask,
) -> Result[HttpResponse, Refusal]:
    texts: list[str] = []
    for part in task.items():
        if isinstance(part, Refusal):
            return Failure(part)
        if isinstance(part, Token):
            texts.append(text_of(part))
    document = chat_bodies.completion_document(
        request.request, request.model, texts
    )
    body = json.dumps(document).encode()
    headers = request_headers(request.request)
    return Success(HttpResponse('200 OK', body, headers=headers))


def _stream(
    request: ModelRequest,
    task: CallerTask,
    refusals: RefusalReporter,
) -> Result[HttpResponse, Refusal]:
    """Return the stream, or the refusal that came before any token."""
    parts = task.items()
    first = next(parts)
    if isinstance(first, Refusal):
        parts.close()
        return Failure(first)
    headers = (
        *request_headers(request.request),
        Header('Cache-Control', 'no-cache'),
    )
    body = _events(request, refusals, first, parts)
    return Success(HttpResponse('200 OK', body, 'text/event-stream', headers))


def _events(
    request: ModelRequest,
    refusals: RefusalReporter,
    first: CallerItem,
    rest: Generator[CallerItem, None, None],
) -> Generator[bytes, None, None]:
    # The server closes this generator when the caller has disconnected;
    # closing the inner one ends the caller's task in the same thread.
    try:  # noqa: WPS501
        for part in chain((first,), rest):
            if isinstance(part, Refusal):
                refusals.report(part)
            yield _encode(request.request, request.model, part)
    finally:
        rest.close()


def _encode(request: RequestId, model: str, part: CallerItem) -> bytes:
    match part:
        case Token(event=event) if event:
            return chat_bodies.encode_event(event)
        case Token():
            return chat_bodies.encode_token(request, model, part)
        case AnswerCompleted():
            return chat_bodies.encode_finish(request, model)
        case Refusal():
            return chat_bodies.encode_event(encode_refusal(part))
