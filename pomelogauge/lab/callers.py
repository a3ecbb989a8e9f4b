"""Callers of a scenario, each with its own client, that record all they do."""

import json
import threading
from dataclasses import dataclass
from typing import Any

from returns.pipeline import is_successful
from returns.result import Result

from ..client import Client
from ..wire.caller_responses import CallError, ChatCompletion
from .manifests import CALLS, MODEL, caller_key
from .record import (
    CallAnswered,
    CallSent,
    ChatAnswered,
    ChatSent,
    Failed,
    TokenHeard,
)
from .recorder import Recorder


@dataclass(frozen=True)
class Chat:
    """A chat request that a caller will send."""

    caller: str
    organisation: str
    prompt: str
    max_tokens: int


@dataclass(frozen=True)
class ServiceTry:
    """One try of a call to a plain service.

    Parameters
    ----------
    caller
        Names the try in the record.
    organisation
        Whose key it carries.
    service, call
        What is called.
    key
        Idempotency key.
    router
        Address of the only router to use; empty lets the client choose.

    """

    caller: str
    organisation: str
    service: str
    call: str
    key: str
    router: str = ''

    @property
    def idempotent(self) -> bool:
        """Whether the tools' manifest lets the call run twice."""
        return any(call.idempotent for call in CALLS if call.name == self.call)


class OneRouterClient(Client):
    """A client that keeps the one router it was given."""

    def entries(self) -> tuple[str, ...]:
        """Return that router."""
        return self._seeds


class Callers:
    """Sends requests, each in a thread of its own where asked to.

    Parameters
    ----------
    recorder
        Takes what is sent and received.

    """

    def __init__(self, recorder: Recorder) -> None:
        """Send nothing yet."""
        self._recorder = recorder

    def start_chat(self, routers: tuple[str, ...], chat: Chat) -> None:
        """Send a chat request in a thread of its own."""
        thread = threading.Thread(
            target=self.chat,
            args=(routers, chat),
            name=chat.caller,
            daemon=True,
        )
        thread.start()

    def chat(
        self,
        routers: tuple[str, ...],
        chat: Chat,
    ) -> Result[ChatCompletion, CallError]:
        """Send a chat request and wait for its end."""
        recorder = self._recorder
        sent_at_s = recorder.now_s()
        recorder.post(
            ChatSent(
                sent_at_s,
                chat.caller,
                chat.organisation,
                chat.prompt,
                chat.max_tokens,
            )
        )

        def heard(count: int) -> None:
            recorder.post(TokenHeard(recorder.now_s(), chat.caller, count))

        key = caller_key(chat.organisation)
        client = Client(routers, key, on_token=heard)
        answer = client.chat(MODEL, chat.prompt, chat.max_tokens)
        if is_successful(answer):
            self._answered(chat, answer.unwrap())
        else:
            self._failed(chat.caller, answer.failure())
        return answer

    def start_call(self, routers: tuple[str, ...], tried: ServiceTry) -> None:
        """Call a plain service in a thread of its own."""
        thread = threading.Thread(
            target=self.call,
            args=(routers, tried),
            name=tried.caller,
            daemon=True,
        )
        thread.start()

    def call(
        self,
        routers: tuple[str, ...],
        tried: ServiceTry,
    ) -> Result[Any, CallError]:
        """Call a plain service and wait for the outcome."""
        body = {'shoe': tried.key}
        key = caller_key(tried.organisation)
        client = Client(routers, key)
        if tried.router:
            client = OneRouterClient((tried.router,), key)
        self._recorder.post(
            CallSent(
                self._recorder.now_s(),
                tried.caller,
                tried.organisation,
                tried.service,
                tried.call,
                tried.key,
                tried.idempotent,
                json.dumps(body),
                tried.router,
            )
        )
        outcome = client.call(tried.service, tried.call, body, tried.key)
        if is_successful(outcome):
            answered_at_s = self._recorder.now_s()
            said = json.dumps(outcome.unwrap())
            self._recorder.post(CallAnswered(answered_at_s, tried.caller, said))
        else:
            self._failed(tried.caller, outcome.failure())
        return outcome

    def _answered(self, chat: Chat, answer: ChatCompletion) -> None:
        self._recorder.post(
            ChatAnswered(
                self._recorder.now_s(),
                chat.caller,
                answer.request,
                answer.text,
                answer.token_times_s,
            )
        )

    def _failed(self, caller: str, error: CallError) -> None:
        self._recorder.post(
            Failed(
                self._recorder.now_s(),
                caller,
                error.code,
                error.execution,
                error.message,
                error.request,
            )
        )
