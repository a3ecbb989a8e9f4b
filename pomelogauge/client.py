"""A library for callers: asks which address to use, keeps it, connects."""

import json
import time
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import cycle
from typing import Any

import urllib3
from returns.result import Failure, Result

from .wire.caller_responses import (
    CallError,
    ChatCompletion,
    ignore_tokens,
    read_response,
)

#: Seconds that a call to ask for addresses may take.
ENTRY_TIMEOUT_S = 2.0
#: Seconds without a byte after which an answer counts as lost.
READ_TIMEOUT_S = 60.0
#: Tries of a request that was not run, the first one included.
MAX_ATTEMPTS = 4
#: Code of a refusal because the table service is down.
STORE_DOWN = 'store_unavailable'
#: Seconds for which keys are minted after such a refusal.
MINT_PERIOD_S = 5.0
_OK = 200


@dataclass(frozen=True)
class CachedEntries:
    """Addresses that a router named, and until when they may be used."""

    addresses: tuple[str, ...] = ()
    expires_at_s: float = 0


@dataclass(frozen=True)
class CallKey:
    """An idempotency key, and whether this library has drawn it."""

    key: str
    is_generated: bool = False


@dataclass(frozen=True)
class ObservedExchange:
    """One exchange with a router.

    Parameters
    ----------
    address
        Router that was asked.
    key
        Idempotency key; empty for none.
    begun_s
        Monotonic time at which it began.
    outcome
        The answer or the error.

    """

    address: str
    key: str
    begun_s: float
    outcome: Result[Any, CallError]


Observer = Callable[[ObservedExchange], None]


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
    observe
        Called with every answer and error, those that are tried again too.
    on_token
        Called after each token of a stream with the number of tokens so far.

    """

    def __init__(
        self,
        seeds: tuple[str, ...],
        key: str,
        scheme: str = 'http',
        pool: urllib3.PoolManager | None = None,
        observe: Observer | None = None,
        on_token: Callable[[int], None] = ignore_tokens,
    ) -> None:
        """Open no connection yet."""
        self._seeds = seeds
        self._scheme = scheme
        self._headers = {'Authorization': f'Bearer {key}'}
        self._kept = CachedEntries()
        self._mint_until_s = 0.0
        self._observe = observe or _ignore
        self._on_token = on_token
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
    ) -> Result[ChatCompletion, CallError]:
        """Ask a model and read the whole streamed answer.

        A request that was not run is sent again, to another router.
        """
        body = {
            'model': model,
            'stream': True,
            'max_tokens': max_tokens,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        return self._try_all('/v1/chat/completions', json.dumps(body))

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
            is_generated=not idempotency_key,
        )
        path = f'/v1/services/{service}/{call}'
        return self._try_all(path, json.dumps(body), key)

    def _ask_entries(self) -> None:
        for address in (*self._kept.addresses, *self._seeds):
            asked_at_s = time.monotonic()
            answer = self._get(address, '/v1/entry')
            if answer and answer['addresses']:
                expires_at_s = asked_at_s + float(answer['ttl_s'])
                named = tuple(answer['addresses'])
                self._kept = CachedEntries(named, expires_at_s)
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
        key = str(answer['key']) if answer else uuid.uuid4().hex
        return CallKey(key)

    def _try_all(
        self,
        path: str,
        body: str,
        key: CallKey | None = None,
    ) -> Result[Any, CallError]:
        error = CallError('unreachable', 'no router is known', 'not_run')
        turns: Iterator[str] = cycle(self.entries())
        for _ in range(MAX_ATTEMPTS):
            address = next(turns, '')
            if not address:
                break
            outcome = self._send_or_mint(address, path, body, key)
            if not isinstance(outcome, Failure):
                return outcome
            error = outcome.failure()
            if not error.is_retryable:
                break
            turns = self._next_turns(address, error, turns)
        return Failure(error)

    def _send_or_mint(
        self,
        address: str,
        path: str,
        body: str,
        key: CallKey | None,
    ) -> Result[Any, CallError]:
        if key is None or not key.is_generated:
            return self._send(address, path, body, key)
        if time.monotonic() < self._mint_until_s:
            return self._send(address, path, body, self._mint_key(address))
        outcome = self._send(address, path, body, key)
        if not _is_store_down(outcome):
            return outcome
        # The call was not sent, so that another key may name it.
        self._mint_until_s = time.monotonic() + MINT_PERIOD_S
        minted = self._mint_key(address)
        return self._send(address, path, body, minted)

    def _next_turns(
        self,
        address: str,
        error: CallError,
        turns: Iterator[str],
    ) -> Iterator[str]:
        """Return the addresses to try after a refusal."""
        others = tuple(entry for entry in error.entries if entry != address)
        if others:
            # The router takes no new work and names who does.
            self._kept = CachedEntries()
            return cycle(others)
        if error.retry_after_s:
            # The router knows when capacity comes back.
            time.sleep(min(error.retry_after_s, ENTRY_TIMEOUT_S))
        return turns

    def _send(
        self,
        address: str,
        path: str,
        body: str,
        key: CallKey | None,
    ) -> Result[Any, CallError]:
        begun_s = time.monotonic()
        outcome = self._exchange(address, path, body, key)
        name = key.key if key else ''
        self._observe(ObservedExchange(address, name, begun_s, outcome))
        return outcome

    def _exchange(
        self,
        address: str,
        path: str,
        body: str,
        key: CallKey | None,
    ) -> Result[Any, CallError]:
        headers = {**self._headers, 'Content-Type': 'application/json'}
        if key:
            headers['Idempotency-Key'] = key.key
        begun_s = time.monotonic()
        timeout = urllib3.Timeout(connect=ENTRY_TIMEOUT_S, read=READ_TIMEOUT_S)
        try:
            answer = self._pool.request(
                'POST',
                f'{self._scheme}://{address}{path}',
                body=body,
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
        return read_response(answer, begun_s, self._on_token)


def _ignore(observed: ObservedExchange) -> None:
    """Observe nothing."""


def _is_store_down(outcome: Result[Any, CallError]) -> bool:
    if not isinstance(outcome, Failure):
        return False
    error: CallError = outcome.failure()
    return error.is_retryable and error.code == STORE_DOWN
