"""A library for callers: asks which address to use, keeps it, connects."""

import json
import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from itertools import cycle
from typing import Any

import urllib3
from returns.result import Failure, Result

from .wire.caller_answers import (
    CallError,
    ChatAnswer,
    ignore_tokens,
    read_answer,
)

#: Seconds that a call to ask for addresses may take.
ENTRY_TIMEOUT_S = 2.0
#: Seconds without a byte after which an answer counts as lost.
SILENCE_LIMIT_S = 60.0
#: Tries of a request that was not run, the first one included.
TRIES = 4
#: Code of a refusal because the table service is down.
STORE_DOWN = 'store_unavailable'
_OK = 200


@dataclass(frozen=True)
class KeptEntries:
    """Addresses that a router named, and until when they may be used."""

    addresses: tuple[str, ...] = ()
    expires_at_s: float = 0


@dataclass(frozen=True)
class CallKey:
    """An idempotency key, and whether this library has drawn it."""

    key: str
    is_drawn: bool = False


@dataclass(frozen=True)
class CallBody:
    """What is sent; a chat has no key."""

    path: str
    body: str
    key: CallKey | None = None


class Client:
    """Calls models and plain services; belongs to one thread.

    Parameters
    ----------
    seeds
        ``host:port`` of some routers, to ask for the first time.
    key
        The organisation's key.
    scheme
        ``http`` or ``https``.
    pool
        Connections; ``None`` opens a pool of its own.

    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        key: str,
        scheme: str = 'http',
        pool: urllib3.PoolManager | None = None,
    ) -> None:
        """Open no connection yet."""
        self._seeds = seeds
        self._scheme = scheme
        self._headers = {'Authorization': f'Bearer {key}'}
        self._kept = KeptEntries()
        self._pool = pool or urllib3.PoolManager(retries=False)

    def entries(self) -> tuple[str, ...]:
        """Return the addresses to use, best first."""
        if (
            not self._kept.addresses
            or time.monotonic() >= self._kept.expires_at_s
        ):
            self._ask_entries()
        return self._kept.addresses or self._seeds

    def chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int = 32,
        on_token: Callable[[int], None] = ignore_tokens,
    ) -> Result[ChatAnswer, CallError]:
        """Ask a model and read the whole streamed answer.

        A request that was not run is sent again, to another router.

        Parameters
        ----------
        model
            Name of the model.
        prompt
            Content of the only message.
        max_tokens
            Bound of the answer.
        on_token
            Called after each token with the number of tokens so far.

        """
        body = {
            'model': model,
            'stream': True,
            'max_tokens': max_tokens,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        call = CallBody('/v1/chat/completions', json.dumps(body))
        return self._try_all(call, on_token)

    def call(
        self,
        service: str,
        call: str,
        body: Any,
        idempotency_key: str = '',
    ) -> Result[Any, CallError]:
        """Call a plain service and return its decoded answer.

        Parameters
        ----------
        service, call
            What is called.
        body
            Sent as JSON.
        idempotency_key
            Names the booking or payment. A repeat after an error that is not
            ``not_run`` must use the same key. A key is drawn when this is
            empty; while the table service is down, the router mints one.

        """
        key = CallKey(
            idempotency_key or uuid.uuid4().hex,
            is_drawn=not idempotency_key,
        )
        path = f'/v1/services/{service}/{call}'
        return self._try_all(CallBody(path, json.dumps(body), key))

    def _ask_entries(self) -> None:
        for address in (*self._kept.addresses, *self._seeds):
            asked_at_s = time.monotonic()
            answer = self._get(address, '/v1/entry')
            if answer:
                expires_at_s = asked_at_s + float(answer['ttl_s'])
                named = tuple(answer['addresses'])
                self._kept = KeptEntries(named, expires_at_s)
                return

    def _get(self, address: str, path: str) -> Any:
        url = f'{self._scheme}://{address}{path}'
        try:
            answer = self._pool.request(
                'GET',
                url,
                headers=self._headers,
                timeout=ENTRY_TIMEOUT_S,
            )
            return answer.json() if answer.status == _OK else None
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def _mint_key(self, address: str) -> CallKey:
        """Return a key that only the router at this address may run."""
        answer = self._get(address, '/v1/idempotency-key')
        return CallKey(str(answer['key']) if answer else '')

    def _try_all(
        self,
        call: CallBody,
        on_token: Callable[[int], None] = ignore_tokens,
    ) -> Result[Any, CallError]:
        error = CallError('unreachable', 'no router is known', 'not_run')
        turns: Iterator[str] = cycle(self.entries())
        for _ in range(TRIES):
            address = next(turns, '')
            if not address:
                break
            outcome = self._send_or_mint(address, call, on_token)
            if not isinstance(outcome, Failure):
                return outcome
            error = outcome.failure()
            if not error.repeatable:
                break
            turns = self._next_turns(error, turns)
        return Failure(error)

    def _next_turns(
        self,
        error: CallError,
        turns: Iterator[str],
    ) -> Iterator[str]:
        """Return the addresses to try after a refusal."""
        if error.entries:
            # The router takes no new work and names who does.
            self._kept = KeptEntries()
            return cycle(error.entries)
        if error.retry_after_s:
            # The router knows when capacity comes back.
            time.sleep(min(error.retry_after_s, ENTRY_TIMEOUT_S))
        return turns

    def _send_or_mint(
        self,
        address: str,
        call: CallBody,
        on_token: Callable[[int], None],
    ) -> Result[Any, CallError]:
        outcome = self._send(address, call, on_token)
        drawn = call.key is not None and call.key.is_drawn
        if not drawn or not _is_store_down(outcome):
            return outcome
        # The call was not sent, so that another key may name it.
        minted = self._mint_key(address)
        if not minted.key:
            return outcome
        return self._send(address, replace(call, key=minted), on_token)

    def _send(
        self,
        address: str,
        call: CallBody,
        on_token: Callable[[int], None],
    ) -> Result[Any, CallError]:
        headers = {**self._headers, 'Content-Type': 'application/json'}
        if call.key:
            headers['Idempotency-Key'] = call.key.key
        begun_s = time.monotonic()
        timeout = urllib3.Timeout(connect=ENTRY_TIMEOUT_S, read=SILENCE_LIMIT_S)
        try:
            answer = self._pool.request(
                'POST',
                f'{self._scheme}://{address}{call.path}',
                body=call.body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as exc:
            return Failure(CallError('unreachable', str(exc), 'not_run'))
        except urllib3.exceptions.HTTPError as exc:
            return Failure(CallError('cut', str(exc), 'may_have_run'))
        return read_answer(answer, begun_s, on_token)


def _is_store_down(outcome: Result[Any, CallError]) -> bool:
    if not isinstance(outcome, Failure):
        return False
    error: CallError = outcome.failure()
    return error.repeatable and error.code == STORE_DOWN
