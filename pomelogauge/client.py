"""Client library for callers, with address caching and retries."""

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

#: Seconds for a request for addresses or keys, for connecting to a router,
#: and at most for the wait before a retry.
ENTRY_TIMEOUT_S = 2.0
#: Seconds without a byte after which a response counts as lost.
READ_TIMEOUT_S = 60.0
#: Attempts for a request that was not run, the first one included.
MAX_ATTEMPTS = 4
#: Error code of a refusal while the table service is unavailable.
STORE_DOWN = 'store_unavailable'
#: Seconds after such a refusal in which keys are requested from the router.
MINT_PERIOD_S = 5.0
_OK = 200


@dataclass(frozen=True)
class CachedEntries:
    """Addresses from a router and the monotonic time at which they expire."""

    addresses: tuple[str, ...] = ()
    expires_at_s: float = 0


@dataclass(frozen=True)
class CallKey:
    """An idempotency key, and whether this library generated it."""

    key: str
    is_generated: bool = False


@dataclass(frozen=True)
class ObservedExchange:
    """One request to a router with its outcome, for observers.

    Parameters
    ----------
    address
        Router that got the request.
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
        ``host:port`` of some routers, for the first request for addresses.
    key
        The organisation's key.
    scheme
        ``http`` or ``https``.
    pool
        Connections; ``None`` opens a pool of its own.
    observe
        Called with the outcome of every attempt, retried ones included.
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
        self._cached = CachedEntries()
        self._mint_until_s = 0.0
        self._observe = observe or _ignore
        self._on_token = on_token
        self._pool = pool or urllib3.PoolManager(retries=False)

    def entries(self) -> tuple[str, ...]:
        """Return the router addresses, best first; cached until they expire."""
        if (
            not self._cached.addresses
            or time.monotonic() >= self._cached.expires_at_s
        ):
            self._fetch_entries()
        return self._cached.addresses or self._seeds

    def chat(
        self,
        model: str,
        prompt: str,
        max_tokens: int = 32,
    ) -> Result[ChatCompletion, CallError]:
        """Send a prompt to a model and read the whole streamed response.

        A request that was not run is retried at another router.
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
        """Call a plain service and return its decoded response.

        Parameters
        ----------
        service, call
            Name of the service and of its operation.
        body
            Sent as JSON.
        idempotency_key
            Identifies the booking or payment. A retry after an error other
            than ``not_run`` must use the same key. If empty, the library
            generates a key; while the table service is down, the router
            mints one.

        """
        key = CallKey(
            idempotency_key or uuid.uuid4().hex,
            is_generated=not idempotency_key,
        )
        path = f'/v1/services/{service}/{call}'
        return self._try_all(path, json.dumps(body), key)

    def _fetch_entries(self) -> None:
        for address in (*self._cached.addresses, *self._seeds):
            requested_at_s = time.monotonic()
            answer = self._get(address, '/v1/entry')
            if answer and answer['addresses']:
                expires_at_s = requested_at_s + float(answer['ttl_s'])
                named = tuple(answer['addresses'])
                self._cached = CachedEntries(named, expires_at_s)
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
        """Return a key that is valid only at the router at this address."""
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
        addresses: Iterator[str] = cycle(self.entries())
        for _ in range(MAX_ATTEMPTS):
            address = next(addresses, '')
            if not address:
                break
            outcome = self._send_or_mint(address, path, body, key)
            if not isinstance(outcome, Failure):
                return outcome
            error = outcome.failure()
            if not error.is_retryable:
                break
            addresses = self._next_addresses(address, error, addresses)
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
        if not _is_store_unavailable(outcome):
            return outcome
        # The call was not run, so it may get another key.
        self._mint_until_s = time.monotonic() + MINT_PERIOD_S
        minted = self._mint_key(address)
        return self._send(address, path, body, minted)

    def _next_addresses(
        self,
        address: str,
        error: CallError,
        addresses: Iterator[str],
    ) -> Iterator[str]:
        """Return the addresses to try after a refusal."""
        others = tuple(entry for entry in error.entries if entry != address)
        if others:
            # The router accepts no new work and names others that do.
            self._cached = CachedEntries()
            return cycle(others)
        if error.retry_after_s:
            # The router estimates when capacity is available again.
            time.sleep(min(error.retry_after_s, ENTRY_TIMEOUT_S))
        return addresses

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


def _is_store_unavailable(outcome: Result[Any, CallError]) -> bool:
    if not isinstance(outcome, Failure):
        return False
    error: CallError = outcome.failure()
    return error.is_retryable and error.code == STORE_DOWN
