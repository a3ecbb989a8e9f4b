"""Serves callers' calls to plain services over HTTP."""

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
#: Returns an idempotency key that works while the table service is down; only
#: the process that issued it may run the call.
KEY_PATH = '/v1/idempotency-key'
#: Seconds to wait for the task that mints keys.
MINT_TIMEOUT_S = 2.0
#: Longest idempotency key that a caller may choose, in characters.
MAX_KEY_LENGTH = 256


def answer_call(
    req: HttpRequest,
    organisation: Organisation,
    parts: ServiceCallParts,
    configuration: Configuration,
) -> Result[HttpResponse, Refusal]:
    """Answer a call to a plain service in the calling thread.

    Parameters
    ----------
    req
        Request whose path names the service and the call.
    organisation
        Organisation that the caller's API key belongs to.
    parts
        Collaborators of the task that makes the call.
    configuration
        Configuration in force, which lists the services and their calls.

    Returns
    -------
    Result
        The service's answer with its status, or the refusal.

    """
    service, _, call = req.path.removeprefix(SERVICES_PATH).partition('/')
    if not service or not call:
        message = f'no such endpoint: {req.method} {req.path}'
        return Failure(req.refuse(RefusalCode.UNKNOWN_CALL, message))
    if len(req.idempotency_key) > MAX_KEY_LENGTH:
        message = (
            f'idempotency key has {len(req.idempotency_key)} characters, '
            f'at most {MAX_KEY_LENGTH} are allowed'
        )
        return Failure(req.refuse(RefusalCode.MALFORMED, message))
    if not _is_json(req.body):
        message = 'body is not valid JSON'
        return Failure(req.refuse(RefusalCode.MALFORMED, message))
    request = ServiceRequest(
        req.request,
        organisation.name,
        ServiceName(service),
        CallName(call),
        req.idempotency_key,
    )
    task = ServiceCallTask(parts, request, req.body)
    outcome = task.run(configuration)
    if isinstance(outcome, Failure):
        return outcome
    answer = outcome.unwrap()
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
        Request for a key.
    organisation
        Organisation that alone may use the key.
    minted
        Task that mints keys.

    Returns
    -------
    Result
        The key as a JSON document, or a refusal where the task did not
        answer in time.

    """
    reply: Mailbox[str] = Mailbox()
    minted.post(KeyRequested(organisation.name, reply))
    key = reply.take(MINT_TIMEOUT_S)
    if key is None:
        return Failure(
            req.refuse(
                RefusalCode.INTERNAL,
                f'no idempotency key within {MINT_TIMEOUT_S:g} s',
            )
        )
    return Success(json_response({'key': key}))


def _is_json(body: bytes) -> bool:
    try:
        json.loads(body)
    except (ValueError, RecursionError):
        return False
    return True
