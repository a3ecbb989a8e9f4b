"""Chat requests of callers over HTTP."""

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
    """Who asks.

    Parameters
    ----------
    link
        The caller's connection.
    notes
        Notes a refusal in the middle of an answer.

    """

    link: CallerLink
    notes: RefusalReporter


def answer_chat(
    req: HttpRequest,
    organisation: Organisation,
    parts: CallerParts,
    deadline_s: float,
    caller: ChatCaller,
) -> Result[HttpResponse, Refusal]:
    """Answer a chat request.

    Parameters
    ----------
    req
        The request.
    organisation
        Whose key it came with.
    parts
        Parts of callers' tasks.
    deadline_s
        Seconds that the caller waits for the first token.
    caller
        Who asks.

    """
    parsed = chat_bodies.parse_chat(req.body)
    if isinstance(parsed, Failure):
        message = parsed.failure()
        return Failure(req.refuse(RefusalCode.MALFORMED, message))
    chat = parsed.unwrap()
    asked = chat.request(req.request, organisation.name, deadline_s)
    task = CallerTask(parts, asked, chat.upstream, caller.link)
    if chat.stream:
        return _streamed(asked, task, caller.notes)
    return _whole(asked, task)


def _whole(
    asked: ModelRequest,
    task: CallerTask,
) -> Result[HttpResponse, Refusal]:
    texts: list[str] = []
    for sent in task.items():
        if isinstance(sent, Refusal):
            return Failure(sent)
        if isinstance(sent, Token):
            texts.append(text_of(sent))
    document = chat_bodies.completion_document(
        asked.request, asked.model, texts
    )
    body = json.dumps(document).encode()
    headers = request_headers(asked.request)
    return Success(HttpResponse('200 OK', body, headers=headers))


def _streamed(
    asked: ModelRequest,
    task: CallerTask,
    notes: RefusalReporter,
) -> Result[HttpResponse, Refusal]:
    """Return the stream, or the refusal that came before any token."""
    sent = task.items()
    first = next(sent)
    if isinstance(first, Refusal):
        sent.close()
        return Failure(first)
    headers = (
        *request_headers(asked.request),
        Header('Cache-Control', 'no-cache'),
    )
    body = _events(asked, notes, first, sent)
    return Success(HttpResponse('200 OK', body, 'text/event-stream', headers))


def _events(
    asked: ModelRequest,
    notes: RefusalReporter,
    first: CallerItem,
    rest: Generator[CallerItem, None, None],
) -> Generator[bytes, None, None]:
    # The server closes this when the caller has left; the caller's task has
    # to hear of it in the same thread.
    try:  # noqa: WPS501
        for sent in chain((first,), rest):
            if isinstance(sent, Refusal):
                notes.report(sent)
            yield _encode(asked.request, asked.model, sent)
    finally:
        rest.close()


def _encode(request: RequestId, model: str, sent: CallerItem) -> bytes:
    match sent:
        case Token(event=event) if event:
            return chat_bodies.encode_event(event)
        case Token():
            return chat_bodies.encode_token(request, model, sent)
        case AnswerCompleted():
            return chat_bodies.encode_finish(request, model)
        case Refusal():
            return chat_bodies.encode_event(encode_refusal(sent))
