"""A library for callers: asks which address to use, keeps it, connects."""

import json
import time
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import cycle
from typing import Any

import urllib3
from returns.result import Failure, Result

from .wire.caller_answers import CallError, ChatAnswer, read_answer

#: Seconds that a call to ask for addresses may take.
ENTRY_TIMEOUT_S = 2.0
#: Seconds without a byte after which an answer counts as lost.
SILENCE_LIMIT_S = 60.0
#: Tries of a request that was not run, the first one included.
TRIES = 4
_OK = 200


@dataclass(frozen=True)
class KeptEntries:
    """Addresses that a router named, and until when they may be used."""

    addresses: tuple[str, ...] = ()
    expires_at_s: float = 0


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
    ) -> Result[ChatAnswer, CallError]:
        """Ask a model and read the whole streamed answer.

        A request that was not run is sent again, to another router.
        """
        body = {
            'model': model,
            'stream': True,
            'max_tokens': max_tokens,
            'messages': [{'role': 'user', 'content': prompt}],
        }
        return self._try_all('/v1/chat/completions', json.dumps(body), '')

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
            Names the booking or payment; drawn when empty. A repeat after an
            error that is not ``not_run`` must use the same key.

        """
        key = idempotency_key or uuid.uuid4().hex
        path = f'/v1/services/{service}/{call}'
        return self._try_all(path, json.dumps(body), key)

    def _ask_entries(self) -> None:
        for address in (*self._kept.addresses, *self._seeds):
            asked_at_s = time.monotonic()
            answer = self._get_entries(address)
            if answer:
                expires_at_s = asked_at_s + float(answer['ttl_s'])
                named = tuple(answer['addresses'])
                self._kept = KeptEntries(named, expires_at_s)
                return

    def _get_entries(self, address: str) -> Any:
        url = f'{self._scheme}://{address}/v1/entry'
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

    def _try_all(
        self, path: str, body: str, key: str
    ) -> Result[Any, CallError]:
        error = CallError('unreachable', 'no router is known', 'not_run')
        turns: Iterator[str] = cycle(self.entries())
        for _ in range(TRIES):
            address = next(turns, '')
            if not address:
                break
            outcome = self._send(address, path, body, key)
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

    def _send(
        self,
        address: str,
        path: str,
        body: str,
        key: str,
    ) -> Result[Any, CallError]:
        headers = {**self._headers, 'Content-Type': 'application/json'}
        if key:
            headers['Idempotency-Key'] = key
        begun_s = time.monotonic()
        timeout = urllib3.Timeout(connect=ENTRY_TIMEOUT_S, read=SILENCE_LIMIT_S)
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
        return read_answer(answer, begun_s)
