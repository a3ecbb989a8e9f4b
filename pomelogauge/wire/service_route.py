"""Calls to plain services over HTTP."""

import json

from returns.result import Failure, Result, Success

from ..model.ids import CallName, ServiceName
from ..model.manifest import Configuration, Organisation
from ..model.request import Refusal, RefusalCode, ServiceRequest
from ..tasks.mailbox import Mailbox, Outbox
from ..tasks.non_idempotent_messages import KeyRequested
from ..tasks.service_call_task import ServiceCallParts, ServiceCallTask
from .http_requests import HttpRequest
from .http_responses import HttpResponse, json_response, request_headers

SERVICES_PATH = '/v1/services/'
#: Where callers get a key that works while the table service is down.
KEY_PATH = '/v1/idempotency-key'
#: Seconds for the answer of the task that mints keys.
MINT_TIMEOUT_S = 2.0
#: Longest idempotency key of a caller.
MAX_KEY_LENGTH = 256


def answer_call(
    req: HttpRequest,
    organisation: Organisation,
    parts: ServiceCallParts,
    configuration: Configuration,
) -> Result[HttpResponse, Refusal]:
    """Answer a call to a plain service.

    Parameters
    ----------
    req
        The request.
    organisation
        Whose key it came with.
    parts
        Parts of calls to plain services.
    configuration
        Configuration in force.

    """
    service, _, call = req.path.removeprefix(SERVICES_PATH).partition('/')
    if not service or not call:
        message = f'there is no {req.method} {req.path}'
        return Failure(req.refuse(RefusalCode.UNKNOWN_CALL, message))
    if len(req.idempotency_key) > MAX_KEY_LENGTH:
        message = f'the key is longer than {MAX_KEY_LENGTH} characters'
        return Failure(req.refuse(RefusalCode.MALFORMED, message))
    if not _is_json(req.body):
        message = 'the body is no JSON'
        return Failure(req.refuse(RefusalCode.MALFORMED, message))
    asked = ServiceRequest(
        req.request,
        organisation.name,
        ServiceName(service),
        CallName(call),
        req.idempotency_key,
    )
    task = ServiceCallTask(parts, asked, req.body)
    answered = task.run(configuration)
    if isinstance(answered, Failure):
        return answered
    answer = answered.unwrap()
    status = f'{answer.status} Answered'
    headers = request_headers(req.request)
    return Success(
        HttpResponse(status, answer.body, answer.media_type, headers)
    )


def answer_key(
    req: HttpRequest,
    organisation: Organisation,
    minted: Outbox[KeyRequested],
) -> Result[HttpResponse, Refusal]:
    """Answer with a new idempotency key.

    Parameters
    ----------
    req
        The request.
    organisation
        Who may use the key.
    minted
        Mints keys.

    """
    reply: Mailbox[str] = Mailbox()
    minted.post(KeyRequested(organisation.name, reply))
    key = reply.take(MINT_TIMEOUT_S)
    if key is None:
        return Failure(req.refuse(RefusalCode.INTERNAL, 'no key was minted'))
    return Success(json_response({'key': key}))


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        return False
    return True
