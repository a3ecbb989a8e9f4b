"""Token stream of one response of a stand-in engine."""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from ..model.ids import ReplicaId, RequestId
from ..tasks.clock import Clock
from ..tasks.mailbox import Mailbox, Outbox
from .engine_messages import (
    StreamAccepted,
    StreamCancelled,
    StreamCut,
    StreamEnd,
    StreamEnded,
    StreamMessage,
    StreamRecord,
    TokenIntervalChanged,
)
from .http_app import ConnectionDroppedError
from .tokens import messages_digest, token_of

_DONE = b'data: [DONE]\n\n'
#: Tokens of a response when the request has no ``max_tokens``.
_DEFAULT_TOKENS = 32


@dataclass(frozen=True)
class ResponsePlan:
    """Tokens to be sent in one response.

    Parameters
    ----------
    request, replica
        Identifiers for the record of the stream.
    model
        Model name in each chunk.
    digest
        Digest of the messages, which determines the tokens.
    first
        Index of the first token to send; above zero for a resumed stream.
    total
        Number of tokens of the complete response.

    """

    request: RequestId
    replica: ReplicaId
    model: str
    digest: str
    first: int
    total: int


def plan_response(
    request: RequestId,
    replica: ReplicaId,
    first: int,
    fields: dict[str, Any],
) -> ResponsePlan:
    """Plan the response to the decoded body of a chat request."""
    return ResponsePlan(
        request=request,
        replica=replica,
        model=str(fields.get('model', '')),
        digest=messages_digest(fields['messages']),
        first=first,
        total=int(fields.get('max_tokens', _DEFAULT_TOKENS)),
    )


class TokenStream:
    """Iterator over the events of one response, owned by its HTTP thread.

    Parameters
    ----------
    plan
        Tokens to be sent.
    accepted
        Admission by the task of the engine.
    inbox
        Receives changes of the stream while it runs.
    engine
        Task that is notified of the end of the stream.
    clock
        Paces the tokens.

    """

    def __init__(
        self,
        plan: ResponsePlan,
        accepted: StreamAccepted,
        inbox: Mailbox[StreamMessage],
        engine: Outbox[StreamEnded],
        clock: Clock,
    ) -> None:
        """Prepare the stream; nothing is sent before iteration."""
        self._plan = plan
        self._serial = accepted.serial
        self._interval_s = accepted.interval_s
        self._inbox = inbox
        self._engine = engine
        self._clock = clock
        self._next_index = plan.first
        self._end = StreamEnd.CUT

    def __iter__(self) -> Iterator[bytes]:
        """Yield one event per token, then ``[DONE]``."""
        for index in range(self._plan.first, self._plan.total):
            self._await_turn()
            yield self._chunk(index)
            self._next_index = index + 1
        # Release the slot before the client can learn that the stream ended.
        self._end = StreamEnd.COMPLETE
        self._report()
        yield _DONE

    def close(self) -> None:
        """Report the end of a stream that did not complete."""
        if self._end is not StreamEnd.COMPLETE:
            self._report()

    def _report(self) -> None:
        record = StreamRecord(
            request=self._plan.request,
            replica=self._plan.replica,
            first=self._plan.first,
            next_index=self._next_index,
            end=self._end,
        )
        self._engine.post(StreamEnded(self._serial, record))

    def _await_turn(self) -> None:
        started_s = self._clock.now_s()
        while True:
            message = self._inbox.take(self._left_s(started_s))
            if message is None:
                return
            self._on_message(message)

    def _left_s(self, started_s: float) -> float | None:
        if self._interval_s is None:
            return None
        return max(started_s + self._interval_s - self._clock.now_s(), 0)

    def _on_message(self, message: StreamMessage) -> None:
        match message:
            case TokenIntervalChanged(interval_s):
                self._interval_s = interval_s
            case StreamCut():
                raise ConnectionDroppedError
            case StreamCancelled():
                self._end = StreamEnd.CANCELLED
                raise ConnectionDroppedError

    def _chunk(self, index: int) -> bytes:
        text = token_of(self._plan.digest, index)
        last = index + 1 == self._plan.total
        choice = {
            'index': 0,
            'delta': {'content': text},
            'finish_reason': 'length' if last else None,
        }
        chunk = {
            'id': self._plan.request,
            'object': 'chat.completion.chunk',
            'model': self._plan.model,
            'choices': [choice],
            'token': index,
        }
        return f'data: {json.dumps(chunk)}\n\n'.encode()
